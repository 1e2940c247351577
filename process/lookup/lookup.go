// Package lookup decides whether a database has a route.
package lookup

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/pistachiotray/pistachiotray/process/rescue"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/version/plan"
)

const (
	// planTimeout bounds how long a new session waits for the first configuration.
	planTimeout = 1500 * time.Millisecond
	// refreshTimeout bounds how long a new session waits for a newer configuration. Callers
	// give up after 2 s.
	refreshTimeout = time.Second
	// failurePause is how long after a failed refresh no other is tried.
	failurePause = 3 * time.Second
)

// errPanic is the failure of a refresh that panicked.
var errPanic = errors.New("reading the configuration ended by a panic")

// plans holds the plan in force.
type plans interface {
	// Plan returns the plan in force.
	Plan() plan.Plan
	// HasDatabase reports whether the plan has a route for a database. It first waits
	// until a plan is known, and returns the context's error if the context ends before.
	HasDatabase(ctx context.Context, database string) (bool, error)
}

// mirror is the host's copy of the platform's tables.
type mirror interface {
	// FreshAt returns the latest time at which the store is known to have had no newer
	// changes of a table, or 0 if the table was never read.
	FreshAt(table string) time.Duration
	// LogFields returns what is known of a table.
	LogFields(table string) []zap.Field
}

// follower follows the copy of another host.
type follower interface {
	// MaxAge returns how old the copy of a table gets in operation.
	MaxAge(table string) time.Duration
	// LogFields returns whom the host follows.
	LogFields() []zap.Field
}

// Lookup looks up databases in the plan.
type Lookup struct {
	log      *zap.Logger
	plans    plans
	mirror   mirror
	follower follower
	// table is the table that holds the plan, and refresh reads it from the store.
	table   string
	refresh func(ctx context.Context) error
	now     func() time.Duration
	// refreshes lets all sessions that wait for a newer plan wait for the same read.
	refreshes singleflight.Group
	// mu guards failedAt, when the last refresh failed, and failure, its error. failure is
	// nil if the last refresh succeeded.
	mu       sync.Mutex
	failedAt time.Duration
	failure  error
}

// New returns a Lookup in the plan in force, which comes from a table in m that f keeps up
// to date. refresh reads the table from the store into m. now is the clock of m.
func New(log *zap.Logger, p plans, m mirror, f follower, table string, refresh func(ctx context.Context) error, now func() time.Duration) *Lookup {
	return &Lookup{log: log, plans: p, mirror: m, follower: f, table: table, refresh: refresh, now: now}
}

// Check returns code.Done if a database has a route and the key may use it, and otherwise the code
// and the reason with which to refuse a caller. A plan that is older than it gets in operation may
// lack a route or a key that was added since: it is read again before either is unknown.
func (l *Lookup) Check(ctx context.Context, database, key string) (c code.Code, reason string) {
	c, reason = l.inPlan(ctx, database, key)
	if !unknown(c) || l.Current() {
		return c, reason
	}
	if err := l.awaitRefresh(ctx); err != nil {
		return code.NotRunOldPlan, database
	}
	c, reason = l.inPlan(ctx, database, key)
	if unknown(c) && !l.Current() {
		c = code.NotRunOldPlan
	}
	return c, reason
}

// unknown reports whether a code rests on what the plan lacks.
func unknown(c code.Code) bool {
	return c == code.UnknownDatabase || c == code.UnknownKey
}

// inPlan returns whether the plan has a route for a database that a key may use, as Check
// does. The reason never holds the key.
func (l *Lookup) inPlan(ctx context.Context, database, key string) (c code.Code, reason string) {
	ctx, stop := context.WithTimeout(ctx, planTimeout)
	defer stop()
	has, err := l.plans.HasDatabase(ctx, database)
	switch {
	case err != nil:
		return code.NotRunStopping, "no configuration yet"
	case !has:
		return code.UnknownDatabase, database
	}
	p := l.plans.Plan()
	rt, ok := p.Route(database)
	if !ok {
		return code.UnknownDatabase, database
	}
	if _, ok := p.Identify(rt, key); !ok {
		return code.UnknownKey, database
	}
	return code.Done, ""
}

// Current reports whether the plan is as new as it is in operation.
func (l *Lookup) Current() bool {
	return l.now()-l.mirror.FreshAt(l.table) <= l.follower.MaxAge(l.table)
}

// awaitRefresh waits for a read of the plan that is under way, or begins one. Shortly after a
// failed read it returns the error of that.
func (l *Lookup) awaitRefresh(ctx context.Context) error {
	l.mu.Lock()
	failedAt, failure := l.failedAt, l.failure
	l.mu.Unlock()
	if failure != nil && l.now()-failedAt < failurePause {
		return failure
	}
	result := l.refreshes.DoChan(l.table, func() (any, error) {
		ctx, stop := context.WithTimeout(context.Background(), refreshTimeout)
		defer stop()
		err := errPanic
		rescue.Run(l.log, func() { err = l.refresh(ctx) })
		l.mu.Lock()
		defer l.mu.Unlock()
		l.failedAt, l.failure = l.now(), err
		if err != nil {
			l.log.Warn("configuration not read again", zap.String("Error", err.Error()))
		}
		return nil, err
	})
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LogFields returns on what an answer rests: the version of the plan, what is known of the
// table that holds it, and whom the host follows.
func (l *Lookup) LogFields() []zap.Field {
	fields := append(l.mirror.LogFields(l.table), zap.Uint64("Plan", l.plans.Plan().Version))
	return append(fields, l.follower.LogFields()...)
}
