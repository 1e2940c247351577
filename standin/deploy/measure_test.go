package deploy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pistachiotray/pistachiotray/connection/cloud"
	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/process/publ"
	"github.com/pistachiotray/pistachiotray/standin/caller"
	"github.com/pistachiotray/pistachiotray/standin/deploy"
)

// entryHosts is the number of entry hosts of present deployments.
const entryHosts = 8

func awaitVersion(b *testing.B, s *deploy.Deployment, version uint64) {
	b.Helper()
	for i := range s.HostCount() {
		for s.Host(i) != nil && s.Host(i).Version() < version {
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkInForce measures the time from the acceptance of a configuration
// version until it is in force at eight hosts.
func BenchmarkInForce(b *testing.B) {
	ctx := b.Context()
	s, err := deploy.New(ctx, deploy.WithHosts(entryHosts))
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	p := publ.New(cloud.New(s.PlatformURL(), http.DefaultClient), "bench")
	var worst time.Duration
	n := 0
	for b.Loop() {
		n++
		worst = max(worst, publishOnce(b, s, p, n))
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}

// publishOnce publishes a version and returns the time until it is in force at
// all hosts.
func publishOnce(b *testing.B, s *deploy.Deployment, p *publ.Publisher, n int) time.Duration {
	b.Helper()
	ctx := b.Context()
	head, err := p.Head(ctx)
	if err != nil {
		b.Fatal(err)
	}
	text := fmt.Sprintf("Service = \"a\"\nDatabases = [\"fittings\"]\nWeight = %d\n[[Class]]\nName = \"C\"\n", 1+n%9)
	done, err := p.Publish(ctx, head, fmt.Sprint("p", time.Now().UnixNano()), map[string]string{"a": text})
	if err != nil {
		b.Fatal(err)
	}
	accepted := time.Now()
	awaitVersion(b, s, done.Version)
	return time.Since(accepted)
}

// BenchmarkInForceStoreDown measures the time until a version is in force at
// eight hosts if only one of them read it before the store went down.
func BenchmarkInForceStoreDown(b *testing.B) {
	ctx := b.Context()
	var worst time.Duration
	for b.Loop() {
		s, err := deploy.New(ctx, deploy.WithHosts(entryHosts), deploy.WithSettings(func(i int, c conf.Settings) conf.Settings {
			c.ConfigPoll = time.Hour
			if i == 0 {
				c.ConfigPoll = 20 * time.Millisecond
			}
			return c
		}))
		if err != nil {
			b.Fatal(err)
		}
		time.Sleep(time.Second)
		p := publ.New(cloud.New(s.PlatformURL(), http.DefaultClient), "bench")
		text := "Service = \"a\"\nDatabases = [\"fittings\"]\n[[Class]]\nName = \"C\"\n"
		head, _ := p.Head(ctx)
		done, err := p.Publish(ctx, head, "p", map[string]string{"a": text})
		if err != nil {
			b.Fatal(err)
		}
		accepted := time.Now()
		for s.Host(0).Version() < done.Version {
			time.Sleep(time.Millisecond)
		}
		s.Platform().SetDown(true)
		awaitVersion(b, s, done.Version)
		worst = max(worst, time.Since(accepted))
		s.Close()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}

// longestGap sends writes with request keys through a host, triggers the event
// halfway, and returns the longest time between two acknowledged writes.
func longestGap(b *testing.B, s *deploy.Deployment, entry int, event func()) time.Duration {
	b.Helper()
	ctx := b.Context()
	c, err := caller.New(ctx, s.DSN(entry, "fittings"))
	if err != nil {
		b.Fatal(err)
	}
	defer c.Drop()
	if _, err := c.Exec(ctx, "CREATE TABLE IF NOT EXISTS orders (id text)"); err != nil {
		b.Fatal(err)
	}
	const before, after = 100, 100
	var gap time.Duration
	last := time.Now()
	for i := range before + after {
		if i == before {
			event()
		}
		if _, err := c.Exec(ctx, fmt.Sprintf("/*RequestKey='%d-%d'*/ INSERT INTO orders VALUES ('x')", time.Now().UnixNano(), i)); err != nil {
			b.Fatal(err)
		}
		gap = max(gap, time.Since(last))
		last = time.Now()
	}
	return gap
}

// benchGap measures the gap in service that an event causes, for writes through a
// host other than the group's owner.
func benchGap(b *testing.B, event func(s *deploy.Deployment, owner int)) {
	b.Helper()
	var worst time.Duration
	for b.Loop() {
		s, err := deploy.New(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		owner := ownerOf(s)
		worst = max(worst, longestGap(b, s, (owner+1)%3, func() { event(s, owner) }))
		s.Close()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}

// BenchmarkOwnerLost measures the gap in service when the owner crashes.
func BenchmarkOwnerLost(b *testing.B) {
	benchGap(b, func(s *deploy.Deployment, owner int) { s.Kill(owner) })
}

// BenchmarkOwnerStopped measures the gap in service when the owner is drained.
func BenchmarkOwnerStopped(b *testing.B) {
	benchGap(b, func(s *deploy.Deployment, owner int) { go s.Stop(b.Context(), owner) })
}

// BenchmarkPrimaryCut measures the gap in service when the primary is cut off from
// the network.
func BenchmarkPrimaryCut(b *testing.B) {
	benchGap(b, func(s *deploy.Deployment, _ int) { s.Group("fittings").Primary().SetPartitioned(true) })
}

// BenchmarkPrimarySwitched measures the gap in service of a planned switchover.
func BenchmarkPrimarySwitched(b *testing.B) {
	benchGap(b, func(s *deploy.Deployment, owner int) { s.Host(owner).StartSwitchover("fittings", "fittings-1") })
}
