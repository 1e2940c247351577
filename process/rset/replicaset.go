// Package rset tracks the state of one database group as seen from this host:
// its targets, its leader, the connections to the targets and how fresh their
// logs are.
package rset

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/acked"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/borrow"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/copies"
	"github.com/pistachiotray/pistachiotray/process/member"
	"github.com/pistachiotray/pistachiotray/process/permit"
	"github.com/pistachiotray/pistachiotray/process/spread"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/process/wmark"
)

// defaultDrainTime is how long a leaving leader still gets work if
// WithDrainTime is not used.
const defaultDrainTime = 5 * time.Second

// ErrNotSent is returned when the context ended before a statement was sent to
// any target or host.
var ErrNotSent = errors.New("not sent")

// ErrAnswerLost is returned when statements may have been sent and no answer
// arrived. The statements may have run.
var ErrAnswerLost = errors.New("the answer was lost")

// ErrNotRegistered is returned when a target is not registered.
var ErrNotRegistered = errors.New("the target is not registered")

// ErrUnavailable is returned when a target currently does not answer.
var ErrUnavailable = errors.New("the target does not answer")

// dialer opens connections to targets.
type dialer interface {
	// Open opens a connection to a target for a customer, or for any caller if customer
	// is empty. It returns conns.ErrTargetFull when the target accepts no more connections.
	Open(ctx context.Context, t target.Target, customer string) (*conn.Conn, error)
	// Reach returns nil if the target's machine accepts connections, and an
	// error otherwise.
	Reach(ctx context.Context, t target.Target) error
}

// ReplicaSet is one database group as this host sees it. Its mutex also guards
// the target states. Lock order: the mutex of the Topology, then of the
// ReplicaSet, then of a Pool, the Borrower or the Copies.
type ReplicaSet struct {
	// Name is the group's name.
	Name string

	mu       sync.Mutex
	log      *zap.Logger
	dialer   dialer
	now      func() time.Duration
	distance func(zone string) time.Duration
	maxConns int
	states   map[string]*targetState
	// leader is the ID of the leader, empty while none is known.
	leader string
	// registeredLeader is the target that was last registered as leader, and
	// registeredSince is its LedSince. Update changes the leader only if one of
	// the two changes.
	registeredLeader string
	registeredSince  stamp.Stamp
	// lostLeader is the leader whose registration was removed while it led. It is zero
	// while a leader is known, and if the leader became unknown otherwise.
	lostLeader target.Target
	// leaderlessSince is when the leader became unknown. It is 0 while a leader
	// is known, and before the first one was known.
	leaderlessSince time.Duration
	// stalledWrites counts the writes that the leader did not answer in time
	// since the last call of ClearStall or change of the leader. stalledSince
	// is when the first of them was reported, 0 if there is none.
	stalledSince  time.Duration
	stalledWrites int
	// term is the highest term that any target reported, and acked what is known of the
	// commits that were acknowledged.
	term  uint64
	acked acked.Acked
	// copies holds the acknowledged commits that wait until a replica has received them, and
	// members returns the group's members, nil if only registered targets are known.
	copies  *copies.Copies
	members func() member.Set
	// lastLeader is the last leader that was known, and doubt is whether the present one may
	// be being replaced.
	lastLeader string
	doubt      doubt
	// permit is how long commits may be sent to the leader, leasesKnownAt the time as of which
	// the table of leases is known, and confirming is set while other hosts are asked for a
	// confirmation.
	permit        permit.Permit
	leasesKnownAt func() time.Duration
	confirming    bool
	startedAt     time.Duration
	// ordered is the target of the order that the lease names as pending, empty if there is
	// none.
	ordered string
	// formerHosts holds the hosts that connected to targets until a time.
	formerHosts map[string]formerHost
	// firstStart is set if the whole system starts for the first time, so that no leader was
	// replaced before.
	firstStart bool
	// searching is set while searchLoop runs.
	searching bool
	// changed is closed and replaced when the targets or the leader change, or
	// when a target answers again.
	changed chan struct{}
	// borrower runs statements on other hosts' connections. It is nil if this
	// host always connects directly.
	borrower   *borrow.Borrower
	assignment assign.Assignment
	// customers holds the weights of the customers to which connections belong, by name,
	// nil if callers are not told apart.
	customers map[string]int
	// countsLogged is when logCounts last logged.
	countsLogged time.Duration
	// lastCancelID is the last key used in targetState.cancels.
	lastCancelID uint64
	// drainTime is how long a leaving leader still gets work, from when it may have begun to
	// leave: from registrationsKnownAt, if that is set.
	drainTime            time.Duration
	registrationsKnownAt func() time.Duration
	watermarks           *wmark.Watermarks
	// renewal is the watermark renewal in progress, or nil if there is none.
	renewal *renewal
	// alarm has a value while a check of the leader is due.
	alarm chan struct{}
	// doubted has a value while a new reason to doubt the leader was not noticed.
	doubted chan struct{}
	// targetsChanged has a value while a change of the registered targets was not noticed.
	targetsChanged chan struct{}
	// nextLagHandover is the earliest time of the next handover for replica
	// lag. lagHandoverPause is the current minimum pause between two such
	// handovers.
	nextLagHandover  time.Duration
	lagHandoverPause time.Duration
	view             view
	// random is the source of random choices of targets and lenders. kindTimes holds the
	// expected time of each kind of work, see expectedTime.
	random    *rand.Rand
	kindTimes map[string]time.Duration
	// loadsLoggedAt is when the loads of the targets were last logged.
	loadsLoggedAt time.Duration
}

