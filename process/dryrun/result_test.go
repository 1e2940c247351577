package dryrun_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/allot"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/borrow"
	"github.com/pistachiotray/pistachiotray/process/dryrun"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/version/cust"
	"github.com/pistachiotray/pistachiotray/version/plan"
	"github.com/pistachiotray/pistachiotray/version/route"
)

var (
	bakery = cust.New("bakery", "k1").WithLimit(100, 10)
	cafe   = cust.New("cafe", "k2")
)

// host is a host with a group of two targets, and with limits that no other host shares.
type host struct {
	set        *rset.ReplicaSet
	allotments *allot.Allotments
	logs       *observer.ObservedLogs
	plan       plan.Plan
	ready      bool
	old        bool
	missing    bool
	// dialed counts the connections that were opened to targets and to hosts, and failing
	// makes those to targets fail.
	dialed  atomic.Int64
	failing bool
	// slow is how long a statement takes.
	slow time.Duration
}

// newHost returns a host on the virtual clock of a test.
func newHost(connections int) *host {
	began := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(began) }
	core, logs := observer.New(zapcore.DebugLevel)
	log, self := zap.New(core), gossip.New("host-1", "10.0.0.1:1", "a", 0)
	h := &host{logs: logs, ready: true, slow: 10 * time.Millisecond}
	h.plan = plan.New(5).WithGroup("g", connections).WithCustomers(bakery, cafe).WithRoutes(
		route.New("orders", "g", route.Primary).WithTimes(time.Second, time.Second),
		route.New("stock", "g", route.BoundedStaleness).WithMaxAge(time.Second).WithTimes(time.Second, time.Second),
		route.New("menu", "g", route.Primary).WithTimes(time.Second, time.Second).WithPublic(true))
	h.set = rset.New("g", log, h, now, func(string) time.Duration { return 0 }, rset.WithBorrower(borrow.New(h, now)), rset.WithFirstStart(true))
	hosts := assign.New(self, nil).WithHosts(gossip.New("host-2", "10.0.0.2:1", "a", 0), gossip.New("host-3", "10.0.0.3:1", "a", 0))
	h.set.SetAssignment(hosts)
	h.set.SetCustomers(h.plan.CustomerWeights())
	targets := []target.Target{target.New("t1", "g", "", "a").WithSlots(4).WithRole(true), target.New("t2", "g", "", "a").WithSlots(4)}
	h.set.Update(targets, targets[0], connections)
	h.allotments = allot.New(log, self, nil, now)
	h.allotments.SetAssignment(assign.New(self, nil))
	h.allotments.Adopt(h.plan)
	return h
}

func (h *host) close() {
	h.set.Update(nil, target.Target{}, 1)
	time.Sleep(time.Minute)
}

func (h *host) Ready() bool                                { return h.ready }
func (h *host) Plan() plan.Plan                            { return h.plan }
func (h *host) Current() bool                              { return !h.old }
func (h *host) ReplicaSet(string) (*rset.ReplicaSet, bool) { return h.set, !h.missing }

func (h *host) Open(_ context.Context, t target.Target, customer string) (*conn.Conn, error) {
	h.dialed.Add(1)
	if h.failing {
		return nil, errors.New("refused")
	}
	return conn.New(t.ID, link{h}, conn.WithCustomer(customer)), nil
}

func (h *host) Reach(context.Context, target.Target) error {
	if h.failing {
		return errors.New("refused")
	}
	return nil
}

func (h *host) Host(context.Context, gossip.HostInfo) (*remote.Remote, error) {
	h.dialed.Add(1)
	return nil, errors.New("refused")
}

// run runs a read of a customer at a target, on a connection of this host.
func (h *host) run(ctx context.Context, id, customer string) error {
	b := batch.New(caller.New("c", "stock").WithCustomer(customer), []stmt.Stmt{stmt.New("1", stmt.Read, "")}).WithWait(time.Second).WithKind("stock")
	_, _, err := h.set.DoOwn(ctx, id, b)
	return err
}

func (h *host) explain(database string, options ...func(*dryrun.Result)) dryrun.Result {
	return dryrun.New("host-1", h, h.allotments, h, database, options...)
}

// link is a connection on which every statement succeeds.
type link struct{ host *host }

func (l link) Run(_ context.Context, stage []stmt.Stmt) ([]reply.Reply, error) {
	time.Sleep(l.host.slow)
	replies := make([]reply.Reply, len(stage))
	for i := range stage {
		replies[i] = reply.Done(reply.Idle)
		replies[i].Mark = mark.New(1, 9)
	}
	return replies, nil
}

func (link) Report(context.Context, stmt.Stmt) (report.Report, error) { return report.Report{}, nil }
func (link) Broken() bool                                             { return false }
func (link) Close()                                                   {}

