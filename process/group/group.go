// Package group makes every decision about one database group at its owner:
// which request runs on which member and when, which answers may be released
// to callers, and when the primary is replaced.
package group

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/pistachiotray/pistachiotray/process/elect"
	"github.com/pistachiotray/pistachiotray/process/queue"
	"github.com/pistachiotray/pistachiotray/process/quorum"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// effects carries out what a group decides. No method blocks: if there is a
// result, it is passed later to the method of Group that the comment names.
type effects interface {
	// Run runs a call in a slot. The result arrives in Group.RunFinished.
	Run(slot uint64, c call.Call)
	// ResolveKey looks a call's idempotency key up in the marker table, using a
	// slot, and withdraws the key if it is not there, so that the call can no
	// longer run. The result arrives in Group.RunFinished.
	ResolveKey(slot uint64, c call.Call)
	// Rollback rolls back the transaction that is open in a slot. The result
	// arrives in Group.RolledBack.
	Rollback(slot uint64)
	// Interrupt cancels the call with this id if it still runs in the slot. It
	// must not cancel a later call in the same slot.
	Interrupt(slot uint64, id string)
	// OpenSlot opens a slot to a member. The result arrives in
	// Group.SlotOpened.
	OpenSlot(slot uint64, member string)
	// CloseSlot closes a slot.
	CloseSlot(slot uint64)
	// Reply releases the answer of a call to its caller. The answer reflects
	// the log up to seen, and status is the transaction status after it. If
	// earlierAnswer is set, the buffered answer of an earlier run is released.
	Reply(id string, seen mark.Mark, status byte, earlierAnswer bool)
	// Refuse ends a call with a fault instead of an answer.
	Refuse(id string, f *fault.Fault)
	// Resume releases the chunk of a call's answer that was read so far, and
	// lets the slot continue reading.
	Resume(id string)
	// Poll asks a member for a report after a delay. The result arrives in
	// Group.Reported or Group.PollFailed.
	Poll(member string, after time.Duration)
	// CheckReachability asks other hosts whether they reach a member. Each
	// answer arrives in Group.ReachabilityChecked.
	CheckReachability(member string)
	// Fence asks a member to promise that it will follow no term below the
	// given one. The result arrives in Group.Granted or Group.Denied.
	Fence(member string, term uint64)
	// Promote makes a member the primary of a term. The result arrives in
	// Group.Promoted.
	Promote(member string, term uint64)
	// Elected records that a member was made the primary of a term.
	Elected(member string, term uint64)
	// Note records a decision about a request and its session for the
	// operator's command explain. id and session may be empty.
	Note(id, session, text string)
}

const (
	// defaultSlots is the number of slots per member; see WithSlots.
	defaultSlots = 5
	// defaultGrace is how long the transaction of a disconnected session stays
	// open; see WithGrace.
	defaultGrace = 2 * time.Second
	// defaultIdleLimit is how long a transaction may stay open without running a
	// statement; see WithIdleLimit.
	defaultIdleLimit = 10 * time.Second
	// defaultHeartbeat is the interval of the heartbeats to the primary.
	defaultHeartbeat = 200 * time.Millisecond
	// retriesPerSecond and retriesBurst form the retry budget of a group.
	retriesPerSecond = 50
	retriesBurst     = 200
	// maxAttempts is the maximum number of runs of one request.
	maxAttempts = 6
)

// Group is the state of one database group and the decisions about it. It does
// no I/O and reads no clock: its methods are passed the time. It is not safe for
// concurrent use; package engine holds a lock around every method call.
type Group struct {
	name    string
	effects effects
	members []*member
	// index maps a member's name to its index in members.
	index    map[string]int
	quorum   *quorum.Quorum
	election *elect.Election
	queue    *queue.Queue
	// active is set while this host acts as the group's owner.
	active bool
	// pending are the jobs that wait for a confirmation or a read index, by
	// call id. The wait for a chunk of a large answer is a job of its own with
	// the key chunkPrefix + call id.
	pending map[string]*job
	// running are the jobs that run in a slot, by call id.
	running map[string]*job
	// waiting are the jobs in the queue, by call id.
	waiting map[string]*job
	// parked are the reads that no member was permitted to serve when they were
	// queued, by call id. Some may have left the queue since; unparkReads
	// removes those.
	parked map[string]*job
	// transactions are the open transactions, by session.
	transactions map[string]*transaction
	// slots are the slots that are open or being opened, by slot id.
	slots             map[uint64]*slotState
	lastSlotID        uint64
	slotsPerMember    int
	gracePeriod       time.Duration
	idleLimit         time.Duration
	heartbeatInterval time.Duration
	jitter            time.Duration
	retryBudget       *rate.Limiter
	// lastTerm and lastPrimary are the term and the primary at the last call of
	// updateMembers. majorityReachable is set if a majority of members was
	// reachable then. The next updateMembers compares them with the new values.
	lastTerm          uint64
	lastPrimary       string
	majorityReachable bool
	// switchover is the planned change of primary in progress, or nil.
	switchover *switchover
	// refreshedAt is when refreshReports last polled members for an arriving
	// read.
	refreshedAt time.Time
	counters    map[string]int64
	// confirmMean and confirmDeviation are the moving mean and mean deviation
	// of the time that a confirmation takes, in nanoseconds.
	confirmMean      float64
	confirmDeviation float64
	lastTick         time.Time
	// problem describes the most severe problem of the group at the last tick,
	// or is empty. problemSince is when the problem was first found.
	problem      string
	problemSince time.Time
	// pickOrder is the buffer in which memberOrder returns its result.
	pickOrder    []int
	queueOptions []func(*queue.Queue)
}