// New returns a group without targets. The function distance returns how much
// longer a statement takes to a target in the given zone than to one in this
// host's zone. The clock now must never return 0, which the time fields use for
// "not set".
func New(name string, log *zap.Logger, d dialer, now func() time.Duration, distance func(zone string) time.Duration, options ...func(*ReplicaSet)) *ReplicaSet {
	rs := &ReplicaSet{
		Name: name, log: log, dialer: d, now: now, distance: distance,
		states: map[string]*targetState{}, copies: copies.New(), changed: make(chan struct{}), watermarks: wmark.New(),
		alarm: make(chan struct{}, 1), targetsChanged: make(chan struct{}, 1), drainTime: defaultDrainTime,
		doubted: make(chan struct{}, 1), formerHosts: map[string]formerHost{},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), kindTimes: map[string]time.Duration{},
	}
	rs.leasesKnownAt, rs.startedAt = now, now()
	for _, o := range options {
		o(rs)
	}
	return rs
}

// WithBorrower returns an option that lets the group use other hosts'
// connections to a target that accepts too few connections for every host to
// have its own.
func WithBorrower(b *borrow.Borrower) func(*ReplicaSet) {
	return func(rs *ReplicaSet) { rs.borrower = b }
}

// WithFirstStart returns an option that sets whether the whole system starts for the first
// time. Otherwise the first leader that a host learns of may be being replaced.
func WithFirstStart(first bool) func(*ReplicaSet) {
	return func(rs *ReplicaSet) { rs.firstStart = first }
}

// WithRegistrationsKnown returns an option that sets when all changes of the registrations but
// the last ones were known.
func WithRegistrationsKnown(at func() time.Duration) func(*ReplicaSet) {
	return func(rs *ReplicaSet) { rs.registrationsKnownAt = at }
}

// WithDrainTime returns an option that sets how long a leaving leader still
// gets work.
func WithDrainTime(d time.Duration) func(*ReplicaSet) {
	return func(rs *ReplicaSet) { rs.drainTime = d }
}

// Update sets the group's registered targets and the number of connections that
// each target accepts from all hosts together. It sets the leader if the
// registered leader changed. A zero leader means that no target is registered
// as leader.
func (rs *ReplicaSet) Update(targets []target.Target, leader target.Target, maxConns int) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.maxConns = max(maxConns, 1)
	known := map[string]bool{}
	for _, t := range targets {
		known[t.ID] = true
		rs.updateTarget(t)
	}
	for id, ts := range rs.states {
		if !known[id] {
			rs.removeTarget(id, ts)
		}
	}
	if leader.ID != "" && (leader.ID != rs.registeredLeader || leader.LedSince != rs.registeredSince) {
		rs.registeredLeader, rs.registeredSince = leader.ID, leader.LedSince
		rs.setLeader(leader.ID, byRegistration)
	}
	if leader, ok := rs.states[rs.leader]; !ok || leader.target.Leaving {
		rs.raiseAlarm()
	}
	rs.notifyChanged()
}

