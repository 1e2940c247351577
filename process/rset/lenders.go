package rset

import "github.com/pistachiotray/pistachiotray/process/assign"

// minCrowd is the least number of connections to a target that a host opens without
// long pauses.
const minCrowd = 2

// restartDivisor divides the connections that a target accepts into those that hosts open at
// once and the rest. If all hosts lose power, the target counts their connections for some
// seconds more, and the restarted hosts need others.
const restartDivisor = 2

// SetAssignment sets the assignment that decides which hosts connect to which
// target.
func (rs *ReplicaSet) SetAssignment(a assign.Assignment) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	before := rs.connectingHosts("")
	rs.assignment = a
	for _, ts := range rs.states {
		rs.updateLenders(ts)
	}
	rs.noteFormerHosts(before)
}

// updateLenders updates whether this host connects to the target directly or
// through other hosts, and how many connections are its share; the caller holds
// the lock.
func (rs *ReplicaSet) updateLenders(ts *targetState) {
	defer rs.updateQuota(ts)
	if rs.borrower == nil {
		ts.direct = true
		return
	}
	ts.lenders, ts.direct = rs.assignment.Lenders(ts.target, rs.maxConns)
	ts.firstLender = rs.assignment.FirstIndex(ts.target, len(ts.lenders))
	ts.secondLender = rs.assignment.SecondIndex(ts.target, len(ts.lenders))
	ts.forgetLenders()
	if ts.lenders != nil {
		lenders := max(len(ts.lenders), 1)
		ts.pool.SetShare(rs.maxConns/restartDivisor/lenders, max(rs.maxConns/lenders, minCrowd))
		return
	}
	hosts := max(rs.assignment.LiveCount(), 1)
	ts.pool.SetShare(rs.maxConns/restartDivisor/hosts, max(3*rs.maxConns/2/hosts, minCrowd))
}