// New returns an inactive group of at most eight members. The limit comes from
// the 8-bit masks of permitted members.
func New(name string, members []string, e effects, options ...func(*Group)) *Group {
	g := &Group{
		name:              name,
		effects:           e,
		index:             map[string]int{},
		pending:           map[string]*job{},
		running:           map[string]*job{},
		waiting:           map[string]*job{},
		parked:            map[string]*job{},
		transactions:      map[string]*transaction{},
		slots:             map[uint64]*slotState{},
		slotsPerMember:    defaultSlots,
		gracePeriod:       defaultGrace,
		idleLimit:         defaultIdleLimit,
		heartbeatInterval: defaultHeartbeat,
		retryBudget:       rate.NewLimiter(retriesPerSecond, retriesBurst),
		counters:          map[string]int64{},
		majorityReachable: true,
	}
	for _, o := range options {
		o(g)
	}
	for i, m := range members {
		g.index[m] = i
		g.members = append(g.members, &member{name: m, slotLimit: g.slotsPerMember})
	}
	g.quorum = quorum.New(len(members))
	g.election = elect.New(members, g.jitter, g)
	g.queue = queue.New(members, g.queueOptions...)
	return g
}

// WithSlots returns an option that sets how many slots each member grants
// until its report states another number.
func WithSlots(n int) func(*Group) {
	return func(g *Group) { g.slotsPerMember = n }
}

// WithGrace returns an option that sets how long a transaction stays open for
// a session that lost its connection or its host.
func WithGrace(d time.Duration) func(*Group) {
	return func(g *Group) { g.gracePeriod = d }
}

// WithIdleLimit returns an option that sets how long a transaction may hold a
// slot without running a statement.
func WithIdleLimit(d time.Duration) func(*Group) {
	return func(g *Group) { g.idleLimit = d }
}

// WithJitter returns an option that sets the time that this host adds to the
// pause before it retries an election. The time should differ between hosts, so
// that their attempts do not collide.
func WithJitter(d time.Duration) func(*Group) {
	return func(g *Group) { g.jitter = d }
}

// WithHeartbeat returns an option that sets the interval of the heartbeats to
// the primary.
func WithHeartbeat(d time.Duration) func(*Group) {
	return func(g *Group) { g.heartbeatInterval = d }
}

// WithLongWork returns an option that sets the service time above which a
// request counts as long, and the maximum time for which a long request waits
// behind short requests.
func WithLongWork(longAfter, aging time.Duration) func(*Group) {
	return func(g *Group) {
		g.queueOptions = append(g.queueOptions, queue.WithLongAfter(longAfter), queue.WithAging(aging))
	}
}

// WithQueue returns an option that passes options to the group's queue.
func WithQueue(options ...func(*queue.Queue)) func(*Group) {
	return func(g *Group) { g.queueOptions = append(g.queueOptions, options...) }
}

// Name returns the group's name.
func (g *Group) Name() string {
	return g.name
}

// Active reports whether this host acts as the group's owner.
func (g *Group) Active() bool {
	return g.active
}

// Primary returns the last known primary and its term, or an empty name and 0.
func (g *Group) Primary() (string, uint64) {
	return g.quorum.Primary()
}

// Counts returns the number of calls in the queue, of calls that run in a slot,
// of waits for a confirmation or a read index, and of open transactions.
func (g *Group) Counts() (waiting, running, confirming, open int) {
	return g.queue.Waiting(), len(g.running), len(g.pending), len(g.transactions)
}

// Quiescent reports whether the group can be ticked less often, because it has
// no call, no transaction, no change of primary in progress and no known problem.
func (g *Group) Quiescent() bool {
	calls := len(g.waiting) + len(g.running) + len(g.pending) + len(g.transactions)
	return calls == 0 && g.switchover == nil && !g.election.InProgress() && g.problem == ""
}

// Count returns the value of the counter with this name. docs/OPERATIONS.md
// lists the names.
func (g *Group) Count(name string) int64 {
	return g.counters[name]
}

// Counters returns a copy of all counters.
func (g *Group) Counters() map[string]int64 {
	copied := make(map[string]int64, len(g.counters))
	for k, v := range g.counters {
		copied[k] = v
	}
	return copied
}

func (g *Group) incrementCounter(name string) {
	g.counters[name]++
}

// Activate makes this host act as the group's owner, unless it does already. It
// polls all members at once and opens the slots.
func (g *Group) Activate(now time.Time) {
	if g.active {
		return
	}
	g.active = true
	for i, m := range g.members {
		m.misses = 0
		g.poll(i, 0)
	}
	g.openSlots(now)
}

// Deactivate makes this host stop acting as the group's owner. Waiting calls
// are refused, as not run or, if an earlier run may have taken effect, with an
// unknown outcome. Running calls finish and open transactions continue. Each slot
// is closed when it becomes free.
func (g *Group) Deactivate(now time.Time) {
	if !g.active {
		return
	}
	g.active = false
	g.refuseWaiting()
	for _, id := range sortedKeys(g.slots, func(*slotState) bool { return true }) {
		s := g.slots[id]
		if s.call == "" && s.session == "" {
			g.closeSlot(now, id)
		}
	}
}