// Whoever asks where a request would go must not be refused what others get for it, nor shift the
// load: no counter, pool, estimate or allowance changes, and nothing is opened or logged.
func TestNothingChanges(t *testing.T) {
	for name, connections := range map[string]int{"own connections": 100, "shared connections": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHost(connections)
				defer h.close()
				ctx, stop := context.WithCancel(t.Context())
				go h.allotments.Run(ctx)
				h.set.AddWatermark(mark.New(1, 9), time.Hour)
				h.allotments.Admit(t.Context(), bakery)
				time.Sleep(5 * time.Second)
				stop()
				synctest.Wait()
				for _, id := range []string{"t1", "t2", "t1"} {
					is.NoErr(h.run(t.Context(), id, "bakery"))
				}
				is.NoErr(h.run(t.Context(), "t1", "cafe"))
				// A statement runs, and another one may wait, while the requests are explained.
				h.slow = 300 * time.Millisecond
				for range 3 {
					go func() { _ = h.run(t.Context(), "t1", "bakery") }()
				}
				time.Sleep(50 * time.Millisecond)
				state := func() []any {
					var all []any
					for _, id := range []string{"t1", "t2"} {
						outstanding, free := h.set.OwnLoad(id)
						all = append(all, outstanding, free)
					}
					return append(all, h.dialed.Load(), h.logs.Len(), h.allotments.Metrics(), h.allotments.Peek("bakery"), h.allotments.Peek("cafe"),
						h.set.Explain("stock"), h.set.Explain("orders"))
				}
				before := state()
				for range 200 {
					for _, database := range []string{"orders", "stock", "menu", "unknown"} {
						for _, customer := range []string{"bakery", "cafe", "unknown", ""} {
							for _, writes := range []bool{false, true} {
								options := []func(*dryrun.Result){dryrun.WithCustomer(customer), dryrun.WithWrites(writes)}
								is.Equal(h.explain(database, options...), h.explain(database, options...))
							}
						}
					}
				}
				synctest.Wait()
				is.Equal(state(), before)
			})
		})
	}
}

// A request must be shown to be refused with the code that it would get, and for the first reason.
func TestRefusals(t *testing.T) {
	old := func(h *host) { h.old = true }
	for name, test := range map[string]struct {
		change             func(h *host)
		database, customer string
		want               code.Code
	}{
		"no configuration":          {func(h *host) { h.ready = false }, "orders", "bakery", code.NotRunStopping},
		"no route":                  {nil, "unknown", "bakery", code.UnknownDatabase},
		"no route in an old plan":   {old, "unknown", "bakery", code.NotRunOldPlan},
		"no customer":               {nil, "orders", "", code.UnknownKey},
		"key in place of a name":    {nil, "orders", "k1", code.UnknownKey},
		"name of public callers":    {nil, "orders", cust.Public, code.UnknownKey},
		"customer of an older plan": {old, "orders", "dairy", code.NotRunOldPlan},
		"old plan with the route":   {old, "orders", "cafe", code.Done},
		"no group":                  {func(h *host) { h.missing = true }, "orders", "bakery", code.NotRunNoPrimary},
		"public route":              {nil, "menu", "", code.Done},
		"customer":                  {nil, "orders", "cafe", code.Done},
		"leader just lost":          {func(h *host) { h.set.ClearLeader("t1") }, "orders", "cafe", code.Done},
		"leader lost for long":      {func(h *host) { h.set.ClearLeader("t1"); time.Sleep(3 * time.Second) }, "orders", "cafe", code.NotRunDeadline},
		"no target answers": {func(h *host) {
			h.failing = true
			_, _ = h.run(context.Background(), "t1", "cafe"), h.run(context.Background(), "t2", "cafe")
		}, "stock", "cafe", code.NotRunDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHost(100)
				defer h.close()
				if test.change != nil {
					test.change(h)
				}
				r := h.explain(test.database, dryrun.WithCustomer(test.customer))
				is.Equal(r.Code, test.want)
				is.Equal(len(r.View.Members) == 0, r.Reason != "" && r.View.Group == "")
				r.Customer.EachKey(func(string) { t.Error("a key is shown") })
			})
		})
	}
}

// A customer that has used up its limit must be shown to be refused, as its next operation is.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost(100)
		defer h.close()
		is.Equal(h.explain("orders", dryrun.WithCustomer("bakery")).Reason, "waits for an allowance from the coordinator")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go h.allotments.Run(ctx)
		time.Sleep(5 * time.Second)
		for admitted := true; admitted; {
			told := h.explain("orders", dryrun.WithCustomer("bakery"))
			ok, after := h.allotments.Admit(t.Context(), bakery)
			if told.Code == code.NotRunLimit {
				is.True(!ok)
				is.Equal(told.Allowance.Retry, after)
			}
			is.Equal(told.Allowance.Admitted && !ok, false)
			admitted = ok
		}
		r := h.explain("orders", dryrun.WithCustomer("bakery"))
		is.Equal(r.Code, code.NotRunLimit)
		is.Equal(r.Allowance.Coordinator, "host-1")
		is.True(r.Allowance.Rate > 0 && r.Allowance.Tokens < 1)
		is.Equal(h.explain("orders", dryrun.WithCustomer("cafe")).Code, code.Done)
	})
}

// Requests must be explained beside those that run, without a race or a deadlock between the locks
// of groups, pools and limits, which this test finds with -race.
func TestBesideRequests(t *testing.T) {
	is := is.New(t)
	h := newHost(20)
	h.slow = 0
	ctx, stop := context.WithCancel(t.Context())
	var background, requests sync.WaitGroup
	background.Go(func() { h.allotments.Run(ctx) })
	for i := range 8 {
		customer := []string{"bakery", "cafe"}[i%2]
		requests.Go(func() {
			for range 200 {
				h.allotments.Admit(t.Context(), bakery)
				if err := h.run(t.Context(), []string{"t1", "t2"}[i/4], customer); err != nil {
					t.Error(err)
				}
			}
		})
		requests.Go(func() {
			for range 200 {
				h.explain("stock", dryrun.WithCustomer(customer))
				h.explain("orders", dryrun.WithCustomer(customer), dryrun.WithWrites(true))
			}
		})
	}
	requests.Wait()
	stop()
	background.Wait()
	r := h.explain("stock", dryrun.WithCustomer("cafe"))
	is.Equal(r.Code, code.Done)
	for _, c := range r.View.Members {
		is.Equal(c.Supply.Open, c.Supply.Idle)
	}
	h.set.Update(nil, target.Target{}, 1)
}
