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

// begin opens a transaction in the session. It takes a connection and is begun at
// a target only when its first statement arrives.
func (r *Runner) begin(s stmt.Stmt) reply.Reply {
	if r.caller.Status != reply.Idle {
		return reply.Refuse(code.BadMessage, "a transaction is open")
	}
	rt, group, refusal := r.route()
	if group == nil {
		return refusal
	}
	r.tx = &transaction{group: group, route: rt, readOnly: s.Kind == stmt.BeginRead, began: s.Arrived, idleLimit: r.tables.Plan().TransactionIdle}
	r.caller = r.caller.WithStatus(reply.Open)
	return reply.Done(reply.Open)
}

// runInTransaction runs a statement of an open transaction.
func (r *Runner) runInTransaction(ctx context.Context, s stmt.Stmt) reply.Reply {
	ctx, stop := r.withTimeout(ctx, s, r.tx.route)
	defer stop()
	if refused, ok := r.ensureConn(ctx, s.Arrived); !ok {
		r.endTransaction(reply.Failed)
		return refused
	}
	return r.runOnConn(ctx, s)
}

// runOnConn runs a statement on the transaction's connection. A statement that
// the target refused as busy is tried again there.
func (r *Runner) runOnConn(ctx context.Context, s stmt.Stmt) reply.Reply {
	r.addLogFields(zap.String("Group", r.tx.route.Group), zap.String("Target", r.tx.conn.Target))
	for {
		replies, err := r.tx.group.Run(ctx, r.tx.conn, r.caller, s)
		if err != nil {
			r.addLogFields(zap.String("Error", err.Error()))
			r.dropConn()
			return reply.Refuse(code.TransactionLost, "the connection of the transaction was lost, which rolls it back")
		}
		out := replies[0]
		if out.OK() {
			r.tx.wrote = r.tx.wrote || s.WritesData()
			return out
		}
		if out.Code == code.NotRunBusy && out.Status == reply.Open && waitBeforeRetry(ctx) {
			continue
		}
		if out.Code == code.NotRunNoPrimary {
			r.tx.group.ClearLeader(r.tx.conn.Target)
		}
		r.endTransaction(reply.Failed)
		return out
	}
}

// dropConn closes the transaction's connection, which rolls it back.
func (r *Runner) dropConn() {
	r.tx.group.Drop(r.tx.conn)
	r.tx = nil
	r.caller = r.caller.WithStatus(reply.Failed)
}

// ensureConn begins the transaction at a target, unless it was begun, for a
// statement that arrived at a time. If that fails, it returns a refusal: nothing
// of the transaction ran.
func (r *Runner) ensureConn(ctx context.Context, arrived time.Duration) (reply.Reply, bool) {
	tx := r.tx
	if tx.conn != nil {
		return reply.Reply{}, true
	}
	var last reply.Reply
	cs := candidates{group: tx.group, tried: map[string]bool{}}
	for {
		cn, out, err := r.tryBegin(ctx, &cs, arrived)
		if err == nil && out.OK() {
			tx.conn = cn
			return out, true
		}
		if err == nil {
			last = out
			if !out.Code.NotRun() {
				return out, false
			}
		}
		if ctx.Err() != nil || errors.Is(err, rset.ErrNotSent) || r.waitedTooLong(tx.group, tx.route, arrived) || !waitBeforeRetry(ctx) {
			return r.notRun(last, err), false
		}
	}
}

// tryBegin tries to begin the transaction at one target.
func (r *Runner) tryBegin(ctx context.Context, cs *candidates, arrived time.Duration) (*conn.Conn, reply.Reply, error) {
	tx := r.tx
	begin := stmt.New(stmt.ProxyID, stmt.Begin, "")
	var t target.Target
	var err error
	if tx.readOnly && tx.route.Kind != route.Primary {
		t, begin.After, err = r.freshTarget(ctx, cs, tx.route, tx.began)
		begin.Kind = stmt.BeginRead
	} else {
		t, err = r.awaitLeader(ctx, tx.group, tx.route)
	}
	if err != nil {
		return nil, reply.Reply{}, err
	}
	replies, cn, err := tx.group.Do(ctx, t.ID, r.batch(tx.route, arrived, []stmt.Stmt{begin}).WithKeep())
	if err != nil {
		return nil, reply.Reply{}, err
	}
	if replies[0].Code == code.NotRunNoPrimary {
		tx.group.ClearLeader(t.ID)
	}
	return cn, replies[0], nil
}

// commit commits the transaction. If the answer of a target is lost, the outcome
// is unknown.
func (r *Runner) commit(ctx context.Context, s stmt.Stmt) reply.Reply {
	switch r.caller.Status {
	case reply.Idle:
		return reply.Refuse(code.BadMessage, "no transaction is open")
	case reply.Failed:
		r.endTransaction(reply.Idle)
		return reply.Refuse(code.TransactionLost, "the transaction failed and was rolled back")
	}
	ctx, stop := r.withTimeout(ctx, s, r.tx.route)
	defer stop()
	if refused, ok := r.ensureConn(ctx, s.Arrived); !ok {
		r.endTransaction(reply.Idle)
		return refused
	}
	tx := r.tx
	r.addLogFields(zap.String("Target", tx.conn.Target))
	sent := r.now()
	out, err := r.sendCommit(ctx, s)
	if err != nil {
		r.addLogFields(zap.String("Error", err.Error()))
		if tx.wrote {
			r.reportStall(ctx, tx.group, tx.conn.Target)
		}
		r.dropConn()
		r.caller = r.caller.WithStatus(reply.Idle)
		return reply.Refuse(code.OutcomeUnknown, "the answer to the commit was lost")
	}
	if !out.OK() {
		if out.Code == code.NotRunNoPrimary {
			tx.group.ClearLeader(tx.conn.Target)
		}
		r.endTransaction(reply.Idle)
		return out
	}
	r.tx = nil
	r.caller = r.caller.WithStatus(reply.Idle)
	tx.group.Put(tx.conn)
	// A commit without writes also succeeds at a target that lost leadership, so
	// it is no watermark.
	if tx.wrote {
		r.recordCommit(tx.group, tx.conn.Target, out, sent)
	}
	return out
}

// sendCommit sends a commit, and sends it again while the target refuses it as
// busy.
func (r *Runner) sendCommit(ctx context.Context, s stmt.Stmt) (reply.Reply, error) {
	for {
		replies, err := r.tx.group.Run(ctx, r.tx.conn, r.caller, s)
		if err != nil {
			return reply.Reply{}, err
		}
		out := replies[0]
		if out.Code != code.NotRunBusy || out.Status != reply.Open || !waitBeforeRetry(ctx) {
			return out, nil
		}
	}
}
