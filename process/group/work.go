package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// purpose says what a call awaits outside the queue and the slots.
type purpose int

const (
	// forFloor awaits the read index of a session that arrived without a floor.
	forFloor purpose = iota
	// forMark awaits the confirmation of the call's own mark.
	forMark
	// forIndex awaits a read index, as the call's own mark is not known.
	forIndex
	// forPart awaits the release of a part of a large answer.
	forPart
)

// work is one call at the owner.
type work struct {
	call     call.Call
	purpose  purpose
	slot     uint64
	member   int
	term     uint64
	attempts int
	sent     bool
	settling bool
	inTx     bool
	ran      bool
	complete bool
	restored bool
	partly   bool
	mark     mark.Mark
	status   byte
	hung     bool
	since    time.Time
	deadline time.Time
}

// seat is one open or opening slot.
type seat struct {
	member  int
	ready   bool
	call    string
	session string
	write   bool
	term    uint64
}

// Submit takes a call whose id is new to this host.
func (g *Group) Submit(now time.Time, c call.Call) {
	w := &work{call: c, sent: c.Resent}
	if t, ok := g.open[c.Session]; ok {
		g.follow(now, t, w)
		return
	}
	if c.InTransaction {
		g.refuse(w, code.TransactionLost, "no open transaction of the session at its owner")
		return
	}
	if !g.active {
		g.refuse(w, code.NotRunMoved, "this host does not own the group")
		return
	}
	if c.FreshFloor {
		g.awaitFloor(now, w)
		return
	}
	g.enqueue(now, w)
	g.dispatch(now)
}

func (g *Group) awaitFloor(now time.Time, w *work) {
	w.purpose = forFloor
	w.deadline = w.call.Deadline
	g.pending[w.call.ID] = w
	g.quorum.AwaitIndex(w.call.ID, now)
	g.pollAll(0)
}

func (g *Group) enqueue(now time.Time, w *work) {
	mask := g.permitted(now, w.call)
	if w.sent {
		g.waiting[w.call.ID] = w
		g.queue.Requeue(w.call, mask)
		return
	}
	wait, ok := g.queue.Offer(now, w.call, mask)
	if !ok {
		g.count("RefusedOverload")
		f := fault.New(code.NotRunOverload, "predicted wait "+wait.Round(time.Millisecond).String())
		g.end(w, f.WithRetryAfter(max(wait-w.call.Deadline.Sub(now), time.Millisecond)))
		return
	}
	g.waiting[w.call.ID] = w
	g.park(w, mask)
	g.refreshFor(now, w.call)
}

// park remembers a read that no member may serve yet.
func (g *Group) park(w *work, mask uint8) {
	if mask == 0 && w.call.Class.Read {
		g.parked[w.call.ID] = w
	}
}

// requeue lets a call that truly did not run wait again.
func (g *Group) requeue(now time.Time, w *work, why string) {
	if w.inTx && !w.settling {
		g.refuse(w, code.TransactionLost, why)
		return
	}
	if w.partly {
		g.refuse(w, code.OutcomeUnknown, why+", and a part of its answer was delivered")
		return
	}
	if !g.active {
		g.refuse(w, g.movedCode(w), why)
		return
	}
	if !now.Before(w.call.Deadline) || w.attempts >= attemptsPerRequest || !g.retries.AllowN(now, 1) {
		g.refuse(w, g.notRunCode(w), why)
		return
	}
	g.count("Retries")
	g.out.Note(w.call.ID, w.call.Session, "retry: "+why)
	g.waiting[w.call.ID] = w
	mask := g.permitted(now, w.call)
	g.queue.Requeue(w.call, mask)
	g.park(w, mask)
}

// notRunCode tells why a call could not run. A call that was sent before may
// have run then, so nothing better than an unknown outcome is said of it.
func (g *Group) notRunCode(w *work) code.Code {
	switch {
	case w.sent && !w.call.Class.Read:
		return code.OutcomeUnknown
	case !w.call.Class.Read && !g.majority:
		return code.NotRunNoMajority
	case g.primaryIndex() < 0:
		return code.NotRunNoPrimary
	case g.permittedNone(w):
		return code.NotRunNoFresh
	}
	return code.NotRunDeadline
}

func (g *Group) movedCode(w *work) code.Code {
	if w.sent && !w.call.Class.Read {
		return code.OutcomeUnknown
	}
	return code.NotRunMoved
}

func (g *Group) permittedNone(w *work) bool {
	return w.call.Class.Read && g.permitted(w.call.Deadline, w.call) == 0
}

