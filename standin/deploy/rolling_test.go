package deploy_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/cloud"
	"github.com/pistachiotray/pistachiotray/process/publ"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/standin/caller"
	"github.com/pistachiotray/pistachiotray/standin/deploy"
	"github.com/pistachiotray/pistachiotray/version/bundle"
)

// writeOrders writes orders until the context until ends, and connects to the
// next host when its own stops. It returns the number of acknowledged orders.
// The test fails if an order gets an error other than NotRunStopping.
func writeOrders(ctx, until context.Context, t *testing.T, s *deploy.Deployment, number int) int {
	t.Helper()
	host := number % s.HostCount()
	var c *caller.Caller
	defer func() {
		if c != nil {
			c.Drop()
		}
	}()
	acked := 0
	for n := 0; until.Err() == nil; n++ {
		for c == nil || c.Conn().IsClosed() {
			host = (host + 1) % s.HostCount()
			fresh, err := caller.New(ctx, s.DSN(host, "fittings"))
			if err == nil {
				c = fresh
				continue
			}
			if ctx.Err() != nil {
				return acked
			}
		}
		_, err := c.Exec(ctx, fmt.Sprintf("/*RequestKey='%d-%d'*/ INSERT INTO orders VALUES ('%d-%d')", number, n, number, n))
		result, known := caller.Code(err)
		switch {
		case err == nil:
			acked++
		case known && result == code.NotRunStopping:
		default:
			t.Errorf("order %d-%d: %v", number, n, err)
			return acked
		}
	}
	return acked
}

// publishLongDeadline publishes a deadline for all requests that even a slow
// machine doesn't reach, so that none is refused for being late, and waits until
// all hosts have it.
func publishLongDeadline(ctx context.Context, t *testing.T, s *deploy.Deployment) {
	t.Helper()
	is := is.New(t)
	p := publ.New(cloud.New(s.PlatformURL(), http.DefaultClient), "test")
	text := "Service = \"orders\"\nDatabases = [\"fittings\"]\n[[Class]]\nName = \"Order\"\nDeadline = \"50s\"\n"
	b, err := p.Publish(ctx, bundle.New(), "patient", map[string]string{"orders": text})
	is.NoErr(err)
	for i := range s.HostCount() {
		for s.Host(i).Version() < b.Version && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func TestRollingRestartUnderLoad(t *testing.T) {
	is := is.New(t)
	s, ctx := startDeployment(t)
	setup := connect(ctx, t, s, 0)
	exec(ctx, t, setup, "CREATE TABLE orders (id text)")
	setup.Drop()
	publishLongDeadline(ctx, t, s)
	until, stop := context.WithCancel(ctx)
	var acked atomic.Int64
	var all sync.WaitGroup
	for i := range 6 {
		all.Go(func() { acked.Add(int64(writeOrders(ctx, until, t, s, i))) })
	}
	for i := range s.HostCount() {
		time.Sleep(300 * time.Millisecond)
		is.Equal(s.Stop(ctx, i), 0)
		time.Sleep(300 * time.Millisecond)
		is.NoErr(s.Restart(ctx, i))
	}
	time.Sleep(300 * time.Millisecond)
	stop()
	all.Wait()
	c := connect(ctx, t, s, 0)
	n, err := c.Value(ctx, "SELECT count(*) FROM orders")
	is.NoErr(err)
	is.Equal(n, fmt.Sprint(acked.Load()))
	n, err = c.Value(ctx, "SELECT count(DISTINCT id) FROM orders")
	is.NoErr(err)
	is.Equal(n, fmt.Sprint(acked.Load()))
}
