package lookup_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/lookup"
	"github.com/pistachiotray/pistachiotray/process/mirror"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/version/plan"
	"github.com/pistachiotray/pistachiotray/version/route"
)

const table = "op"

// host is what a host knows: a plan in force and a copy of the table that holds it.
type host struct {
	plan    plan.Plan
	mirror  *mirror.Mirror
	elapsed time.Duration
}

func newHost() *host {
	h := &host{}
	h.mirror = mirror.New(h.now)
	h.mirror.Handle(table, func(rows []record.Row, _ stamp.Stamp, _ bool) {
		for _, r := range rows {
			h.plan = plan.New(r.Version).WithRoutes(route.New(string(r.Value), "g", route.Primary))
		}
	})
	return h
}

func (h *host) now() time.Duration { return time.Hour + h.elapsed }

// learn applies a row of the table that another host told some time ago.
func (h *host) learn(database string, version uint64, from string) {
	rows := []record.Row{record.New("config", []byte(database)).WithVersion(version)}
	h.mirror.Apply(delta.New(table, rows, stamp.New(1, version)).WithWhole(true).WithFrom(from, 2))
}

func (h *host) Plan() plan.Plan { return h.plan }

func (h *host) HasDatabase(_ context.Context, database string) (bool, error) {
	_, ok := h.plan.Route(database)
	return ok, nil
}

// LogFields returns whom the host follows.
func (h *host) LogFields() []zap.Field { return []zap.Field{zap.String("Upstream", "front-2")} }

func TestRefusalNamesThePlanAndItsAge(t *testing.T) {
	is := is.New(t)
	h := newHost()
	h.learn("orders", 7, "front-1")
	h.elapsed = 3 * time.Second
	core, logs := observer.New(zapcore.InfoLevel)
	zap.New(core).Info("caller refused", lookup.New(h, h.mirror, h, table).LogFields()...)
	got := logs.All()[0].ContextMap()
	is.Equal(got, map[string]any{
		"Plan": uint64(7), "Era": uint64(1), "Position": uint64(7), "Age": 3 * time.Second, "Heard": "front-1", "Hops": int64(2), "Upstream": "front-2",
	})
}
