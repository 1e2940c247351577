package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/version/class"
)

// transaction is an open transaction of a session, bound to its slot.
type transaction struct {
	session    string
	slot       uint64
	member     int
	term       uint64
	readOnly   bool
	busy       bool
	lastUsed   time.Time
	detachedAt time.Time
	queued     []*job
}

// runInTransaction runs a call in its session's open transaction, after what the
// session has running there.
func (g *Group) runInTransaction(now time.Time, t *transaction, j *job) {
	t.detachedAt = time.Time{}
	t.lastUsed = now
	if t.busy {
		t.queued = append(t.queued, j)
		return
	}
	t.busy = true
	j.call = j.call.WithClass(classInside(t, j.call.Class))
	j.inTx = true
	g.run(j, t.slot, t.member, t.term)
}

// classInside returns the class of a call inside a transaction, which reads or
// writes as the transaction does.
func classInside(t *transaction, c class.Class) class.Class {
	if t.readOnly {
		return c.WithRead(c.MaxAge)
	}
	return c.WithWrite()
}

// bindTransaction binds the slot of a call that left a transaction open.
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

// endTransaction forgets a session's transaction. What waited behind it is
// told that it is gone.
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

// abandonTransaction rolls a transaction back whose session is gone or idle.
func (g *Group) abandonTransaction(now time.Time, t *transaction, why string) {
	g.effects.Note("", t.session, "transaction rolled back: "+why)
	g.count("TransactionsAbandoned")
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

// rollbackCall stands for the run of a rollback in a seat.
const rollbackCall = "rollback"

// RolledBack takes the end of a rollback; ok tells that the slot is clean.
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

// EndSession takes news of a session that ended on purpose. What it has waiting is
// canceled by id before.
func (g *Group) EndSession(now time.Time, session string) {
	t, ok := g.transactions[session]
	if !ok {
		g.interruptReads(session)
		return
	}
	g.abandonTransaction(now, t, "the session ended")
}

// Detach takes news of a session whose connection or host was lost. Its
// transaction is kept for the grace period.
func (g *Group) Detach(now time.Time, session string) {
	if t, ok := g.transactions[session]; ok && t.detachedAt.IsZero() {
		t.detachedAt = now
	}
}

// Attach takes news of a session that came back. It returns whether the
// session has an open transaction here.
func (g *Group) Attach(now time.Time, session string) bool {
	t, ok := g.transactions[session]
	if !ok {
		return false
	}
	t.detachedAt = time.Time{}
	t.lastUsed = now
	return true
}

// interruptReads interrupts what a session that ended still runs. Writes go on
// to their end; reads are of no more use.
func (g *Group) interruptReads(session string) {
	readOfSession := func(j *job) bool { return j.call.Session == session && j.call.Class.Read }
	for _, id := range sortedKeys(g.running, readOfSession) {
		g.effects.Interrupt(g.running[id].slot, id)
	}
}

// expireTransactions ends transactions that nobody will end.
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
