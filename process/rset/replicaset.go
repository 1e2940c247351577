// Package rset holds what a host knows of one database group: its targets,
// who leads them, the connections to them and how fresh their logs are.
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
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// defaultDrain is how long a leaving leader gets work where no option tells.
const defaultDrain = 5 * time.Second

// ErrNotSent tells that a statement did not leave this host.
var ErrNotSent = errors.New("not sent")

// ErrAnswerLost tells that statements were sent and not answered: they may have run.
var ErrAnswerLost = errors.New("the answer was lost")

// ErrNotRegistered tells that a target is not registered any more.
var ErrNotRegistered = errors.New("the target is not registered")

// ErrUnavailable tells that a target doesn't answer at present.
var ErrUnavailable = errors.New("the target does not answer")

// dialer opens connections to targets.
type dialer interface {
	// Open opens a connection; conns.ErrTargetFull tells that the target takes no more.
	Open(ctx context.Context, t target.Target) (*conn.Conn, error)
	// Reach tells whether the target's machine accepts connections.
	Reach(ctx context.Context, t target.Target) error
}

// ReplicaSet is one database group as this host sees it. Its lock comes after that
// of the Topology and before those of the Pools.
type ReplicaSet struct {
	// Name is the group's name.
	Name string

	mu       sync.Mutex
	log      *zap.Logger
	dialer   dialer
	now      func() time.Duration
	distance func(zone string) time.Duration
	most     int
	seats    map[string]*seat
	leader   string
	// claimed is the target whose registration last made it the leader, and
	// since which revision.
	claimed string
	since   uint64
	// lost is since when nobody is known to lead, or 0.
	lost time.Duration
	// stalled is since when writes at the leader go unanswered, stalls how
	// many did.
	stalled   time.Duration
	stalls    int
	size      int
	term      uint64
	searching bool
	changed   chan struct{}
	// away takes connections from other hosts, nil where there are none.
	away  *borrow.Borrower
	gates assign.Assignment
	// reads numbers the reads that may be ended.
	reads uint64
	// drain is how long a leaving leader still gets work.
	drain   time.Duration
	fresh   *wmark.Watermarks
	proving *proving
	trouble chan struct{}
	// reliefNext is when the lead may be changed for lag, reliefPause the
	// time after that until the next.
	reliefNext  time.Duration
	reliefPause time.Duration
}

// seat is one target of the group with what this host saw of it.
type seat struct {
	target target.Target
	stock  *conns.Pool
	// own tells that this host connects by itself; otherwise it takes the
	// connections of hosts, beginning with the one at first.
	own   bool
	hosts []gossip.HostInfo
	first int
	// running counts this host's statements at the target.
	running int
	// latency is the moving mean of the answers' times.
	latency time.Duration
	// heard is when the target last answered.
	heard time.Duration
	// failing is since when it doesn't, or 0.
	failing time.Duration
	probing bool
	// mute tells that the machine accepts connections on which nothing
	// answers, or another target.
	mute bool
	// reads holds what ends the reads under way.
	reads map[uint64]func()
	// leaves is when the target gets no more work, 0 while it stays.
	leaves time.Duration
	// refused tells that the machine refused the last connection.
	refused bool
	// lag is how far the target is behind.
	lag lag
	// faults is how much of its work fails.
	faults faults
}

