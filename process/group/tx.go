package group

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/version/class"
)

// transaction is an open transaction of a session, bound to its slot.
type transaction struct {
	session  string
	slot     uint64
	member   int
	term     uint64
	read     bool
	busy     bool
	used     time.Time
	detached time.Time
	next     []*work
}

// follow runs a call in its session's open transaction, after what the
// session has running there.
func (g *Group) follow(now time.Time, t *transaction, w *work) {
	t.detached = time.Time{}
	t.used = now
	if t.busy {
		t.next = append(t.next, w)
		return
	}
	t.busy = true
	w.call = w.call.WithClass(inside(t, w.call.Class))
	w.inTx = true
	g.run(w, t.slot, t.member, t.term)
}

// inside returns the class of a call inside a transaction, which reads or
// writes as the transaction does.
func inside(t *transaction, c class.Class) class.Class {
	if t.read {
		return c.WithRead(c.MaxAge)
	}
	return c.WithWrite()
}

// beginTransaction binds the slot of a call that left a transaction open.
func (g *Group) beginTransaction(now time.Time, w *work) {
	t, ok := g.open[w.call.Session]
	if !ok {
		t = &transaction{session: w.call.Session, slot: w.slot, member: w.member, term: w.term, read: w.call.Class.Read}
		g.open[w.call.Session] = t
	}
	s := g.seats[w.slot]
	s.call = ""
	s.session = w.call.Session
	t.used = now
	t.busy = false
	w.inTx = true
	if len(t.next) == 0 {
		return
	}
	next := t.next[0]
	t.next = t.next[1:]
	g.follow(now, t, next)
}

// endTransaction forgets a session's transaction. What waited behind it is
// told that it is gone.
func (g *Group) endTransaction(session string) {
	t, ok := g.open[session]
	if !ok {
		return
	}
	delete(g.open, session)
	for _, w := range t.next {
		g.refuse(w, code.TransactionLost, "the transaction ended before the request ran")
	}
}

// abandon rolls a transaction back whose session is gone or idle.
func (g *Group) abandon(now time.Time, t *transaction, why string) {
	g.out.Note("", t.session, "transaction rolled back: "+why)
	g.count("TransactionsAbandoned")
	g.endTransaction(t.session)
	s := g.seats[t.slot]
	if s == nil {
		return
	}
	if t.busy || s.call != "" {
		g.closeSlot(now, t.slot)
		g.dial(now)
		return
	}
	s.call = rollbackCall
	g.out.Rollback(t.slot)
}

// rollbackCall stands for the run of a rollback in a seat.
const rollbackCall = "rollback"

// RolledBack takes the end of a rollback; ok tells that the slot is clean.
func (g *Group) RolledBack(now time.Time, slot uint64, ok bool) {
	s := g.seats[slot]
	if s == nil || s.call != rollbackCall {
		return
	}
	if !ok {
		g.closeSlot(now, slot)
		g.dial(now)
		return
	}
	g.release(now, slot, false)
	g.dispatch(now)
}

// EndSession takes news of a session that ended on purpose. What it has waiting is
// canceled by id before.
func (g *Group) EndSession(now time.Time, session string) {
	t, ok := g.open[session]
	if !ok {
		g.hangRunning(session)
		return
	}
	g.abandon(now, t, "the session ended")
}

// Detach takes news of a session whose connection or host was lost. Its
// transaction is kept for the grace period.
func (g *Group) Detach(now time.Time, session string) {
	if t, ok := g.open[session]; ok && t.detached.IsZero() {
		t.detached = now
	}
}

// Attach takes news of a session that came back. It returns whether the
// session has an open transaction here.
func (g *Group) Attach(now time.Time, session string) bool {
	t, ok := g.open[session]
	if !ok {
		return false
	}
	t.detached = time.Time{}
	t.used = now
	return true
}

// hangRunning interrupts what a session that ended still runs. Writes go on
// to their end; reads are of no more use.
func (g *Group) hangRunning(session string) {
	mine := func(w *work) bool { return w.call.Session == session && w.call.Class.Read }
	for _, id := range inOrder(g.running, mine) {
		g.out.Interrupt(g.running[id].slot, id)
	}
}

// checkTransactions ends transactions that nobody will end.
func (g *Group) checkTransactions(now time.Time) {
	ended := func(t *transaction) bool {
		return !t.detached.IsZero() || now.Sub(t.used) >= g.idle
	}
	for _, name := range inOrder(g.open, ended) {
		t := g.open[name]
		switch {
		case !t.detached.IsZero() && now.Sub(t.detached) >= g.grace:
			g.abandon(now, t, "its session did not come back within the grace period")
		case !t.busy && now.Sub(t.used) >= g.idle:
			g.abandon(now, t, "no statement within the idle limit")
		}
	}
}
