package rset

import "time"

// Problems with a group's leader, as returned by LeaderProblem.
const (
	// LeaderLeaving means that the leader was told to stop.
	LeaderLeaving = "leaving"
	// LeaderSilent means that the leader does not answer.
	LeaderSilent = "silent"
	// LeaderUnknown means that this host does not know which target leads.
	LeaderUnknown = "lost"
	// LeaderStalled means that the leader answers but its writes do not
	// complete.
	LeaderStalled = "stalled"
	// ReplicasBehind means that the leader serves but replicas lag. A handover
	// helps because the old leader becomes a replica without lag.
	ReplicasBehind = "behind"
)

const (
	// unknownAfter is how long the leader must be unknown before it is
	// replaced: registrations take that long to arrive, and a search takes
	// several rounds.
	unknownAfter = 1200 * time.Millisecond
	// farHostPatience is how much longer a host waits that connects to no target of the
	// group. The hosts that do are enough to replace a leader, and each host that tries
	// asks the store repeatedly.
	farHostPatience = 1500 * time.Millisecond
	// A leader counts as stalled once minStalledWrites writes have gone
	// unanswered and stalledAfter has passed since the first of them was
	// reported.
	stalledAfter     = time.Second
	minStalledWrites = 2
	// overdueAfter is the longest time that a replacement of the leader usually
	// takes. If the group has been without a leader for longer, a new one is
	// not expected before a statement times out.
	overdueAfter = 2500 * time.Millisecond
	// quietLimit is how long a leader may be silent while statements run there
	// before LeaderServes returns false: several times the duration of the
	// shortest statement.
	quietLimit = 150 * time.Millisecond
)

// LeaderProblem returns the problem with the leader, whether the leader should
// be replaced now because of it, and whether there is a problem at all. If no
// leader is known, it starts a search. A group without targets has no problem.
func (rs *ReplicaSet) LeaderProblem() (why string, due, trouble bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := rs.now()
	ts, ok := rs.states[rs.leader]
	switch {
	case !ok && len(rs.states) > 0:
		rs.startSearch()
		return LeaderUnknown, rs.leaderlessSince != 0 && now-rs.leaderlessSince >= unknownAfter+rs.patience(), true
	case !ok:
		return "", false, false
	case ts.target.Leaving:
		return LeaderLeaving, true, true
	case ts.failingSince != 0:
		return LeaderSilent, rs.isDown(ts) && now-ts.failingSince >= rs.patience(), true
	case rs.stalledSince != 0:
		return LeaderStalled, rs.stalledWrites >= minStalledWrites && now-rs.stalledSince >= stalledAfter, true
	case rs.lagHandoverDue(now):
		return ReplicasBehind, true, true
	}
	return "", false, false
}

// patience returns how much longer than others this host waits before it replaces a leader;
// the caller holds the lock.
func (rs *ReplicaSet) patience() time.Duration {
	for _, ts := range rs.states {
		if ts.direct {
			return 0
		}
	}
	return farHostPatience
}

// LeaderOverdue reports whether it is pointless to let callers wait for a
// leader: no leader has answered for longer than overdueAfter, or the leader
// answers but its drain time has passed.
func (rs *ReplicaSet) LeaderOverdue() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.leaderOverdue(rs.now())
}

// leaderOverdue returns what LeaderOverdue does; the caller holds the lock.
func (rs *ReplicaSet) leaderOverdue(now time.Duration) bool {
	since := rs.leaderlessSince
	if ts, ok := rs.states[rs.leader]; ok {
		since = ts.failingSince
		if !rs.usable(ts) && since == 0 {
			return true
		}
	}
	return since != 0 && now-since > overdueAfter
}

// LeaderServes reports whether the leader is known, gets new work and answers
// it, and this host is not still opening its first connections to it. If so, a
// waiting statement waits for capacity, and neither for another leader nor for
// the first connections to this one.
func (rs *ReplicaSet) LeaderServes() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[rs.leader]
	return ok && rs.usable(ts) && rs.stalledSince == 0 && !ts.pool.WarmingUp() && (ts.running == 0 || rs.now()-ts.lastHeard < quietLimit)
}

// NoteStalledWrite records that a write at a target was not answered in time.
// It has no effect if the target is not the leader.
func (rs *ReplicaSet) NoteStalledWrite(id string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if id != rs.leader {
		return
	}
	if rs.stalledWrites++; rs.stalledSince == 0 {
		rs.stalledSince = rs.now()
	}
	rs.raiseAlarm()
}

// ClearStall discards the stalled writes of a target, because a write was
// acknowledged or the writes turned out to be only slow. It has no effect if
// the target is not the leader.
func (rs *ReplicaSet) ClearStall(id string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if id == rs.leader {
		rs.stalledSince, rs.stalledWrites = 0, 0
	}
}

// Term returns the highest term that any target reported.
func (rs *ReplicaSet) Term() uint64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.term
}
