package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
)

// interruptTimeout is how long an interrupted run may take to end before its slot is
// closed.
const interruptTimeout = 500 * time.Millisecond

// Tick takes the passing of time. It is called often: each 25 ms or so.
func (g *Group) Tick(now time.Time) {
	g.expire(now)
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

func (g *Group) expire(now time.Time) {
	for _, c := range g.queue.Expire(now) {
		j := g.waiting[c.ID]
		g.refuse(j, g.notRunCode(j), "the deadline passed in the queue")
	}
}

// expirePending ends waits that outlast the deadline. A call that ran and
// can't be confirmed has an unknown outcome; one that only awaited its floor
// did not run.
func (g *Group) expirePending(now time.Time) {
	for _, id := range sortedKeys(g.pending, func(j *job) bool { return !now.Before(j.deadline) }) {
		j := g.pending[id]
		g.quorum.Drop(id)
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

// expireRunning interrupts runs that outlast their deadline, and gives up
// those that do not end then.
func (g *Group) expireRunning(now time.Time) {
	for _, id := range sortedKeys(g.running, func(j *job) bool { return !now.Before(j.deadline) }) {
		j := g.running[id]
		if !j.interrupted {
			j.interrupted = true
			j.deadline = now.Add(interruptTimeout)
			g.count("Interrupted")
			g.effects.Interrupt(j.slot, id)
			continue
		}
		g.abortRun(now, j.slot, id)
	}
}

// sendHeartbeats sends the heartbeats that no other poll has made needless.
func (g *Group) sendHeartbeats(now time.Time) {
	p := g.primaryIndex()
	for i, m := range g.members {
		every := g.heartbeat
		if i != p && p >= 0 {
			every *= replicaHeartbeatFactor
		}
		_, asked, _ := g.quorum.LastReport(m.name)
		if now.Sub(asked) >= every && !m.polling {
			g.poll(i, 0)
		}
	}
}

// expireSwitchover gives up a planned change that did not come about.
func (g *Group) expireSwitchover(now time.Time) {
	if g.switchover == nil || now.Sub(g.switchover.began) < 2*switchoverDrainLimit {
		return
	}
	g.switchover = nil
	g.updateMasks(now)
}
