package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// waitKind says what a call awaits outside the queue and the slots.
type waitKind int

const (
	// waitFloor awaits the read index of a session that arrived without a floor.
	waitFloor waitKind = iota
	// waitMark awaits the confirmation of the call's own mark.
	waitMark
	// waitIndex awaits a read index, as the call's own mark is not known.
	waitIndex
	// waitChunk awaits the release of a part of a large answer.
	waitChunk
)

// job is one call at the owner.
type job struct {
	call            call.Call
	waitFor         waitKind
	slot            uint64
	member          int
	term            uint64
	attempts        int
	mayHaveRun      bool
	settling        bool
	inTx            bool
	ranBefore       bool
	answerComplete  bool
	answerRestored  bool
	partlyDelivered bool
	mark            mark.Mark
	status          byte
	interrupted     bool
	confirmingSince time.Time
	deadline        time.Time
}

// slotState is one open or opening slot.
type slotState struct {
	member  int
	ready   bool
	call    string
	session string
	write   bool
	term    uint64
}

// Submit takes a call whose id is new to this host.
func (g *Group) Submit(now time.Time, c call.Call) {
	j := &job{call: c, mayHaveRun: c.Sent}
	if t, ok := g.transactions[c.Session]; ok {
		g.runInTransaction(now, t, j)
		return
	}
	if c.Follows {
		g.refuse(j, code.TransactionLost, "no open transaction of the session at its owner")
		return
	}
	if !g.active {
		g.refuse(j, code.NotRunMoved, "this host does not own the group")
		return
	}
	if c.FreshFloor {
		g.awaitFloor(now, j)
		return
	}
	g.enqueue(now, j)
	g.dispatch(now)
}

func (g *Group) awaitFloor(now time.Time, j *job) {
	j.waitFor = waitFloor
	j.deadline = j.call.Deadline
	g.pending[j.call.ID] = j
	g.quorum.AwaitIndex(j.call.ID, now)
	g.pollAll(0)
}

func (g *Group) enqueue(now time.Time, j *job) {
	mask := g.permittedMask(now, j.call)
	if j.mayHaveRun {
		g.waiting[j.call.ID] = j
		g.queue.Requeue(j.call, mask)
		return
	}
	wait, ok := g.queue.Offer(now, j.call, mask)
	if !ok {
		g.count("RefusedOverload")
		f := fault.New(code.NotRunOverload, "predicted wait "+wait.Round(time.Millisecond).String())
		g.fail(j, f.WithRetryAfter(max(wait-j.call.Deadline.Sub(now), time.Millisecond)))
		return
	}
	g.waiting[j.call.ID] = j
	g.park(j, mask)
	g.refreshReports(now, j.call)
}

// park remembers a read that no member may serve yet.
func (g *Group) park(j *job, mask uint8) {
	if mask == 0 && j.call.Class.Read {
		g.parked[j.call.ID] = j
	}
}

// requeue lets a call that truly did not run wait again.
func (g *Group) requeue(now time.Time, j *job, why string) {
	if j.inTx && !j.settling {
		g.refuse(j, code.TransactionLost, why)
		return
	}
	if j.partlyDelivered {
		g.refuse(j, code.OutcomeUnknown, why+", and a part of its answer was delivered")
		return
	}
	if !g.active {
		g.refuse(j, g.movedCode(j), why)
		return
	}
	if !now.Before(j.call.Deadline) || j.attempts >= maxAttempts || !g.retryBudget.AllowN(now, 1) {
		g.refuse(j, g.notRunCode(j), why)
		return
	}
	g.count("Retries")
	g.effects.Note(j.call.ID, j.call.Session, "retry: "+why)
	g.waiting[j.call.ID] = j
	mask := g.permittedMask(now, j.call)
	g.queue.Requeue(j.call, mask)
	g.park(j, mask)
}

// notRunCode tells why a call could not run. A call that was sent before may
// have run then, so nothing better than an unknown outcome is said of it.
func (g *Group) notRunCode(j *job) code.Code {
	switch {
	case j.mayHaveRun && !j.call.Class.Read:
		return code.OutcomeUnknown
	case !j.call.Class.Read && !g.majorityReachable:
		return code.NotRunNoMajority
	case g.primaryIndex() < 0:
		return code.NotRunNoPrimary
	case g.noMemberPermitted(j):
		return code.NotRunNoFresh
	}
	return code.NotRunDeadline
}

func (g *Group) movedCode(j *job) code.Code {
	if j.mayHaveRun && !j.call.Class.Read {
		return code.OutcomeUnknown
	}
	return code.NotRunMoved
}

func (g *Group) noMemberPermitted(j *job) bool {
	return j.call.Class.Read && g.permittedMask(j.call.Deadline, j.call) == 0
}

