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

// ways are the paths that are measured in one run: straight to the stand-in,
// through the host that owns the group, and through one that forwards.
func ways(s *deploy.Deployment) []struct{ name, dsn string } {
	owner := ownerOf(s)
	straight := fmt.Sprintf("postgres://pistachiotray_control@%s/fittings?sslmode=disable", s.Group("fittings").Primary().Address())
	return []struct{ name, dsn string }{
		{"straight", straight},
		{"local", s.DSN(owner, "fittings")},
		{"forwarded", s.DSN((owner+1)%3, "fittings")},
	}
}

// slotsEach is how many slots the hosts have; the straight path takes none.
const slotsEach = 80

var statements = []struct{ name, text string }{
	{"select", "SELECT 1"},
	{"insert", "INSERT INTO bench (note) VALUES ('x')"},
}

func benchDeployment(b *testing.B) (*deploy.Deployment, context.Context) {
	b.Helper()
	ctx := b.Context()
	s, err := deploy.New(ctx, deploy.WithSlots(slotsEach, 0))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	c, err := pgconn.Connect(ctx, ways(s)[1].dsn)
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

// BenchmarkLatency gives one caller's time for a statement, and its median.
func BenchmarkLatency(b *testing.B) {
	s, ctx := benchDeployment(b)
	for _, w := range ways(s) {
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

// BenchmarkThroughput gives the statements a second of 64 callers.
func BenchmarkThroughput(b *testing.B) {
	const callers = 64
	s, ctx := benchDeployment(b)
	for _, w := range ways(s) {
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
