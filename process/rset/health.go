package rset

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// silentAfter is how long a target may leave a statement unanswered
	// before its machine is probed: several times the longest ordinary work.
	silentAfter = 300 * time.Millisecond
	// probeTimeout bounds one probe: some round trips between regions.
	probeTimeout = 250 * time.Millisecond
	// muteAfter is how long a target must be silent on all connections, and
	// on a new one, before it counts as failing although its machine accepts
	// connections; muteTimeout bounds each further try, mutePause is the pause
	// between them.
	muteAfter   = 1500 * time.Millisecond
	muteTimeout = time.Second
	mutePause   = 500 * time.Millisecond
	// probePause is the pause between the probes of a target that fails.
	probePause = 150 * time.Millisecond
	// downAfter is how long a target must fail before nothing more is
	// expected of it: two probes and a pause. Where its machine refuses
	// connections, it is certain sooner that no process listens there.
	downAfter    = 600 * time.Millisecond
	refusedAfter = 250 * time.Millisecond
	// latencyWeight is the share of a new measurement in the moving mean.
	latencyWeight = 0.2
	// reachedFor is how long an answer tells that a target is reached: idle
	// targets are not asked.
	reachedFor = 2 * time.Second
	// fade is the time in which an old mean counts half.
	fade = time.Second
)

// Run runs statements together on a connection, watches over its target
// meanwhile, and learns from the replies.
func (c *ReplicaSet) Run(ctx context.Context, l *conn.Conn, who caller.Caller, stage ...stmt.Stmt) ([]reply.Reply, error) {
	return c.watched(l.Target, silentAfter, func() ([]reply.Reply, error) { return l.Run(ctx, who, stage...) })
}

// onFailure has stop called when a target fails, until what it returns is called.
func (c *ReplicaSet) onFailure(id string, stop func()) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.seats[id]
	if !ok {
		return func() {}
	}
	c.reads++
	n := c.reads
	s.reads[n] = stop
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(s.reads, n)
	}
}

// watched runs something at a target, which is probed where no answer came
// after a time.
func (c *ReplicaSet) watched(id string, limit time.Duration, run func() ([]reply.Reply, error)) ([]reply.Reply, error) {
	began := c.now()
	c.began(id)
	watch := time.AfterFunc(limit, func() { c.suspect(id, began) })
	replies, err := run()
	watch.Stop()
	c.ended(id, c.now()-began, replies, err)
	return replies, err
}

func (c *ReplicaSet) began(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.seats[id]; ok {
		s.running++
	}
}

func (c *ReplicaSet) ended(id string, took time.Duration, replies []reply.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.seats[id]
	if !ok {
		return
	}
	s.running--
	if err != nil && !errors.Is(err, remote.ErrRefused) || failed(replies) {
		s.faults = s.faults.with(c.now(), true)
	}
	if err != nil {
		return
	}
	if !failed(replies) {
		s.faults = s.faults.with(c.now(), false)
	}
	s.latency = s.expected(c.now())
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
	c.hear(s)
	for _, r := range replies {
		c.term = max(c.term, r.Mark.Term)
	}
	if n := len(replies); n > 0 && s.target.ID != c.leader {
		c.showed(s, replies[n-1].Mark)
	}
}

// hear notes that a target answered.
func (c *ReplicaSet) hear(s *seat) {
	s.heard = c.now()
	s.mute = false
	if s.failing != 0 {
		c.log.Info("target answers again", zap.String("Group", c.Name), zap.String("Target", s.target.ID), zap.Duration("Failed", s.heard-s.failing))
		s.failing = 0
		c.wake()
	}
}

// expected returns the mean time of an answer, which fades while none comes.
func (s *seat) expected(now time.Duration) time.Duration {
	idle := now - s.heard
	if idle <= 0 {
		return s.latency
	}
	return time.Duration(float64(s.latency) * float64(fade) / float64(fade+idle))
}

// opened learns from an attempt to open a connection.
func (c *ReplicaSet) opened(id string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.seats[id]
	if !ok {
		return
	}
	if err == nil || errors.Is(err, conns.ErrTargetFull) {
		c.hear(s)
		return
	}
	// Another target may have the address by now; its machine answers too.
	if errors.Is(err, code.NotRunWrongTarget) || errors.Is(err, os.ErrDeadlineExceeded) && c.now()-s.heard > muteAfter {
		s.mute = true
	}
	c.fail(s, err)
}

