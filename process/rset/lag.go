package rset

import (
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// behindLag is the lag from which a replica counts as behind, as most
	// routes can't use it: it is below the shortest maximum age that users
	// configure, 1.5 s.
	behindLag = 1200 * time.Millisecond
	// allBehindAfter is how long all replicas must be behind before leadership
	// is handed over.
	allBehindAfter = 700 * time.Millisecond
	// oneBehindAfter is how long a single replica must be behind: it either
	// can't make up for its lag, or was told to stop receiving by a host that
	// is gone.
	oneBehindAfter = 10 * time.Second
	// A replica that lags is tried again after its lag divided by
	// lagProbeDivisor, within the bounds minLagProbePause and maxLagProbePause.
	lagProbeDivisor  = 4
	minLagProbePause = 100 * time.Millisecond
	maxLagProbePause = 2 * time.Second
	// minLagHandoverPause is the minimum time between two handovers for lag.
	// The time doubles with each handover, up to maxLagHandoverPause, since a
	// handover may not help.
	minLagHandoverPause = 5 * time.Second
	maxLagHandoverPause = 5 * time.Minute
	// If lagHandoverReset passes without a handover after the end of a pause,
	// the next pause has the minimum length again.
	lagHandoverReset = time.Minute
)

// lag describes how far a replica's log is behind the leader's. The zero lag
// means that the replica is not known to lag.
type lag struct {
	// mark is the log position that the replica last reported, and at the time
	// of that report.
	mark mark.Mark
	at   time.Duration
	// lowerBound is a lower bound of the lag at that time, 0 if the replica is
	// not known to lack anything.
	lowerBound time.Duration
	// behindSince is when the lag first reached behindLag, 0 while it is below.
	behindSince time.Duration
	// nextProbe is the earliest time at which a read is sent to the replica
	// although the replica is expected to refuse it.
	nextProbe time.Duration
}

// observeMark updates a target's lag from a log position that it reported; the
// caller holds the lock.
func (rs *ReplicaSet) observeMark(ts *targetState, m mark.Mark) {
	now := rs.now()
	ts.lag.mark, ts.lag.at, ts.lag.lowerBound = m, now, 0
	if at, ok := rs.watermarks.FirstBeyond(m); ok {
		ts.lag.lowerBound = max(now-at, 0)
	}
	ts.lag.nextProbe = now + ts.lag.probePause()
	switch {
	case ts.lag.lowerBound < behindLag || ts.target.ID == rs.leader:
		if ts.lag.behindSince != 0 {
			rs.log.Info("replica caught up", zap.String("Group", rs.Name), zap.String("Target", ts.target.ID), zap.Duration("Behind", now-ts.lag.behindSince))
		}
		ts.lag.behindSince = 0
	case ts.lag.behindSince == 0:
		ts.lag.behindSince = now
		rs.log.Info("replica is behind", zap.String("Group", rs.Name), zap.String("Target", ts.target.ID), zap.Duration("Lag", ts.lag.lowerBound), zap.Stringer("Mark", m))
	case rs.lagHandoverDue(now):
		rs.raiseAlarm()
	}
}

// lacks reports whether a replica is expected to refuse a read that requires
// the log position need, which the leader reached no later than reached. It
// assumes that the lag has not changed since the last report.
func (l lag) lacks(need mark.Mark, reached, now time.Duration) bool {
	return l.lowerBound != 0 && !l.mark.AtLeast(need) && reached > now-l.lowerBound
}

// probePause returns the time after which a lagging replica is tried again.
func (l lag) probePause() time.Duration {
	return min(max(l.lowerBound/lagProbeDivisor, minLagProbePause), maxLagProbePause)
}

// lagHandoverDue reports whether leadership should be handed over because
// replicas lag, after which the old leader becomes a replica that lacks
// nothing. It requires that all replicas have been behind for allBehindAfter or
// one for oneBehindAfter, that this host connects to the leader directly, that
// every target of the group is known, stays and answers, and that the pause
// after the last handover is over; the caller holds the lock.
func (rs *ReplicaSet) lagHandoverDue(now time.Duration) bool {
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

// NoteLagHandover records that this host or another one attempted a handover
// for lag, and delays the next one.
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

// Lag returns a lower bound of a target's lag at its last report, 0 if the
// target is not known to lag.
func (rs *ReplicaSet) Lag(id string) time.Duration {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if ts, ok := rs.states[id]; ok {
		return ts.lag.lowerBound
	}
	return 0
}

// cheapest returns the eligible target that is expected to answer a read first,
// or nil if there is none. It excludes leaving and failing targets and those in
// tried; the caller holds the lock.
func (rs *ReplicaSet) cheapest(tried map[string]bool, eligible func(*targetState) bool) *targetState {
	now := rs.now()
	var best *targetState
	var lowest time.Duration
	for id, ts := range rs.states {
		if tried[id] || ts.target.Leaving || ts.failingSince != 0 || !eligible(ts) {
			continue
		}
		cost := rs.distance(ts.target.Zone) + ts.failures.cost(now) + ts.expectedLatency(now)*time.Duration(1+ts.running/max(ts.target.Slots, 1))
		if best == nil || cost < lowest || cost == lowest && id < best.target.ID {
			best, lowest = ts, cost
		}
	}
	return best
}
