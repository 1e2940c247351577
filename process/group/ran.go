package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// RunFinished takes what came of running a call in a slot.
func (g *Group) RunFinished(now time.Time, slot uint64, id string, r result.Result) {
	w, ok := g.running[id]
	if !ok || w.slot != slot {
		g.closeSlot(now, slot)
		g.dial(now)
		return
	}
	delete(g.running, id)
	g.heardFrom(now, w.member)
	if r.Failure != result.Answered {
		g.failed(now, w, r)
	} else {
		g.answered(now, w, r)
	}
	g.dial(now)
	g.dispatch(now)
	g.advanceSwitch(now)
}

func (g *Group) failed(now time.Time, w *work, r result.Result) {
	inTx := w.inTx
	g.endTransaction(w.call.Session)
	g.closeSlot(now, w.slot)
	switch {
	case r.Failure == result.Overflow:
		g.refuse(w, code.SlowCaller, "the caller did not read its answer")
	case inTx:
		g.failedInside(now, w, r)
	case r.Failure == result.Unsent:
		g.requeue(now, w, "the slot was lost before the request was sent")
	default:
		g.lost(now, w, "the slot was lost before the answer came")
	}
}

// failedInside ends a statement of a transaction whose slot was lost. Unless
// the statement could commit, nothing of the transaction remains.
func (g *Group) failedInside(now time.Time, w *work, r result.Result) {
	if !w.call.Ends || r.Failure == result.Unsent {
		g.refuse(w, code.TransactionLost, "the slot of the transaction was lost")
		return
	}
	w.sent = true
	if w.call.Key != "" {
		g.settle(now, w)
		return
	}
	g.refuse(w, code.OutcomeUnknown, "the slot was lost while the transaction was committed")
}

// lost decides about a call that was sent and not answered.
func (g *Group) lost(now time.Time, w *work, why string) {
	switch {
	case w.call.Class.Read, w.call.Class.Repeatable:
		w.sent = true
		g.requeue(now, w, why)
	case w.call.Key != "":
		w.sent = true
		g.requeue(now, w, why+"; run again under the same idempotency key")
	default:
		g.refuse(w, code.OutcomeUnknown, why)
	}
}

// settle queues the question whether a transaction's key was committed.
func (g *Group) settle(now time.Time, w *work) {
	w.settling = true
	w.inTx = false
	g.requeue(now, w, "settle by the idempotency key")
}

func (g *Group) answered(now time.Time, w *work, r result.Result) {
	w.status = r.Status
	w.mark = r.Mark
	g.keepSlot(now, w, r)
	switch {
	case w.settling:
		g.settled(now, w, r)
	case r.Conflict:
		g.conflict(now, w, r)
	case r.Refused && w.sent && !w.call.Class.Read && idleStatus(r):
		g.refusedAgain(now, w)
	case g.ranAtReplica(w, r):
		g.replicaAnswer(now, w, r)
	default:
		g.primaryAnswer(now, w, r)
	}
}

// refusedAgain decides about a write that the target refused, or that was
// canceled there, after an earlier run of it was lost: the earlier one may have
// run, or may still reach the target.
func (g *Group) refusedAgain(now time.Time, w *work) {
	if w.call.Key != "" {
		g.settle(now, w)
		return
	}
	g.refuse(w, code.OutcomeUnknown, "the target refused the request after an earlier run of it was lost")
}

// keepSlot frees the slot, or binds it to the session's transaction.
func (g *Group) keepSlot(now time.Time, w *work, r result.Result) {
	if idleStatus(r) {
		g.endTransaction(w.call.Session)
		g.release(now, w.slot, true)
		return
	}
	g.beginTransaction(now, w)
}

func (g *Group) ranAtReplica(w *work, r result.Result) bool {
	return w.call.Class.Read && !r.Primary
}

func (g *Group) replicaAnswer(now time.Time, w *work, r result.Result) {
	if !r.Mark.IsZero() && !r.Mark.AtLeast(w.call.Floor) && !w.inTx {
		g.count("ReadsRepeated")
		g.requeue(now, w, "the replica's data was older than the session's floor")
		return
	}
	if r.Mark.IsZero() {
		w.mark = w.call.Floor
	}
	if len(g.members) > 3 && !r.Mark.IsZero() && !g.quorum.Await(w.call.ID, r.Mark) {
		g.confirmLater(now, w, forMark)
		return
	}
	g.reply(w, false)
}

