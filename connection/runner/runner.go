// Package runner runs the statements of a caller's session.
package runner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/version/cust"
	"github.com/pistachiotray/pistachiotray/version/plan"
	"github.com/pistachiotray/pistachiotray/version/route"
)

// rollbackTimeout bounds a rollback that runs in the background, while its
// session continues.
const rollbackTimeout = time.Second

// catalog looks up the plan and the database groups.
type catalog interface {
	// Plan returns the plan in force.
	Plan() plan.Plan
	// ReplicaSet returns a database group.
	ReplicaSet(group string) (*rset.ReplicaSet, bool)
}

// requestLog logs the outcomes of requests.
type requestLog interface {
	// Record logs and counts the outcome of a statement. customer is empty if callers
	// are not told apart. It never blocks.
	Record(caller, customer, database, id, outcome string, took time.Duration, fields ...zap.Field)
}

// admission decides whether an operation of a customer with a limit may run.
type admission interface {
	// Admit decides about one operation. If it may not run, Admit returns when to try again.
	Admit(ctx context.Context, c cust.Customer) (ok bool, after time.Duration)
}

// Runner runs the statements of one session, one at a time.
type Runner struct {
	// mu guards the session against the timer that ends idle transactions, which
	// runs in another goroutine. Run, Close and expireIdle lock it. All other
	// methods must be called with it locked.
	mu         sync.Mutex
	catalog    catalog
	requestLog requestLog
	now        func() time.Duration
	caller     caller.Caller
	// planFields returns on what plan a refusal rests.
	planFields func() []zap.Field
	// admission is nil if no customer is limited.
	admission admission
	// customer is the customer for which the session works.
	customer cust.Customer
	// tx is the open transaction, nil if there is none.
	tx *transaction
	// idleTimer ends the open transaction once it has been idle for too long.
	idleTimer *time.Timer
	// limits bound what the session keeps, nil if nothing does.
	limits *limits
	// logFields are the log fields of the statement that runs.
	logFields []zap.Field
}

// transaction is the open transaction of a session.
type transaction struct {
	group    *rset.ReplicaSet
	route    route.Route
	readOnly bool
	wrote    bool
	// began is when the transaction was opened, as time since the machine started.
	began time.Duration
	// conn is the transaction's connection to a target. It is nil until the
	// transaction was begun at a target, which happens when its first statement
	// arrives.
	conn *conn.Conn
	// idleLimit is how long the transaction may be idle; zero means no limit.
	idleLimit time.Duration
}

// New returns the runner of a new session. now returns the time since the
// machine started, suspended time included.
func New(c caller.Caller, ct catalog, log requestLog, now func() time.Duration, options ...func(*Runner)) *Runner {
	r := &Runner{catalog: ct, requestLog: log, now: now, caller: c}
	r.planFields = func() []zap.Field { return []zap.Field{zap.Uint64("Plan", ct.Plan().Version)} }
	for _, o := range options {
		o(r)
	}
	return r
}

// WithPlanFields returns an option that sets the log fields of a refused key, which tell the
// plan in force and how old it is.
func WithPlanFields(f func() []zap.Field) func(*Runner) {
	return func(r *Runner) { r.planFields = f }
}

// WithAdmission returns an option that sets who decides whether an operation may run.
func WithAdmission(a admission) func(*Runner) {
	return func(r *Runner) { r.admission = a }
}

// Run runs one statement and returns its reply. The context must end when the caller
// disconnects.
func (r *Runner) Run(ctx context.Context, s stmt.Stmt) reply.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idleTimer != nil {
		r.idleTimer.Stop()
	}
	r.logFields = r.logFields[:0]
	answer := r.run(ctx, s)
	if r.tx != nil && r.tx.conn != nil && r.tx.idleLimit > 0 {
		tx := r.tx
		r.idleTimer = time.AfterFunc(tx.idleLimit, func() { r.expireIdle(tx) })
	}
	if answer.Code == code.NotRunDeadline && errors.Is(context.Cause(ctx), code.NotRunStopping) {
		answer = stoppingRefusal()
	}
	return r.finish(s, answer)
}

