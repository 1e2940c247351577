// Package rset tracks the state of one database group as seen from this host:
// its targets, its leader, the connections to the targets and how fresh their
// logs are.
package rset

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/borrow"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/process/wmark"
)

// defaultDrainTime is how long a leaving leader still gets work if
// WithDrainTime is not used.
const defaultDrainTime = 5 * time.Second

// ErrNotSent is returned when a statement did not leave this host.
var ErrNotSent = errors.New("not sent")

// ErrAnswerLost is returned when statements may have been sent and no answer
// arrived: they may have run.
var ErrAnswerLost = errors.New("the answer was lost")

// ErrNotRegistered is returned when a target is not registered.
var ErrNotRegistered = errors.New("the target is not registered")

// ErrUnavailable is returned when a target currently does not answer.
var ErrUnavailable = errors.New("the target does not answer")

// dialer opens connections to targets.
type dialer interface {
	// Open opens a connection to a target. It returns conns.ErrTargetFull when
	// the target accepts no more connections.
	Open(ctx context.Context, t target.Target) (*conn.Conn, error)
	// Reach returns nil if the target's machine accepts connections, and an
	// error otherwise.
	Reach(ctx context.Context, t target.Target) error
}

// ReplicaSet is one database group as this host sees it. Its lock also guards
// the target states. It is taken after that of the Topology and before those of
// the Pools.
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
	leader   string
	// registeredLeader is the target that the registrations last named as
	// leader, and registeredSince the revision at which it began to lead. A
	// registration changes the leader only when one of the two changes.
	registeredLeader string
	registeredSince  uint64
	// leaderlessSince is when the leader became unknown. It is 0 while a leader
	// is known, and before the first one was known.
	leaderlessSince time.Duration
	// stalledSince is when the first of the current series of writes at the
	// leader went unanswered, 0 for none; stalledWrites is their number.
	stalledSince  time.Duration
	stalledWrites int
	// size is the largest number of targets that the group has had at once, not
	// counting leaving ones.
	size int
	// term is the highest term that any target reported.
	term      uint64
	searching bool
	// changed is closed and replaced when the targets, the leader or the health
	// of a target change.
	changed chan struct{}
	// borrower runs statements on other hosts' connections; nil if this host
	// always connects directly.
	borrower   *borrow.Borrower
	assignment assign.Assignment
	// lastCancelID is the last key used in targetState.cancels.
	lastCancelID uint64
	// drainTime is how long a leaving leader still gets work.
	drainTime  time.Duration
	watermarks *wmark.Watermarks
	// renewal is the renewal of the watermark in progress, nil for none.
	renewal *renewal
	alarms  chan struct{}
	// nextLagHandover is the earliest time of the next handover for replica
	// lag, lagHandoverPause the current pause between two handovers.
	nextLagHandover  time.Duration
	lagHandoverPause time.Duration
}

// targetState is the state of one target of the group, as this host observed
// it.
type targetState struct {
	target target.Target
	pool   *conns.Pool
	// direct is set if this host opens its own connections to the target.
	// Otherwise it borrows connections of the lenders and asks the one at index
	// firstLender first.
	direct      bool
	lenders     []gossip.HostInfo
	firstLender int
	// running is the number of this host's statements that are running at the
	// target.
	running int
	// latency is the moving average of the response times.
	latency time.Duration
	// lastHeard is when the target last answered, 0 for never.
	lastHeard time.Duration
	// failingSince is when the target stopped answering, 0 while it answers.
	failingSince time.Duration
	probing      bool
	// unresponsive is set if the machine accepts connections, but the target
	// does not answer on them or another target does.
	unresponsive bool
	// cancels holds the cancel functions of the statements in progress, which
	// are called when the target fails.
	cancels map[uint64]func()
	// drainUntil is when the target stops getting work if it leads, 0 while it
	// is not leaving.
	drainUntil time.Duration
	// connRefused is set if the machine refused the last connection.
	connRefused bool
	// lag is how far the target's log is behind.
	lag lag
	// failures is the share of the target's statements that fail.
	failures failureRate
}

