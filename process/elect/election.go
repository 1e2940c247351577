// Package elect replaces the primary of a database group.
package elect

import (
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// missesToSuspect is how many heartbeats in a row a primary may miss.
	missesToSuspect = 2
	// reachabilityTimeout bounds the wait for other hosts' opinions.
	reachabilityTimeout = 250 * time.Millisecond
	// stepTimeout bounds the wait for a majority of fences and for a promotion.
	stepTimeout = 300 * time.Millisecond
	// retryDelay is the pause before the next try; a host's share is added.
	retryDelay = 100 * time.Millisecond
	// maxVetoes is how often in a row other hosts may hold up a replacement.
	maxVetoes = 2
	// unreachableNeeded is how many other hosts are asked.
	unreachableNeeded = 2
)

type phase int

const (
	idle phase = iota
	asking
	fencing
	promoting
)

// effects are what an election needs to have done. Answers come back through
// the election's methods; a duty returns at once.
type effects interface {
	// CheckReachability asks other hosts whether they reach the member.
	CheckReachability(member string)
	// Fence asks a member to promise the term.
	Fence(member string, term uint64)
	// Promote makes a member the primary of the term.
	Promote(member string, term uint64)
	// Elected tells that the member leads the term.
	Elected(member string, term uint64)
}

// Election is the state of one group's replacement at one host. Several hosts
// may run one at a time: a member promises each term to one of them, so at
// most one gets a majority. It has no lock and no clock of its own.
type Election struct {
	effects            effects
	members            []string
	jitter             time.Duration
	phase              phase
	primary            string
	term               uint64
	highestTerm        uint64
	misses             int
	vetoes             int
	unreachableReports int
	deadline           time.Time
	ballot             uint64
	granted            map[string]mark.Mark
	chosen             string
	preferred          string
	leaving            map[string]bool
}

// New returns an election among members. The jitter is added to each pause
// and differs between hosts.
func New(members []string, jitter time.Duration, effects effects) *Election {
	return &Election{effects: effects, members: members, jitter: jitter, leaving: map[string]bool{}}
}

// Reported takes a member's report.
func (e *Election) Reported(now time.Time, r report.Report) {
	e.highestTerm = max(e.highestTerm, r.Term)
	e.leaving[r.Member] = r.Leaving
	if r.Primary && r.Term >= e.term {
		e.adoptPrimary(r)
	}
	if r.Member == e.primary {
		e.misses = 0
	}
	e.resumeAbandoned(now, r)
}

func (e *Election) adoptPrimary(r report.Report) {
	changed := r.Term > e.term
	e.term = r.Term
	e.primary = r.Member
	if changed && e.phase != idle && r.Term >= e.ballot {
		e.becomeIdle()
	}
	if e.phase == asking {
		e.becomeIdle()
	}
}

// resumeAbandoned finds a replacement that somebody began and did not end.
func (e *Election) resumeAbandoned(now time.Time, r report.Report) {
	if e.phase != idle || r.Term <= e.term || now.Before(e.deadline) {
		return
	}
	if e.deadline.IsZero() {
		e.deadline = now.Add(stepTimeout + e.jitter)
		return
	}
	e.startFencing(now)
}

// HeartbeatMissed takes a heartbeat that a member did not answer.
func (e *Election) HeartbeatMissed(now time.Time, member string) {
	if member != e.primary && e.primary != "" {
		return
	}
	e.misses++
	if e.misses < missesToSuspect || e.phase != idle || now.Before(e.deadline) {
		return
	}
	e.phase = asking
	e.unreachableReports = 0
	e.deadline = now.Add(reachabilityTimeout)
	e.effects.CheckReachability(member)
}

// ReachabilityChecked takes one other host's opinion: whether it reached the primary.
func (e *Election) ReachabilityChecked(now time.Time, reached bool) {
	if e.phase != asking {
		return
	}
	if reached && e.vetoes < maxVetoes {
		e.vetoes++
		e.misses = 0
		e.becomeIdle()
		e.deadline = now.Add(retryDelay)
		return
	}
	e.unreachableReports++
	if e.unreachableReports >= unreachableNeeded {
		e.startFencing(now)
	}
}