// updateTarget adds or updates a target. If the target restarted, its state and
// connections are replaced; the caller holds the lock.
func (rs *ReplicaSet) updateTarget(t target.Target) {
	ts, ok := rs.states[t.ID]
	if ok && ts.target.Started != t.Started {
		rs.removeTarget(t.ID, ts)
		ok = false
	}
	if !ok && t.Primary && rs.registeredLeader != "" {
		// A leader that restarted may have been replaced by an order that is pending.
		rs.raiseAlarm()
	}
	if !ok {
		ts = &targetState{cancels: map[uint64]func(){}, load: spread.New(t.ID, rs.random.Float64())}
		opened := t
		ts.pool = conns.New(rs.maxConns, rs.now, func(ctx context.Context, customer string) (*conn.Conn, error) {
			cn, err := rs.dialer.Open(ctx, opened, customer)
			rs.noteOpen(opened.ID, err)
			return cn, err
		})
		rs.states[t.ID] = ts
		delete(rs.view.removed, t.ID)
		rs.log.Info("target added", zap.String("Group", rs.Name), zap.String("Target", t.ID), zap.String("Address", t.Address), zap.Uint64("Era", t.Revision.Era), zap.Uint64("Revision", t.Revision.Version))
	}
	switch {
	case !t.Leaving:
		ts.drainUntil = 0
	case ts.target.ID == "":
		// The target is new to this host and may have been leaving for a while.
		ts.drainUntil = rs.now() + rs.drainTime/2
	case !ts.target.Leaving:
		ts.drainUntil = rs.drainEnd()
	}
	if !ts.target.Same(t) {
		rs.changeView()
		signal(rs.targetsChanged)
	}
	if ts.target.Leaving != t.Leaving {
		rs.log.Info("target changed", zap.String("Group", rs.Name), zap.String("Target", t.ID), zap.Bool("Leaving", t.Leaving), zap.Uint64("Era", t.Revision.Era), zap.Uint64("Revision", t.Revision.Version))
	}
	ts.target = t
	ts.pool.SetLimit(rs.maxConns)
	rs.updateLenders(ts)
}

// drainEnd returns until when the leader, which is now known to leave, still gets work. Where
// that was heard late, half of the drain time remains to replace it.
func (rs *ReplicaSet) drainEnd() time.Duration {
	now := rs.now()
	since := now
	if rs.registrationsKnownAt != nil {
		since = min(now, rs.registrationsKnownAt())
	}
	return max(since+rs.drainTime, now+rs.drainTime/2)
}

// removeTarget removes a target and closes its pool; the caller holds the lock.
func (rs *ReplicaSet) removeTarget(id string, ts *targetState) {
	ts.pool.Close()
	delete(rs.states, id)
	rs.copies.Forget(id)
	rs.noteRemoval(ts.target)
	signal(rs.targetsChanged)
	rs.log.Info("target removed", zap.String("Group", rs.Name), zap.String("Target", id))
	if rs.leader == id {
		rs.setLeader("", "registration removed")
		rs.lostLeader = ts.target
	}
}

// Leader returns the target that this host believes to be the group's leader,
// and false if it knows none.
func (rs *ReplicaSet) Leader() (target.Target, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[rs.leader]
	if !ok {
		return target.Target{}, false
	}
	return ts.target, true
}

// Targets returns the group's targets in no particular order.
func (rs *ReplicaSet) Targets() []target.Target {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	found := make([]target.Target, 0, len(rs.states))
	for _, ts := range rs.states {
		found = append(found, ts.target)
	}
	return found
}

// notifyChanged wakes up calls of AwaitLeader; the caller holds the lock.
func (rs *ReplicaSet) notifyChanged() {
	close(rs.changed)
	rs.changed = make(chan struct{})
}

// Trim closes connections that have been idle for longer than d. The time is
// shorter for a target to which this host has more connections than its share.
func (rs *ReplicaSet) Trim(d time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, ts := range rs.states {
		ts.pool.Trim(d)
	}
	rs.logCounts()
}