// suspect probes a target that left a statement unanswered since a time.
func (c *ReplicaSet) suspect(id string, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.seats[id]; ok && s.heard <= since {
		c.probe(s)
	}
}

func (c *ReplicaSet) fail(s *seat, err error) {
	s.refused = errors.Is(err, syscall.ECONNREFUSED)
	if s.failing == 0 {
		s.failing = c.now()
		c.log.Info("target fails", zap.String("Group", c.Name), zap.String("Target", s.target.ID), zap.Bool("Leads", s.target.ID == c.leader),
			zap.Bool("EverHeard", s.heard != 0), zap.Duration("Heard", c.now()-s.heard), zap.String("Error", err.Error()))
		for _, stop := range s.reads {
			stop()
		}
	}
	c.probe(s)
}

// probe asks a target's machine until it answers or counts as down.
func (c *ReplicaSet) probe(s *seat) {
	if s.probing {
		return
	}
	s.probing = true
	go c.probeLoop(s, s.target)
}

func (c *ReplicaSet) probeLoop(s *seat, t target.Target) {
	for {
		asked := c.now()
		err := c.probeOnce(s, t)
		if !c.probed(s, t.ID, asked, err) {
			return
		}
		time.Sleep(c.pauseOf(s))
	}
}

// pauseOf returns the pause before the next probe: one that opens a connection
// costs the target more.
func (c *ReplicaSet) pauseOf(s *seat) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.mute {
		return mutePause
	}
	return probePause
}

// probeOnce asks whether the target's machine accepts connections or, where it
// does and nothing answers on them, whether the target does.
func (c *ReplicaSet) probeOnce(s *seat, t target.Target) error {
	c.mu.Lock()
	mute := s.mute
	c.mu.Unlock()
	if !mute {
		ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
		defer stop()
		return c.dialer.Reach(ctx, t)
	}
	ctx, stop := context.WithTimeout(context.Background(), muteTimeout)
	defer stop()
	l, err := c.dialer.Open(ctx, t)
	if err == nil {
		l.Close()
		c.opened(t.ID, nil)
	}
	return err
}

// probed takes the outcome of a probe and tells whether another is due.
func (c *ReplicaSet) probed(s *seat, id string, asked time.Duration, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seats[id] != s {
		return false
	}
	if err == nil && !s.mute || s.heard > asked {
		s.probing = false
		c.hear(s)
		return false
	}
	if err == nil {
		// What was asked came before the target was found mute.
		return true
	}
	c.fail(s, err)
	if c.down(s) {
		s.stock.Abort(err)
		if c.away != nil {
			c.away.Abort(id)
		}
		if id == c.leader {
			c.alarm()
		}
	}
	return true
}

func (c *ReplicaSet) down(s *seat) bool {
	limit := downAfter
	if s.refused {
		limit = refusedAfter
	}
	return s.failing != 0 && c.now()-s.failing >= limit
}

// Down tells whether nothing is expected of a target any more, and since when
// it fails.
func (c *ReplicaSet) Down(id string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.seats[id]
	if !ok {
		return 0, true
	}
	return s.failing, c.down(s)
}

// CountReachable returns how many targets do not answer this host and how many have
// of late.
func (c *ReplicaSet) CountReachable() (silent, heard int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, s := range c.seats {
		switch {
		case s.failing != 0:
			silent++
		case s.heard != 0 && now-s.heard < reachedFor:
			heard++
		}
	}
	return silent, heard
}

// Pick returns the target that should answer a read soonest, without those
// that were tried. The read needs a position that was reached before a time.
// Targets that leave or fail are never taken, replicas that are expected to lack
// the position only where no other is left, or to see whether they still do.
func (c *ReplicaSet) Pick(tried map[string]bool, need mark.Mark, reached time.Duration) (target.Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	lacks := func(s *seat) bool { return s.target.ID != c.leader && s.lag.lacks(need, reached, now) }
	best := c.cheapest(tried, func(s *seat) bool { return lacks(s) && now >= s.lag.probe })
	if best != nil {
		best.lag.probe = now + best.lag.pause()
		return best.target, true
	}
	if best = c.cheapest(tried, func(s *seat) bool { return !lacks(s) }); best == nil {
		best = c.cheapest(tried, func(*seat) bool { return true })
	}
	if best == nil {
		return target.Target{}, false
	}
	return best.target, true
}
