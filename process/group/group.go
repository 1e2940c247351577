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

// effects carries out what a group decides. Each method returns at once and
// reports its result later through a method of Group.
type effects interface {
	// Run runs a call in a slot. The result arrives in Group.RunFinished.
	Run(slot uint64, c call.Call)
	// Settle looks a call's idempotency key up in the marker table, using a
	// slot, and withdraws the key if it is not there, so that the call can no
	// longer run. The result arrives in Group.RunFinished.
	Settle(slot uint64, c call.Call)
	// Rollback rolls back the transaction that is open in a slot. The result
	// arrives in Group.RolledBack.
	Rollback(slot uint64)
	// Interrupt cancels the call with this id if it still runs in the slot. It
	// must not cancel another call that runs there by then.
	Interrupt(slot uint64, id string)
	// OpenSlot opens a slot to a member. The result arrives in
	// Group.SlotOpened.
	OpenSlot(slot uint64, member string)
	// CloseSlot closes a slot.
	CloseSlot(slot uint64)
	// Reply releases the answer of a call to its caller. If earlierAnswer is
	// set, the answer buffered from an earlier run of the call is sent.
	Reply(id string, seen mark.Mark, status byte, earlierAnswer bool)
	// Refuse ends a call with a fault instead of an answer.
	Refuse(id string, f *fault.Fault)
	// Resume releases the chunk of the answer that was read so far and lets
	// the slot read on.
	Resume(id string)
	// Poll asks a member for a report after a delay. The result arrives in
	// Group.Reported or Group.PollFailed.
	Poll(member string, after time.Duration)
	// CheckReachability asks other hosts whether they reach a member. Each
	// answer arrives in Group.ReachabilityChecked.
	CheckReachability(member string)
	// Fence asks a member to promise a term: to follow no lower one. The
	// result arrives in Group.Granted or Group.Denied.
	Fence(member string, term uint64)
	// Promote makes a member the primary of a term. The result arrives in
	// Group.Promoted.
	Promote(member string, term uint64)
	// Elected records that a member was made the primary of a term.
	Elected(member string, term uint64)
	// Note records a decision, so that a session and a request can be
	// explained to an operator.
	Note(id, session, text string)
}

const (
	defaultSlots     = 5
	defaultGrace     = 2 * time.Second
	defaultIdle      = 10 * time.Second
	defaultHeartbeat = 200 * time.Millisecond
	// retriesPerSecond and retriesBurst form the retry budget of a group.
	retriesPerSecond = 50
	retriesBurst     = 200
	// maxAttempts limits how often one request is run.
	maxAttempts = 6
)

// Group is the state of one database group and the decisions about it. It does
// no I/O and reads no clock: callers pass the time. It is not safe for
// concurrent use; the process's group table holds the group's lock around
// every call of a method.
type Group struct {
	name    string
	effects effects
	members []*member
	// index maps a member's name to its index in members.
	index    map[string]int
	quorum   *quorum.Quorum
	election *elect.Election
	queue    *queue.Queue
	active   bool
	// pending are the jobs that wait for a confirmation or a read index, by
	// call id, and waits for a chunk of an answer, by chunkPrefix and call id.
	pending map[string]*job
	// running are the jobs that run in a slot, by call id.
	running map[string]*job
	// waiting are the jobs in the queue, by call id.
	waiting map[string]*job
	// parked are reads that waited for a member to be permitted, by call id.
	// They may have left the queue since.
	parked map[string]*job
	// transactions are the open transactions, by session.
	transactions   map[string]*transaction
	slots          map[uint64]*slotState
	nextSlot       uint64
	slotsPerMember int
	gracePeriod    time.Duration
	idleLimit      time.Duration
	heartbeat      time.Duration
	jitter         time.Duration
	retryBudget    *rate.Limiter
	// lastTerm, lastPrimary and majorityReachable are what the permitted
	// members of the queued calls were last computed from.
	lastTerm          uint64
	lastPrimary       string
	majorityReachable bool
	// switchover is the planned change of primary in progress, or nil.
	switchover *switchover
	// refreshedAt is when reports were last requested for a read.
	refreshedAt time.Time
	counters    map[string]int64
	// confirmMean and confirmDeviation are the moving mean and mean deviation
	// of the time that a confirmation takes, in nanoseconds.
	confirmMean      float64
	confirmDeviation float64
	lastTick         time.Time
	// problem is what is wrong with the group, or empty.
	problem      string
	problemSince time.Time
	// pickOrder is reused by memberOrder.
	pickOrder    []int
	queueOptions []func(*queue.Queue)
}

// New returns an inactive group of at most eight members. The limit comes from
// the 8-bit masks of permitted members.
func New(name string, members []string, out effects, options ...func(*Group)) *Group {
	g := &Group{
		name:              name,
		effects:           out,
		index:             map[string]int{},
		pending:           map[string]*job{},
		running:           map[string]*job{},
		waiting:           map[string]*job{},
		parked:            map[string]*job{},
		transactions:      map[string]*transaction{},
		slots:             map[uint64]*slotState{},
		slotsPerMember:    defaultSlots,
		gracePeriod:       defaultGrace,
		idleLimit:         defaultIdle,
		heartbeat:         defaultHeartbeat,
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

// WithJitter returns an option that sets what this host adds to the pause
// before it tries again to replace the primary. It should differ between
// hosts, so that their attempts do not collide.
func WithJitter(d time.Duration) func(*Group) {
	return func(g *Group) { g.jitter = d }
}

// WithHeartbeat returns an option that sets the interval of the heartbeats to
// the primary.
func WithHeartbeat(d time.Duration) func(*Group) {
	return func(g *Group) { g.heartbeat = d }
}

// WithLongWork returns an option that sets the service time from which a
// request counts as long, and how long a long request waits at most behind
// short ones.
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

// Primary returns the last known primary and its term.
func (g *Group) Primary() (string, uint64) {
	return g.quorum.Primary()
}

// Counts returns the number of calls in the queue, in a slot and awaiting a
// confirmation, and the number of open transactions.
func (g *Group) Counts() (waiting, running, confirming, open int) {
	return g.queue.Waiting(), len(g.running), len(g.pending), len(g.transactions)
}

// Quiescent reports whether the group can go without a few ticks because none
// would change anything: it has no call, no transaction, no change of primary
// in progress and no known problem.
func (g *Group) Quiescent() bool {
	calls := len(g.waiting) + len(g.running) + len(g.pending) + len(g.transactions)
	return calls == 0 && g.switchover == nil && !g.election.InProgress() && g.problem == ""
}

// Count returns the counter with this name. docs/OPERATIONS.md lists them.
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

func (g *Group) count(name string) {
	g.counters[name]++
}

// Activate makes this host act as the group's owner. It polls all members at
// once and opens the slots.
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
// are refused as not run, running calls finish, and each slot is closed when
// it becomes free.
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
