package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// waitKind is what a pending job waits for.
type waitKind int

const (
	// waitFloor is a wait, before the call is queued, for a read index to which
	// the call's floor is raised. It applies to calls with FreshFloor.
	waitFloor waitKind = iota
	// waitMark is a wait for the confirmation of the call's own log position.
	waitMark
	// waitIndex is a wait for a read index: the call's own log position is not
	// known, or no majority confirmed the term recently.
	waitIndex
	// waitChunk is a wait for a read index before a chunk of a large answer is
	// released.
	waitChunk
)

// job is a call and its state at the owner.
type job struct {
	call    call.Call
	waitFor waitKind
	// slot and member are where the last run took place. term is the term in
	// which that run, or the transaction around it, began.
	slot     uint64
	member   int
	term     uint64
	attempts int
	// mayHaveRun is set if the call was sent to a target before and the outcome
	// of that run is not known: a write must then not be reported as not run.
	mayHaveRun bool
	// resolving is set once only the state of the idempotency key matters:
	// further runs look the key up and do not execute the call.
	resolving bool
	// inTx is set if the call runs inside an open transaction.
	inTx bool
	// ranBefore is set if the idempotency key was found in the marker table,
	// which means that an earlier run took effect.
	ranBefore bool
	// answerComplete is set once a run was answered completely. Its answer stays
	// buffered while the key is resolved.
	answerComplete bool
	// answerRestored is set if the request's answer was restored from the one
	// stored with the idempotency key.
	answerRestored bool
	// partlyDelivered is set once a chunk of the answer may have reached the
	// caller, after which the call can't run again.
	partlyDelivered bool
	// mark is the log position that the answer reflects, zero if not known.
	mark mark.Mark
	// status is the transaction status of the target connection after the run;
	// result.Idle means that no transaction is open.
	status byte
	// interrupted is set once the run was canceled for its deadline.
	interrupted bool
	// confirmingSince is when the wait for the confirmation began.
	confirmingSince time.Time
	// deadline is when the run is interrupted or the wait ends.
	deadline time.Time
}

// slotState is the state of a slot that is open or being opened.
type slotState struct {
	member int
	// ready is set once the slot is open.
	ready bool
	// call is the id of the call that runs in the slot, or empty.
	call string
	// session is the session whose transaction is bound to the slot, or empty.
	session string
	// write is set if the run or the transaction may write.
	write bool
	// term is the term in which the last run, or the transaction, began.
	term uint64
}

