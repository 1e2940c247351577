package deploy_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/pistachiotray/pistachiotray/standin/deploy"
)

// benchPaths returns the names and connection strings of the measured paths: a
// direct connection to the stand-in of the primary, a connection to the host that
// owns the group, and one to a host that forwards requests to the owner.
func benchPaths(d *deploy.Deployment) []struct{ name, dsn string } {
	owner := ownerOf(d)
	directDSN := fmt.Sprintf("postgres://pistachiotray_control@%s/fittings?sslmode=disable", d.Group("fittings").Primary().Address())
	return []struct{ name, dsn string }{
		{"straight", directDSN},
		{"local", d.DSN(owner, "fittings")},
		{"forwarded", d.DSN((owner+1)%3, "fittings")},
	}
}

// benchSlots is the number of slots of each member. The direct path uses a control
// connection, which needs no slot.
const benchSlots = 80

// statements are the statements whose latency is measured.
var statements = []struct{ name, text string }{
	{"select", "SELECT 1"},
	{"insert", "INSERT INTO bench (note) VALUES ('x')"},
}

// benchDeployment starts a deployment with the table that the insert statement
// needs.
func benchDeployment(b *testing.B) (*deploy.Deployment, context.Context) {
	b.Helper()
	ctx := b.Context()
	d, err := deploy.New(ctx, deploy.WithSlots(benchSlots, 0))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	c, err := pgconn.Connect(ctx, benchPaths(d)[1].dsn)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := c.Exec(ctx, "CREATE TABLE bench (id integer PRIMARY KEY, note text)").ReadAll(); err != nil {
		b.Fatal(err)
	}
	_ = c.Close(ctx)
	time.Sleep(200 * time.Millisecond)
	return d, ctx
}

// BenchmarkLatency measures the mean, the median and the 99th percentile of the
// time that a statement of a single caller takes.
func BenchmarkLatency(b *testing.B) {
	d, ctx := benchDeployment(b)
	for _, p := range benchPaths(d) {
		for _, st := range statements {
			b.Run(p.name+"/"+st.name, func(b *testing.B) {
				c, err := pgconn.Connect(ctx, p.dsn)
				if err != nil {
					b.Fatal(err)
				}
				defer func() { _ = c.Close(ctx) }()
				b.ReportAllocs()
				var times []time.Duration
				for b.Loop() {
					t := time.Now()
					if _, err := c.Exec(ctx, st.text).ReadAll(); err != nil {
						b.Fatal(err)
					}
					times = append(times, time.Since(t))
				}
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
			})
		}
	}
}

// BenchmarkThroughput measures how many statements per second 64 callers run.
func BenchmarkThroughput(b *testing.B) {
	const callers = 64
	d, ctx := benchDeployment(b)
	for _, p := range benchPaths(d) {
		b.Run(p.name+"/select", func(b *testing.B) {
			work := make(chan struct{}, callers)
			done := make(chan error, callers)
			for range callers {
				c, err := pgconn.Connect(ctx, p.dsn)
				if err != nil {
					b.Fatal(err)
				}
				defer func() { _ = c.Close(ctx) }()
				go func() {
					for range work {
						if _, err := c.Exec(ctx, "SELECT 1").ReadAll(); err != nil {
							done <- err
							return
						}
					}
					done <- nil
				}()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			for range callers {
				if err := <-done; err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
		})
	}
}
