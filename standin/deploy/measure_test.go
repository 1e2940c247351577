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

// eight is the number of entry hosts of today's deployments.
const eight = 8

func awaitVersion(b *testing.B, s *deploy.Deployment, version uint64) {
	b.Helper()
	for i := range s.Hosts() {
		for s.Host(i) != nil && s.Host(i).Version() < version {
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkInForce gives the time from a version's acceptance until it is in
// force at eight hosts.
func BenchmarkInForce(b *testing.B) {
	ctx := b.Context()
	s, err := deploy.New(ctx, deploy.WithHosts(eight))
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

// BenchmarkInForceStoreDown gives the time until a version is in force at
// eight hosts of which one saw it before the store went down.
func BenchmarkInForceStoreDown(b *testing.B) {
	ctx := b.Context()
	var worst time.Duration
	for b.Loop() {
		s, err := deploy.New(ctx, deploy.WithHosts(eight), deploy.WithSettings(func(i int, c conf.Settings) conf.Settings {
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

// gapOf sends writes with keys through a host until one has been acknowledged
// well after the event, and returns the longest time between two.
func gapOf(b *testing.B, s *deploy.Deployment, entry int, event func()) time.Duration {
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
		worst = max(worst, gapOf(b, s, (owner+1)%3, func() { event(s, owner) }))
		s.Close()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}

// BenchmarkOwnerLost gives the gap in service when the owner's host dies.
func BenchmarkOwnerLost(b *testing.B) {
	benchGap(b, func(s *deploy.Deployment, owner int) { s.Kill(owner) })
}

// BenchmarkOwnerStopped gives the gap when the owner's host is drained.
func BenchmarkOwnerStopped(b *testing.B) {
	benchGap(b, func(s *deploy.Deployment, owner int) { go s.Stop(b.Context(), owner) })
}

// BenchmarkPrimaryCut gives the gap when the primary is cut off.
func BenchmarkPrimaryCut(b *testing.B) {
	benchGap(b, func(s *deploy.Deployment, _ int) { s.Group("fittings").Primary().SetCut(true) })
}

// BenchmarkPrimarySwitched gives the gap of a planned change of primary.
func BenchmarkPrimarySwitched(b *testing.B) {
	benchGap(b, func(s *deploy.Deployment, owner int) { s.Host(owner).StartSwitchover("fittings", "fittings-1") })
}