// Submit accepts a call whose id is not in progress at this host. If the session
// has an open transaction here, the call runs in it. Otherwise the call is queued.
// It is refused if it needs an open transaction, if this host does not own the
// group, or if the queue rejects it.
func (g *Group) Submit(now time.Time, c call.Call) {
	j := &job{call: c, mayHaveRun: c.Resent}
	if t, ok := g.transactions[c.Session]; ok {
		g.runInTransaction(now, t, j)
		return
	}
	if c.InTransaction {
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

// awaitFloor delays a call until a read index that is taken now or later is known.
// The call's floor is then raised to that index.
func (g *Group) awaitFloor(now time.Time, j *job) {
	j.waitFor = waitFloor
	j.deadline = j.call.Deadline
	g.pending[j.call.ID] = j
	g.quorum.AwaitIndex(j.call.ID, now)
	g.pollAll(0)
}

// enqueue queues a call, or refuses it if it would miss its deadline or the queue
// is full. A call that may have run before is always queued, since this refusal
// states that the call did not run.
func (g *Group) enqueue(now time.Time, j *job) {
	mask := g.permittedMask(now, j.call)
	if j.mayHaveRun {
		g.waiting[j.call.ID] = j
		g.queue.Requeue(j.call, mask)
		return
	}
	wait, ok := g.queue.Offer(now, j.call, mask)
	if !ok {
		g.incrementCounter("RefusedOverload")
		f := fault.New(code.NotRunOverload, "predicted wait "+wait.Round(time.Millisecond).String())
		g.fail(j, f.WithRetryAfter(max(wait-j.call.Deadline.Sub(now), time.Millisecond)))
		return
	}
	g.waiting[j.call.ID] = j
	g.park(j, mask)
	g.refreshReports(now, j.call)
}

// park records a read that no member may serve yet. With each report, unparkReads
// checks whether a member may serve it now.
func (g *Group) park(j *job, mask uint8) {
	if mask == 0 && j.call.Class.Read {
		g.parked[j.call.ID] = j
	}
}

// requeue queues a call for another run. It may only be used if the earlier run
// had no effect or if another run is safe. The call is refused instead if it ran
// inside a transaction and its key is not being resolved, if a chunk of its answer
// was delivered, if this host no longer owns the group, if its deadline has passed,
// or if its attempts or the group's retry budget are used up.
func (g *Group) requeue(now time.Time, j *job, why string) {
	if j.inTx && !j.resolving {
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
	g.incrementCounter("Retries")
	g.effects.Note(j.call.ID, j.call.Session, "retry: "+why)
	g.waiting[j.call.ID] = j
	mask := g.permittedMask(now, j.call)
	g.queue.Requeue(j.call, mask)
	g.park(j, mask)
}

// notRunCode returns the code for a call that could not run now. For a write that
// may have run earlier, the code is OutcomeUnknown.
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

// movedCode returns the code for a call that can't run because this host no longer
// owns the group. For a write that may have run earlier, it is OutcomeUnknown.
func (g *Group) movedCode(j *job) code.Code {
	if j.mayHaveRun && !j.call.Class.Read {
		return code.OutcomeUnknown
	}
	return code.NotRunMoved
}

// noMemberPermitted reports whether the call is a read that no member may serve
// even at its deadline.
func (g *Group) noMemberPermitted(j *job) bool {
	return j.call.Class.Read && g.permittedMask(j.call.Deadline, j.call) == 0
}

// refuse ends a call with a fault that has this code and detail.
func (g *Group) refuse(j *job, c code.Code, detail string) {
	g.fail(j, fault.New(c, detail))
}

// fail ends a call with a fault, which it counts and notes.
func (g *Group) fail(j *job, f *fault.Fault) {
	g.forget(j)
	g.incrementCounter("Refused" + f.Code.Name())
	g.effects.Note(j.call.ID, j.call.Session, "refused: "+f.Error())
	g.effects.Refuse(j.call.ID, f)
}

// reply releases the answer of a call, or the buffered one of an earlier run.
func (g *Group) reply(j *job, earlierAnswer bool) {
	g.forget(j)
	g.incrementCounter("Replied")
	if j.call.Class.Read && j.member != g.primaryIndex() {
		g.incrementCounter("ReadsAtReplica")
	} else if j.call.Class.Read {
		g.incrementCounter("ReadsAtPrimary")
	}
	g.effects.Reply(j.call.ID, j.mark, j.status, earlierAnswer)
}

// forget removes a call from pending, running and waiting, but not from the queue.
func (g *Group) forget(j *job) {
	delete(g.pending, j.call.ID)
	delete(g.running, j.call.ID)
	delete(g.waiting, j.call.ID)
}

// Cancel refuses a call that is in the queue, or interrupts a call that runs in a
// slot. A call that waits for a confirmation or a read index is not affected.
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

// refuseWaiting refuses every call that is in the queue or waits for its floor.
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
		g.quorum.RemoveWaiter(id)
		g.refuse(j, code.NotRunMoved, "the group moved to another host")
	}
}

// dispatch grants free slots to waiting calls until no call fits a free slot.
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

// refuseLate refuses the calls that the queue dropped because they could no
// longer finish before their deadline.
func (g *Group) refuseLate() {
	for _, c := range g.queue.TakeLate() {
		j := g.waiting[c.ID]
		g.refuse(j, g.notRunCode(j), "it could not have ended before its deadline")
	}
}

// start runs a call in the slot that the queue granted. If the member may no
// longer serve the call, the slot is released and the call queued again.
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

// run starts a call in a slot, or the lookup of its idempotency key if resolving
// is set.
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
	if j.resolving {
		g.effects.ResolveKey(slot, j.call)
		return
	}
	g.effects.Run(slot, j.call)
}

// releaseSlot makes a slot free again after a run or rollback that left it
// outside a transaction, or closes it if this host no longer owns the group. If
// answered is set, the time that the slot was busy is recorded as a service time.
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

// closeSlot closes a slot and forgets it. Later results from it are ignored.
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

// endedOutsideTransaction reports whether no transaction was open in the slot after
// a run.
func endedOutsideTransaction(r result.Result) bool {
	return r.Status == result.Idle
}

// slotOf returns the slot in which a call runs, or 0, which is no slot.
func (g *Group) slotOf(id string) uint64 {
	if j, ok := g.running[id]; ok {
		return j.slot
	}
	return 0
}

// abortRun closes a slot. If the call still runs there, it is handled as a call
// whose slot was lost.
func (g *Group) abortRun(now time.Time, slot uint64, id string) {
	j, ok := g.running[id]
	if !ok {
		g.closeSlot(now, slot)
		return
	}
	delete(g.running, id)
	g.runFailed(now, j, result.Result{Failure: result.Lost})
}
