package rset

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/spread"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// Pick returns the target for a read of a kind of work: the one with the shortest expected
// response time or, if hosts share the connections to the targets, one chosen by package spread.
// The target must include the log position need to serve the read; reached is a
// time by which the leader had reached that position. Pick never returns a
// leaving or failing target or one of those in tried. It returns a replica that
// is expected to refuse the read only if there is no other target, or if it is
// time to check whether that replica caught up. It returns false if there is no
// target to try.
func (rs *ReplicaSet) Pick(kind string, tried map[string]bool, need mark.Mark, reached time.Duration) (target.Target, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := rs.now()
	found, check := rs.candidates(now, tried, need, reached)
	best := rs.choose(now, kind, found)
	if best == nil {
		return target.Target{}, false
	}
	if check {
		best.lag.nextProbe = now + best.lag.probePause()
	}
	return best.target, true
}

// candidates returns the targets of which one is picked, as Pick describes it, and whether these
// are replicas of which one is checked whether it caught up. It changes nothing; the caller holds
// the lock.
func (rs *ReplicaSet) candidates(now time.Duration, tried map[string]bool, need mark.Mark, reached time.Duration) (found []*targetState, check bool) {
	var due, fresh, usable []*targetState
	for id, ts := range rs.states {
		if tried[id] || ts.target.Leaving || ts.failingSince != 0 {
			continue
		}
		usable = append(usable, ts)
		switch refuses := id != rs.leader && ts.lag.wouldRefuse(need, reached, now); {
		case !refuses:
			fresh = append(fresh, ts)
		case now >= ts.lag.nextProbe:
			due = append(due, ts)
		}
	}
	switch {
	case len(due) > 0:
		return due, true
	case len(fresh) > 0:
		return fresh, false
	}
	return usable, false
}

// choose returns the target for a read among those found, or nil if there is none; the caller
// holds the lock.
func (rs *ReplicaSet) choose(now time.Duration, kind string, found []*targetState) *targetState {
	if len(found) == 0 {
		return nil
	}
	if !rs.shared() {
		return rs.cheapest(now, found)
	}
	rs.logLoads(now, kind)
	if len(found) == 1 {
		return found[0]
	}
	return found[spread.Choose(now, rs.expectedTime(kind), rs.loads(now, found), rs.random)]
}

// cheapest returns the target with the shortest expected response time for a read, or nil if
// there is none; the caller holds the lock.
func (rs *ReplicaSet) cheapest(now time.Duration, found []*targetState) *targetState {
	var best *targetState
	var lowest time.Duration
	for _, ts := range found {
		cost := rs.distance(ts.target.Zone) + ts.failures.cost(now) + ts.expectedLatency(now)*time.Duration(1+ts.running/max(ts.target.Slots, 1))
		if best == nil || cost < lowest || cost == lowest && ts.target.ID < best.target.ID {
			best, lowest = ts, cost
		}
	}
	return best
}
