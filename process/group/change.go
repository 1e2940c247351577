package group

import (
	"math"
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/result"
)

const (
	// drainLimit bounds how long a planned change of primary holds writes back
	// for transactions to end.
	drainLimit = 2 * time.Second
)

// shift is a planned change of primary in progress.
type shift struct {
	to      string
	since   time.Time
	fencing bool
}

// Switch begins a planned change of primary to the member. New writes wait
// while the transactions in progress end; then the terms change hands.
func (g *Group) Switch(now time.Time, to string) bool {
	if _, ok := g.index[to]; !ok || g.shifting != nil || !g.active {
		return false
	}
	if name, _ := g.quorum.Primary(); name == to {
		return false
	}
	g.shifting = &shift{to: to, since: now}
	g.remask(now)
	g.advanceSwitch(now)
	return true
}

func (g *Group) blocked() bool {
	return g.shifting != nil
}

// advanceSwitch fences once no write runs and the target has received all.
func (g *Group) advanceSwitch(now time.Time) {
	s := g.shifting
	if s == nil || s.fencing {
		return
	}
	if now.Sub(s.since) < drainLimit && (g.writesRunning() || !g.caughtUp(s.to)) {
		return
	}
	s.fencing = true
	g.elect.Switch(now, s.to)
}

func (g *Group) writesRunning() bool {
	for _, s := range g.seats {
		if s.write && (s.call != "" || s.session != "") {
			return true
		}
	}
	return len(g.pending) > 0
}

func (g *Group) caughtUp(name string) bool {
	r, _, ok := g.quorum.LastReport(name)
	return ok && r.Received.AtLeast(g.quorum.Confirmed())
}

// CheckReachability passes a duty of the election on.
func (g *Group) CheckReachability(member string) {
	g.out.Note("", "", g.name+": primary "+member+" missed its heartbeats, asking other hosts")
	g.out.CheckReachability(member)
}

// Fence passes a duty of the election on.
func (g *Group) Fence(member string, term uint64) {
	g.count("Fences")
	g.out.Fence(member, term)
}

// Promote passes a duty of the election on.
func (g *Group) Promote(member string, term uint64) {
	g.out.Promote(member, term)
}

// Elected takes the end of an election that this host won.
func (g *Group) Elected(member string, term uint64) {
	g.count("Replacements")
	g.shifting = nil
	g.out.Elected(member, term)
	g.members[g.index[member]].misses = 0
	g.pollAll(0)
}

// ReachabilityChecked takes another host's opinion of the primary.
func (g *Group) ReachabilityChecked(now time.Time, reached bool) {
	g.elect.ReachabilityChecked(now, reached)
}

// Granted takes a member's promise of a term and the end of its log.
func (g *Group) Granted(now time.Time, name string, term uint64, received mark.Mark) {
	if i, ok := g.index[name]; ok {
		g.heardFrom(now, i)
	}
	g.elect.Granted(now, name, term, received)
}

// Denied takes a member's refusal of a term, with the one it has promised; a
// member that did not answer has promised 0.
func (g *Group) Denied(now time.Time, name string, term uint64) {
	g.elect.Denied(now, name, term)
}

// Promoted takes the answer to a promotion.
func (g *Group) Promoted(now time.Time, name string, term uint64, ok bool) {
	g.elect.Promoted(now, name, term, ok)
	g.changed(now)
	g.dispatch(now)
}

// decide ends the waits whose outcome the members' reports have settled.
func (g *Group) decide(now time.Time) {
	held, gone, doubtful := g.quorum.TakeDecided()
	for _, id := range held {
		g.learnMargin(now, id)
		g.held(id)
	}
	for _, id := range gone {
		g.gone(now, id)
	}
	for _, id := range doubtful {
		g.doubtful(now, id)
	}
	ready, index := g.quorum.TakeIndexed()
	for _, id := range ready {
		g.indexed(now, id, index)
	}
	g.advanceSwitch(now)
}

const (
	// marginWeight is the share of a new measurement in the moving mean of the
	// time that a confirmation takes.
	marginWeight = 0.05
	// marginFactor times the mean deviation is left beside that mean between a
	// slot and a deadline.
	marginFactor = 4
)

