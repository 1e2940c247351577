package simul

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/standin/tally"
)

// checkAnswer checks that a read sees the session's own writes and everything
// that the session saw before, and that an acknowledged write is durable. Writes
// of an open transaction are checked when it commits.
func (sm *Simulation) checkAnswer(p *pending) {
	s := p.session
	if p.call.Class.Read {
		for _, id := range p.mustSee {
			if !p.lastMember.sees(id, p.lastRun.visible) {
				sm.violation("read %s of session %s does not see its own write %s", p.call.ID, s.name, id)
			}
		}
		if p.mustSeeUpTo != "" && !p.lastMember.sees(p.mustSeeUpTo, p.lastRun.visible) {
			sm.violation("read %s of session %s does not see %s, which it saw before", p.call.ID, s.name, p.mustSeeUpTo)
		}
		s.newestSeen = p.lastMember.newestWrite(p.lastRun.visible)
		p.atReplica = !p.lastMember.primary
		return
	}
	if s.inTransaction {
		return
	}
	ids := p.ids
	if p.call.InTransaction {
		ids = s.transactionIDs
	}
	for _, id := range ids {
		s.acked = append(s.acked, id)
		sm.checkAcknowledged(id)
	}
	p.term = p.lastRun.term
}

// checkAcknowledged checks that an acknowledged write is in the logs of the
// current primary and of a majority of members.
func (sm *Simulation) checkAcknowledged(id string) {
	if p := sm.primaryMember(); p != nil && len(p.positions[id]) == 0 {
		sm.violation("write %s was acknowledged by a primary that has been replaced by %s", id, p.name)
	}
	holders := 0
	for _, m := range sm.members {
		if len(m.positions[id]) > 0 {
			holders++
		}
	}
	if holders <= len(sm.members)/2 {
		sm.violation("write %s was acknowledged with %d of %d members holding it", id, holders, len(sm.members))
	}
}

// Finish ends all partitions and pauses, waits until every request has an
// answer, and checks all answers against the log of the last primary.
func (sm *Simulation) Finish() {
	const (
		settlePeriod = 3 * time.Second
		maxPeriods   = 90
	)
	for _, node := range slices.Sorted(maps.Keys(sm.partitions)) {
		sm.Resume(node)
	}
	for _, h := range sm.hosts {
		sm.Resume(h.name)
	}
	sm.Run(sm.Now() + settlePeriod)
	for i := 0; i < maxPeriods && sm.hasUnanswered(); i++ {
		sm.Run(sm.Now() + settlePeriod)
	}
	last := sm.primaryMember()
	if last == nil {
		sm.violation("no primary at the end")
		return
	}
	for _, id := range slices.Sorted(maps.Keys(sm.calls)) {
		if p := sm.calls[id]; !p.ended {
			sm.violation("no answer to %s", p.call.ID)
		}
	}
	sm.checkLog(last)
}

// hasUnanswered reports whether a request has no answer yet.
func (sm *Simulation) hasUnanswered() bool {
	return len(sm.finished) < len(sm.calls)
}

// checkLog checks the final log: no idempotency key ran twice, and the outcome
// that each request's session received is true.
func (sm *Simulation) checkLog(last *member) {
	keys := map[string]int{}
	for _, e := range last.log {
		if e.key != "" && e.kind == "ran" {
			keys[e.key]++
		}
	}
	for key, n := range keys {
		if n > 1 {
			sm.violation("the key %s ran %d times", key, n)
		}
	}
	for _, p := range sm.finished {
		sm.checkOutcome(last, p)
	}
}

// checkOutcome checks the outcome of one request: an acknowledged write is in the
// log, a write that may not be repeated ran at most once, a write that was
// refused as not run did not run, and one reported as run did.
func (sm *Simulation) checkOutcome(last *member, p *pending) {
	if p.call.Class.Read {
		return
	}
	for _, id := range p.ids {
		n := len(last.positions[id])
		switch {
		case p.code == code.Done && n == 0 && !p.session.inOpenTransaction(id):
			if slices.Contains(p.session.acked, id) {
				sm.violation("the acknowledged write %s is lost", id)
			}
		case n > 1 && !p.call.Class.Repeatable:
			sm.violation("the write %s ran %d times", id, n)
		case (p.code.NotRun() || p.code == code.TransactionLost) && n > 0:
			sm.violation("%s was told %s and ran", id, p.code.Name())
		case p.code == code.RanAnswerLost && n == 0:
			sm.violation("%s was told that it ran and did not", id)
		}
	}
}

// inOpenTransaction reports whether a request belongs to the session's open
// transaction.
func (s *session) inOpenTransaction(id string) bool {
	return s.inTransaction && slices.Contains(s.transactionIDs, id)
}

// Tallies returns the tally of each label over the requests that have ended.
func (sm *Simulation) Tallies() map[string]*tally.Tally {
	all := map[string]*tally.Tally{}
	for _, p := range sm.finished {
		label := p.call.Class.Name
		if all[label] == nil {
			all[label] = tally.New()
		}
		inTime := p.answeredAt <= p.submittedAt+p.call.Class.Deadline+2*sm.clientDelay
		all[label].Add(p.code, p.submittedAt, p.answeredAt, p.runTime, p.atReplica, inTime)
	}
	return all
}

// Outcome returns the result code of a request, or false if it has none yet.
func (sm *Simulation) Outcome(id string) (code.Code, bool) {
	p, ok := sm.calls[id]
	if !ok || !p.ended {
		return 0, false
	}
	return p.code, true
}

// LongestWriteGap returns the longest time between the answers of two successive
// acknowledged writes. With acrossTerms, only pairs count of which the second ran
// in a later term than the first.
func (sm *Simulation) LongestWriteGap(acrossTerms bool) time.Duration {
	var writes []*pending
	for _, p := range sm.finished {
		if p.code == code.Done && !p.call.Class.Read {
			writes = append(writes, p)
		}
	}
	slices.SortStableFunc(writes, func(a, b *pending) int { return int(a.answeredAt - b.answeredAt) })
	var gap time.Duration
	for i := 1; i < len(writes); i++ {
		if !acrossTerms || writes[i].term > writes[i-1].term {
			gap = max(gap, writes[i].answeredAt-writes[i-1].answeredAt)
		}
	}
	return gap
}
