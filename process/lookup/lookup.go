// Package lookup decides whether a database has a route.
package lookup

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/version/plan"
)

// planTimeout bounds how long a new session waits for the first configuration.
const planTimeout = 1500 * time.Millisecond

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
	// LogFields returns what is known of a table.
	LogFields(table string) []zap.Field
}

// follower follows the copy of another host.
type follower interface {
	// LogFields returns whom the host follows.
	LogFields() []zap.Field
}

// Lookup looks up databases in the plan.
type Lookup struct {
	plans    plans
	mirror   mirror
	follower follower
	// table is the table that holds the plan.
	table string
}

// New returns a Lookup in the plan in force, which comes from a table in m that f keeps up
// to date.
func New(p plans, m mirror, f follower, table string) *Lookup {
	return &Lookup{plans: p, mirror: m, follower: f, table: table}
}

// HasDatabase reports whether a database has a route. It fails if no configuration arrives
// in time.
func (l *Lookup) HasDatabase(ctx context.Context, database string) (bool, error) {
	ctx, stop := context.WithTimeout(ctx, planTimeout)
	defer stop()
	return l.plans.HasDatabase(ctx, database)
}

// LogFields returns on what an answer rests: the version of the plan, what is known of the
// table that holds it, and whom the host follows.
func (l *Lookup) LogFields() []zap.Field {
	fields := append(l.mirror.LogFields(l.table), zap.Uint64("Plan", l.plans.Plan().Version))
	return append(fields, l.follower.LogFields()...)
}