// New returns a group without targets. The distance function returns how much
// longer a statement to a zone takes than one within this host's zone.
func New(name string, log *zap.Logger, d dialer, now func() time.Duration, distance func(zone string) time.Duration, options ...func(*ReplicaSet)) *ReplicaSet {
	rs := &ReplicaSet{
		Name: name, log: log, dialer: d, now: now, distance: distance,
		states: map[string]*targetState{}, changed: make(chan struct{}), watermarks: wmark.New(),
		alarms: make(chan struct{}, 1), drainTime: defaultDrainTime,
	}
	for _, o := range options {
		o(rs)
	}
	return rs
}

// WithBorrower returns an option that lets the group use other hosts'
// connections when a target accepts too few for every host to have its own.
func WithBorrower(b *borrow.Borrower) func(*ReplicaSet) {
	return func(rs *ReplicaSet) { rs.borrower = b }
}

// SetAssignment sets the assignment that decides which hosts connect to which
// target.
func (rs *ReplicaSet) SetAssignment(a assign.Assignment) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.assignment = a
	for _, ts := range rs.states {
		rs.assignLenders(ts)
	}
}

// assignLenders decides whether this host connects to the target directly or
// through other hosts; the caller holds the lock.
func (rs *ReplicaSet) assignLenders(ts *targetState) {
	if rs.borrower == nil {
		ts.direct = true
		return
	}
	ts.lenders, ts.direct = rs.assignment.Lenders(ts.target, rs.maxConns)
	ts.firstLender = rs.assignment.FirstIndex(ts.target, len(ts.lenders))
	ts.pool.SetShare(rs.maxConns / max(rs.assignment.DirectHostCount(ts.target, rs.maxConns), 1))
}

// WithDrainTime returns an option that sets how long a leaving leader still
// gets work.
func WithDrainTime(d time.Duration) func(*ReplicaSet) {
	return func(rs *ReplicaSet) { rs.drainTime = d }
}

// Update sets the group's registered targets and the number of connections that
// each target accepts from all hosts together. It sets the leader if the
// registered leader changed; the zero Target means that none is registered.
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
		rs.setLeader(leader.ID, "registration")
	}
	remaining := 0
	for _, ts := range rs.states {
		if !ts.target.Leaving {
			remaining++
		}
	}
	rs.size = max(rs.size, remaining)
	if leader, ok := rs.states[rs.leader]; !ok || leader.target.Leaving {
		rs.raiseAlarm()
	}
	rs.notifyChanged()
}

// updateTarget adds or updates a target. A target that restarted gets a new
// state and new connections; the caller holds the lock.
func (rs *ReplicaSet) updateTarget(t target.Target) {
	ts, ok := rs.states[t.ID]
	if ok && ts.target.Started != t.Started {
		rs.removeTarget(t.ID, ts)
		ok = false
	}
	if !ok {
		ts = &targetState{cancels: map[uint64]func(){}}
		opened := t
		ts.pool = conns.New(rs.maxConns, rs.now, func(ctx context.Context) (*conn.Conn, error) {
			cn, err := rs.dialer.Open(ctx, opened)
			rs.noteOpen(opened.ID, err)
			return cn, err
		})
		rs.states[t.ID] = ts
		rs.log.Info("target added", zap.String("Group", rs.Name), zap.String("Target", t.ID), zap.String("Address", t.Address), zap.Uint64("Revision", t.Revision))
	}
	switch {
	case !t.Leaving:
		ts.drainUntil = 0
	case ts.target.ID == "":
		// The target is new to this host and may have been leaving for a while.
		ts.drainUntil = rs.now() + rs.drainTime/2
	case !ts.target.Leaving:
		ts.drainUntil = rs.now() + rs.drainTime
	}
	if ts.target.Leaving != t.Leaving {
		rs.log.Info("target changed", zap.String("Group", rs.Name), zap.String("Target", t.ID), zap.Bool("Leaving", t.Leaving), zap.Uint64("Revision", t.Revision))
	}
	ts.target = t
	ts.pool.SetLimit(rs.maxConns)
	rs.assignLenders(ts)
}

