// Package group decides everything about one database group at its owner:
// which request runs where and when, which answers may be released, and when
// the primary is replaced.
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

// effects are what a group needs to have done. A call returns at once; what
// comes of it is told through the group's methods.
type effects interface {
	// Run sends a call through a slot.
	Run(slot uint64, c call.Call)
	// Settle finds out through a slot whether a call's key is in the marker
	// table, and withdraws the key where it is not.
	Settle(slot uint64, c call.Call)
	// Rollback ends a slot's transaction.
	Rollback(slot uint64)
	// Interrupt cancels a call that runs in a slot, and nothing else that may
	// run there by then.
	Interrupt(slot uint64, id string)
	// OpenSlot opens a slot to a member.
	OpenSlot(slot uint64, member string)
	// CloseSlot closes a slot.
	CloseSlot(slot uint64)
	// Reply releases the answer of a call. Held tells that the answer of an
	// earlier run of the call is the right one.
	Reply(id string, seen mark.Mark, status byte, held bool)
	// Refuse ends a call without an answer.
	Refuse(id string, f *fault.Fault)
	// Resume releases what a call has answered so far and reads on.
	Resume(id string)
	// Poll asks a member for a report after a delay.
	Poll(member string, after time.Duration)
	// CheckReachability asks other hosts whether they reach a member.
	CheckReachability(member string)
	// Fence asks a member to promise a term.
	Fence(member string, term uint64)
	// Promote makes a member the primary of a term.
	Promote(member string, term uint64)
	// Elected records a change of primary.
	Elected(member string, term uint64)
	// Note keeps a decision for a session's and a request's explanation.
	Note(id, session, text string)
}

const (
	defaultSlots       = 5
	defaultGrace       = 2 * time.Second
	defaultIdle        = 10 * time.Second
	defaultHeartbeat   = 200 * time.Millisecond
	retriesPerSecond   = 50
	retriesBurst       = 200
	attemptsPerRequest = 6
)

// Group is the state of one database group. The owner of the process's group
// table holds its lock around every method. It has no clock of its own.
type Group struct {
	name       string
	out        effects
	members    []*member
	index      map[string]int
	quorum     *quorum.Quorum
	elect      *elect.Election
	queue      *queue.Queue
	active     bool
	pending    map[string]*work
	running    map[string]*work
	waiting    map[string]*work
	parked     map[string]*work
	open       map[string]*transaction
	seats      map[uint64]*seat
	nextSlot   uint64
	slots      int
	grace      time.Duration
	idle       time.Duration
	heartbeat  time.Duration
	jitter     time.Duration
	retries    *rate.Limiter
	lastTerm   uint64
	lastFirst  string
	majority   bool
	shifting   *shift
	wanted     time.Time
	counters   map[string]int64
	confirming float64
	deviation  float64
	ticked     time.Time
	wrong      string
	wrongSince time.Time
	tryOrder   []int
	queueOpt   []func(*queue.Queue)
}

// New returns a group of at most eight members, not yet active.
func New(name string, members []string, out effects, options ...func(*Group)) *Group {
	g := &Group{
		name:      name,
		out:       out,
		index:     map[string]int{},
		pending:   map[string]*work{},
		running:   map[string]*work{},
		waiting:   map[string]*work{},
		parked:    map[string]*work{},
		open:      map[string]*transaction{},
		seats:     map[uint64]*seat{},
		slots:     defaultSlots,
		grace:     defaultGrace,
		idle:      defaultIdle,
		heartbeat: defaultHeartbeat,
		retries:   rate.NewLimiter(retriesPerSecond, retriesBurst),
		counters:  map[string]int64{},
		majority:  true,
	}
	for _, o := range options {
		o(g)
	}
	for i, m := range members {
		g.index[m] = i
		g.members = append(g.members, &member{name: m, limit: g.slots})
	}
	g.quorum = quorum.New(len(members))
	g.elect = elect.New(members, g.jitter, g)
	g.queue = queue.New(members, g.queueOpt...)
	return g
}

// WithSlots returns an option that sets the slots of each member.
func WithSlots(n int) func(*Group) {
	return func(g *Group) { g.slots = n }
}

// WithGrace returns an option that sets how long a transaction waits for a
// session that lost its host.
func WithGrace(d time.Duration) func(*Group) {
	return func(g *Group) { g.grace = d }
}

// WithIdleLimit returns an option that sets how long a transaction may hold a slot
// without a statement.
func WithIdleLimit(d time.Duration) func(*Group) {
	return func(g *Group) { g.idle = d }
}

// WithJitter returns an option that sets this host's share of the pauses
// between two replacements.
func WithJitter(d time.Duration) func(*Group) {
	return func(g *Group) { g.jitter = d }
}

// WithHeartbeat returns an option that sets the time between two heartbeats
// to the primary.
func WithHeartbeat(d time.Duration) func(*Group) {
	return func(g *Group) { g.heartbeat = d }
}

// WithLongWork returns an option that sets from which service time a request is
// long, and how long long work waits at most behind short work.
func WithLongWork(longAfter, aging time.Duration) func(*Group) {
	return func(g *Group) {
		g.queueOpt = append(g.queueOpt, queue.WithLongAfter(longAfter), queue.WithAging(aging))
	}
}

// WithQueue returns an option that passes options to the group's queue.
func WithQueue(options ...func(*queue.Queue)) func(*Group) {
	return func(g *Group) { g.queueOpt = append(g.queueOpt, options...) }
}

// Name returns the group's name.
func (g *Group) Name() string {
	return g.name
}

// Active tells whether this host acts as the group's owner.
func (g *Group) Active() bool {
	return g.active
}

// Primary returns the primary and its term as far as they are known.
func (g *Group) Primary() (string, uint64) {
	return g.quorum.Primary()
}

// Counts returns the number of calls that wait, run or await a confirmation,
// and of open transactions.
func (g *Group) Counts() (waiting, running, confirming, open int) {
	return g.queue.Waiting(), len(g.running), len(g.pending), len(g.open)
}

// Quiescent tells whether nothing goes on that the passing of a few ticks could
// change: no call, no transaction, no change of primary, no member missing.
func (g *Group) Quiescent() bool {
	calls := len(g.waiting) + len(g.running) + len(g.pending) + len(g.open)
	return calls == 0 && g.shifting == nil && !g.elect.InProgress() && g.wrong == ""
}

// Count returns a counter by its name; docs/OPERATIONS.md lists them.
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

// Activate makes this host act as the group's owner.
func (g *Group) Activate(now time.Time) {
	if g.active {
		return
	}
	g.active = true
	for i, m := range g.members {
		m.misses = 0
		g.poll(i, 0)
	}
	g.dial(now)
}

// Deactivate ends the host's acting as owner: what waits is refused as not
// run, what runs is finished, and slots are closed as they fall free.
func (g *Group) Deactivate(now time.Time) {
	if !g.active {
		return
	}
	g.active = false
	g.refuseWaiting()
	for _, id := range inOrder(g.seats, func(*seat) bool { return true }) {
		s := g.seats[id]
		if s.call == "" && s.session == "" {
			g.closeSlot(now, id)
		}
	}
}
