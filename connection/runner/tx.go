package runner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/version/route"
)

// begin notes a transaction. It takes a connection with its first statement.
func (r *Runner) begin(s stmt.Stmt) reply.Reply {
	if r.caller.Status != reply.Idle {
		return reply.Refuse(code.BadMessage, "a transaction is open")
	}
	rt, c, refusal := r.route()
	if c == nil {
		return refusal
	}
	r.tx = &transaction{crew: c, route: rt, read: s.Kind == stmt.BeginRead, began: s.Arrived, rest: r.tables.Plan().TransactionIdle}
	r.caller = r.caller.WithStatus(reply.Open)
	return reply.Done(reply.Open)
}

// inside runs a statement of an open transaction.
func (r *Runner) inside(ctx context.Context, s stmt.Stmt) reply.Reply {
	ctx, stop := r.bound(ctx, s, r.tx.route)
	defer stop()
	if refused, ok := r.ensure(ctx, s.Arrived); !ok {
		r.abandon(reply.Failed)
		return refused
	}
	return r.step(ctx, s)
}

// step runs a statement on the transaction's connection. A statement that the
// target was too busy for is tried again there.
func (r *Runner) step(ctx context.Context, s stmt.Stmt) reply.Reply {
	r.note(zap.String("Group", r.tx.route.Group), zap.String("Target", r.tx.lane.Target))
	for {
		replies, err := r.tx.crew.Run(ctx, r.tx.lane, r.caller, s)
		if err != nil {
			r.note(zap.String("Error", err.Error()))
			r.lose()
			return reply.Refuse(code.TransactionLost, "the connection of the transaction was lost, which rolls it back")
		}
		out := replies[0]
		if out.OK() {
			r.tx.wrote = r.tx.wrote || s.WritesData()
			return out
		}
		if out.Code == code.NotRunBusy && out.Status == reply.Open && pause(ctx) {
			continue
		}
		if out.Code == code.NotRunNoPrimary {
			r.tx.crew.ClearLeader(r.tx.lane.Target)
		}
		r.abandon(reply.Failed)
		return out
	}
}

// lose closes the transaction's connection, which rolls it back.
func (r *Runner) lose() {
	r.tx.crew.Drop(r.tx.lane)
	r.tx = nil
	r.caller = r.caller.WithStatus(reply.Failed)
}

// ensure gives the transaction a connection on which it was begun, for a
// statement that arrived at a time. Otherwise it returns a refusal that is true: nothing ran.
func (r *Runner) ensure(ctx context.Context, arrived time.Duration) (reply.Reply, bool) {
	tx := r.tx
	if tx.lane != nil {
		return reply.Reply{}, true
	}
	var last reply.Reply
	w := walk{crew: tx.crew, tried: map[string]bool{}}
	for {
		l, out, err := r.openOnce(ctx, &w, arrived)
		if err == nil && out.OK() {
			tx.lane = l
			return out, true
		}
		if err == nil {
			last = out
			if !out.Code.NotRun() {
				return out, false
			}
		}
		if ctx.Err() != nil || errors.Is(err, rset.ErrNotSent) || r.spent(tx.crew, tx.route, arrived) || !pause(ctx) {
			return r.notRun(last, err), false
		}
	}
}

// openOnce tries to begin the transaction at one target.
func (r *Runner) openOnce(ctx context.Context, w *walk, arrived time.Duration) (*conn.Conn, reply.Reply, error) {
	tx := r.tx
	begin := stmt.New(stmt.ProxyID, stmt.Begin, "")
	var t target.Target
	var err error
	if tx.read && tx.route.Kind != route.Primary {
		t, begin.After, err = r.freshTarget(ctx, w, tx.route, tx.began)
		begin.Kind = stmt.BeginRead
	} else {
		t, err = r.leader(ctx, tx.crew, tx.route)
	}
	if err != nil {
		return nil, reply.Reply{}, err
	}
	replies, l, err := tx.crew.Do(ctx, t.ID, r.batch(tx.route, arrived, []stmt.Stmt{begin}).WithKeep())
	if err != nil {
		return nil, reply.Reply{}, err
	}
	if replies[0].Code == code.NotRunNoPrimary {
		tx.crew.ClearLeader(t.ID)
	}
	return l, replies[0], nil
}

// commit ends the transaction and keeps what it wrote.
func (r *Runner) commit(ctx context.Context, s stmt.Stmt) reply.Reply {
	switch r.caller.Status {
	case reply.Idle:
		return reply.Refuse(code.BadMessage, "no transaction is open")
	case reply.Failed:
		r.abandon(reply.Idle)
		return reply.Refuse(code.TransactionLost, "the transaction failed and was rolled back")
	}
	ctx, stop := r.bound(ctx, s, r.tx.route)
	defer stop()
	if refused, ok := r.ensure(ctx, s.Arrived); !ok {
		r.abandon(reply.Idle)
		return refused
	}
	tx := r.tx
	r.note(zap.String("Target", tx.lane.Target))
	sent := r.now()
	out, err := r.sendCommit(ctx, s)
	if err != nil {
		r.note(zap.String("Error", err.Error()))
		if tx.wrote {
			r.stall(ctx, tx.crew, tx.lane.Target)
		}
		r.lose()
		r.caller = r.caller.WithStatus(reply.Idle)
		return reply.Refuse(code.OutcomeUnknown, "the answer to the commit was lost")
	}
	if !out.OK() {
		if out.Code == code.NotRunNoPrimary {
			tx.crew.ClearLeader(tx.lane.Target)
		}
		r.abandon(reply.Idle)
		return out
	}
	r.tx = nil
	r.caller = r.caller.WithStatus(reply.Idle)
	tx.crew.Put(tx.lane)
	// A commit without writes succeeds also where the target lost the lead,
	// so it proves nothing.
	if tx.wrote {
		r.committed(tx.crew, tx.lane.Target, out, sent)
	}
	return out
}

// sendCommit sends a commit, again where the target was too busy to run it.
func (r *Runner) sendCommit(ctx context.Context, s stmt.Stmt) (reply.Reply, error) {
	for {
		replies, err := r.tx.crew.Run(ctx, r.tx.lane, r.caller, s)
		if err != nil {
			return reply.Reply{}, err
		}
		out := replies[0]
		if out.Code != code.NotRunBusy || out.Status != reply.Open || !pause(ctx) {
			return out, nil
		}
	}
}
