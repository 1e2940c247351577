package lookup_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/lookup"
	"github.com/pistachiotray/pistachiotray/process/mirror"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/version/cust"
	"github.com/pistachiotray/pistachiotray/version/plan"
	"github.com/pistachiotray/pistachiotray/version/route"
)

const table = "op"

// maxAge is how old the copy of the table gets in operation.
const maxAge = 2500 * time.Millisecond

// host is what a host knows: a plan in force and a copy of the table that holds it.
type host struct {
	plan   plan.Plan
	mirror *mirror.Mirror
	began  time.Time
	// stored is the database that the store's plan has at version 8, and readTime how long a
	// read takes. failure is the error of a read.
	stored   string
	readTime time.Duration
	failure  error
	reads    int
}

func newHost() *host {
	h := &host{began: time.Now()}
	h.mirror = mirror.New(h.now)
	h.mirror.Handle(table, func(rows []record.Row, _ stamp.Stamp, _ bool) {
		for _, r := range rows {
			h.plan = plan.New(r.Version).WithRoutes(route.New(string(r.Value), "g", route.Primary))
		}
	})
	return h
}

func (h *host) now() time.Duration { return time.Hour + time.Since(h.began) }

// learn applies a row of the table that another host told, or the store if from is empty.
func (h *host) learn(database string, version uint64, from string) {
	rows := []record.Row{record.New("config", []byte(database)).WithVersion(version)}
	h.mirror.Apply(delta.New(table, rows, stamp.New(1, version)).WithWhole(true).WithFrom(from, 2))
}

func (h *host) Plan() plan.Plan { return h.plan }

func (h *host) HasDatabase(ctx context.Context, database string) (bool, error) {
	if h.plan.Version == 0 {
		<-ctx.Done()
		return false, ctx.Err()
	}
	_, ok := h.plan.Route(database)
	return ok, nil
}

func (h *host) MaxAge(string) time.Duration { return maxAge }

// refresh reads the table from the store.
func (h *host) refresh(context.Context) error {
	h.reads++
	time.Sleep(h.readTime)
	if h.failure == nil {
		h.learn(h.stored, 8, "")
	}
	return h.failure
}

// lookup returns a Lookup in what the host knows.
func (h *host) lookup() *lookup.Lookup {
	return lookup.New(zap.NewNop(), h, h.mirror, h, table, h.refresh, h.now)
}

// LogFields returns whom the host follows.
func (h *host) LogFields() []zap.Field { return []zap.Field{zap.String("Upstream", "front-2")} }

// answer returns the code with which a Lookup answers.
func answer(l *lookup.Lookup, database string) code.Code {
	c, _ := l.Check(context.Background(), database, "")
	return c
}

func TestRefusalNamesThePlanAndItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost()
		h.learn("orders", 7, "front-1")
		time.Sleep(3 * time.Second)
		core, logs := observer.New(zapcore.InfoLevel)
		zap.New(core).Info("caller refused", h.lookup().LogFields()...)
		is.Equal(logs.All()[0].ContextMap(), map[string]any{
			"Plan": uint64(7), "Era": uint64(1), "Position": uint64(7), "Age": 3 * time.Second, "Heard": "front-1", "Hops": int64(2), "Upstream": "front-2",
		})
	})
}

// A host that has not heard of the store for long must not refuse a route that was added since.
func TestAddedRouteIsNotRefusedWithAnOldPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost()
		h.stored, h.readTime = "added", 10*time.Millisecond
		h.learn("orders", 7, "front-1")
		time.Sleep(maxAge + time.Millisecond)
		l := h.lookup()
		is.Equal(answer(l, "added"), code.Done)
		is.Equal(answer(l, "orders"), code.UnknownDatabase)
		is.Equal(h.reads, 1)
	})
}

func TestDatabaseIsNotUnknownWithoutAPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is.New(t).Equal(answer(newHost().lookup(), "orders"), code.NotRunStopping)
	})
}

func TestUnknownDatabaseIsRefusedAtOnceWithAYoungPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost()
		h.stored = "added"
		h.learn("orders", 7, "front-1")
		time.Sleep(maxAge)
		is.Equal(answer(h.lookup(), "added"), code.UnknownDatabase)
		is.Equal(h.reads, 0)
	})
}

// Callers that ask for nonsense while the store is away cost few reads, and wait for none that
// is bound to fail.
func TestFailedReadIsNotRepeatedByEachCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost()
		h.failure, h.readTime = errors.New("the store is away"), time.Second
		h.learn("orders", 7, "front-1")
		time.Sleep(maxAge + time.Millisecond)
		l := h.lookup()
		answers := make(chan code.Code)
		for range 50 {
			go func() { answers <- answer(l, "nonsense") }()
		}
		for range 50 {
			is.Equal(<-answers, code.NotRunOldPlan)
		}
		is.Equal(h.reads, 1)
		began := time.Now()
		is.Equal(answer(l, "nonsense"), code.NotRunOldPlan)
		is.Equal(time.Since(began), time.Duration(0))
		time.Sleep(3 * time.Second)
		h.failure, h.stored = nil, "added"
		is.Equal(answer(l, "added"), code.Done)
	})
}

// A key that was added since must not be refused with an old plan, one that was dropped must be.
func TestKeyIsUnknownOnlyWithAPresentPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost()
		h.learn("orders", 7, "front-1")
		h.plan = h.plan.WithCustomers(cust.New("bakery", "old"))
		l := h.lookup()
		check := func(key string) code.Code {
			c, reason := l.Check(context.Background(), "orders", key)
			is.True(reason != key)
			return c
		}
		is.Equal(check("old"), code.Done)
		is.Equal(check("new"), code.UnknownKey)
		time.Sleep(maxAge + time.Millisecond)
		h.failure = errors.New("the store is away")
		is.Equal(check("new"), code.NotRunOldPlan)
		is.Equal(check("old"), code.Done)
	})
}
