package runner_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/runner"
	"github.com/pistachiotray/pistachiotray/process/meter"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// account counts what is used.
type account struct{ used int }

func (a *account) Charge(n int) { a.used += n }
func (a *account) Return(n int) { a.used -= n }

// A session's values and prepared statements are kept until it ends, so that their number and
// size need limits. A refused one leaves the others as they were.
func TestSessionStateIsLimited(t *testing.T) {
	is := is.New(t)
	a := &account{}
	r := runner.New(caller.New("s", "orders"), nil, meter.New(zap.NewNop()), func() time.Duration { return time.Second }, runner.WithLimits(a, 3, 100_000))
	run := func(kind int, name, rest string) code.Code {
		return r.Run(context.Background(), stmt.New("1", kind, "").WithName(name, rest)).Code
	}
	for i := range 3 {
		is.Equal(run(stmt.Set, fmt.Sprint("v", i), "x"), code.Done)
	}
	// A few small values cost nothing.
	before := a.used
	is.Equal(before, 0)
	is.Equal(run(stmt.Set, "v3", "x"), code.MessageTooLarge)
	is.Equal(run(stmt.Prepare, "s", "x"), code.MessageTooLarge)
	is.Equal(a.used, before)
	is.Equal(run(stmt.Set, "v0", strings.Repeat("x", 50_000)), code.Done)
	is.True(a.used > 45_000 && a.used < 50_000)
	is.Equal(run(stmt.Set, "v1", strings.Repeat("x", 50_000)), code.MessageTooLarge)
	is.Equal(run(stmt.Set, "v0", "x"), code.Done)
	is.Equal(a.used, before)
}
