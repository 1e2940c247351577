// Package topo holds what a host knows: the plan in force and the groups.
package topo

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/roster"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/version/plan"
)

// Topology is the table of groups and the plan in force. Its lock comes before
// those of the groups.
type Topology struct {
	log   *zap.Logger
	open  func(group string) *rset.ReplicaSet
	begin func(c *rset.ReplicaSet)

	mu     sync.RWMutex
	plan   plan.Plan
	roster roster.Roster
	listed bool
	crews  map[string]*rset.ReplicaSet
	gates  assign.Assignment
	first  chan struct{}
	ready  sync.Once
}

// New returns an empty Topology of a host that knows some hosts. Open makes a group's table; begin starts what
// watches over a new group.
func New(log *zap.Logger, g assign.Assignment, open func(group string) *rset.ReplicaSet, begin func(c *rset.ReplicaSet)) *Topology {
	return &Topology{log: log, gates: g, open: open, begin: begin, crews: map[string]*rset.ReplicaSet{}, first: make(chan struct{})}
}

// Plan returns the version in force.
func (b *Topology) Plan() plan.Plan {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.plan
}

// ReplicaSet returns a group.
func (b *Topology) ReplicaSet(group string) (*rset.ReplicaSet, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	c, ok := b.crews[group]
	return c, ok
}

// Adopt puts a plan in force, unless it is older than the one in force.
func (b *Topology) Adopt(p plan.Plan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.Version <= b.plan.Version {
		return
	}
	b.log.Info("plan adopted", zap.Uint64("From", b.plan.Version), zap.Uint64("To", p.Version))
	b.plan = p
	b.refresh()
}

// SetRoster takes the registered targets.
func (b *Topology) SetRoster(r roster.Roster) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roster = r
	b.listed = true
	b.refresh()
}

func (b *Topology) refresh() {
	for _, name := range b.plan.Groups() {
		c, ok := b.crews[name]
		if !ok {
			c = b.open(name)
			c.SetAssignment(b.gates)
			b.crews[name] = c
			b.begin(c)
		}
		leader, _ := b.roster.Leader(name)
		c.Update(b.roster.Group(name), leader, b.plan.Connections(name))
	}
	if b.listed && b.plan.Version > 0 {
		b.ready.Do(func() { close(b.first) })
	}
}

// Ready tells whether a plan and the targets are known.
func (b *Topology) Ready() bool {
	select {
	case <-b.first:
		return true
	default:
		return false
	}
}

// HasDatabase tells whether a database has a route. It waits for the first plan
// until the context ends.
func (b *Topology) HasDatabase(ctx context.Context, database string) (bool, error) {
	select {
	case <-b.first:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	_, ok := b.Plan().Route(database)
	return ok, nil
}

// SetAssignment tells all groups which hosts are known.
func (b *Topology) SetAssignment(g assign.Assignment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gates = g
	for _, c := range b.crews {
		c.SetAssignment(g)
	}
}

// LikelyIsolated tells that this host reaches less than half of the targets that it
// uses, in several groups: the fault is then more likely here than at a leader.
func (b *Topology) LikelyIsolated() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	groups, silent, heard := 0, 0, 0
	for _, c := range b.crews {
		s, h := c.CountReachable()
		silent += s
		heard += h
		if s > 0 {
			groups++
		}
	}
	return groups > 1 && silent > heard
}

// Trim closes connections that were idle for longer than d.
func (b *Topology) Trim(d time.Duration) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, c := range b.crews {
		c.Trim(d)
	}
}
