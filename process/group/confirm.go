package group

import (
	"math"
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// resolvePending handles the pending jobs that no longer have to wait: the newest
// report decided the outcome of their log entry, or led to the read index that they
// need. It also advances a switchover, which may have waited for these jobs.
func (g *Group) resolvePending(now time.Time) {
	confirmed, lost, undetermined := g.quorum.TakeDecided()
	for _, id := range confirmed {
		g.updateMargin(now, id)
		g.entryConfirmed(id)
	}
	for _, id := range lost {
		g.entryLost(now, id)
	}
	for _, id := range undetermined {
		g.entryUndetermined(now, id)
	}
	ready, index := g.quorum.TakeIndexed()
	for _, id := range ready {
		g.readIndexTaken(now, id, index)
	}
	g.advanceSwitchover(now)
}

const (
	// confirmMeanWeight is the weight of a new measurement in the moving means
	// of the confirmation time and of its deviation.
	confirmMeanWeight = 0.05
	// marginDeviations is the number of mean deviations in the margin between the
	// end of a run and its deadline. The margin is the mean confirmation time plus
	// these deviations.
	marginDeviations = 4
)

// updateMargin measures how long the confirmation of a call took, and updates the
// margin that the queue leaves before deadlines. It ignores waits before a call is
// queued and waits for a chunk, which set no confirmingSince.
func (g *Group) updateMargin(now time.Time, id string) {
	j, ok := g.pending[id]
	if !ok || j.confirmingSince.IsZero() {
		return
	}
	deviation := float64(now.Sub(j.confirmingSince)) - g.confirmMean
	g.confirmMean += confirmMeanWeight * deviation
	g.confirmDeviation += confirmMeanWeight * (math.Abs(deviation) - g.confirmDeviation)
	g.queue.SetMargin(time.Duration(g.confirmMean + marginDeviations*g.confirmDeviation))
}

// takePending removes the call that waits under an id and returns it, or nil if there is none.
func (g *Group) takePending(id string) *job {
	j := g.pending[id]
	delete(g.pending, id)
	return j
}

// entryConfirmed handles the confirmation of the log position that a call waited
// for. It releases the call's answer or a chunk of it, or ends a call whose
// idempotency key was resolved.
func (g *Group) entryConfirmed(id string) {
	j := g.takePending(id)
	if j == nil {
		return
	}
	switch {
	case j.waitFor == waitChunk:
		g.effects.Resume(j.call.ID)
	case j.resolving:
		g.finishResolved(j)
	default:
		g.reply(j, false)
	}
}

// entryLost ends or retries a call whose entry is not in the log of the new term.
// The entry can never become visible, so a write in it counts as not run.
func (g *Group) entryLost(now time.Time, id string) {
	j := g.takePending(id)
	if j == nil {
		return
	}
	switch {
	case j.waitFor == waitChunk:
		g.effects.Interrupt(g.slotOf(j.call.ID), j.call.ID)
	case j.inTx || !endedOutsideTransaction(result.Result{Status: j.status}):
		g.refuse(j, code.TransactionLost, "the primary was replaced before a majority held the transaction")
	default:
		j.answerComplete = false
		g.requeue(now, j, "the primary was replaced before a majority held the write")
	}
}

// entryUndetermined handles a call for which the log no longer shows whether its
// entry survived. It refuses the call, runs it again, or queues a lookup of its
// idempotency key.
func (g *Group) entryUndetermined(now time.Time, id string) {
	j := g.takePending(id)
	if j == nil {
		return
	}
	if j.inTx && j.call.Key != "" && j.call.Ends {
		j.mayHaveRun = true
		g.resolveByKey(now, j)
		return
	}
	if j.inTx {
		g.refuse(j, code.OutcomeUnknown, "the primary was replaced before a majority held the transaction")
		return
	}
	g.runLost(now, j, "the primary was replaced before a majority held the write")
}

// readIndexTaken resumes a call that waited for a read index. A call that waited
// for its floor is queued, and its floor is raised to the index. If the call has
// run already, its next wait is for the confirmation of its own log position, or of
// the index if that position is not known. A chunk waits for the confirmation of
// the index.
func (g *Group) readIndexTaken(now time.Time, id string, index mark.Mark) {
	j := g.takePending(id)
	if j == nil {
		return
	}
	if j.waitFor == waitFloor {
		j.call = j.call.WithFloor(j.call.Floor.Max(index)).WithFreshFloor(false)
		g.enqueue(now, j)
		return
	}
	if index.Term != j.term {
		g.readIndexOfNewTerm(now, j)
		return
	}
	if j.waitFor == waitIndex && j.mark.IsZero() {
		j.mark = index
	}
	position := index
	if j.waitFor == waitIndex {
		position = j.mark
	}
	if g.quorum.Await(id, position) {
		g.pending[id] = j
		g.entryConfirmed(id)
		return
	}
	if j.waitFor == waitIndex {
		j.waitFor = waitMark
	}
	g.pending[id] = j
	g.pollForQuorum()
}

// readIndexOfNewTerm ends or retries a call that ran in one term while the read
// index was taken in another. Such an index proves nothing about the call.
func (g *Group) readIndexOfNewTerm(now time.Time, j *job) {
	switch {
	case j.waitFor == waitChunk:
		g.effects.Interrupt(g.slotOf(j.call.ID), j.call.ID)
	case j.inTx:
		g.refuse(j, code.OutcomeUnknown, "the primary was replaced before a majority held the transaction")
	case j.call.Class.Read:
		g.requeue(now, j, "the primary was replaced while the read ran")
	default:
		g.runLost(now, j, "the primary was replaced before a majority held the write")
	}
}