func (g *Group) refuse(j *job, c code.Code, detail string) {
	g.fail(j, fault.New(c, detail))
}

func (g *Group) fail(j *job, f *fault.Fault) {
	g.forget(j)
	g.count("Refused" + f.Code.Name())
	g.effects.Note(j.call.ID, j.call.Session, "refused: "+f.Error())
	g.effects.Refuse(j.call.ID, f)
}

func (g *Group) reply(j *job, earlierAnswer bool) {
	g.forget(j)
	g.count("Replied")
	if j.call.Class.Read && j.member != g.primaryIndex() {
		g.count("ReadsAtReplica")
	} else if j.call.Class.Read {
		g.count("ReadsAtPrimary")
	}
	g.effects.Reply(j.call.ID, j.mark, j.status, earlierAnswer)
}

func (g *Group) forget(j *job) {
	delete(g.pending, j.call.ID)
	delete(g.running, j.call.ID)
	delete(g.waiting, j.call.ID)
}

// Cancel ends a call that waits, or interrupts it where it runs.
func (g *Group) Cancel(now time.Time, id string) {
	if j, ok := g.waiting[id]; ok {
		g.queue.Remove(id)
		c := code.NotRunCanceled
		if j.mayHaveRun {
			c = code.OutcomeUnknown
		}
		g.refuse(j, c, "canceled while it waited")
		return
	}
	if j, ok := g.running[id]; ok {
		g.effects.Interrupt(j.slot, id)
	}
	g.dispatch(now)
}

func (g *Group) refuseWaiting() {
	for _, c := range g.queue.Drain() {
		j := g.waiting[c.ID]
		if j.mayHaveRun {
			g.refuse(j, code.OutcomeUnknown, "sent before, and the group moved to another host")
			continue
		}
		g.refuse(j, code.NotRunMoved, "the group moved to another host")
	}
	for _, id := range sortedKeys(g.pending, func(j *job) bool { return j.waitFor == waitFloor }) {
		j := g.pending[id]
		g.quorum.Drop(id)
		g.refuse(j, code.NotRunMoved, "the group moved to another host")
	}
}

// dispatch grants free slots to waiting calls until none fits.
func (g *Group) dispatch(now time.Time) {
	if !g.active {
		return
	}
	order := g.memberOrder()
	for {
		c, i, slot, ok := g.queue.Pick(now, order)
		g.refuseLate()
		if !ok {
			return
		}
		g.start(now, g.waiting[c.ID], i, slot)
	}
}

func (g *Group) refuseLate() {
	for _, c := range g.queue.TakeLate() {
		j := g.waiting[c.ID]
		g.refuse(j, g.notRunCode(j), "it could not have ended before its deadline")
	}
}

func (g *Group) start(now time.Time, j *job, member int, slot uint64) {
	mask := g.permittedMask(now, j.call)
	if mask&(1<<member) == 0 {
		g.queue.Release(now, member, slot, false)
		g.queue.Requeue(j.call, mask)
		g.park(j, mask)
		return
	}
	delete(g.waiting, j.call.ID)
	_, term := g.quorum.Primary()
	g.run(j, slot, member, term)
}

func (g *Group) run(j *job, slot uint64, member int, term uint64) {
	s := g.slots[slot]
	s.call = j.call.ID
	s.write = s.write || !j.call.Class.Read
	s.term = term
	j.slot = slot
	j.member = member
	j.term = term
	j.interrupted = false
	j.deadline = j.call.Deadline
	j.attempts++
	g.running[j.call.ID] = j
	g.effects.Note(j.call.ID, j.call.Session, "run as "+j.call.Label()+" at "+g.members[member].name)
	if j.settling {
		g.effects.Settle(slot, j.call)
		return
	}
	g.effects.Run(slot, j.call)
}

// releaseSlot gives a slot back after a run that left it idle.
func (g *Group) releaseSlot(now time.Time, slot uint64, answered bool) {
	s := g.slots[slot]
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
	s, ok := g.slots[slot]
	if !ok {
		return
	}
	delete(g.slots, slot)
	if s.ready {
		g.queue.RemoveSlot(now, s.member, slot)
	}
	g.effects.CloseSlot(slot)
}

// idleStatus tells whether a run left its slot outside a transaction.
func idleStatus(r result.Result) bool {
	return r.Status == result.Idle
}

func (g *Group) slotOf(id string) uint64 {
	if j, ok := g.running[id]; ok {
		return j.slot
	}
	return 0
}

// abortRun gives up what runs in a slot, as if the slot had been lost.
func (g *Group) abortRun(now time.Time, slot uint64, id string) {
	j, ok := g.running[id]
	if !ok {
		g.closeSlot(now, slot)
		return
	}
	delete(g.running, id)
	g.runFailed(now, j, result.Result{Failure: result.Lost})
}
