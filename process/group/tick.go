package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
)

// interruptTimeout is how long an interrupted run may take to end before its slot
// is closed.
const interruptTimeout = 500 * time.Millisecond

// Tick handles everything that depends on the time: deadlines, timeouts of
// transactions and switchovers, heartbeats and reconnects. It should be called
// about every 20 ms, or less often while the group is quiescent.
func (g *Group) Tick(now time.Time) {
	g.expireWaiting(now)
	g.expirePending(now)
	g.expireRunning(now)
	g.expireTransactions(now)
	g.queue.DetectLongRuns(now)
	g.unparkReads(now)
	if g.active {
		g.sendHeartbeats(now)
		g.election.Tick(now)
		g.advanceSwitchover(now)
		g.expireSwitchover(now)
		g.openSlots(now)
	}
	g.dispatch(now)
	g.updateProblem(now)
}

// expireWaiting refuses the calls whose deadline passed in the queue.
func (g *Group) expireWaiting(now time.Time) {
	for _, c := range g.queue.Expire(now) {
		j := g.waiting[c.ID]
		g.refuse(j, g.notRunCode(j), "the deadline passed in the queue")
	}
}

// expirePending ends the waits that reached their deadline. A write that ran and
// was not confirmed has an unknown outcome, and a read that ran is refused as not
// fresh. A call that waited for its floor is refused as not run, unless it may have
// run earlier. A wait for a chunk interrupts the call.
func (g *Group) expirePending(now time.Time) {
	for _, id := range sortedKeys(g.pending, func(j *job) bool { return !now.Before(j.deadline) }) {
		j := g.pending[id]
		g.quorum.RemoveWaiter(id)
		delete(g.pending, id)
		switch {
		case j.waitFor == waitChunk:
			g.effects.Interrupt(g.slotOf(j.call.ID), j.call.ID)
		case j.waitFor == waitFloor:
			g.refuse(j, g.notRunCode(j), "no read index before the deadline")
		case j.call.Class.Read:
			g.refuse(j, code.NotRunNoFresh, "the read could not be confirmed before the deadline")
		default:
			g.refuse(j, code.OutcomeUnknown, "a majority did not confirm the write before the deadline")
		}
	}
}

// expireRunning interrupts the runs that reached their deadline, and aborts those
// that do not end within interruptTimeout.
func (g *Group) expireRunning(now time.Time) {
	for _, id := range sortedKeys(g.running, func(j *job) bool { return !now.Before(j.deadline) }) {
		j := g.running[id]
		if !j.interrupted {
			j.interrupted = true
			j.deadline = now.Add(interruptTimeout)
			g.incrementCounter("Interrupted")
			g.effects.Interrupt(j.slot, id)
			continue
		}
		g.abortRun(now, j.slot, id)
	}
}

// sendHeartbeats polls each member whose newest report was requested a heartbeat
// interval ago or earlier. The interval of replicas is longer while a primary is
// known.
func (g *Group) sendHeartbeats(now time.Time) {
	p := g.primaryIndex()
	for i, m := range g.members {
		interval := g.heartbeatInterval
		if i != p && p >= 0 {
			interval *= replicaHeartbeatFactor
		}
		_, asked, _ := g.quorum.LastReport(m.name)
		if now.Sub(asked) >= interval && !m.polling {
			g.poll(i, 0)
		}
	}
}

// expireSwitchover ends a switchover that did not complete in time, so that calls
// can run at the primary again.
func (g *Group) expireSwitchover(now time.Time) {
	if g.switchover == nil || now.Sub(g.switchover.began) < 2*switchoverDrainLimit {
		return
	}
	g.switchover = nil
	g.updateMasks(now)
}
