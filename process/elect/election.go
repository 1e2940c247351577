// Package elect elects a new primary of a database group, for a failover or for a
// planned switchover.
package elect

import (
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// missesToSuspect is how many heartbeats in a row a primary must miss to be
	// suspected.
	missesToSuspect = 2
	// reachabilityTimeout limits the wait for the reachability checks by other
	// hosts.
	reachabilityTimeout = 250 * time.Millisecond
	// stepTimeout limits the wait for a majority of fences, and that for a
	// promotion.
	stepTimeout = 300 * time.Millisecond
	// retryDelay is the pause before the next attempt, to which the host's jitter
	// is added.
	retryDelay = 100 * time.Millisecond
	// maxVetoes is how often in a row a host that reaches the primary can prevent
	// an election.
	maxVetoes = 2
	// unreachableNeeded is how many other hosts are asked. The election starts as
	// soon as that many did not reach the primary.
	unreachableNeeded = 2
)

// phase is the step that an election is at.
type phase int

const (
	idle phase = iota
	// asking waits for reachability checks by other hosts.
	asking
	// fencing waits for a majority of members to promise the term.
	fencing
	// promoting waits for the chosen member to become the primary.
	promoting
)

// effects carries out what an election decides. Each method returns at once and
// reports its result later through a method of Election.
type effects interface {
	// CheckReachability asks other hosts whether they reach the member.
	CheckReachability(member string)
	// Fence asks a member to promise the term: to follow no lower one.
	Fence(member string, term uint64)
	// Promote makes a member the primary of the term.
	Promote(member string, term uint64)
	// Elected reports that the member is the primary of the term.
	Elected(member string, term uint64)
}

// Election detects the failure of a group's primary and replaces it, as seen by one
// host. Several hosts may do so at the same time: a member promises each term to
// one of them only, so that at most one host gets a majority. An Election has no
// lock and no clock; its caller provides both.
type Election struct {
	effects effects
	members []string
	jitter  time.Duration
	phase   phase
	// primary and term are the last known primary and its term.
	primary string
	term    uint64
	// highestTerm is the highest term that any member has promised.
	highestTerm uint64
	// misses counts the heartbeats in a row that the primary missed.
	misses int
	// vetoes counts the elections in a row that another host prevented.
	vetoes int
	// unreachableReports counts the hosts that did not reach the primary, or that
	// reached it after the vetoes were used up.
	unreachableReports int
	// deadline ends the current phase. While idle, it ends the pause before the
	// next attempt, or the wait for an election that another host began; zero means
	// neither.
	deadline time.Time
	// ballot is the term that this host last tried to win.
	ballot uint64
	// granted are the promises for the ballot: the ends of the members' logs.
	granted map[string]mark.Mark
	// chosen is the member to be promoted.
	chosen string
	// preferred is the successor of a planned switchover, or empty.
	preferred string
	leaving   map[string]bool
}

// New returns an election among the members. The jitter is added to each pause
// before an attempt and should differ between hosts.
func New(members []string, jitter time.Duration, effects effects) *Election {
	return &Election{effects: effects, members: members, jitter: jitter, leaving: map[string]bool{}}
}

// Reported handles a member's report.
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

// adoptPrimary adopts the primary of the highest term. An election in progress ends
// if a term at or above its ballot has a primary, or if the suspected primary
// answers again while other hosts are still being asked.
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

// resumeAbandoned starts an election if a member promised a higher term but no
// primary of that term shows up in time: the host that began it gave up.
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

// HeartbeatMissed handles a heartbeat that a member did not answer. After enough
// misses of the primary, other hosts are asked whether they reach it.
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

// ReachabilityChecked handles the answer of another host whether it reached the
// primary. If it did, the election is put off, but only maxVetoes times in a row.
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

// StartSwitchover begins a planned switchover to the member.
func (e *Election) StartSwitchover(now time.Time, member string) {
	e.preferred = member
	e.startFencing(now)
}

// startFencing asks every member to promise a new term, above all known ones.
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

// Granted handles a member's promise of the term. Received is the end of its log.
// Once a majority has promised, the best member is promoted: a majority includes a
// member with every confirmed entry.
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

// awaitsPreferred reports whether a planned switchover still lacks the promise of
// its successor, and may yet get it.
func (e *Election) awaitsPreferred() bool {
	if e.preferred == "" {
		return false
	}
	_, granted := e.granted[e.preferred]
	return !granted && len(e.granted) < len(e.members)
}

// chooseMember returns the member whose log ends at the highest position. Among
// equals it prefers the successor of a switchover, then a member that is not
// leaving, then the first by name.
func (e *Election) chooseMember() string {
	names := make([]string, 0, len(e.granted))
	for name := range e.granted {
		names = append(names, name)
	}
	slices.SortFunc(names, e.compareMembers)
	return names[0]
}

// compareMembers is the comparison of chooseMember: negative if a comes before b.
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

// before returns the result of a comparison: -1 if the first value comes first,
// and 1 if it does not.
func before(first bool) int {
	if first {
		return -1
	}
	return 1
}

// Denied handles a member's refusal, because it has promised a higher term.
func (e *Election) Denied(_ time.Time, _ string, term uint64) {
	e.highestTerm = max(e.highestTerm, term)
}

// Promoted handles the answer to a promotion.
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

// Tick ends the phases that have reached their deadline. Without enough answers
// from other hosts in time, the election begins all the same.
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

// retry ends the attempt and pauses before the next one, so that two hosts do not
// prevent each other's elections forever.
func (e *Election) retry(now time.Time) {
	e.preferred = ""
	e.phase = idle
	e.deadline = now.Add(retryDelay + e.jitter)
}

// becomeIdle ends the current phase without a pause.
func (e *Election) becomeIdle() {
	e.phase = idle
	e.deadline = time.Time{}
}

// InProgress reports whether members are being fenced or one is being promoted.
func (e *Election) InProgress() bool {
	return e.phase == fencing || e.phase == promoting
}

// Primary returns the last known primary and its term.
func (e *Election) Primary() (string, uint64) {
	return e.primary, e.term
}