// removeTarget removes a target and closes its pool; the caller holds the lock.
func (rs *ReplicaSet) removeTarget(id string, ts *targetState) {
	ts.pool.Close()
	delete(rs.states, id)
	rs.log.Info("target removed", zap.String("Group", rs.Name), zap.String("Target", id))
	if rs.leader == id {
		rs.setLeader("", "registration removed")
	}
}

// Leader returns the target that this host believes to lead the group.
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

// SetLeader records that a target leads the group. It returns false if the
// target already leads or is not part of the group.
func (rs *ReplicaSet) SetLeader(id, why string) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if _, ok := rs.states[id]; !ok || rs.leader == id {
		return false
	}
	rs.setLeader(id, why)
	return true
}

// ClearLeader records that a target denied being the leader. It has no effect
// if another target is known as the leader.
func (rs *ReplicaSet) ClearLeader(id string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.leader == id {
		rs.setLeader("", "target does not lead")
		rs.raiseAlarm()
	}
}

// setLeader changes the leader, or makes it unknown if id is empty, and
// discards the lag and the stalled writes observed under the old one; the
// caller holds the lock.
func (rs *ReplicaSet) setLeader(id, why string) {
	if rs.leader == id {
		return
	}
	rs.log.Info("leader changed", zap.String("Group", rs.Name), zap.String("From", rs.leader), zap.String("To", id), zap.String("Why", why))
	rs.leader = id
	for _, ts := range rs.states {
		ts.lag = lag{}
	}
	rs.leaderlessSince = 0
	if id == "" {
		rs.leaderlessSince = rs.now()
	}
	rs.stalledSince, rs.stalledWrites = 0, 0
	rs.notifyChanged()
}

// notifyChanged wakes up calls of AwaitLeader; the caller holds the lock.
func (rs *ReplicaSet) notifyChanged() {
	close(rs.changed)
	rs.changed = make(chan struct{})
}

// raiseAlarm asks the promoter to check the leader. It never blocks: one
// pending alarm is enough.
func (rs *ReplicaSet) raiseAlarm() {
	select {
	case rs.alarms <- struct{}{}:
	default:
	}
}

// LeaderAlarm returns a channel that receives a value when the leader may need
// to be replaced.
func (rs *ReplicaSet) LeaderAlarm() <-chan struct{} {
	return rs.alarms
}

// AwaitLeader waits until there is a leader that gets new work, or until the
// context ends. If no leader is known or it is down, it starts to ask the
// targets which of them leads.
func (rs *ReplicaSet) AwaitLeader(ctx context.Context) (target.Target, error) {
	for {
		rs.mu.Lock()
		ts, ok := rs.states[rs.leader]
		changed := rs.changed
		usable := ok && rs.usable(ts)
		if !ok || rs.isDown(ts) {
			rs.startSearch()
		}
		var t target.Target
		if ok {
			t = ts.target
		}
		rs.mu.Unlock()
		if usable {
			return t, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return target.Target{}, errors.Wrap(ErrNotSent, "no leader is known")
		}
	}
}

// usable reports whether a target gets new work: it answers, and its drain time
// is not over; the caller holds the lock.
func (rs *ReplicaSet) usable(ts *targetState) bool {
	return ts.failingSince == 0 && (ts.drainUntil == 0 || rs.now() < ts.drainUntil)
}

// Trim closes connections that have been idle for longer than d, or for a
// shorter time if this host has more than its share of a target.
func (rs *ReplicaSet) Trim(d time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, ts := range rs.states {
		ts.pool.Trim(d)
	}
}
