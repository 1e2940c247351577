// Package qgroup simulates a database group in memory. Replicas copy the log of
// their leader, and an order with a fencing token promotes a member. Methods of
// the group inject faults.
package qgroup

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// defaultShipDelay is the time from a commit to its arrival at the replicas.
	defaultShipDelay = 20 * time.Millisecond
	// defaultPromoteTime is the time from an accepted order to the promotion.
	defaultPromoteTime = 300 * time.Millisecond
	// defaultStatementTime is the time that one read, write or commit takes.
	defaultStatementTime = 5 * time.Millisecond
	// defaultConnectionLimit is how many open connections a member accepts.
	defaultConnectionLimit = 32
	// connectTimeout is the time after which connecting to an unreachable member
	// fails.
	connectTimeout = 400 * time.Millisecond
	// AllHosts is the host number that selects every host in SetPartitioned.
	AllHosts = -1
	// defaultConnectTime is the time that opening a connection takes.
	defaultConnectTime = 12 * time.Millisecond
)

// The promises that a test can make the members break, to verify that its checks
// detect the violation.
const (
	// BreakFreshReads makes members ignore the minimum log position of a read.
	BreakFreshReads = "holds"
	// BreakPause lets one member continue to receive entries after it reported
	// that it stopped.
	BreakPause = "pause"
	// BreakReset makes members answer a reset but keep the session values and the
	// prepared statements.
	BreakReset = "reset"
	// BreakRefusals makes members report some writes as not run although they ran.
	BreakRefusals = "busy"
	// BreakDurability makes leaders acknowledge commits that no replica has received, and
	// replicas report that they have received them: hosts ask a replica after a commit.
	BreakDurability = "acks"
	// BreakReadOnly lets replicas begin transactions that may write, and lets
	// these transactions continue at a member that lost the leadership.
	BreakReadOnly = "lead"
)

// entry is one commit in a member's log.
type entry struct {
	mark   mark.Mark
	writes []write
	// receivedAt is when the member received the entry from the leader; zero for
	// an entry that the member appended as the leader.
	receivedAt time.Time
}

// write sets the value of an item.
type write struct {
	item, value string
}

// member is one member of the group. The group's lock guards its fields, and
// callers of its methods hold that lock.
type member struct {
	target target.Target
	log    []entry
	term   uint64
	// pauseTerm is the term of the election for which the member stopped
	// receiving: it accepts no entries from leaders of lower terms. It is 0 if
	// the member accepts entries.
	pauseTerm uint64
	leads     bool
	// unregistered means that the member has no registration, although it is up.
	unregistered bool
	// demoted means that the member was the leader until a Demote, and that no other
	// was promoted since.
	demoted bool
	up      bool
	// silent means that the member answers nothing and does not replicate.
	silent bool
	// receiveBlocked means that the leader's entries do not reach the member.
	receiveBlocked bool
	// failureRate is the share of the reads, writes and commits that fail, from
	// 0 to 1.
	failureRate float64
	// refusalRate is described at SetRefusalRate.
	refusalRate float64
	// applyLag is the time from the receipt of an entry until reads at a
	// replica see it.
	applyLag time.Duration
	// minApplied is the number of entries that reads see regardless of the apply
	// lag. A promotion sets it to the log length for the new and the old leader,
	// because a leader has applied its whole log.
	minApplied int
	// partitionedFrom has true for each host that can't reach the member, or
	// for AllHosts if no host can.
	partitionedFrom map[int]bool
	// refusedTo has true for each host whose new connections the member refuses, or
	// for AllHosts if it refuses all.
	refusedTo map[int]bool
	// connections is the number of open connections to the member.
	connections int
	// changed is closed and replaced after a change for which statements at the
	// member may be waiting.
	changed chan struct{}
}

// Group simulates a database group. Its first member is the leader at the start.
type Group struct {
	// OnStatement is called for each read or write that a member runs, with
	// the session values of its connection and, for an EXECUTE, the text that
	// was prepared. The group's lock is held during the call.
	OnStatement func(id string, values map[string]string, preparedText string)

	// mu guards the fields below and the members.
	mu              sync.Mutex
	name            string
	members         []*member
	term            uint64
	shipDelay       time.Duration
	promoteTime     time.Duration
	statementTime   time.Duration
	connectTime     time.Duration
	connectionLimit int
	// highestToken is the highest fencing token of an accepted order.
	highestToken uint64
	// answersToLose is how many of the next answers are lost after their
	// statements ran.
	answersToLose int
	// failureSum is the sum of the failure rates that applied to the statements
	// so far. The statement at which it passes a whole number fails.
	failureSum float64
	// refusalSum is the same for refusal rates.
	refusalSum float64
	// orderDelays holds the delays of the next promotion orders. A delayed order
	// gets no answer.
	orderDelays []time.Duration
	// orders holds the targets of the accepted promotion orders, oldest first.
	orders []string
	// brokenPromise is the promise that the members break, or "" if they break
	// none.
	brokenPromise string
	// lateAcknowledgements is described at WithLateAcknowledgements.
	lateAcknowledgements bool
}

