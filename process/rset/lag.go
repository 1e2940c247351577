package rset

import (
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// behindLag is the minimum lag at which a replica counts as behind, since
	// most routes can't use it then. It is below the shortest maximum age that
	// users configure, 1.5 s.
	behindLag = 1200 * time.Millisecond
	// allBehindAfter is how long all replicas must be behind before leadership
	// is handed over.
	allBehindAfter = 700 * time.Millisecond
	// oneBehindAfter is how long a single replica must be behind before
	// leadership is handed over. Such a replica either can't catch up, or was
	// told to stop receiving by a host that has failed since.
	oneBehindAfter = 10 * time.Second
	// A read is sent to a lagging replica again after the replica's lag divided
	// by lagProbeDivisor, but at least minLagProbePause and at most
	// maxLagProbePause.
	lagProbeDivisor  = 4
	minLagProbePause = 100 * time.Millisecond
	maxLagProbePause = 2 * time.Second
	// minLagHandoverPause is the first pause between two handovers for lag. The
	// pause doubles with each handover, up to maxLagHandoverPause, since a
	// handover may not help.
	minLagHandoverPause = 5 * time.Second
	maxLagHandoverPause = 5 * time.Minute
	// If lagHandoverReset passes without a handover after the end of a pause,
	// the next pause has the minimum length again.
	lagHandoverReset = time.Minute
)

// lag describes how far a replica's log is behind the leader's. The zero value
// means that the replica is not known to lag.
type lag struct {
	// mark is the log position that the replica last reported, and reportedAt
	// is the time of that report.
	mark       mark.Mark
	reportedAt time.Duration
	// lowerBound is a lower bound of the lag at the time reportedAt, 0 if the
	// replica is not known to lag.
	lowerBound time.Duration
	// behindSince is when the lag reached behindLag, 0 while the lag is
	// smaller.
	behindSince time.Duration
	// nextProbe is the earliest time at which a read is sent to the replica
	// although the replica is expected to refuse it.
	nextProbe time.Duration
}

// observeMark updates a target's lag from a log position that it reported; the
// caller holds the lock.
func (rs *ReplicaSet) observeMark(ts *targetState, m mark.Mark) {
	now := rs.now()
	ts.lag.mark, ts.lag.reportedAt, ts.lag.lowerBound = m, now, 0
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

// wouldRefuse reports whether a replica is expected to refuse a read that
// requires the log position need; reached is a time by which the leader had
// reached that position. It assumes that the lag has not changed since the last
// report.
func (l lag) wouldRefuse(need mark.Mark, reached, now time.Duration) bool {
	return l.lowerBound != 0 && !l.mark.AtLeast(need) && reached > now-l.lowerBound
}

// probePause returns the pause before the next read is sent to a lagging
// replica.
func (l lag) probePause() time.Duration {
	return min(max(l.lowerBound/lagProbeDivisor, minLagProbePause), maxLagProbePause)
}

// lagHandoverDue reports whether leadership should be handed over because
// replicas lag: the old leader then becomes a replica without lag. All replicas
// must have been behind for allBehindAfter, or one for oneBehindAfter. Also,
// this host must connect to the leader directly, every registered target must
// be answering and not leaving, and the pause after the last handover must be
// over; the caller holds the lock.
func (rs *ReplicaSet) lagHandoverDue(now time.Duration) bool {
	leader, ok := rs.states[rs.leader]
	if !ok || !leader.direct || len(rs.states) < 2 || now < rs.nextLagHandover {
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
		behind := ts.lag.behindSince != 0 && now-ts.lag.reportedAt < maxLagProbePause+allBehindAfter
		all = all && behind && now-ts.lag.behindSince >= allBehindAfter
		stuck = stuck || behind && now-ts.lag.behindSince >= oneBehindAfter
	}
	return all || stuck
}

// NoteLagHandover delays the next handover for lag. It is called after each
// attempt of this host to claim the lease for such a handover, even if another
// host got the lease.
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

// Lag returns a lower bound of a target's lag at the time of its last report, 0
// if the target is not known to lag.
func (rs *ReplicaSet) Lag(id string) time.Duration {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if ts, ok := rs.states[id]; ok {
		return ts.lag.lowerBound
	}
	return 0
}
