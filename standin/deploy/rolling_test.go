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

// writeOrders writes orders until workCtx ends, and connects to the next host when
// the one that it uses closes the connection. It returns the number of acknowledged
// orders. The test fails if an order gets an error other than NotRunStopping.
func writeOrders(ctx, workCtx context.Context, t *testing.T, d *deploy.Deployment, number int) int {
	t.Helper()
	host := number % d.HostCount()
	var c *caller.Caller
	defer func() {
		if c != nil {
			c.Drop()
		}
	}()
	acked := 0
	for n := 0; workCtx.Err() == nil; n++ {
		for c == nil || c.Conn().IsClosed() {
			host = (host + 1) % d.HostCount()
			newCaller, err := caller.New(ctx, d.DSN(host, "fittings"))
			if err == nil {
				c = newCaller
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

// publishLongDeadline publishes a configuration with a deadline that requests meet
// even on a slow machine, so that none is refused for being late. It waits until
// the configuration is in force at all hosts.
func publishLongDeadline(ctx context.Context, t *testing.T, d *deploy.Deployment) {
	t.Helper()
	is := is.New(t)
	p := publ.New(cloud.New(d.PlatformURL(), http.DefaultClient), "test")
	text := "Service = \"orders\"\nDatabases = [\"fittings\"]\n[[Class]]\nName = \"Order\"\nDeadline = \"50s\"\n"
	b, err := p.Publish(ctx, bundle.New(), "patient", map[string]string{"orders": text})
	is.NoErr(err)
	for i := range d.HostCount() {
		for d.Host(i).Version() < b.Version && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// While callers write orders, each host in turn is stopped and started again. Every
// acknowledged order must be stored exactly once, and no other order.
func TestRollingRestartUnderLoad(t *testing.T) {
	is := is.New(t)
	d, ctx := startDeployment(t)
	setup := connect(ctx, t, d, 0)
	exec(ctx, t, setup, "CREATE TABLE orders (id text)")
	setup.Drop()
	publishLongDeadline(ctx, t, d)
	workCtx, stop := context.WithCancel(ctx)
	var acked atomic.Int64
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { acked.Add(int64(writeOrders(ctx, workCtx, t, d, i))) })
	}
	for i := range d.HostCount() {
		time.Sleep(300 * time.Millisecond)
		is.Equal(d.Stop(ctx, i), 0)
		time.Sleep(300 * time.Millisecond)
		is.NoErr(d.Restart(ctx, i))
	}
	time.Sleep(300 * time.Millisecond)
	stop()
	wg.Wait()
	c := connect(ctx, t, d, 0)
	n, err := c.Value(ctx, "SELECT count(*) FROM orders")
	is.NoErr(err)
	is.Equal(n, fmt.Sprint(acked.Load()))
	n, err = c.Value(ctx, "SELECT count(DISTINCT id) FROM orders")
	is.NoErr(err)
	is.Equal(n, fmt.Sprint(acked.Load()))
}
