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

// begin opens a transaction in the session. The transaction is begun at a target
// only when its first statement arrives. It then keeps its connection until it ends.
func (r *Runner) begin(ctx context.Context, s stmt.Stmt) reply.Reply {
	if r.caller.Status != reply.Idle {
		return reply.Refuse(code.BadMessage, "a transaction is open")
	}
	rt, group, refusal := r.route()
	if group == nil {
		return refusal
	}
	if refused, ok := r.admit(ctx); !ok {
		return refused
	}
	r.tx = &transaction{group: group, route: rt, readOnly: s.Kind == stmt.BeginRead, began: s.Arrived, idleLimit: r.catalog.Plan().TransactionIdle}
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

// runOnConn runs a statement on the transaction's connection. It sends the statement
// again while the target refuses it as busy and the context lasts.
func (r *Runner) runOnConn(ctx context.Context, s stmt.Stmt) reply.Reply {
	r.addLogFields(zap.String("Group", r.tx.route.Group), zap.String("Target", r.tx.conn.Target))
	for {
		replies, err := r.tx.group.Run(ctx, r.tx.conn, r.caller, s)
		if err != nil {
			r.addLogFields(zap.String("Error", err.Error()))
			r.dropConn()
			return reply.Refuse(code.TransactionLost, "the connection of the transaction was lost, which rolls it back")
		}
		answer := replies[0]
		if answer.OK() {
			r.tx.wrote = r.tx.wrote || s.WritesData()
			return answer
		}
		if answer.Code == code.NotRunBusy && answer.Status == reply.Open && waitBeforeRetry(ctx) {
			continue
		}
		if answer.Code == code.NotRunNoPrimary {
			r.tx.group.ClearLeader(r.tx.conn.Target)
		}
		r.endTransaction(reply.Failed)
		return answer
	}
}

// dropConn closes the transaction's connection, so that the target rolls back the
// transaction.
func (r *Runner) dropConn() {
	r.tx.group.Drop(r.tx.conn)
	r.tx = nil
	r.caller = r.caller.WithStatus(reply.Failed)
}

// ensureConn begins the transaction at a target, unless it was begun there before.
// arrived is the arrival time of the statement that needs the connection. If
// ensureConn fails, it returns false and the refusal of that statement. No statement
// of the transaction has run then.
func (r *Runner) ensureConn(ctx context.Context, arrived time.Duration) (reply.Reply, bool) {
	tx := r.tx
	if tx.conn != nil {
		return reply.Reply{}, true
	}
	customer, ok := r.catalog.Plan().Identify(tx.route, r.caller.Key())
	if !ok {
		return r.refuseKey(), false
	}
	// The key may have moved to another customer since BEGIN.
	r.caller = r.caller.WithCustomer(customer.Name)
	var last reply.Reply
	ts := targetSearch{group: tx.group, tried: map[string]bool{}}
	for {
		cn, answer, err := r.tryBegin(ctx, &ts, arrived)
		if err == nil && answer.OK() {
			tx.conn = cn
			return answer, true
		}
		if err == nil {
			last = answer
			if !answer.Code.NotRun() {
				return answer, false
			}
		}
		if ctx.Err() != nil || errors.Is(err, rset.ErrNotSent) || r.waitedTooLong(tx.group, tx.route, arrived) || !waitBeforeRetry(ctx) {
			return r.refuseNotRun(last, err), false
		}
	}
}

// tryBegin tries to begin the transaction at one target. It returns the connection,
// nil if the target refused, and the target's reply.
func (r *Runner) tryBegin(ctx context.Context, ts *targetSearch, arrived time.Duration) (*conn.Conn, reply.Reply, error) {
	tx := r.tx
	begin := stmt.New(stmt.ProxyID, stmt.Begin, "")
	var t target.Target
	var err error
	if tx.readOnly && tx.route.Kind != route.Primary {
		t, begin.After, err = r.freshTarget(ctx, ts, tx.route, tx.began)
		begin.Kind = stmt.BeginRead
	} else {
		t, err = r.awaitLeader(ctx, tx.group, tx.route)
	}
	if err != nil {
		return nil, reply.Reply{}, err
	}
	replies, cn, err := tx.group.Do(ctx, t.ID, r.batch(tx.group, tx.route, arrived, []stmt.Stmt{begin}).WithKeep())
	if err != nil {
		return nil, reply.Reply{}, err
	}
	if replies[0].Code == code.NotRunNoPrimary {
		tx.group.ClearLeader(t.ID)
	}
	return cn, replies[0], nil
}

// commit commits the transaction and returns the target's reply. If that reply is
// lost, commit returns OutcomeUnknown.
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
	answer, err := r.sendCommit(ctx, s)
	if errors.Is(err, rset.ErrNotSent) {
		r.addLogFields(zap.String("Error", err.Error()))
		r.endTransaction(reply.Idle)
		return reply.Refuse(code.TransactionLost, "the leader may be replaced, the transaction was rolled back")
	}
	if errors.Is(err, conn.ErrNotPrepared) {
		r.addLogFields(zap.String("Error", err.Error()))
		r.dropConn()
		r.caller = r.caller.WithStatus(reply.Idle)
		return reply.Refuse(code.TransactionLost, "the connection of the transaction was lost, which rolled it back")
	}
	if err != nil {
		r.addLogFields(zap.String("Error", err.Error()))
		if tx.wrote {
			r.reportStall(ctx, tx.group, tx.conn.Target)
		}
		r.dropConn()
		r.caller = r.caller.WithStatus(reply.Idle)
		return reply.Refuse(code.OutcomeUnknown, "the answer to the commit was lost")
	}
	if !answer.OK() {
		if answer.Code == code.NotRunNoPrimary {
			tx.group.ClearLeader(tx.conn.Target)
		}
		r.endTransaction(reply.Idle)
		return answer
	}
	r.tx = nil
	r.caller = r.caller.WithStatus(reply.Idle)
	tx.group.Put(tx.conn)
	// A commit without writes also succeeds at a target that lost leadership, so the
	// log position in its reply can't be used as a watermark.
	if tx.wrote {
		r.recordCommit(tx.group, s.ID, tx.conn.Target, answer, sent)
	}
	return answer
}

// sendCommit sends a commit, and sends it again while the target refuses it as busy,
// until the context ends.
func (r *Runner) sendCommit(ctx context.Context, s stmt.Stmt) (reply.Reply, error) {
	for {
		replies, err := r.tx.group.Run(ctx, r.tx.conn, r.caller, s)
		if err != nil {
			return reply.Reply{}, err
		}
		answer := replies[0]
		if answer.Code != code.NotRunBusy || answer.Status != reply.Open || !waitBeforeRetry(ctx) {
			return answer, nil
		}
	}
}
