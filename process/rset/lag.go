package rset

import (
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// behindLag is the lag from which a replica is useless to most routes:
	// below the shortest maximum age that users configure, 1.5 s.
	behindLag = 1200 * time.Millisecond
	// allBehindAfter is how long all replicas must be behind before leadership
	// is handed over.
	allBehindAfter = 700 * time.Millisecond
	// oneBehindAfter is how long a single replica must be behind: its lag is
	// more than it will make up for, or it was told to stop receiving by a host
	// that is gone.
	oneBehindAfter = 10 * time.Second
	// A replica that lags is tried again after its lag divided by
	// lagProbeDivisor, within the bounds minLagProbePause and maxLagProbePause.
	lagProbeDivisor  = 4
	minLagProbePause = 100 * time.Millisecond
	maxLagProbePause = 2 * time.Second
	// minLagHandoverPause is the time between two handovers for lag. It doubles
	// with each, up to maxLagHandoverPause, since a handover may not help.
	minLagHandoverPause = 5 * time.Second
	maxLagHandoverPause = 5 * time.Minute
	// lagHandoverReset is the time without lag after which the pause starts
	// again at its minimum.
	lagHandoverReset = time.Minute
)

// lag is what is known about how far a replica is behind.
type lag struct {
	// mark is the position that the replica last reported, at the time of its
	// report.
	mark mark.Mark
	at   time.Duration
	// atLeast is the least time by which it was behind then.
	atLeast time.Duration
	// behindSince is when the lag first reached behindLag, 0 while it is below.
	behindSince time.Duration
	// nextProbe is when the replica is tried again although it is expected to
	// refuse.
	nextProbe time.Duration
}

// observeMark updates a target's lag from a position that it reported; the
// caller holds the lock.
func (rs *ReplicaSet) observeMark(ts *targetState, m mark.Mark) {
	now := rs.now()
	ts.lag.mark, ts.lag.at, ts.lag.atLeast = m, now, 0
	if at, ok := rs.watermarks.FirstBeyond(m); ok {
		ts.lag.atLeast = max(now-at, 0)
	}
	ts.lag.nextProbe = now + ts.lag.probePause()
	switch {
	case ts.lag.atLeast < behindLag || ts.target.ID == rs.leader:
		if ts.lag.behindSince != 0 {
			rs.log.Info("replica caught up", zap.String("Group", rs.Name), zap.String("Target", ts.target.ID), zap.Duration("Behind", now-ts.lag.behindSince))
		}
		ts.lag.behindSince = 0
	case ts.lag.behindSince == 0:
		ts.lag.behindSince = now
		rs.log.Info("replica is behind", zap.String("Group", rs.Name), zap.String("Target", ts.target.ID), zap.Duration("Lag", ts.lag.atLeast), zap.Stringer("Mark", m))
	case rs.replicasBehind(now):
		rs.raiseAlarm()
	}
}

// lacks reports whether a replica is expected to refuse a read that needs a
// position, which the leader reached before a time.
func (l lag) lacks(need mark.Mark, reached, now time.Duration) bool {
	return l.atLeast != 0 && !l.mark.AtLeast(need) && reached > now-l.atLeast
}

// probePause returns the time after which a replica that lags is tried again.
func (l lag) probePause() time.Duration {
	return min(max(l.atLeast/lagProbeDivisor, minLagProbePause), maxLagProbePause)
}

// replicasBehind reports whether a handover is expected to give the group a
// usable replica: the old leader, whose log lacks nothing, becomes one. It
// requires that all replicas are behind, or that one has been for long; the
// caller holds the lock.
func (rs *ReplicaSet) replicasBehind(now time.Duration) bool {
	leader, ok := rs.states[rs.leader]
	if !ok || !leader.direct || len(rs.states) < rs.size || len(rs.states) < 2 || now < rs.nextLagHandover {
		return false
	}
	all, stuck := true, false
	for _, ts := range rs.states {
		if ts.target.Leaving || ts.failingSince != 0 {
			return false
		}
		if ts == leader {
			continue
		}
		known := ts.lag.behindSince != 0 && now-ts.lag.at < maxLagProbePause+allBehindAfter
		all = all && known && now-ts.lag.behindSince >= allBehindAfter
		stuck = stuck || known && now-ts.lag.behindSince >= oneBehindAfter
	}
	return all || stuck
}

// NoteLagHandover records that this host or another one was about to hand
// leadership over for lag, and delays the next such handover.
func (rs *ReplicaSet) NoteLagHandover() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := rs.now()
	rs.lagHandoverPause = min(max(2*rs.lagHandoverPause, minLagHandoverPause), maxLagHandoverPause)
	if now-rs.nextLagHandover > lagHandoverReset {
		rs.lagHandoverPause = minLagHandoverPause
	}
	rs.nextLagHandover = now + rs.lagHandoverPause
}

// Lag returns the least time by which a target was behind when it last
// answered.
func (rs *ReplicaSet) Lag(id string) time.Duration {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if ts, ok := rs.states[id]; ok {
		return ts.lag.atLeast
	}
	return 0
}

// cheapest returns the eligible target that is expected to answer a read first,
// nil if there is none; the caller holds the lock.
func (rs *ReplicaSet) cheapest(tried map[string]bool, eligible func(*targetState) bool) *targetState {
	now := rs.now()
	var best *targetState
	var least time.Duration
	for id, ts := range rs.states {
		if tried[id] || ts.target.Leaving || ts.failingSince != 0 || !eligible(ts) {
			continue
		}
		cost := rs.distance(ts.target.Zone) + ts.failures.cost(now) + ts.expectedLatency(now)*time.Duration(1+ts.running/max(ts.target.Slots, 1))
		if best == nil || cost < least || cost == least && id < best.target.ID {
			best, least = ts, cost
		}
	}
	return best
}
