package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// RunFinished handles the result of a run, or of the lookup of a key, in a slot.
// If the group no longer expects the call to run in this slot, it closes the slot
// and ignores the result.
func (g *Group) RunFinished(now time.Time, slot uint64, id string, r result.Result) {
	j, ok := g.running[id]
	if !ok || j.slot != slot {
		g.closeSlot(now, slot)
		g.openSlots(now)
		return
	}
	delete(g.running, id)
	g.memberAnswered(now, j.member)
	if r.Failure != result.Answered {
		g.runFailed(now, j, r)
	} else {
		g.runAnswered(now, j, r)
	}
	g.openSlots(now)
	g.dispatch(now)
	g.advanceSwitchover(now)
}

// runFailed handles a call whose run was not fully answered. It closes the slot,
// which also ends the transaction that was open there.
func (g *Group) runFailed(now time.Time, j *job, r result.Result) {
	inTx := j.inTx
	g.endTransaction(j.call.Session)
	g.closeSlot(now, j.slot)
	switch {
	case r.Failure == result.Overflow:
		g.refuse(j, code.SlowCaller, "the caller did not read its answer")
	case inTx:
		g.transactionRunFailed(now, j, r)
	case r.Failure == result.Unsent:
		g.requeue(now, j, "the slot was lost before the request was sent")
	default:
		g.runLost(now, j, "the slot was lost before the answer came")
	}
}

// transactionRunFailed handles a call inside a transaction after the loss of its
// slot. The target rolls back every transaction that was not committed. If the call
// may have committed the transaction, its idempotency key is looked up; without a
// key, the outcome is unknown.
func (g *Group) transactionRunFailed(now time.Time, j *job, r result.Result) {
	if !j.call.Ends || r.Failure == result.Unsent {
		g.refuse(j, code.TransactionLost, "the slot of the transaction was lost")
		return
	}
	j.mayHaveRun = true
	if j.call.Key != "" {
		g.resolveByKey(now, j)
		return
	}
	g.refuse(j, code.OutcomeUnknown, "the slot was lost while the transaction was committed")
}

// runLost handles a call that may have run and whose outcome is not known.
// Reads, repeatable calls and calls with an idempotency key run again; the
// outcome of any other call is unknown.
func (g *Group) runLost(now time.Time, j *job, why string) {
	switch {
	case j.call.Class.Read, j.call.Class.Repeatable:
		j.mayHaveRun = true
		g.requeue(now, j, why)
	case j.call.Key != "":
		j.mayHaveRun = true
		g.requeue(now, j, why+"; run again under the same idempotency key")
	default:
		g.refuse(j, code.OutcomeUnknown, why)
	}
}

// resolveByKey queues a lookup of the call's idempotency key in the marker table,
// which decides whether the call counts as run; see effects.ResolveKey.
func (g *Group) resolveByKey(now time.Time, j *job) {
	j.resolving = true
	j.inTx = false
	g.requeue(now, j, "settle by the idempotency key")
}

// runAnswered handles a call that was answered, with a result or an error.
func (g *Group) runAnswered(now time.Time, j *job, r result.Result) {
	j.status = r.Status
	j.mark = r.Mark
	g.releaseOrBindSlot(now, j, r)
	switch {
	case j.resolving:
		g.keyResolved(now, j, r)
	case r.Conflict:
		g.keyConflict(now, j, r)
	case r.TargetError && j.mayHaveRun && !j.call.Class.Read && endedOutsideTransaction(r):
		g.refusedAfterLostRun(now, j)
	case g.ranAtReplica(j, r):
		g.handleReplicaAnswer(now, j, r)
	default:
		g.handlePrimaryAnswer(now, j, r)
	}
}

// refusedAfterLostRun handles a write that the target refused, or that was
// canceled there, after an earlier run of it was lost: the earlier run may have
// taken effect, or may still reach the target.
func (g *Group) refusedAfterLostRun(now time.Time, j *job) {
	if j.call.Key != "" {
		g.resolveByKey(now, j)
		return
	}
	g.refuse(j, code.OutcomeUnknown, "the target refused the request after an earlier run of it was lost")
}

// releaseOrBindSlot frees the slot, or binds it to the session's transaction if
// one is open after the run.
func (g *Group) releaseOrBindSlot(now time.Time, j *job, r result.Result) {
	if endedOutsideTransaction(r) {
		g.endTransaction(j.call.Session)
		g.releaseSlot(now, j.slot, true)
		return
	}
	g.bindTransaction(now, j)
}

// ranAtReplica reports whether the call is a read that a replica answered.
func (g *Group) ranAtReplica(j *job, r result.Result) bool {
	return j.call.Class.Read && !r.Primary
}

// handleReplicaAnswer releases the answer of a read at a replica. If the data is
// older than the read's floor, the read runs again, unless it is inside a
// transaction. In groups of more than three members, the answer waits until a
// majority has confirmed the log position that it reflects. In smaller groups, the
// replica and the primary that wrote the entry are a majority.
func (g *Group) handleReplicaAnswer(now time.Time, j *job, r result.Result) {
	if !r.Mark.IsZero() && !r.Mark.AtLeast(j.call.Floor) && !j.inTx {
		g.incrementCounter("ReadsRepeated")
		g.requeue(now, j, "the replica's data was older than the session's floor")
		return
	}
	if r.Mark.IsZero() {
		j.mark = j.call.Floor
	}
	if len(g.members) > 3 && !r.Mark.IsZero() && !g.quorum.Await(j.call.ID, r.Mark) {
		g.awaitConfirmation(now, j, waitMark)
		return
	}
	g.reply(j, false)
}