// New returns a group without targets. Distance tells how much longer a
// statement takes to a zone than within this one.
func New(name string, log *zap.Logger, d dialer, now func() time.Duration, distance func(zone string) time.Duration, options ...func(*ReplicaSet)) *ReplicaSet {
	c := &ReplicaSet{
		Name: name, log: log, dialer: d, now: now, distance: distance,
		seats: map[string]*seat{}, changed: make(chan struct{}), fresh: wmark.New(),
		trouble: make(chan struct{}, 1), drain: defaultDrain,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// WithBorrower returns an option that has the group use other hosts' connections
// where targets take too few for every host.
func WithBorrower(a *borrow.Borrower) func(*ReplicaSet) {
	return func(c *ReplicaSet) { c.away = a }
}

// SetAssignment takes the hosts that are known.
func (c *ReplicaSet) SetAssignment(g assign.Assignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gates = g
	for _, s := range c.seats {
		c.gate(s)
	}
}

// gate decides how a target is reached.
func (c *ReplicaSet) gate(s *seat) {
	if c.away == nil {
		s.own = true
		return
	}
	s.hosts, s.own = c.gates.Lenders(s.target, c.most)
	s.first = c.gates.FirstIndex(s.target, len(s.hosts))
	s.stock.SetShare(c.most / max(c.gates.HolderCount(s.target, c.most), 1))
}

// WithDrainTime returns an option that sets how long a leader that was told to
// stop still gets work.
func WithDrainTime(d time.Duration) func(*ReplicaSet) {
	return func(c *ReplicaSet) { c.drain = d }
}

// Update takes the group's registered targets and the number of connections
// that each takes from all hosts together.
func (c *ReplicaSet) Update(targets []target.Target, leader target.Target, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = max(most, 1)
	known := map[string]bool{}
	for _, t := range targets {
		known[t.ID] = true
		c.seat(t)
	}
	for id, s := range c.seats {
		if !known[id] {
			c.remove(id, s)
		}
	}
	if leader.ID != "" && (leader.ID != c.claimed || leader.LedSince != c.since) {
		c.claimed, c.since = leader.ID, leader.LedSince
		c.lead(leader.ID, "registration")
	}
	staying := 0
	for _, s := range c.seats {
		if !s.target.Leaving {
			staying++
		}
	}
	c.size = max(c.size, staying)
	if l, ok := c.seats[c.leader]; !ok || l.target.Leaving {
		c.alarm()
	}
	c.wake()
}

func (c *ReplicaSet) seat(t target.Target) {
	s, ok := c.seats[t.ID]
	if ok && s.target.Started != t.Started {
		c.remove(t.ID, s)
		ok = false
	}
	if !ok {
		s = &seat{reads: map[uint64]func(){}}
		opened := t
		s.stock = conns.New(c.most, c.now, func(ctx context.Context) (*conn.Conn, error) {
			l, err := c.dialer.Open(ctx, opened)
			c.opened(opened.ID, err)
			return l, err
		})
		c.seats[t.ID] = s
		c.log.Info("target added", zap.String("Group", c.Name), zap.String("Target", t.ID), zap.String("Address", t.Address), zap.Uint64("Revision", t.Revision))
	}
	switch {
	case !t.Leaving:
		s.leaves = 0
	case s.target.ID == "":
		// It may have said so long ago.
		s.leaves = c.now() + c.drain/2
	case !s.target.Leaving:
		s.leaves = c.now() + c.drain
	}
	if s.target.Leaving != t.Leaving {
		c.log.Info("target changed", zap.String("Group", c.Name), zap.String("Target", t.ID), zap.Bool("Leaving", t.Leaving), zap.Uint64("Revision", t.Revision))
	}
	s.target = t
	s.stock.SetLimit(c.most)
	c.gate(s)
}

func (c *ReplicaSet) remove(id string, s *seat) {
	s.stock.Close()
	delete(c.seats, id)
	c.log.Info("target removed", zap.String("Group", c.Name), zap.String("Target", id))
	if c.leader == id {
		c.lead("", "registration removed")
	}
}

// Leader returns the target that is believed to lead the group.
func (c *ReplicaSet) Leader() (target.Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.seats[c.leader]
	if !ok {
		return target.Target{}, false
	}
	return s.target, true
}

// Targets returns the group's targets in no order.
func (c *ReplicaSet) Targets() []target.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := make([]target.Target, 0, len(c.seats))
	for _, s := range c.seats {
		found = append(found, s.target)
	}
	return found
}

// SetLeader takes that a target leads the group. It reports false where that was
// known or the target is not.
func (c *ReplicaSet) SetLeader(id, why string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.seats[id]; !ok || c.leader == id {
		return false
	}
	c.lead(id, why)
	return true
}

// ClearLeader takes a target's word that it does not lead the group.
func (c *ReplicaSet) ClearLeader(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == id {
		c.lead("", "target does not lead")
		c.alarm()
	}
}

func (c *ReplicaSet) lead(id, why string) {
	if c.leader == id {
		return
	}
	c.log.Info("leader changed", zap.String("Group", c.Name), zap.String("From", c.leader), zap.String("To", id), zap.String("Why", why))
	c.leader = id
	for _, s := range c.seats {
		s.lag = lag{}
	}
	c.lost = 0
	if id == "" {
		c.lost = c.now()
	}
	c.stalled, c.stalls = 0, 0
	c.wake()
}

func (c *ReplicaSet) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// alarm tells whoever replaces leaders that there is something to look at.
func (c *ReplicaSet) alarm() {
	select {
	case c.trouble <- struct{}{}:
	default:
	}
}

// LeaderAlarm returns a channel that receives when the leader may need to be
// replaced.
func (c *ReplicaSet) LeaderAlarm() <-chan struct{} {
	return c.trouble
}

// AwaitLeader returns the leader, and waits for one that answers until the context
// ends. Where nothing is known it asks the targets.
func (c *ReplicaSet) AwaitLeader(ctx context.Context) (target.Target, error) {
	for {
		c.mu.Lock()
		s, ok := c.seats[c.leader]
		changed := c.changed
		usable := ok && c.usable(s)
		if !ok || c.down(s) {
			c.search()
		}
		var t target.Target
		if ok {
			t = s.target
		}
		c.mu.Unlock()
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

// usable tells whether a target gets new work: it answers, and has not been
// leaving for too long.
func (c *ReplicaSet) usable(s *seat) bool {
	return s.failing == 0 && (s.leaves == 0 || c.now() < s.leaves)
}

// Trim closes connections that were idle for longer than d.
func (c *ReplicaSet) Trim(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.seats {
		s.stock.Trim(d)
	}
}

// AddWatermark takes a proof that a log which holds m covers all commits before a time.
func (c *ReplicaSet) AddWatermark(m mark.Mark, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fresh.Add(m, at)
}

// CoveringMark returns the oldest known mark that covers all commits before a time,
// the time up to which it does, and the time of the newest proof.
func (c *ReplicaSet) CoveringMark(at time.Duration) (m mark.Mark, covers, newest time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, covers, ok = c.fresh.Covering(at)
	return m, covers, c.fresh.Newest(), ok
}
