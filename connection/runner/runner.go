// Package runner runs the statements of one caller's session.
package runner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/version/plan"
	"github.com/pistachiotray/pistachiotray/version/route"
)

// endTimeout bounds the rollback of a transaction whose session went on.
const endTimeout = time.Second

// tables are what the process knows.
type tables interface {
	// Plan returns the version in force.
	Plan() plan.Plan
	// ReplicaSet returns a database group.
	ReplicaSet(group string) (*rset.ReplicaSet, bool)
}

// trail takes one record for each decision on a request.
type trail interface {
	// Record notes how a statement ended; it never blocks.
	Record(caller, database, id, outcome string, took time.Duration, fields ...zap.Field)
}

// Runner runs the statements of one session, one at a time. Its lock guards
// against the clock that ends idle transactions.
type Runner struct {
	mu     sync.Mutex
	tables tables
	trail  trail
	now    func() time.Duration
	caller caller.Caller
	tx     *transaction
	idle   *time.Timer
	fields []zap.Field
}

// transaction is the open transaction of a session. It has no lane before its
// first statement.
type transaction struct {
	crew  *rset.ReplicaSet
	route route.Route
	read  bool
	wrote bool
	began time.Duration
	lane  *conn.Conn
	rest  time.Duration
}

// New returns the runner of a new session. Now tells the time since the
// machine started, suspended time included.
func New(c caller.Caller, t tables, tr trail, now func() time.Duration) *Runner {
	return &Runner{tables: t, trail: tr, now: now, caller: c}
}

// Run runs one statement and returns its reply. The context ends when the
// caller is gone.
func (r *Runner) Run(ctx context.Context, s stmt.Stmt) reply.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle != nil {
		r.idle.Stop()
	}
	r.fields = r.fields[:0]
	out := r.run(ctx, s)
	if r.tx != nil && r.tx.lane != nil && r.tx.rest > 0 {
		tx := r.tx
		r.idle = time.AfterFunc(tx.rest, func() { r.expire(tx) })
	}
	out.Status = r.caller.Status
	if s.Kind == stmt.Read || s.Kind == stmt.Write || s.Kind == stmt.Execute || s.Kind == stmt.Commit || !out.OK() {
		r.trail.Record(r.caller.ID, r.caller.Database, s.ID, out.Code.Name(), r.now()-s.Arrived, r.fields...)
	}
	return out
}

func (r *Runner) note(f ...zap.Field) {
	r.fields = append(r.fields, f...)
}

func (r *Runner) run(ctx context.Context, s stmt.Stmt) reply.Reply {
	if r.caller.Status == reply.Failed && s.Kind != stmt.Rollback && s.Kind != stmt.Commit {
		return reply.Refuse(code.BadMessage, "the transaction failed and must be rolled back")
	}
	switch s.Kind {
	case stmt.Set:
		r.caller = r.caller.WithValue(s.Name, s.Rest)
	case stmt.Prepare:
		r.caller = r.caller.WithPrepared(s.Name, s.Rest, s.Writes)
	case stmt.Deallocate:
		r.caller = r.caller.WithoutPrepared(s.Name)
	case stmt.Begin, stmt.BeginRead:
		return r.begin(s)
	case stmt.Rollback:
		r.abandon(reply.Idle)
	case stmt.Commit:
		return r.commit(ctx, s)
	case stmt.Read, stmt.Write, stmt.Execute:
		return r.data(ctx, s)
	default:
		return reply.Refuse(code.BadMessage, "no such statement")
	}
	return reply.Done(r.caller.Status)
}

// data runs a statement that only targets can answer.
func (r *Runner) data(ctx context.Context, s stmt.Stmt) reply.Reply {
	if s.Kind == stmt.Execute {
		_, writes, ok := r.caller.Prepared(s.Name)
		if !ok {
			return reply.Refuse(code.NotRunUnprepared, s.Name)
		}
		s = s.WithWrites(writes)
	}
	if r.caller.Status == reply.Open {
		return r.inside(ctx, s)
	}
	rt, c, refusal := r.route()
	if c == nil {
		return refusal
	}
	ctx, stop := r.bound(ctx, s, rt)
	defer stop()
	switch {
	case s.WritesData():
		return r.write(ctx, c, rt, s)
	case rt.Kind == route.Primary:
		return r.readAtLeader(ctx, c, rt, s)
	}
	return r.read(ctx, c, rt, s)
}

// route returns the route in force for the session's database and its group,
// or the refusal.
func (r *Runner) route() (route.Route, *rset.ReplicaSet, reply.Reply) {
	rt, ok := r.tables.Plan().Route(r.caller.Database)
	if !ok {
		return rt, nil, reply.Refuse(code.UnknownDatabase, r.caller.Database)
	}
	r.note(zap.String("Group", rt.Group))
	c, ok := r.tables.ReplicaSet(rt.Group)
	if !ok {
		return rt, nil, reply.Refuse(code.NotRunNoPrimary, "the group has no targets")
	}
	return rt, c, reply.Reply{}
}

// bound limits a statement to the route's timeout, counted from its arrival.
func (r *Runner) bound(ctx context.Context, s stmt.Stmt, rt route.Route) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, rt.Timeout-(r.now()-s.Arrived))
}

// Close ends the session: what is open is rolled back.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle != nil {
		r.idle.Stop()
	}
	r.abandon(reply.Idle)
}

// expire ends a transaction that rested for too long.
func (r *Runner) expire(tx *transaction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tx != tx {
		return
	}
	r.trail.Record(r.caller.ID, r.caller.Database, "", "TransactionIdle", r.now()-tx.began)
	r.abandon(reply.Failed)
}

// abandon rolls an open transaction back and leaves the session in a state.
func (r *Runner) abandon(status byte) {
	tx := r.tx
	r.tx = nil
	r.caller = r.caller.WithStatus(status)
	if tx == nil || tx.lane == nil {
		return
	}
	go release(tx.crew, tx.lane)
}

// release rolls back what is open on a connection and puts it back.
func release(c *rset.ReplicaSet, l *conn.Conn) {
	ctx, stop := context.WithTimeout(context.Background(), endTimeout)
	defer stop()
	ended, err := l.Rollback(ctx)
	if err != nil || ended.Status != reply.Idle {
		c.Drop(l)
		return
	}
	c.Put(l)
}