// primaryAnswer releases an answer once what it shows and what it wrote can
// no longer be lost.
func (g *Group) primaryAnswer(now time.Time, w *work, r result.Result) {
	if r.Mark.IsZero() && r.Term == 0 {
		w.complete = true
		g.quorum.AwaitIndex(w.call.ID, now)
		g.confirmLater(now, w, forIndex)
		return
	}
	if r.Term != w.term || !r.Primary {
		g.replaced(now, w, r)
		return
	}
	w.complete = true
	g.quorum.ObserveWrite(g.members[w.member].name, r.Mark)
	if g.recentlyHeard(now) && g.quorum.Await(w.call.ID, r.Mark) {
		g.reply(w, false)
		return
	}
	if g.quorum.Confirms(r.Mark) {
		g.quorum.AwaitIndex(w.call.ID, now)
		g.confirmLater(now, w, forIndex)
		return
	}
	if !g.recentlyHeard(now) {
		_ = g.quorum.Await(w.call.ID, r.Mark)
	}
	g.confirmLater(now, w, forMark)
}

// confirmGrace is how long after its deadline a write that ran still awaits
// its confirmation: a late answer is better than an unknown outcome.
const confirmGrace = 250 * time.Millisecond

func (g *Group) confirmLater(now time.Time, w *work, p purpose) {
	w.purpose = p
	w.since = now
	w.deadline = w.call.Deadline.Add(confirmGrace)
	g.pending[w.call.ID] = w
	g.pollForQuorum()
}

// replaced decides about a call whose member stopped leading while it ran.
func (g *Group) replaced(now time.Time, w *work, r result.Result) {
	if w.inTx || !idleStatus(r) {
		g.loseTransaction(now, w, r)
		return
	}
	if r.Refused {
		g.requeue(now, w, "the member stopped leading and refused the request")
		return
	}
	g.lost(now, w, "the member stopped leading while the request ran")
}

func (g *Group) loseTransaction(now time.Time, w *work, r result.Result) {
	if t, ok := g.open[w.call.Session]; ok {
		g.closeSlot(now, t.slot)
		g.endTransaction(w.call.Session)
	}
	if w.call.Ends && !r.Refused {
		g.refuse(w, code.OutcomeUnknown, "the member stopped leading while the transaction was committed")
		return
	}
	g.refuse(w, code.TransactionLost, "the member stopped leading")
}

// conflict decides about a call whose key was in the marker table: an earlier
// run of it, or another request, was there first.
func (g *Group) conflict(now time.Time, w *work, r result.Result) {
	w.settling = true
	g.settled(now, w, r)
}

// settled ends a call whose key was found, or was withdrawn, once that is
// confirmed by a majority.
func (g *Group) settled(now time.Time, w *work, r result.Result) {
	w.ran = r.Conflict && !r.Withdrawn
	w.restored = r.Restored
	w.status = result.Idle
	g.quorum.ObserveWrite(g.members[w.member].name, r.Mark)
	if r.Term != w.term || !r.Primary || r.Mark.IsZero() {
		g.lost(now, w, "the member stopped leading while the key was settled")
		return
	}
	if g.quorum.Await(w.call.ID, r.Mark) {
		g.tellSettled(w)
		return
	}
	g.confirmLater(now, w, forMark)
}

func (g *Group) tellSettled(w *work) {
	switch {
	case w.ran && w.complete:
		g.reply(w, true)
	case w.ran && w.sent && w.restored:
		g.reply(w, false)
	case w.ran && w.sent:
		g.refuse(w, code.RanAnswerLost, "key "+w.call.Key)
	case w.ran:
		g.refuse(w, code.AlreadyRan, "key "+w.call.Key)
	default:
		g.refuse(w, code.NotRunSettled, "key "+w.call.Key)
	}
}

// AnswerPaused takes news of an answer that outgrew its buffer: the part read so
// far, read at no later than the primary's mark now, awaits its release.
func (g *Group) AnswerPaused(now time.Time, slot uint64, id string) {
	w, ok := g.running[id]
	if !ok || w.slot != slot {
		return
	}
	if w.call.Class.Read && w.member != g.primaryIndex() {
		w.partly = true
		g.out.Resume(id)
		return
	}
	w.partly = true
	g.quorum.AwaitIndex(partPrefix+id, now)
	g.pending[partPrefix+id] = &work{call: w.call, purpose: forPart, deadline: w.call.Deadline, term: w.term}
	g.pollForQuorum()
}

// partPrefix tells the wait for a part of an answer from the wait for all of it.
const partPrefix = "part/"