// WithLateAcknowledgements returns an option that lets a demoted leader, until another member
// is promoted, send the entries that it has to replicas, and acknowledge commits that it
// accepted while it led once a replica has received them.
func WithLateAcknowledgements() func(*Group) {
	return func(g *Group) { g.lateAcknowledgements = true }
}

// acknowledges reports whether a member may acknowledge commits that it accepted; the caller
// holds the lock.
func (g *Group) acknowledges(m *member) bool {
	return m.up && (m.leads || m.demoted && g.lateAcknowledgements)
}

// WithBrokenPromise returns an option that makes the members break one promise;
// the Break constants list the promises.
func WithBrokenPromise(promise string) func(*Group) {
	return func(g *Group) { g.brokenPromise = promise }
}

// New returns a group of n members.
func New(name string, n int, options ...func(*Group)) *Group {
	g := &Group{
		OnStatement: func(string, map[string]string, string) {}, name: name, term: 1,
		shipDelay: defaultShipDelay, promoteTime: defaultPromoteTime, statementTime: defaultStatementTime,
		connectTime: defaultConnectTime, connectionLimit: defaultConnectionLimit,
	}
	for _, o := range options {
		o(g)
	}
	for i := range n {
		t := target.New(fmt.Sprintf("%s-%d", name, i), name, fmt.Sprintf("10.0.0.%d:1", i+1), fmt.Sprintf("zone-%d", i)).
			WithSlots(5).WithRole(i == 0).WithStarted(1)
		g.members = append(g.members, &member{target: t, term: 1, leads: i == 0, up: true, changed: make(chan struct{})})
	}
	return g
}

// WithConnectionLimit returns an option that sets how many open connections a
// member accepts.
func WithConnectionLimit(n int) func(*Group) {
	return func(g *Group) { g.connectionLimit = n }
}

// Targets returns the registrations of the members that are up, in order of
// their indexes.
func (g *Group) Targets() []target.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	var targets []target.Target
	for _, m := range g.members {
		if m.up && !m.unregistered {
			targets = append(targets, m.target.WithRole(m.leads))
		}
	}
	return targets
}

// Leader returns the index of the member that leads, or that was the last to lead if it
// was demoted. It returns -1 if there is none.
func (g *Group) Leader() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, m := range g.members {
		if m.leads || m.demoted {
			return i
		}
	}
	return -1
}

// memberByID returns the member with a target ID, or nil if there is none; the caller
// holds the lock.
func (g *Group) memberByID(id string) *member {
	for _, m := range g.members {
		if m.target.ID == id {
			return m
		}
	}
	return nil
}

// lastMark returns the log position of the member's last entry, or zero if the
// log is empty.
func (m *member) lastMark() mark.Mark {
	if len(m.log) == 0 {
		return mark.Mark{}
	}
	return m.log[len(m.log)-1].mark
}

func (m *member) contains(at mark.Mark) bool {
	return contains(m.log, at)
}

// contains reports whether a log has an entry at a position. Every log contains
// the zero position.
func contains(log []entry, at mark.Mark) bool {
	for i := len(log) - 1; i >= 0; i-- {
		if log[i].mark == at {
			return true
		}
	}
	return at.IsZero()
}

// applied returns the entries that reads at the member see. At the leader this
// is the whole log.
func (m *member) applied() []entry {
	if m.leads {
		return m.log
	}
	n := min(m.minApplied, len(m.log))
	for n < len(m.log) && time.Since(m.log[n].receivedAt) >= m.applyLag {
		n++
	}
	return m.log[:n]
}

// appliedMark returns the log position of the last entry that reads see, or zero
// if they see none.
func (m *member) appliedMark() mark.Mark {
	log := m.applied()
	if len(log) == 0 {
		return mark.Mark{}
	}
	return log[len(log)-1].mark
}

// notify wakes the statements that wait for a change of the member.
func (m *member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Orders returns the targets of the accepted promotion orders, oldest first.
func (g *Group) Orders() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.orders...)
}

// WriteCounts returns how often each write occurs in the log of member i. The
// keys have the form "ITEM VALUE".
func (g *Group) WriteCounts(i int) map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[string]int{}
	for _, e := range g.members[i].log {
		for _, w := range e.writes {
			counts[w.item+" "+w.value]++
		}
	}
	return counts
}

// sleep waits for d, or returns an error if the context ends before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