// Switch begins a planned change to the member.
func (e *Election) Switch(now time.Time, member string) {
	e.preferred = member
	e.startFencing(now)
}

func (e *Election) startFencing(now time.Time) {
	e.phase = fencing
	e.vetoes = 0
	e.ballot = max(e.highestTerm, e.term, e.ballot) + 1
	e.highestTerm = e.ballot
	e.granted = map[string]mark.Mark{}
	e.deadline = now.Add(stepTimeout)
	for _, m := range e.members {
		e.effects.Fence(m, e.ballot)
	}
}

// Granted takes a member's promise of the term and the end of its log.
func (e *Election) Granted(now time.Time, member string, term uint64, received mark.Mark) {
	if e.phase != fencing || term != e.ballot {
		return
	}
	e.granted[member] = received
	if len(e.granted) <= len(e.members)/2 || e.awaitsPreferred() {
		return
	}
	e.chosen = e.chooseMember()
	e.phase = promoting
	e.deadline = now.Add(stepTimeout)
	e.effects.Promote(e.chosen, e.ballot)
}

// awaitsPreferred tells whether a planned change still lacks the promise of
// the member that it is to.
func (e *Election) awaitsPreferred() bool {
	if e.preferred == "" {
		return false
	}
	_, granted := e.granted[e.preferred]
	return !granted && len(e.granted) < len(e.members)
}

// chooseMember returns the member with the highest mark; among equals the preferred
// one, then one that is not leaving, then the first by name.
func (e *Election) chooseMember() string {
	names := make([]string, 0, len(e.granted))
	for name := range e.granted {
		names = append(names, name)
	}
	slices.SortFunc(names, e.compareMembers)
	return names[0]
}

func (e *Election) compareMembers(a, b string) int {
	if c := e.granted[b].Compare(e.granted[a]); c != 0 {
		return c
	}
	if (a == e.preferred) != (b == e.preferred) {
		return before(a == e.preferred)
	}
	if e.leaving[a] != e.leaving[b] {
		return before(!e.leaving[a])
	}
	return before(a < b)
}

func before(first bool) int {
	if first {
		return -1
	}
	return 1
}

// Denied takes a member's refusal: it has promised a higher term.
func (e *Election) Denied(_ time.Time, _ string, term uint64) {
	e.highestTerm = max(e.highestTerm, term)
}

// Promoted takes the answer to a promotion.
func (e *Election) Promoted(now time.Time, member string, term uint64, ok bool) {
	if e.phase != promoting || term != e.ballot || member != e.chosen {
		return
	}
	if !ok {
		e.retry(now)
		return
	}
	e.primary = member
	e.term = term
	e.misses = 0
	e.preferred = ""
	e.becomeIdle()
	e.effects.Elected(member, term)
}

// Tick ends waits that took too long.
func (e *Election) Tick(now time.Time) {
	if now.Before(e.deadline) {
		return
	}
	switch e.phase {
	case asking:
		e.startFencing(now)
	case fencing, promoting:
		e.retry(now)
	case idle:
		if e.highestTerm > e.term && !e.deadline.IsZero() {
			e.startFencing(now)
		}
	}
}

// retry pauses before the next ballot, so that two hosts do not hinder each
// other for ever.
func (e *Election) retry(now time.Time) {
	e.preferred = ""
	e.phase = idle
	e.deadline = now.Add(retryDelay + e.jitter)
}

func (e *Election) becomeIdle() {
	e.phase = idle
	e.deadline = time.Time{}
}

// InProgress tells whether a replacement is under way.
func (e *Election) InProgress() bool {
	return e.phase == fencing || e.phase == promoting
}

// Primary returns the known primary and its term.
func (e *Election) Primary() (string, uint64) {
	return e.primary, e.term
}