func (g *Group) refuse(w *work, c code.Code, detail string) {
	g.end(w, fault.New(c, detail))
}

func (g *Group) end(w *work, f *fault.Fault) {
	g.forget(w)
	g.count("Refused" + f.Code.Name())
	g.out.Note(w.call.ID, w.call.Session, "refused: "+f.Error())
	g.out.Refuse(w.call.ID, f)
}

func (g *Group) reply(w *work, held bool) {
	g.forget(w)
	g.count("Replied")
	if w.call.Class.Read && w.member != g.primaryIndex() {
		g.count("ReadsAtReplica")
	} else if w.call.Class.Read {
		g.count("ReadsAtPrimary")
	}
	g.out.Reply(w.call.ID, w.mark, w.status, held)
}

func (g *Group) forget(w *work) {
	delete(g.pending, w.call.ID)
	delete(g.running, w.call.ID)
	delete(g.waiting, w.call.ID)
}

// Cancel ends a call that waits, or interrupts it where it runs.
func (g *Group) Cancel(now time.Time, id string) {
	if w, ok := g.waiting[id]; ok {
		g.queue.Remove(id)
		c := code.NotRunCanceled
		if w.sent {
			c = code.OutcomeUnknown
		}
		g.refuse(w, c, "canceled while it waited")
		return
	}
	if w, ok := g.running[id]; ok {
		g.out.Interrupt(w.slot, id)
	}
	g.dispatch(now)
}

func (g *Group) refuseWaiting() {
	for _, c := range g.queue.Drain() {
		w := g.waiting[c.ID]
		if w.sent {
			g.refuse(w, code.OutcomeUnknown, "sent before, and the group moved to another host")
			continue
		}
		g.refuse(w, code.NotRunMoved, "the group moved to another host")
	}
	for _, id := range inOrder(g.pending, func(w *work) bool { return w.purpose == forFloor }) {
		w := g.pending[id]
		g.quorum.Drop(id)
		g.refuse(w, code.NotRunMoved, "the group moved to another host")
	}
}

// dispatch grants free slots to waiting calls until none fits.
func (g *Group) dispatch(now time.Time) {
	if !g.active {
		return
	}
	order := g.order()
	for {
		c, i, slot, ok := g.queue.Pick(now, order)
		g.dropDoomed()
		if !ok {
			return
		}
		g.start(now, g.waiting[c.ID], i, slot)
	}
}

func (g *Group) dropDoomed() {
	for _, c := range g.queue.TakeLate() {
		w := g.waiting[c.ID]
		g.refuse(w, g.notRunCode(w), "it could not have ended before its deadline")
	}
}

func (g *Group) start(now time.Time, w *work, i int, slot uint64) {
	mask := g.permitted(now, w.call)
	if mask&(1<<i) == 0 {
		g.queue.Release(now, i, slot, false)
		g.queue.Requeue(w.call, mask)
		g.park(w, mask)
		return
	}
	delete(g.waiting, w.call.ID)
	_, term := g.quorum.Primary()
	g.run(w, slot, i, term)
}

func (g *Group) run(w *work, slot uint64, i int, term uint64) {
	s := g.seats[slot]
	s.call = w.call.ID
	s.write = s.write || !w.call.Class.Read
	s.term = term
	w.slot = slot
	w.member = i
	w.term = term
	w.hung = false
	w.deadline = w.call.Deadline
	w.attempts++
	g.running[w.call.ID] = w
	g.out.Note(w.call.ID, w.call.Session, "run as "+w.call.Label()+" at "+g.members[i].name)
	if w.settling {
		g.out.Settle(slot, w.call)
		return
	}
	g.out.Run(slot, w.call)
}

// release gives a slot back after a run that left it idle.
func (g *Group) release(now time.Time, slot uint64, answered bool) {
	s := g.seats[slot]
	if s == nil {
		return
	}
	s.call = ""
	s.session = ""
	s.write = false
	if !g.active {
		g.closeSlot(now, slot)
		return
	}
	g.queue.Release(now, s.member, slot, answered)
}

// closeSlot gives a slot up; nothing more comes from it.
func (g *Group) closeSlot(now time.Time, slot uint64) {
	s, ok := g.seats[slot]
	if !ok {
		return
	}
	delete(g.seats, slot)
	if s.ready {
		g.queue.RemoveSlot(now, s.member, slot)
	}
	g.out.CloseSlot(slot)
}

// idleStatus tells whether a run left its slot outside a transaction.
func idleStatus(r result.Result) bool {
	return r.Status == result.Idle
}
