package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/version/class"
)

// transaction is an open transaction of a session, bound to its slot.
type transaction struct {
	session string
	slot    uint64
	member  int
	// term is the term in which the transaction began.
	term     uint64
	readOnly bool
	// busy is set while a call runs in the transaction.
	busy     bool
	lastUsed time.Time
	// detachedAt is when the session lost its connection or host, or zero.
	detachedAt time.Time
	// queued are the calls that wait for the running call, in order of arrival.
	queued []*job
}

// runInTransaction runs a call in its session's open transaction, or queues it
// there if another call of the session is running.
func (g *Group) runInTransaction(now time.Time, t *transaction, j *job) {
	t.detachedAt = time.Time{}
	t.lastUsed = now
	if t.busy {
		t.queued = append(t.queued, j)
		return
	}
	t.busy = true
	j.call = j.call.WithClass(classInTransaction(t, j.call.Class))
	j.inTx = true
	g.run(j, t.slot, t.member, t.term)
}

// classInTransaction returns the class of a call inside a transaction. The call
// counts as a read if the transaction is read-only, whatever its own class is.
func classInTransaction(t *transaction, c class.Class) class.Class {
	if t.readOnly {
		return c.WithRead(c.MaxAge)
	}
	return c.WithWrite()
}

// bindTransaction handles a call that left a transaction open: it binds the slot to
// the session and runs the next call that waits for the transaction.
func (g *Group) bindTransaction(now time.Time, j *job) {
	t, ok := g.transactions[j.call.Session]
	if !ok {
		t = &transaction{session: j.call.Session, slot: j.slot, member: j.member, term: j.term, readOnly: j.call.Class.Read}
		g.transactions[j.call.Session] = t
	}
	s := g.slots[j.slot]
	s.call = ""
	s.session = j.call.Session
	t.lastUsed = now
	t.busy = false
	j.inTx = true
	if len(t.queued) == 0 {
		return
	}
	next := t.queued[0]
	t.queued = t.queued[1:]
	g.runInTransaction(now, t, next)
}

// endTransaction removes a session's transaction and refuses the calls that wait
// for it. It does not touch the slot.
func (g *Group) endTransaction(session string) {
	t, ok := g.transactions[session]
	if !ok {
		return
	}
	delete(g.transactions, session)
	for _, j := range t.queued {
		g.refuse(j, code.TransactionLost, "the transaction ended before the request ran")
	}
}

// abandonTransaction rolls back the transaction of a session that has ended, did not
// reconnect or is idle. If a call still runs in the transaction, the slot is closed,
// which makes the target roll back.
func (g *Group) abandonTransaction(now time.Time, t *transaction, why string) {
	g.effects.Note("", t.session, "transaction rolled back: "+why)
	g.incrementCounter("TransactionsAbandoned")
	g.endTransaction(t.session)
	s := g.slots[t.slot]
	if s == nil {
		return
	}
	if t.busy || s.call != "" {
		g.closeSlot(now, t.slot)
		g.openSlots(now)
		return
	}
	s.call = rollbackCall
	g.effects.Rollback(t.slot)
}

// rollbackCall is the call id of a slot in which a rollback runs.
const rollbackCall = "rollback"

// RolledBack handles the end of a rollback. The slot is reused if the rollback was
// ok, and closed otherwise.
func (g *Group) RolledBack(now time.Time, slot uint64, ok bool) {
	s := g.slots[slot]
	if s == nil || s.call != rollbackCall {
		return
	}
	if !ok {
		g.closeSlot(now, slot)
		g.openSlots(now)
		return
	}
	g.releaseSlot(now, slot, false)
	g.dispatch(now)
}

// EndSession handles a session that was ended by its caller. It rolls back the
// session's transaction or, if there is none, interrupts the session's running
// reads. Calls in the queue must be canceled separately.
func (g *Group) EndSession(now time.Time, session string) {
	t, ok := g.transactions[session]
	if !ok {
		g.interruptReads(session)
		return
	}
	g.abandonTransaction(now, t, "the session ended")
}

// Detach handles a session that lost its connection or its host. Its transaction
// is kept for the grace period.
func (g *Group) Detach(now time.Time, session string) {
	if t, ok := g.transactions[session]; ok && t.detachedAt.IsZero() {
		t.detachedAt = now
	}
}

// Attach handles a session that reconnected: it ends the grace period of the
// session's transaction and reports whether there is one.
func (g *Group) Attach(now time.Time, session string) bool {
	t, ok := g.transactions[session]
	if !ok {
		return false
	}
	t.detachedAt = time.Time{}
	t.lastUsed = now
	return true
}

// interruptReads interrupts the running reads of a session that ended, as nobody
// needs their answers. Writes run to their end.
func (g *Group) interruptReads(session string) {
	readOfSession := func(j *job) bool { return j.call.Session == session && j.call.Class.Read }
	for _, id := range sortedKeys(g.running, readOfSession) {
		g.effects.Interrupt(g.running[id].slot, id)
	}
}

// expireTransactions abandons the transactions whose session did not reconnect
// within the grace period or has been idle for too long.
func (g *Group) expireTransactions(now time.Time) {
	mayExpire := func(t *transaction) bool {
		return !t.detachedAt.IsZero() || now.Sub(t.lastUsed) >= g.idleLimit
	}
	for _, name := range sortedKeys(g.transactions, mayExpire) {
		t := g.transactions[name]
		switch {
		case !t.detachedAt.IsZero() && now.Sub(t.detachedAt) >= g.gracePeriod:
			g.abandonTransaction(now, t, "its session did not come back within the grace period")
		case !t.busy && now.Sub(t.lastUsed) >= g.idleLimit:
			g.abandonTransaction(now, t, "no statement within the idle limit")
		}
	}
}
