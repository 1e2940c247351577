package simul

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/standin/tally"
)

// check holds an answer against what its session must see and what may not be
// acknowledged.
func (w *Simulation) check(p *pending) {
	s := p.session
	if p.call.Class.Read {
		for _, id := range p.mustSee {
			if !p.lastAt.shows(id, p.last.seen) {
				w.fault("read %s of session %s does not see its own write %s", p.call.ID, s.name, id)
			}
		}
		if p.seen != "" && !p.lastAt.shows(p.seen, p.last.seen) {
			w.fault("read %s of session %s does not see %s, which it saw before", p.call.ID, s.name, p.seen)
		}
		s.seen = p.lastAt.newest(p.last.seen)
		p.replica = !p.lastAt.primary
		return
	}
	if s.inside {
		return
	}
	ids := p.ids
	if p.call.InTransaction {
		ids = s.txIDs
	}
	for _, id := range ids {
		s.acked = append(s.acked, id)
		w.checkAcknowledged(id)
	}
	p.executed = p.last.term
}

// checkAcknowledged holds an acknowledged write against the logs: it must be
// at the primary in force and at a majority.
func (w *Simulation) checkAcknowledged(id string) {
	if p := w.leader(); p != nil && len(p.places[id]) == 0 {
		w.fault("write %s was acknowledged by a primary that has been replaced by %s", id, p.name)
	}
	holders := 0
	for _, m := range w.members {
		if len(m.places[id]) > 0 {
			holders++
		}
	}
	if holders <= len(w.members)/2 {
		w.fault("write %s was acknowledged with %d of %d members holding it", id, holders, len(w.members))
	}
}

// Finish heals everything, lets what is under way end, and holds all that the
// sessions were told against the log that remains.
func (w *Simulation) Finish() {
	const (
		settle = 3 * time.Second
		most   = 90
	)
	for _, node := range slices.Sorted(maps.Keys(w.cut)) {
		w.Resume(node)
	}
	for _, k := range w.owners {
		w.Resume(k.name)
	}
	w.Run(w.Now() + settle)
	for i := 0; i < most && w.open(); i++ {
		w.Run(w.Now() + settle)
	}
	last := w.leader()
	if last == nil {
		w.fault("no primary at the end")
		return
	}
	for _, id := range slices.Sorted(maps.Keys(w.calls)) {
		if p := w.calls[id]; !p.over {
			w.fault("no answer to %s", p.call.ID)
		}
	}
	w.audit(last)
}

// open tells whether a request has no answer yet.
func (w *Simulation) open() bool {
	return len(w.done) < len(w.calls)
}

func (w *Simulation) audit(last *fake) {
	keys := map[string]int{}
	for _, e := range last.log {
		if e.key != "" && e.kind == "ran" {
			keys[e.key]++
		}
	}
	for key, n := range keys {
		if n > 1 {
			w.fault("the key %s ran %d times", key, n)
		}
	}
	for _, p := range w.done {
		w.auditCall(last, p)
	}
}

func (w *Simulation) auditCall(last *fake, p *pending) {
	if p.call.Class.Read {
		return
	}
	for _, id := range p.ids {
		n := len(last.places[id])
		switch {
		case p.code == code.Done && n == 0 && !p.session.isOpen(id):
			if slices.Contains(p.session.acked, id) {
				w.fault("the acknowledged write %s is lost", id)
			}
		case n > 1 && !p.call.Class.Repeatable:
			w.fault("the write %s ran %d times", id, n)
		case (p.code.NotRun() || p.code == code.TransactionLost) && n > 0:
			w.fault("%s was told %s and ran", id, p.code.Name())
		case p.code == code.RanAnswerLost && n == 0:
			w.fault("%s was told that it ran and did not", id)
		}
	}
}

func (s *session) isOpen(id string) bool {
	return s.inside && slices.Contains(s.txIDs, id)
}

// Tallies returns the tally of each label, over the requests that ended.
func (w *Simulation) Tallies() map[string]*tally.Tally {
	all := map[string]*tally.Tally{}
	for _, p := range w.done {
		label := p.call.Class.Name
		if all[label] == nil {
			all[label] = tally.New()
		}
		inTime := p.answer <= p.submit+p.call.Class.Deadline+2*w.clientDelay
		all[label].Add(p.code, p.submit, p.answer, p.takes, p.replica, inTime)
	}
	return all
}

// Outcome returns the result of a request, and false where it has none yet.
func (w *Simulation) Outcome(id string) (code.Code, bool) {
	p, ok := w.calls[id]
	if !ok || !p.over {
		return 0, false
	}
	return p.code, true
}

// LongestWriteGap returns the longest time between two acknowledged writes that follow
// each other and of which the second ran in a later term, or anywhere where
// terms is false.
func (w *Simulation) LongestWriteGap(terms bool) time.Duration {
	var writes []*pending
	for _, p := range w.done {
		if p.code == code.Done && !p.call.Class.Read {
			writes = append(writes, p)
		}
	}
	slices.SortStableFunc(writes, func(a, b *pending) int { return int(a.answer - b.answer) })
	var gap time.Duration
	for i := 1; i < len(writes); i++ {
		if !terms || writes[i].executed > writes[i-1].executed {
			gap = max(gap, writes[i].answer-writes[i-1].answer)
		}
	}
	return gap
}
