package rset

import (
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// behindLag is the lag from which a replica is of no use to most routes:
	// below the shortest limit of age that the users state, 1.5 s.
	behindLag = 1200 * time.Millisecond
	// behindAfter is for how long all replicas must be behind before the lead
	// is changed.
	behindAfter = 700 * time.Millisecond
	// stuckAfter is for how long one replica must be behind: it lags by more
	// than what it will make up for, or was told to stop receiving by a host
	// that is gone.
	stuckAfter = 10 * time.Second
	// probeShare of its lag is the time after which a replica that lags is
	// tried again; probeLeast and probeMost bound it.
	probeShare = 4
	probeLeast = 100 * time.Millisecond
	probeMost  = 2 * time.Second
	// reliefLeast is the time between two changes of the lead for lag; it
	// doubles with each up to reliefMost, since they may be of no help.
	reliefLeast = 5 * time.Second
	reliefMost  = 5 * time.Minute
	// reliefForget is after how long without lag the pause is short again.
	reliefForget = time.Minute
)

// lag is what is known of how far a replica is behind.
type lag struct {
	// mark is the position that it last showed, at when.
	mark mark.Mark
	at   time.Duration
	// least is by how much it was behind then at least.
	least time.Duration
	// since is from when on it was behind by more than behindLag, or 0.
	since time.Duration
	// probe is when it is tried next although it is expected to refuse.
	probe time.Duration
}

// showed takes the position that a target showed.
func (c *ReplicaSet) showed(s *seat, m mark.Mark) {
	now := c.now()
	s.lag.mark, s.lag.at, s.lag.least = m, now, 0
	if at, ok := c.fresh.FirstBeyond(m); ok {
		s.lag.least = max(now-at, 0)
	}
	s.lag.probe = now + s.lag.pause()
	switch {
	case s.lag.least < behindLag || s.target.ID == c.leader:
		if s.lag.since != 0 {
			c.log.Info("replica caught up", zap.String("Group", c.Name), zap.String("Target", s.target.ID), zap.Duration("Behind", now-s.lag.since))
		}
		s.lag.since = 0
	case s.lag.since == 0:
		s.lag.since = now
		c.log.Info("replica is behind", zap.String("Group", c.Name), zap.String("Target", s.target.ID), zap.Duration("Lag", s.lag.least), zap.Stringer("Mark", m))
	case c.behind(now):
		c.alarm()
	}
}

// lacks tells whether a replica is expected to refuse a read that needs a
// position, which was reached before a time.
func (l lag) lacks(need mark.Mark, reached, now time.Duration) bool {
	return l.least != 0 && !l.mark.AtLeast(need) && reached > now-l.least
}

// pause returns the time after which a replica that lags is tried again.
func (l lag) pause() time.Duration {
	return min(max(l.least/probeShare, probeLeast), probeMost)
}

// behind tells whether a change of the lead would give the group a replica:
// the leader lacks nothing, and all replicas are behind, or one has been for
// long.
func (c *ReplicaSet) behind(now time.Duration) bool {
	leader, ok := c.seats[c.leader]
	if !ok || !leader.own || len(c.seats) < c.size || len(c.seats) < 2 || now < c.reliefNext {
		return false
	}
	all, stuck := true, false
	for _, s := range c.seats {
		if s.target.Leaving || s.failing != 0 {
			return false
		}
		if s == leader {
			continue
		}
		known := s.lag.since != 0 && now-s.lag.at < probeMost+behindAfter
		all = all && known && now-s.lag.since >= behindAfter
		stuck = stuck || known && now-s.lag.since >= stuckAfter
	}
	return all || stuck
}

// NoteLagHandover notes that the lead was to be changed for lag, by this host or
// another.
func (c *ReplicaSet) NoteLagHandover() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.reliefPause = min(max(2*c.reliefPause, reliefLeast), reliefMost)
	if now-c.reliefNext > reliefForget {
		c.reliefPause = reliefLeast
	}
	c.reliefNext = now + c.reliefPause
}

// Lag returns by how much a target was behind at least when it last answered.
func (c *ReplicaSet) Lag(id string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.seats[id]; ok {
		return s.lag.least
	}
	return 0
}

// cheapest returns the seat that should answer a read soonest, nil where none may
// be used; the caller holds the lock.
func (c *ReplicaSet) cheapest(tried map[string]bool, use func(*seat) bool) *seat {
	now := c.now()
	var best *seat
	var least time.Duration
	for id, s := range c.seats {
		if tried[id] || s.target.Leaving || s.failing != 0 || !use(s) {
			continue
		}
		cost := c.distance(s.target.Zone) + s.faults.cost(now) + s.expected(now)*time.Duration(1+s.running/max(s.target.Slots, 1))
		if best == nil || cost < least || cost == least && id < best.target.ID {
			best, least = s, cost
		}
	}
	return best
}
