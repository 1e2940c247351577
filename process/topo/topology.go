// Package topo keeps the configuration plan in force and the state of each
// database group.
package topo

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/roster"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/version/plan"
)

// trimInterval is the time between two checks for idle connections.
const trimInterval = 300 * time.Millisecond

// Topology is the plan in force and the state of every group that this plan or
// an earlier one names. Lock order: the mutex of the Topology, then of a group.
type Topology struct {
	log        *zap.Logger
	newGroup   func(group string) *rset.ReplicaSet
	startGroup func(rs *rset.ReplicaSet)

	mu          sync.RWMutex
	plan        plan.Plan
	roster      roster.Roster
	rosterKnown bool
	groups      map[string]*rset.ReplicaSet
	assignment  assign.Assignment
	// loaded is closed when a plan and the registered targets are both known
	// for the first time.
	loaded     chan struct{}
	loadedOnce sync.Once
}

// New returns a Topology without a plan or groups. The function newGroup
// creates the state of a group, and startGroup starts the group's background
// work. Both are called with the Topology's mutex locked.
func New(log *zap.Logger, a assign.Assignment, newGroup func(group string) *rset.ReplicaSet, startGroup func(rs *rset.ReplicaSet)) *Topology {
	return &Topology{log: log, assignment: a, newGroup: newGroup, startGroup: startGroup, groups: map[string]*rset.ReplicaSet{}, loaded: make(chan struct{})}
}

// Plan returns the plan in force, or the zero Plan if none was adopted yet.
func (t *Topology) Plan() plan.Plan {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.plan
}

// ReplicaSet returns a group's state. It returns false if no plan so far has
// named the group. A group's state is kept even if a later plan does not name
// the group.
func (t *Topology) ReplicaSet(group string) (*rset.ReplicaSet, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rs, ok := t.groups[group]
	return rs, ok
}

// Adopt replaces the plan in force by a plan with a higher version, and ignores
// any other plan.
func (t *Topology) Adopt(p plan.Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Version <= t.plan.Version {
		return
	}
	t.log.Info("plan adopted", zap.Uint64("From", t.plan.Version), zap.Uint64("To", p.Version))
	t.plan = p
	t.refresh()
}

// SetRoster sets the registered targets and updates the groups.
func (t *Topology) SetRoster(r roster.Roster) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster = r
	t.rosterKnown = true
	t.refresh()
}

// NoteLeases takes note of the leases in changed rows. The lease of an unknown group is
// ignored, since the first leader of a group that becomes known is doubted anyway.
func (t *Topology) NoteLeases(rows []record.Row, _ stamp.Stamp, _ bool) {
	for _, r := range rows {
		l, err := lease.Decode(r.Key, r)
		if err != nil {
			t.log.Error("invalid lease", zap.String("Group", r.Key), zap.Uint64("Version", r.Version), zap.String("Error", err.Error()))
			continue
		}
		if rs, ok := t.ReplicaSet(l.Group); ok {
			rs.NoteLease(l)
		}
	}
}

// refresh creates the groups that are new in the plan, and updates all groups
// of the plan from the roster; the caller holds the lock.
func (t *Topology) refresh() {
	weights := t.plan.CustomerWeights()
	for _, name := range t.plan.Groups() {
		rs, ok := t.groups[name]
		if !ok {
			rs = t.newGroup(name)
			rs.SetAssignment(t.assignment)
			t.groups[name] = rs
			t.startGroup(rs)
		}
		rs.SetCustomers(weights)
		leader, _ := t.roster.Leader(name)
		rs.Update(t.roster.Group(name), leader, t.plan.MaxConnections(name))
	}
	if t.rosterKnown && t.plan.Version > 0 {
		t.loadedOnce.Do(func() { close(t.loaded) })
	}
}

// Ready reports whether a plan and the registered targets are known.
func (t *Topology) Ready() bool {
	select {
	case <-t.loaded:
		return true
	default:
		return false
	}
}

// HasDatabase reports whether the plan has a route for a database. It first
// waits until a plan and the registered targets are known, and returns the
// context's error if the context ends before that.
func (t *Topology) HasDatabase(ctx context.Context, database string) (bool, error) {
	select {
	case <-t.loaded:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	_, ok := t.Plan().Route(database)
	return ok, nil
}

// SetAssignment sets the assignment of connections to hosts in all groups.
func (t *Topology) SetAssignment(a assign.Assignment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.assignment = a
	for _, rs := range t.groups {
		rs.SetAssignment(a)
	}
}

// LikelyIsolated reports whether a silent leader is more likely a fault of this
// host than of the leader: targets of several groups are failing, and more
// targets are failing than have answered recently.
func (t *Topology) LikelyIsolated() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	groups, failing, reachable := 0, 0, 0
	for _, rs := range t.groups {
		f, r := rs.CountReachable()
		failing += f
		reachable += r
		if f > 0 {
			groups++
		}
	}
	return groups > 1 && failing > reachable
}

// KeepTrimmed regularly calls Trim until the context ends.
func (t *Topology) KeepTrimmed(ctx context.Context, limit time.Duration) {
	sleep.Every(ctx.Done(), trimInterval, func() { t.Trim(limit) })
}

// Trim closes connections that have been idle for longer than d. The time is
// shorter for a target to which this host has more connections than its share.
func (t *Topology) Trim(d time.Duration) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, rs := range t.groups {
		rs.Trim(d)
	}
}