// handlePrimaryAnswer releases the answer of a call at the primary once nothing
// that the call read or wrote can be lost any more. This requires the confirmation
// of the call's log position or, if that position is not known, of a read index. If
// no majority has confirmed the term within maxMajorityAge, the answer also waits
// for a new report or read index.
func (g *Group) handlePrimaryAnswer(now time.Time, j *job, r result.Result) {
	if r.Mark.IsZero() && r.Term == 0 {
		j.answerComplete = true
		g.quorum.AwaitIndex(j.call.ID, now)
		g.awaitConfirmation(now, j, waitIndex)
		return
	}
	if r.Term != j.term || !r.Primary {
		g.primaryReplaced(now, j, r)
		return
	}
	j.answerComplete = true
	g.quorum.ObserveWrite(g.members[j.member].name, r.Mark)
	if g.majorityHeardRecently(now) && g.quorum.Await(j.call.ID, r.Mark) {
		g.reply(j, false)
		return
	}
	if g.quorum.Confirms(r.Mark) {
		g.quorum.AwaitIndex(j.call.ID, now)
		g.awaitConfirmation(now, j, waitIndex)
		return
	}
	if !g.majorityHeardRecently(now) {
		_ = g.quorum.Await(j.call.ID, r.Mark)
	}
	g.awaitConfirmation(now, j, waitMark)
}

// confirmGrace is how long after its deadline a call that ran still waits for its
// confirmation: a late answer is better than an unknown outcome.
const confirmGrace = 250 * time.Millisecond

// awaitConfirmation delays the answer of a call until its log position is confirmed
// or, for waitIndex, until a read index is known.
func (g *Group) awaitConfirmation(now time.Time, j *job, kind waitKind) {
	j.waitFor = kind
	j.confirmingSince = now
	j.deadline = j.call.Deadline.Add(confirmGrace)
	g.pending[j.call.ID] = j
	g.pollForQuorum()
}

// primaryReplaced handles a call whose member stopped being the primary while the
// call ran.
func (g *Group) primaryReplaced(now time.Time, j *job, r result.Result) {
	if j.inTx || !endedOutsideTransaction(r) {
		g.failTransaction(now, j, r)
		return
	}
	if r.TargetError {
		g.requeue(now, j, "the member stopped leading and refused the request")
		return
	}
	g.runLost(now, j, "the member stopped leading while the request ran")
}

// failTransaction ends a call, and the transaction that it ran in, after its
// member stopped being the primary.
func (g *Group) failTransaction(now time.Time, j *job, r result.Result) {
	if t, ok := g.transactions[j.call.Session]; ok {
		g.closeSlot(now, t.slot)
		g.endTransaction(j.call.Session)
	}
	if j.call.Ends && !r.TargetError {
		g.refuse(j, code.OutcomeUnknown, "the member stopped leading while the transaction was committed")
		return
	}
	g.refuse(j, code.TransactionLost, "the member stopped leading")
}

// keyConflict handles a call whose idempotency key was in the marker table
// already: an earlier run of it, or another request, used the key first.
func (g *Group) keyConflict(now time.Time, j *job, r result.Result) {
	j.resolving = true
	g.keyResolved(now, j, r)
}

// keyResolved ends a call whose idempotency key was found or was withdrawn, once a
// majority has confirmed this. If the member is no longer the primary, or returned
// no log position, the key is looked up again.
func (g *Group) keyResolved(now time.Time, j *job, r result.Result) {
	j.ranBefore = r.Conflict && !r.Withdrawn
	j.answerRestored = r.Restored
	j.status = result.Idle
	g.quorum.ObserveWrite(g.members[j.member].name, r.Mark)
	if r.Term != j.term || !r.Primary || r.Mark.IsZero() {
		g.runLost(now, j, "the member stopped leading while the key was settled")
		return
	}
	if g.quorum.Await(j.call.ID, r.Mark) {
		g.finishResolved(j)
		return
	}
	g.awaitConfirmation(now, j, waitMark)
}

// finishResolved ends a call whose key was resolved: with the answer of the run that
// took effect if that answer is buffered or was stored with the key, and otherwise
// with a fault whose code states whether the call ran.
func (g *Group) finishResolved(j *job) {
	switch {
	case j.ranBefore && j.answerComplete:
		g.reply(j, true)
	case j.ranBefore && j.mayHaveRun && j.answerRestored:
		g.reply(j, false)
	case j.ranBefore && j.mayHaveRun:
		g.refuse(j, code.RanAnswerLost, "key "+j.call.Key)
	case j.ranBefore:
		g.refuse(j, code.AlreadyRan, "key "+j.call.Key)
	default:
		g.refuse(j, code.NotRunSettled, "key "+j.call.Key)
	}
}

// AnswerPaused handles an answer that has filled its buffer. The chunk read so far
// reflects nothing later than the present end of the primary's log, so it may be
// released once a read index taken from now on is confirmed. The chunk of a read
// at a replica is released at once.
func (g *Group) AnswerPaused(now time.Time, slot uint64, id string) {
	j, ok := g.running[id]
	if !ok || j.slot != slot {
		return
	}
	if j.call.Class.Read && j.member != g.primaryIndex() {
		j.partlyDelivered = true
		g.effects.Resume(id)
		return
	}
	j.partlyDelivered = true
	g.quorum.AwaitIndex(chunkPrefix+id, now)
	g.pending[chunkPrefix+id] = &job{call: j.call, waitFor: waitChunk, deadline: j.call.Deadline, term: j.term}
	g.pollForQuorum()
}

// chunkPrefix and a call id form the id of the wait for a chunk of an answer, which
// must differ from the id of the wait for the whole answer.
const chunkPrefix = "part/"