// finish sets the transaction state in the answer to a statement, logs the outcome, and returns
// the answer.
func (r *Runner) finish(s stmt.Stmt, answer reply.Reply) reply.Reply {
	answer.Status = r.caller.Status
	if s.Kind == stmt.Read || s.Kind == stmt.Write || s.Kind == stmt.Execute || s.Kind == stmt.Commit || !answer.OK() {
		r.requestLog.Record(r.caller.ID, r.caller.Customer, r.caller.Database, s.ID, answer.Code.Name(), r.now()-s.Arrived, r.logFields...)
	}
	return answer
}

// Decline refuses a statement because the host is stopping. It refuses what would begin an
// operation as not run and, with abort, rolls back the open transaction and refuses what is part
// of it. It returns false if the statement may run.
func (r *Runner) Decline(s stmt.Stmt, abort bool) (reply.Reply, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	begins := s.Kind == stmt.Begin || s.Kind == stmt.BeginRead || s.Kind == stmt.Read || s.Kind == stmt.Write || s.Kind == stmt.Execute
	r.logFields = r.logFields[:0]
	switch {
	case r.caller.Status == reply.Idle && begins:
		return r.finish(s, stoppingRefusal()), true
	case r.caller.Status == reply.Open && abort && s.Kind != stmt.Rollback:
		status := byte(reply.Failed)
		if s.Kind == stmt.Commit {
			status = reply.Idle
		}
		r.endTransaction(status)
		return r.finish(s, reply.Refuse(code.TransactionLost, "the host is stopping, the transaction was rolled back")), true
	}
	return reply.Reply{}, false
}

// stoppingRefusal returns the refusal of a statement that did not run because the host is
// stopping.
func stoppingRefusal() reply.Reply {
	return reply.Refuse(code.NotRunStopping, "the host is stopping, connect again")
}

// addLogFields adds fields to the log line of the statement that runs.
func (r *Runner) addLogFields(fields ...zap.Field) {
	r.logFields = append(r.logFields, fields...)
}

// run runs one statement, without logging it.
func (r *Runner) run(ctx context.Context, s stmt.Stmt) reply.Reply {
	if r.caller.Status == reply.Failed && s.Kind != stmt.Rollback && s.Kind != stmt.Commit {
		return reply.Refuse(code.BadMessage, "the transaction failed and must be rolled back")
	}
	switch s.Kind {
	case stmt.Set:
		return r.keep(r.caller.WithValue(keptTexts(s)))
	case stmt.Prepare:
		name, text := keptTexts(s)
		return r.keep(r.caller.WithPrepared(name, text, s.Writes))
	case stmt.Deallocate:
		return r.keep(r.caller.WithoutPrepared(s.Name))
	case stmt.Begin, stmt.BeginRead:
		return r.begin(ctx, s)
	case stmt.Rollback:
		r.endTransaction(reply.Idle)
	case stmt.Commit:
		return r.commit(ctx, s)
	case stmt.Read, stmt.Write, stmt.Execute:
		return r.runAtTarget(ctx, s)
	default:
		return reply.Refuse(code.BadMessage, "no such statement")
	}
	return reply.Done(r.caller.Status)
}

// runAtTarget runs a statement that has to be sent to a target.
func (r *Runner) runAtTarget(ctx context.Context, s stmt.Stmt) reply.Reply {
	if s.Kind == stmt.Execute {
		_, writes, ok := r.caller.Prepared(s.Name)
		if !ok {
			return reply.Refuse(code.NotRunUnprepared, s.Name)
		}
		s = s.WithWrites(writes)
	}
	if r.caller.Status == reply.Open {
		return r.runInTransaction(ctx, s)
	}
	rt, group, refusal := r.route()
	if group == nil {
		return refusal
	}
	ctx, stop := r.withTimeout(ctx, s, rt)
	defer stop()
	if refused, ok := r.admit(ctx); !ok {
		return refused
	}
	switch {
	case s.WritesData():
		return r.write(ctx, group, rt, s)
	case rt.Kind == route.Primary:
		return r.readAtLeader(ctx, group, rt, s)
	}
	return r.read(ctx, group, rt, s)
}

