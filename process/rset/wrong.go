package rset

import "time"

// What may be wrong with a group's leader.
const (
	// LeaderLeaving tells that the leader was told to stop.
	LeaderLeaving = "leaving"
	// LeaderSilent tells that the leader does not answer.
	LeaderSilent = "silent"
	// LeaderUnknown tells that nobody is known to lead.
	LeaderUnknown = "lost"
	// LeaderStalled tells that the leader answers but its writes do not end.
	LeaderStalled = "stalled"
	// ReplicasBehind tells that the leader serves and all replicas lag, so that only
	// the leader is of use to most reads.
	ReplicasBehind = "behind"
)

const (
	// lostAfter is how long nobody may be known to lead: registrations are
	// that late, and a search takes some rounds.
	lostAfter = 1200 * time.Millisecond
	// stalledAfter and stallsNeeded are for how long and how often writes must
	// go unanswered.
	stalledAfter = time.Second
	stallsNeeded = 2
	// hopeAfter is how long a replacement takes at most as a rule. A leader
	// that is missing for longer is not expected within a statement's time.
	hopeAfter = 2500 * time.Millisecond
	// quietAfter is how long a leader with work may be silent before it is in
	// doubt whether it serves: several times the shortest work.
	quietAfter = 150 * time.Millisecond
)

// LeaderProblem tells what is wrong with the leader, and whether it is due to be
// replaced for that.
func (c *ReplicaSet) LeaderProblem() (why string, due, trouble bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	s, ok := c.seats[c.leader]
	switch {
	case !ok && len(c.seats) > 0:
		c.search()
		return LeaderUnknown, c.lost != 0 && now-c.lost >= lostAfter, true
	case !ok:
		return "", false, false
	case s.target.Leaving:
		return LeaderLeaving, true, true
	case s.failing != 0:
		return LeaderSilent, c.down(s), true
	case c.stalled != 0:
		return LeaderStalled, c.stalls >= stallsNeeded && now-c.stalled >= stalledAfter, true
	case c.behind(now):
		return ReplicasBehind, true, true
	}
	return "", false, false
}

// LeaderOverdue tells that the leader has been missing for so long that nobody
// should be kept waiting for the next.
func (c *ReplicaSet) LeaderOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.lost
	if s, ok := c.seats[c.leader]; ok {
		since = s.failing
		if !c.usable(s) && since == 0 {
			return true
		}
	}
	return since != 0 && c.now()-since > hopeAfter
}

// LeaderServes tells whether there is a leader that answers: a statement that waits
// then waits for want of capacity, and neither for another leader nor for the
// first connections to this one.
func (c *ReplicaSet) LeaderServes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.seats[c.leader]
	return ok && c.usable(s) && c.stalled == 0 && !s.stock.WarmingUp() && (s.running == 0 || c.now()-s.heard < quietAfter)
}

// NoteStalledWrite notes that a write at a target was not answered in time.
func (c *ReplicaSet) NoteStalledWrite(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != c.leader {
		return
	}
	if c.stalls++; c.stalled == 0 {
		c.stalled = c.now()
	}
	c.alarm()
}

// ClearStall notes that writes at a target end: one was acknowledged, or they only
// take long.
func (c *ReplicaSet) ClearStall(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id == c.leader {
		c.stalled, c.stalls = 0, 0
	}
}

// Size returns the most targets that the group had at once, without those
// that were leaving.
func (c *ReplicaSet) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}

// Term returns the highest term that a target reported.
func (c *ReplicaSet) Term() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}
