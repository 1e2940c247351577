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
func (sm *Simulation) checkAnswer(p *request) {
	s := p.session
	if p.call.Class.Read {
		for _, id := range p.mustSee {
			if !p.lastMember.contains(id, p.lastRun.visible) {
				sm.addViolation("read %s of session %s does not see its own write %s", p.call.ID, s.name, id)
			}
		}
		if p.mustSeeUpTo != "" && !p.lastMember.contains(p.mustSeeUpTo, p.lastRun.visible) {
			sm.addViolation("read %s of session %s does not see %s, which it saw before", p.call.ID, s.name, p.mustSeeUpTo)
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
		sm.addViolation("write %s was acknowledged by a primary that has been replaced by %s", id, p.name)
	}
	holders := 0
	for _, m := range sm.members {
		if len(m.positions[id]) > 0 {
			holders++
		}
	}
	if holders <= len(sm.members)/2 {
		sm.addViolation("write %s was acknowledged with %d of %d members holding it", id, holders, len(sm.members))
	}
}

// Finish ends all partitions and pauses, runs until every request has ended or a
// time limit is reached, and checks all answers against the log of the last
// primary.
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
		sm.addViolation("no primary at the end")
		return
	}
	for _, id := range slices.Sorted(maps.Keys(sm.requests)) {
		if p := sm.requests[id]; !p.ended {
			sm.addViolation("no answer to %s", p.call.ID)
		}
	}
	sm.checkLog(last)
}

// hasUnanswered reports whether any request has not ended yet.
func (sm *Simulation) hasUnanswered() bool {
	return len(sm.finished) < len(sm.requests)
}

// checkLog checks that no idempotency key ran twice according to the log of the
// last primary, and that this log agrees with the outcome of each request.
func (sm *Simulation) checkLog(last *member) {
	keys := map[string]int{}
	for _, e := range last.log {
		if e.key != "" && e.kind == "ran" {
			keys[e.key]++
		}
	}
	for key, n := range keys {
		if n > 1 {
			sm.addViolation("the key %s ran %d times", key, n)
		}
	}
	for _, p := range sm.finished {
		sm.checkOutcome(last, p)
	}
}

// checkOutcome checks the outcome of one request. An acknowledged write must be in
// the log, a write that may not be repeated must not have run twice, a write that
// was reported as not run must not have run, and a write that was reported as run
// must have run.
func (sm *Simulation) checkOutcome(last *member, p *request) {
	if p.call.Class.Read {
		return
	}
	for _, id := range p.ids {
		n := len(last.positions[id])
		switch {
		case p.code == code.Done && n == 0 && !p.session.inOpenTransaction(id):
			if slices.Contains(p.session.acked, id) {
				sm.addViolation("the acknowledged write %s is lost", id)
			}
		case n > 1 && !p.call.Class.Repeatable:
			sm.addViolation("the write %s ran %d times", id, n)
		case (p.code.NotRun() || p.code == code.TransactionLost) && n > 0:
			sm.addViolation("%s was told %s and ran", id, p.code.Name())
		case p.code == code.RanAnswerLost && n == 0:
			sm.addViolation("%s was told that it ran and did not", id)
		}
	}
}

// inOpenTransaction reports whether a request belongs to a transaction that the
// session still has open.
func (s *session) inOpenTransaction(id string) bool {
	return s.inTransaction && slices.Contains(s.transactionIDs, id)
}

// Tallies returns the tallies of the requests that have ended, by label.
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
	p, ok := sm.requests[id]
	if !ok || !p.ended {
		return 0, false
	}
	return p.code, true
}

// LongestWriteGap returns the longest time between the answers to two successive
// acknowledged writes. With acrossTerms, it considers only pairs whose second
// write ran in a later term than the first.
func (sm *Simulation) LongestWriteGap(acrossTerms bool) time.Duration {
	var writes []*request
	for _, p := range sm.finished {
		if p.code == code.Done && !p.call.Class.Read {
			writes = append(writes, p)
		}
	}
	slices.SortStableFunc(writes, func(a, b *request) int { return int(a.answeredAt - b.answeredAt) })
	var gap time.Duration
	for i := 1; i < len(writes); i++ {
		if !acrossTerms || writes[i].term > writes[i-1].term {
			gap = max(gap, writes[i].answeredAt-writes[i-1].answeredAt)
		}
	}
	return gap
}
