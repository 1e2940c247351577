package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// RunFinished takes what came of running a call in a slot.
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

// transactionRunFailed ends a statement of a transaction whose slot was lost. Unless
// the statement could commit, nothing of the transaction remains.
func (g *Group) transactionRunFailed(now time.Time, j *job, r result.Result) {
	if !j.call.Ends || r.Failure == result.Unsent {
		g.refuse(j, code.TransactionLost, "the slot of the transaction was lost")
		return
	}
	j.mayHaveRun = true
	if j.call.Key != "" {
		g.settleByKey(now, j)
		return
	}
	g.refuse(j, code.OutcomeUnknown, "the slot was lost while the transaction was committed")
}

// runLost decides about a call that was sent and not answered.
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

// settleByKey queues the question whether a transaction's key was committed.
func (g *Group) settleByKey(now time.Time, j *job) {
	j.settling = true
	j.inTx = false
	g.requeue(now, j, "settle by the idempotency key")
}

func (g *Group) runAnswered(now time.Time, j *job, r result.Result) {
	j.status = r.Status
	j.mark = r.Mark
	g.releaseOrBindSlot(now, j, r)
	switch {
	case j.settling:
		g.keySettled(now, j, r)
	case r.Conflict:
		g.keyConflict(now, j, r)
	case r.Refused && j.mayHaveRun && !j.call.Class.Read && idleStatus(r):
		g.refusedAfterLostRun(now, j)
	case g.ranAtReplica(j, r):
		g.handleReplicaAnswer(now, j, r)
	default:
		g.handlePrimaryAnswer(now, j, r)
	}
}

// refusedAfterLostRun decides about a write that the target refused, or that was
// canceled there, after an earlier run of it was lost: the earlier one may have
// run, or may still reach the target.
func (g *Group) refusedAfterLostRun(now time.Time, j *job) {
	if j.call.Key != "" {
		g.settleByKey(now, j)
		return
	}
	g.refuse(j, code.OutcomeUnknown, "the target refused the request after an earlier run of it was lost")
}

// releaseOrBindSlot frees the slot, or binds it to the session's transaction.
func (g *Group) releaseOrBindSlot(now time.Time, j *job, r result.Result) {
	if idleStatus(r) {
		g.endTransaction(j.call.Session)
		g.releaseSlot(now, j.slot, true)
		return
	}
	g.bindTransaction(now, j)
}

func (g *Group) ranAtReplica(j *job, r result.Result) bool {
	return j.call.Class.Read && !r.Primary
}

func (g *Group) handleReplicaAnswer(now time.Time, j *job, r result.Result) {
	if !r.Mark.IsZero() && !r.Mark.AtLeast(j.call.Floor) && !j.inTx {
		g.count("ReadsRepeated")
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

// handlePrimaryAnswer releases an answer once what it shows and what it wrote can
// no longer be lost.
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

// confirmGrace is how long after its deadline a write that ran still awaits
// its confirmation: a late answer is better than an unknown outcome.
const confirmGrace = 250 * time.Millisecond

func (g *Group) awaitConfirmation(now time.Time, j *job, p waitKind) {
	j.waitFor = p
	j.confirmingSince = now
	j.deadline = j.call.Deadline.Add(confirmGrace)
	g.pending[j.call.ID] = j
	g.pollForQuorum()
}

// primaryReplaced decides about a call whose member stopped leading while it ran.
func (g *Group) primaryReplaced(now time.Time, j *job, r result.Result) {
	if j.inTx || !idleStatus(r) {
		g.failTransaction(now, j, r)
		return
	}
	if r.Refused {
		g.requeue(now, j, "the member stopped leading and refused the request")
		return
	}
	g.runLost(now, j, "the member stopped leading while the request ran")
}

func (g *Group) failTransaction(now time.Time, j *job, r result.Result) {
	if t, ok := g.transactions[j.call.Session]; ok {
		g.closeSlot(now, t.slot)
		g.endTransaction(j.call.Session)
	}
	if j.call.Ends && !r.Refused {
		g.refuse(j, code.OutcomeUnknown, "the member stopped leading while the transaction was committed")
		return
	}
	g.refuse(j, code.TransactionLost, "the member stopped leading")
}

// keyConflict decides about a call whose key was in the marker table: an earlier
// run of it, or another request, was there first.
func (g *Group) keyConflict(now time.Time, j *job, r result.Result) {
	j.settling = true
	g.keySettled(now, j, r)
}

// keySettled ends a call whose key was found, or was withdrawn, once that is
// confirmed by a majority.
func (g *Group) keySettled(now time.Time, j *job, r result.Result) {
	j.ranBefore = r.Conflict && !r.Withdrawn
	j.answerRestored = r.Restored
	j.status = result.Idle
	g.quorum.ObserveWrite(g.members[j.member].name, r.Mark)
	if r.Term != j.term || !r.Primary || r.Mark.IsZero() {
		g.runLost(now, j, "the member stopped leading while the key was settled")
		return
	}
	if g.quorum.Await(j.call.ID, r.Mark) {
		g.finishSettled(j)
		return
	}
	g.awaitConfirmation(now, j, waitMark)
}

func (g *Group) finishSettled(j *job) {
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

// AnswerPaused takes news of an answer that outgrew its buffer: the part read so
// far, read at no later than the primary's mark now, awaits its release.
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

// chunkPrefix tells the wait for a part of an answer from the wait for all of it.
const chunkPrefix = "part/"
