package rset

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/borrow"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// Take returns a connection to a target, either this host's own or one borrowed
// from another host. It uses the batch's caller, priority and wait, and ignores
// its stages.
func (rs *ReplicaSet) Take(ctx context.Context, id string, b batch.Batch) (*conn.Conn, error) {
	b.Stages = nil
	_, cn, err := rs.Do(ctx, id, b.WithKeep())
	return cn, err
}

// Do runs a batch at a target, on a connection of this host or of another one.
// It returns the replies to the stages, up to the first stage with a failed
// statement, and the connection if the batch keeps it. If the target stops
// answering, Do returns early, so that there is time to try another target.
// Unless the error is ErrAnswerLost, no statement of the caller was sent to the target.
func (rs *ReplicaSet) Do(ctx context.Context, id string, b batch.Batch) ([]reply.Reply, *conn.Conn, error) {
	rs.mu.Lock()
	ts, err := rs.answeringState(id)
	if err != nil {
		rs.mu.Unlock()
		return nil, nil, err
	}
	t, direct, lenders, first := ts.target, ts.direct, ts.lenders, ts.firstLender
	if b.Caller.Customer != "" && lenders != nil {
		lenders = rs.assignment.CustomerLenders(t, b.Caller.Customer, lenders)
		self := rs.assignment.Self()
		rs.mu.Unlock()
		return rs.doForCustomer(ctx, t, ts.pool, b, lenders, self)
	}
	if !direct && len(lenders) > 1 {
		first = rs.lenderIndex(ts)
	}
	rs.mu.Unlock()
	if !direct {
		replies, cn, err := rs.doBorrowed(ctx, t, b, lenders, first)
		if err == nil || ctx.Err() != nil || errors.Is(err, remote.ErrRefused) || errors.Is(err, ErrAnswerLost) {
			return replies, cn, err
		}
	}
	return rs.doOwn(ctx, id, ts.pool, b)
}

