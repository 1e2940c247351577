package qgroup_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/runner"
	"github.com/pistachiotray/pistachiotray/process/meter"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/version/cust"
	"github.com/pistachiotray/pistachiotray/version/plan"
)

// limitedTables provides a plan with customers.
type limitedTables struct {
	hostTables
	customers []cust.Customer
}

func (t limitedTables) Plan() plan.Plan { return t.hostTables.Plan().WithCustomers(t.customers...) }

// admission admits the first operations, and records for whom it was asked.
type admission struct {
	left  int
	asked []string
}

func (a *admission) Admit(_ context.Context, c cust.Customer) (bool, time.Duration) {
	a.asked = append(a.asked, c.Name)
	a.left--
	return a.left >= 0, 1500 * time.Microsecond
}

// The limit must count each operation once, when it begins: a statement outside a transaction,
// or a transaction. A refused one must not run.
func TestAdmissionOfOperations(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		tables := limitedTables{hostTables: c.hosts[0], customers: []cust.Customer{
			cust.New("bakery", "k1").WithLimit(1, 1), cust.New("cafe", "k2"),
		}}
		newClient := func(key string, a *admission) *client {
			r := runner.New(caller.New("s-"+key, "primary").WithKey(key), tables, meter.New(zap.NewNop()), c.now, runner.WithAdmission(a))
			return &client{cluster: c, runner: r}
		}
		a := &admission{left: 2}
		bakery := newClient("k1", a)
		is.True(bakery.run(stmt.Begin, "", "").OK())
		is.True(bakery.run(stmt.Write, "a", "1").OK())
		is.True(bakery.run(stmt.Read, "a", "").OK())
		is.True(bakery.run(stmt.Commit, "", "").OK())
		is.Equal(len(a.asked), 1)
		is.True(bakery.run(stmt.Set, "x", "y").OK())
		is.Equal(len(a.asked), 1) // nothing ran at a target
		is.True(bakery.run(stmt.Write, "a", "2").OK())
		is.Equal(a.asked, []string{"bakery", "bakery"})
		for _, kind := range []int{stmt.Write, stmt.Read, stmt.Begin, stmt.BeginRead} {
			refused := bakery.run(kind, "a", "3")
			is.Equal(refused.Code, code.NotRunLimit)
			is.Equal(refused.Reason, "over the limit of the customer, retry in 1 ms")
			is.Equal(refused.Status, reply.Idle)
		}
		unlimited := &admission{}
		cafe := newClient("k2", unlimited)
		got := cafe.run(stmt.Read, "a", "")
		is.True(got.OK())
		is.Equal(len(unlimited.asked), 0)
	})
}