// learnMargin keeps how long confirmations take.
func (g *Group) learnMargin(now time.Time, id string) {
	w, ok := g.pending[id]
	if !ok || w.since.IsZero() {
		return
	}
	off := float64(now.Sub(w.since)) - g.confirming
	g.confirming += marginWeight * off
	g.deviation += marginWeight * (math.Abs(off) - g.deviation)
	g.queue.SetMargin(time.Duration(g.confirming + marginFactor*g.deviation))
}

func (g *Group) held(id string) {
	w, ok := g.pending[id]
	if !ok {
		return
	}
	delete(g.pending, id)
	switch {
	case w.purpose == forPart:
		g.out.Resume(w.call.ID)
	case w.settling:
		g.tellSettled(w)
	default:
		g.reply(w, false)
	}
}

// gone decides about a call whose entry the new term does not hold: what it
// wrote never was, so it truly did not run.
func (g *Group) gone(now time.Time, id string) {
	w, ok := g.pending[id]
	if !ok {
		return
	}
	delete(g.pending, id)
	switch {
	case w.purpose == forPart:
		g.out.Interrupt(g.slotOf(w.call.ID), w.call.ID)
	case w.inTx || !idleStatus(result.Result{Status: w.status}):
		g.refuse(w, code.TransactionLost, "the primary was replaced before a majority held the transaction")
	default:
		w.complete = false
		g.requeue(now, w, "the primary was replaced before a majority held the write")
	}
}

// doubtful decides about a call whose entry can't be told from the log.
func (g *Group) doubtful(now time.Time, id string) {
	w, ok := g.pending[id]
	if !ok {
		return
	}
	delete(g.pending, id)
	if w.inTx && w.call.Key != "" && w.call.Ends {
		w.sent = true
		g.settle(now, w)
		return
	}
	if w.inTx {
		g.refuse(w, code.OutcomeUnknown, "the primary was replaced before a majority held the transaction")
		return
	}
	g.lost(now, w, "the primary was replaced before a majority held the write")
}

// indexed goes on with a call that awaited a read index.
func (g *Group) indexed(now time.Time, id string, index mark.Mark) {
	w, ok := g.pending[id]
	if !ok {
		return
	}
	delete(g.pending, id)
	if w.purpose == forFloor {
		w.call = w.call.WithFloor(w.call.Floor.Max(index)).WithFreshFloor(false)
		g.enqueue(now, w)
		return
	}
	if index.Term != w.term {
		g.indexedLater(now, w)
		return
	}
	if w.purpose == forIndex && w.mark.IsZero() {
		w.mark = index
	}
	at := index
	if w.purpose == forIndex {
		at = w.mark
	}
	if g.quorum.Await(id, at) {
		g.pending[id] = w
		g.held(id)
		return
	}
	if w.purpose == forIndex {
		w.purpose = forMark
	}
	g.pending[id] = w
	g.pollForQuorum()
}

// indexedLater decides about a call that ran in an earlier term and whose
// mark is not known.
func (g *Group) indexedLater(now time.Time, w *work) {
	switch {
	case w.purpose == forPart:
		g.out.Interrupt(g.slotOf(w.call.ID), w.call.ID)
	case w.inTx:
		g.refuse(w, code.OutcomeUnknown, "the primary was replaced before a majority held the transaction")
	case w.call.Class.Read:
		g.requeue(now, w, "the primary was replaced while the read ran")
	default:
		g.lost(now, w, "the primary was replaced before a majority held the write")
	}
}

func (g *Group) slotOf(id string) uint64 {
	if w, ok := g.running[id]; ok {
		return w.slot
	}
	return 0
}

// loseRun gives up what runs in a slot, as if the slot had been lost.
func (g *Group) loseRun(now time.Time, slot uint64, id string) {
	w, ok := g.running[id]
	if !ok {
		g.closeSlot(now, slot)
		return
	}
	delete(g.running, id)
	g.failed(now, w, result.Result{Failure: result.Lost})
}
