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
	// stepTimeout limits the wait for the promises of a majority, and the wait for
	// the answer to a promotion.
	stepTimeout = 300 * time.Millisecond
	// retryDelay is the pause before the next attempt, to which the host's jitter
	// is added.
	retryDelay = 100 * time.Millisecond
	// maxVetoes is how many times in a row other hosts that reach the primary can
	// prevent an election.
	maxVetoes = 2
	// unreachableNeeded is how many other hosts must report that they do not reach
	// the primary for the election to start before reachabilityTimeout.
	unreachableNeeded = 2
)

// phase is the current step of an election.
type phase int

const (
	idle phase = iota
	// checkingReachability is the wait for reachability checks by other hosts.
	checkingReachability
	// fencing is the wait for a majority of members to promise the term.
	fencing
	// promoting is the wait for the chosen member to become the primary.
	promoting
)

// effects carries out what an election decides. No method blocks: if there is a
// result, it is passed later to the method of Election that the comment names.
type effects interface {
	// CheckReachability asks other hosts whether they reach the member. Each
	// answer arrives in Election.ReachabilityChecked.
	CheckReachability(member string)
	// Fence asks a member to promise that it will follow no term below the given
	// one. The result arrives in Election.Granted or Election.Denied.
	Fence(member string, term uint64)
	// Promote makes a member the primary of the term. The result arrives in
	// Election.Promoted.
	Promote(member string, term uint64)
	// Elected reports that the member is the primary of the term.
	Elected(member string, term uint64)
}

// Election is one host's detection and replacement of a failed primary of a group.
// Several hosts may try to replace the primary at the same time: a member promises
// each term to only one of them, so that at most one host gets a majority. An
// Election has no lock and no clock: its callers must hold a lock and pass the time.
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
	// unreachableReports counts, in the phase checkingReachability, the hosts that
	// did not reach the primary. A host that reached it counts too once maxVetoes
	// is used up.
	unreachableReports int
	// deadline ends the current phase. While idle, it ends the pause before the
	// next attempt, or the wait for an election that another host began; zero means
	// neither.
	deadline time.Time
	// ballot is the term for which this host last started an election.
	ballot uint64
	// granted holds the end of the log of each member that promised the ballot.
	granted map[string]mark.Mark
	// chosen is the member to be promoted.
	chosen string
	// preferred is the successor of a planned switchover, or empty.
	preferred string
	// leaving holds the leaving flag of each member's last report.
	leaving map[string]bool
}

// New returns an election among the members. The jitter is added to each pause
// before an attempt and should differ between hosts.
func New(members []string, jitter time.Duration, effects effects) *Election {
	return &Election{effects: effects, members: members, jitter: jitter, leaving: map[string]bool{}}
}

// Reported handles a member's report: it records the term, the leaving flag and the
// primary, and may end or start an election.
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

// adoptPrimary records the primary of the highest known term. An election in
// progress ends if the primary's term is new and at or above the ballot. While other
// hosts are still being asked, any report of that primary ends it.
func (e *Election) adoptPrimary(r report.Report) {
	changed := r.Term > e.term
	e.term = r.Term
	e.primary = r.Member
	if changed && e.phase != idle && r.Term >= e.ballot {
		e.becomeIdle()
	}
	if e.phase == checkingReachability {
		e.becomeIdle()
	}
}

// resumeAbandoned starts an election if a member has promised a higher term, but no
// primary of that term reports within stepTimeout and the jitter. The host that
// asked for the promise has then failed to complete its election.
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

// HeartbeatMissed handles a heartbeat that a member did not answer. After
// missesToSuspect misses of the primary, it asks other hosts whether they reach the
// primary. While no primary is known, the misses of all members count.
func (e *Election) HeartbeatMissed(now time.Time, member string) {
	if member != e.primary && e.primary != "" {
		return
	}
	e.misses++
	if e.misses < missesToSuspect || e.phase != idle || now.Before(e.deadline) {
		return
	}
	e.phase = checkingReachability
	e.unreachableReports = 0
	e.deadline = now.Add(reachabilityTimeout)
	e.effects.CheckReachability(member)
}

// ReachabilityChecked handles the answer of another host to CheckReachability. If
// that host reached the primary, the election is postponed, but only maxVetoes times
// in a row.
func (e *Election) ReachabilityChecked(now time.Time, reached bool) {
	if e.phase != checkingReachability {
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

// StartSwitchover begins an election that prefers the given member as the new
// primary. Any election in progress is replaced.
func (e *Election) StartSwitchover(now time.Time, member string) {
	e.preferred = member
	e.startFencing(now)
}

// startFencing asks every member to promise a new term that is higher than every
// known term.
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

// Granted handles a member's promise of the term. received is the log position of
// the last entry that the member has stored. Once a majority has promised, and the
// successor of a planned switchover too, the member that chooseMember returns is
// promoted: every majority includes a member with all confirmed entries.
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

// awaitsPreferred reports whether this is a planned switchover whose successor has
// not promised the term yet.
func (e *Election) awaitsPreferred() bool {
	if e.preferred == "" {
		return false
	}
	_, granted := e.granted[e.preferred]
	return !granted && len(e.granted) < len(e.members)
}

// chooseMember returns the member with the highest log position among those that
// promised the term. At the same position, it prefers the successor of a
// switchover, then a member that is not leaving, then the first by name.
func (e *Election) chooseMember() string {
	names := make([]string, 0, len(e.granted))
	for name := range e.granted {
		names = append(names, name)
	}
	slices.SortFunc(names, e.compareMembers)
	return names[0]
}

// compareMembers orders members by the preference of chooseMember. It returns a
// negative number if a comes before b.
func (e *Election) compareMembers(a, b string) int {
	if c := e.granted[b].Compare(e.granted[a]); c != 0 {
		return c
	}
	if (a == e.preferred) != (b == e.preferred) {
		return comparisonResult(a == e.preferred)
	}
	if e.leaving[a] != e.leaving[b] {
		return comparisonResult(!e.leaving[a])
	}
	return comparisonResult(a < b)
}

// comparisonResult returns the result of a comparison function: -1 if the
// function's first argument comes first, and 1 otherwise.
func comparisonResult(first bool) int {
	if first {
		return -1
	}
	return 1
}

// Denied handles a fence that was not granted. term is the highest term that the
// member has promised, or 0 if it did not answer.
func (e *Election) Denied(_ time.Time, _ string, term uint64) {
	e.highestTerm = max(e.highestTerm, term)
}

// Promoted handles the answer to a promotion. If it failed, the election is retried
// after a pause.
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

// Tick ends a phase that has reached its deadline. If other hosts have not answered
// by then, the election begins without their answers. An election that failed, or
// that another host abandoned, is started again.
func (e *Election) Tick(now time.Time) {
	if now.Before(e.deadline) {
		return
	}
	switch e.phase {
	case checkingReachability:
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

// becomeIdle ends the current phase. The next election may start without a pause.
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