// route returns the route in force for the session's database, and the route's group. It sets
// the customer for which the session works from now on. If the route or its group does not
// exist, or the session's key belongs to no customer any more, the group is nil and the reply
// is the refusal of the statement.
func (r *Runner) route() (route.Route, *rset.ReplicaSet, reply.Reply) {
	p := r.catalog.Plan()
	rt, ok := p.Route(r.caller.Database)
	if !ok {
		return rt, nil, reply.Refuse(code.UnknownDatabase, r.caller.Database)
	}
	customer, ok := p.Identify(rt, r.caller.Key())
	if !ok {
		return rt, nil, r.refuseKey()
	}
	r.customer, r.caller = customer, r.caller.WithCustomer(customer.Name)
	r.addLogFields(zap.String("Group", rt.Group))
	group, ok := r.catalog.ReplicaSet(rt.Group)
	if !ok {
		return rt, nil, reply.Refuse(code.NotRunNoPrimary, "the group has no targets")
	}
	return rt, group, reply.Reply{}
}

// refuseKey returns the refusal of a statement whose key belongs to no customer, and logs on
// what plan that rests. The customer that is logged is the one that held the key before.
func (r *Runner) refuseKey() reply.Reply {
	r.addLogFields(r.planFields()...)
	return reply.Refuse(code.UnknownKey, "the key is not in force")
}

// admit asks whether an operation of the session's customer may run now. If not, it returns
// false and the refusal of the operation.
func (r *Runner) admit(ctx context.Context) (reply.Reply, bool) {
	if r.admission == nil || !r.customer.Limited() {
		return reply.Reply{}, true
	}
	ok, after := r.admission.Admit(ctx, r.customer)
	if ok {
		return reply.Reply{}, true
	}
	return reply.Refuse(code.NotRunLimit, "over the limit of the customer, retry in "+strconv.FormatInt(max(after.Milliseconds(), 1), 10)+" ms"), false
}

// withTimeout bounds a statement by the route's timeout, counted from the
// statement's arrival.
func (r *Runner) withTimeout(ctx context.Context, s stmt.Stmt, rt route.Route) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, rt.Timeout-(r.now()-s.Arrived))
}

// Close ends the session. It rolls back an open transaction in the background.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idleTimer != nil {
		r.idleTimer.Stop()
	}
	r.endTransaction(reply.Idle)
}

// expireIdle rolls back a transaction that was idle for too long, unless it is no
// longer the session's open transaction.
func (r *Runner) expireIdle(tx *transaction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tx != tx {
		return
	}
	r.requestLog.Record(r.caller.ID, r.caller.Customer, r.caller.Database, "", "TransactionIdle", r.now()-tx.began)
	r.endTransaction(reply.Failed)
}

// endTransaction sets the session's status, and rolls back the open transaction, if
// there is one, in the background.
func (r *Runner) endTransaction(status byte) {
	tx := r.tx
	r.tx = nil
	r.caller = r.caller.WithStatus(status)
	if tx == nil || tx.conn == nil {
		return
	}
	go rollbackAndReturn(tx.group, tx.conn)
}

// rollbackAndReturn rolls back the open transaction of a connection and returns
// the connection to the pool, or closes it if the rollback fails.
func rollbackAndReturn(group *rset.ReplicaSet, cn *conn.Conn) {
	ctx, stop := context.WithTimeout(context.Background(), rollbackTimeout)
	defer stop()
	ended, err := cn.Rollback(ctx)
	if err != nil || ended.Status != reply.Idle {
		group.Drop(cn)
		return
	}
	group.Put(cn)
}
