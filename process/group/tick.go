package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
)

// hangAfter is how long an interrupted run may take to end before its slot is
// closed.
const hangAfter = 500 * time.Millisecond

// Tick takes the passing of time. It is called often: each 25 ms or so.
func (g *Group) Tick(now time.Time) {
	g.expire(now)
	g.expirePending(now)
	g.expireRunning(now)
	g.checkTransactions(now)
	g.queue.DetectLongRuns(now)
	g.movePermitted(now)
	if g.active {
		g.beat(now)
		g.elect.Tick(now)
		g.advanceSwitch(now)
		g.checkSwitch(now)
		g.dial(now)
	}
	g.dispatch(now)
	g.diagnose(now)
}

func (g *Group) expire(now time.Time) {
	for _, c := range g.queue.Expire(now) {
		w := g.waiting[c.ID]
		g.refuse(w, g.notRunCode(w), "the deadline passed in the queue")
	}
}

// expirePending ends waits that outlast the deadline. A call that ran and
// can't be confirmed has an unknown outcome; one that only awaited its floor
// did not run.
func (g *Group) expirePending(now time.Time) {
	for _, id := range inOrder(g.pending, func(w *work) bool { return !now.Before(w.deadline) }) {
		w := g.pending[id]
		g.quorum.Drop(id)
		delete(g.pending, id)
		switch {
		case w.purpose == forPart:
			g.out.Interrupt(g.slotOf(w.call.ID), w.call.ID)
		case w.purpose == forFloor:
			g.refuse(w, g.notRunCode(w), "no read index before the deadline")
		case w.call.Class.Read:
			g.refuse(w, code.NotRunNoFresh, "the read could not be confirmed before the deadline")
		default:
			g.refuse(w, code.OutcomeUnknown, "a majority did not confirm the write before the deadline")
		}
	}
}

// expireRunning interrupts runs that outlast their deadline, and gives up
// those that do not end then.
func (g *Group) expireRunning(now time.Time) {
	for _, id := range inOrder(g.running, func(w *work) bool { return !now.Before(w.deadline) }) {
		w := g.running[id]
		if !w.hung {
			w.hung = true
			w.deadline = now.Add(hangAfter)
			g.count("Interrupted")
			g.out.Interrupt(w.slot, id)
			continue
		}
		g.loseRun(now, w.slot, id)
	}
}

// beat sends the heartbeats that no other poll has made needless.
func (g *Group) beat(now time.Time) {
	p := g.primaryIndex()
	for i, m := range g.members {
		every := g.heartbeat
		if i != p && p >= 0 {
			every *= replicaBeats
		}
		_, asked, _ := g.quorum.LastReport(m.name)
		if now.Sub(asked) >= every && !m.polling {
			g.poll(i, 0)
		}
	}
}

// checkSwitch gives up a planned change that did not come about.
func (g *Group) checkSwitch(now time.Time) {
	if g.shifting == nil || now.Sub(g.shifting.since) < 2*drainLimit {
		return
	}
	g.shifting = nil
	g.remask(now)
}
