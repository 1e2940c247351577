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

// benchPaths returns the paths that are measured in one run: direct to the
// primary's stand-in, through the host that owns the group, and through a host
// that forwards to the owner.
func benchPaths(s *deploy.Deployment) []struct{ name, dsn string } {
	owner := ownerOf(s)
	direct := fmt.Sprintf("postgres://pistachiotray_control@%s/fittings?sslmode=disable", s.Group("fittings").Primary().Address())
	return []struct{ name, dsn string }{
		{"straight", direct},
		{"local", s.DSN(owner, "fittings")},
		{"forwarded", s.DSN((owner+1)%3, "fittings")},
	}
}

// benchSlots is the number of slots of each member. The direct path uses a control
// connection, which takes none.
const benchSlots = 80

var statements = []struct{ name, text string }{
	{"select", "SELECT 1"},
	{"insert", "INSERT INTO bench (note) VALUES ('x')"},
}

func benchDeployment(b *testing.B) (*deploy.Deployment, context.Context) {
	b.Helper()
	ctx := b.Context()
	s, err := deploy.New(ctx, deploy.WithSlots(benchSlots, 0))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	c, err := pgconn.Connect(ctx, benchPaths(s)[1].dsn)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := c.Exec(ctx, "CREATE TABLE bench (id integer PRIMARY KEY, note text)").ReadAll(); err != nil {
		b.Fatal(err)
	}
	_ = c.Close(ctx)
	time.Sleep(200 * time.Millisecond)
	return s, ctx
}

// BenchmarkLatency measures the time that a statement takes for a single caller:
// its mean, median and 99th percentile.
func BenchmarkLatency(b *testing.B) {
	s, ctx := benchDeployment(b)
	for _, w := range benchPaths(s) {
		for _, st := range statements {
			b.Run(w.name+"/"+st.name, func(b *testing.B) {
				c, err := pgconn.Connect(ctx, w.dsn)
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

// BenchmarkThroughput measures the statements per second of 64 callers.
func BenchmarkThroughput(b *testing.B) {
	const callers = 64
	s, ctx := benchDeployment(b)
	for _, w := range benchPaths(s) {
		b.Run(w.name+"/select", func(b *testing.B) {
			work := make(chan struct{}, callers)
			done := make(chan error, callers)
			for range callers {
				c, err := pgconn.Connect(ctx, w.dsn)
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
