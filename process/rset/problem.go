package rset

import "time"

// Problems with a group's leader, as returned by LeaderProblem.
const (
	// LeaderLeaving means that the leader was told to stop.
	LeaderLeaving = "leaving"
	// LeaderSilent means that the leader does not answer.
	LeaderSilent = "silent"
	// LeaderUnknown means that no target is known to lead.
	LeaderUnknown = "lost"
	// LeaderStalled means that the leader answers but its writes do not
	// complete.
	LeaderStalled = "stalled"
	// ReplicasBehind means that the leader serves and all replicas lag, so that
	// only the leader can answer most reads.
	ReplicasBehind = "behind"
)

const (
	// unknownAfter is how long the leader may be unknown: registrations take
	// that long to arrive, and a search takes several rounds.
	unknownAfter = 1200 * time.Millisecond
	// stalledAfter and minStalledWrites are for how long and how many writes
	// must go unanswered before the leader counts as stalled.
	stalledAfter     = time.Second
	minStalledWrites = 2
	// overdueAfter is the longest time that a replacement usually takes. If the
	// leader is missing for longer, a new one is not expected before a
	// statement times out.
	overdueAfter = 2500 * time.Millisecond
	// quietLimit is how long a leader that has work may be silent before it is
	// in doubt whether it serves: several times the shortest statement.
	quietLimit = 150 * time.Millisecond
)

// LeaderProblem returns what is wrong with the leader, whether it is due to be
// replaced for that, and whether there is a problem at all.
func (rs *ReplicaSet) LeaderProblem() (why string, due, trouble bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := rs.now()
	ts, ok := rs.states[rs.leader]
	switch {
	case !ok && len(rs.states) > 0:
		rs.startSearch()
		return LeaderUnknown, rs.leaderlessSince != 0 && now-rs.leaderlessSince >= unknownAfter, true
	case !ok:
		return "", false, false
	case ts.target.Leaving:
		return LeaderLeaving, true, true
	case ts.failingSince != 0:
		return LeaderSilent, rs.isDown(ts), true
	case rs.stalledSince != 0:
		return LeaderStalled, rs.stalledWrites >= minStalledWrites && now-rs.stalledSince >= stalledAfter, true
	case rs.replicasBehind(now):
		return ReplicasBehind, true, true
	}
	return "", false, false
}

// LeaderOverdue reports whether the leader has been missing for so long that
// callers should not be kept waiting for the next one.
func (rs *ReplicaSet) LeaderOverdue() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	since := rs.leaderlessSince
	if ts, ok := rs.states[rs.leader]; ok {
		since = ts.failingSince
		if !rs.usable(ts) && since == 0 {
			return true
		}
	}
	return since != 0 && rs.now()-since > overdueAfter
}

// LeaderServes reports whether there is a leader that answers. If so, a
// statement that waits lacks capacity; it waits neither for another leader nor
// for the first connections to this one.
func (rs *ReplicaSet) LeaderServes() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[rs.leader]
	return ok && rs.usable(ts) && rs.stalledSince == 0 && !ts.pool.WarmingUp() && (ts.running == 0 || rs.now()-ts.lastHeard < quietLimit)
}

// NoteStalledWrite records that a write at a target was not answered in time.
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

// ClearStall records that writes at a target complete: one was acknowledged, or
// they are only slow.
func (rs *ReplicaSet) ClearStall(id string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if id == rs.leader {
		rs.stalledSince, rs.stalledWrites = 0, 0
	}
}

// Size returns the largest number of targets that the group has had at once,
// not counting those that were leaving.
func (rs *ReplicaSet) Size() int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.size
}

// Term returns the highest term that any target reported.
func (rs *ReplicaSet) Term() uint64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.term
}