// doBorrowed runs a batch through one of the lenders. If there is no lender to
// ask, or all of them refused or could not be reached, it returns such an
// error, and nothing was sent to the target. After any other error of a batch
// with stages, something may have been sent, and doBorrowed returns
// ErrAnswerLost.
func (rs *ReplicaSet) doBorrowed(ctx context.Context, t target.Target, b batch.Batch, lenders []gossip.HostInfo, first int) ([]reply.Reply, *conn.Conn, error) {
	heard := func(host string, outstanding, free int) { rs.noteLenderLoad(t.ID, host, outstanding, free) }
	if len(b.Stages) == 0 {
		return rs.borrower.Do(ctx, t, b, lenders, first, heard)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer rs.cancelOnFailure(t.ID, stop)()
	var cn *conn.Conn
	began := rs.now()
	replies, err := rs.runMonitored(t.ID, probeAfter+min(b.Wait, probeAfter), func() ([]reply.Reply, error) {
		replies, kept, err := rs.borrower.Do(ctx, t, b, lenders, first, heard)
		cn = kept
		return replies, err
	})
	if err == nil {
		rs.learnWatermark(b, replies, began)
		rs.noteTime(t.ID, b, replies, rs.now()-began)
		return replies, cn, nil
	}
	if errors.Is(err, remote.ErrRefused) || errors.Is(err, borrow.ErrNoLender) || errors.Is(err, borrow.ErrUnreachable) {
		return nil, nil, err
	}
	return nil, nil, fmt.Errorf("%w: %w", ErrAnswerLost, err)
}

// DoOwn runs a batch at a target as Do does, but on a connection of this host
// only. It serves other hosts that borrow connections.
func (rs *ReplicaSet) DoOwn(ctx context.Context, id string, b batch.Batch) ([]reply.Reply, *conn.Conn, error) {
	rs.mu.Lock()
	ts, err := rs.answeringState(id)
	rs.mu.Unlock()
	if err != nil {
		return nil, nil, err
	}
	return rs.doOwn(ctx, id, ts.pool, b)
}

// doOwn runs a batch on a connection of the pool. A connection that is not kept
// is put back, or closed if the batch left it in a transaction.
func (rs *ReplicaSet) doOwn(ctx context.Context, id string, p *conns.Pool, b batch.Batch) ([]reply.Reply, *conn.Conn, error) {
	if b.Fresh {
		var err error
		if b, err = rs.withPosition(ctx, b); err != nil {
			return nil, nil, err
		}
	}
	waiting, stop := context.WithTimeout(ctx, b.Wait)
	cn, err := p.Take(waiting, b.Caller, b.Priority, conns.Kept(b.Keep), conns.Overflow(rs.overflows(id, b.Caller.Customer)))
	stop()
	if err != nil {
		return nil, nil, err
	}
	ctx, stop = context.WithCancel(ctx)
	defer stop()
	defer rs.cancelOnFailure(id, stop)()
	began := rs.now()
	replies, err := rs.runStages(ctx, cn, b)
	if err != nil {
		rs.Drop(cn)
		if errors.Is(err, conn.ErrNotPrepared) {
			return nil, nil, err
		}
		return nil, nil, fmt.Errorf("%w: %w", ErrAnswerLost, err)
	}
	rs.learnWatermark(b, replies, began)
	rs.noteTime(id, b, replies, rs.now()-began)
	n := len(replies)
	switch {
	case b.Keep && (n == 0 || replies[n-1].OK()):
		return replies, cn, nil
	case n > 0 && replies[n-1].Status != reply.Idle:
		rs.Drop(cn)
	default:
		rs.Put(cn)
	}
	return replies, nil, nil
}

// withPosition returns a batch with the log position that covers all commits older than
// its maximum age. A host whose connections are used by many others knows such a
// position for longer than each of them, so that replicas that lag can serve.
func (rs *ReplicaSet) withPosition(ctx context.Context, b batch.Batch) (batch.Batch, error) {
	arrived := rs.now()
	since := arrived - b.MaxAge
	m, _, newest, ok := rs.CoveringMark(since)
	if !ok {
		waiting, stop := context.WithTimeout(ctx, b.Wait)
		defer stop()
		if err := rs.AwaitWatermark(waiting, since); err != nil {
			return b, err
		}
		if m, _, newest, ok = rs.CoveringMark(since); !ok {
			return b, errors.Wrap(ErrNotSent, "no position is recent enough")
		}
	}
	if arrived-newest > b.MaxAge/2 {
		rs.RenewWatermark()
	}
	return b.WithPosition(m), nil
}

// runStages runs the stages of a batch in order, and stops after a stage in
// which a statement failed. If it returns conn.ErrNotPrepared, no statement of the caller was
// sent.
func (rs *ReplicaSet) runStages(ctx context.Context, cn *conn.Conn, b batch.Batch) ([]reply.Reply, error) {
	var all []reply.Reply
	for i, stage := range b.Stages {
		replies, err := rs.Run(ctx, cn, b.Caller, stage...)
		if errors.Is(err, conn.ErrNotPrepared) && callersWereSent(b.Stages[:i]) {
			// That holds for this stage only.
			return nil, errors.New(err.Error())
		}
		if err != nil {
			return nil, err
		}
		all = append(all, replies...)
		if slices.ContainsFunc(replies, func(r reply.Reply) bool { return !r.OK() }) {
			break
		}
	}
	return all, nil
}

// callersWereSent reports whether stages contain a statement of the caller.
func callersWereSent(stages [][]stmt.Stmt) bool {
	return slices.ContainsFunc(stages, func(stage []stmt.Stmt) bool {
		return slices.ContainsFunc(stage, func(s stmt.Stmt) bool { return s.ID != stmt.ProxyID })
	})
}

// learnWatermark adds a watermark if the batch began a transaction that may
// write. Only the leader accepts such a transaction, so the position in its
// reply covers all commits acknowledged before the batch began.
func (rs *ReplicaSet) learnWatermark(b batch.Batch, replies []reply.Reply, began time.Duration) {
	if len(replies) > 0 && b.Stages[0][0].Kind == stmt.Begin && replies[0].OK() {
		rs.AddWatermark(replies[0].Mark, began)
	}
}

// answeringState returns a target's state, or an error if the target is not
// registered or is failing; the caller holds the lock.
func (rs *ReplicaSet) answeringState(id string) (*targetState, error) {
	ts, ok := rs.states[id]
	if !ok {
		return nil, ErrNotRegistered
	}
	if ts.failingSince != 0 {
		return nil, ErrUnavailable
	}
	return ts, nil
}

// Put returns a connection to the pool or the host that it was taken from. The
// connection must not be in a transaction.
func (rs *ReplicaSet) Put(cn *conn.Conn) {
	if cn.Borrowed {
		rs.borrower.Put(cn)
		return
	}
	if ts := rs.stateOf(cn); ts != nil {
		ts.pool.Put(cn)
		return
	}
	cn.Close()
}

// Drop closes a connection that can't be used again and removes it from its
// pool.
func (rs *ReplicaSet) Drop(cn *conn.Conn) {
	if cn.Borrowed {
		rs.borrower.Drop(cn)
		return
	}
	if ts := rs.stateOf(cn); ts != nil {
		ts.pool.Drop(cn)
		return
	}
	cn.Close()
}

// stateOf returns the state of a connection's target, or nil if the target is
// no longer registered.
func (rs *ReplicaSet) stateOf(cn *conn.Conn) *targetState {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.states[cn.Target]
}

// Rank returns how many live hosts precede this one when hosts are ordered by
// their distance to a target.
func (rs *ReplicaSet) Rank(t target.Target) int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.assignment.Rank(t)
}

// Shared reports whether hosts share the connections to a target of the group, because
// it accepts too few for each host to have its own.
func (rs *ReplicaSet) Shared() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.shared()
}

// shared returns what Shared does; the caller holds the lock.
func (rs *ReplicaSet) shared() bool {
	for _, ts := range rs.states {
		if ts.lenders != nil {
			return true
		}
	}
	return false
}

// ConnectsTo reports whether this host opens its own connections to a target.
func (rs *ReplicaSet) ConnectsTo(id string) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[id]
	return ok && ts.direct
}
