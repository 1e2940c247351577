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

// entryHosts is the number of hosts that the BenchmarkInForce benchmarks start. It
// equals the number of entry hosts in present deployments.
const entryHosts = 8

// awaitVersion waits until a configuration version is in force at all running
// hosts.
func awaitVersion(b *testing.B, d *deploy.Deployment, version uint64) {
	b.Helper()
	for i := range d.HostCount() {
		for d.Host(i) != nil && d.Host(i).Version() < version {
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkInForce measures the longest time from the acceptance of a configuration
// version until it is in force at eight hosts.
func BenchmarkInForce(b *testing.B) {
	ctx := b.Context()
	d, err := deploy.New(ctx, deploy.WithHosts(entryHosts))
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	p := publ.New(cloud.New(d.PlatformURL(), http.DefaultClient), "bench")
	var worst time.Duration
	n := 0
	for b.Loop() {
		n++
		worst = max(worst, publishOnce(b, d, p, n))
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}

// publishOnce publishes a configuration version and returns the time from its
// acceptance until it is in force at all hosts. n varies the contents.
func publishOnce(b *testing.B, d *deploy.Deployment, p *publ.Publisher, n int) time.Duration {
	b.Helper()
	ctx := b.Context()
	head, err := p.Head(ctx)
	if err != nil {
		b.Fatal(err)
	}
	text := fmt.Sprintf("Service = \"a\"\nDatabases = [\"fittings\"]\nWeight = %d\n[[Class]]\nName = \"C\"\n", 1+n%9)
	published, err := p.Publish(ctx, head, fmt.Sprint("p", time.Now().UnixNano()), map[string]string{"a": text})
	if err != nil {
		b.Fatal(err)
	}
	accepted := time.Now()
	awaitVersion(b, d, published.Version)
	return time.Since(accepted)
}

// BenchmarkInForceStoreDown measures the longest time from the acceptance of a
// configuration version until it is in force at eight hosts. Only one host reads the
// version before the platform goes down, and the other hosts get it from that host.
func BenchmarkInForceStoreDown(b *testing.B) {
	ctx := b.Context()
	var worst time.Duration
	for b.Loop() {
		d, err := deploy.New(ctx, deploy.WithHosts(entryHosts), deploy.WithSettings(func(i int, c conf.Settings) conf.Settings {
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
		p := publ.New(cloud.New(d.PlatformURL(), http.DefaultClient), "bench")
		text := "Service = \"a\"\nDatabases = [\"fittings\"]\n[[Class]]\nName = \"C\"\n"
		head, _ := p.Head(ctx)
		published, err := p.Publish(ctx, head, "p", map[string]string{"a": text})
		if err != nil {
			b.Fatal(err)
		}
		accepted := time.Now()
		for d.Host(0).Version() < published.Version {
			time.Sleep(time.Millisecond)
		}
		d.Platform().SetDown(true)
		awaitVersion(b, d, published.Version)
		worst = max(worst, time.Since(accepted))
		d.Close()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}

// longestGap sends writes with request keys through host number entry, calls
// event halfway, and returns the longest time between two successive acknowledgements.
func longestGap(b *testing.B, d *deploy.Deployment, entry int, event func()) time.Duration {
	b.Helper()
	ctx := b.Context()
	c, err := caller.New(ctx, d.DSN(entry, "fittings"))
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

// benchGap measures the longest gap between acknowledged writes that an event
// causes. The writes enter at a host other than the group's owner.
func benchGap(b *testing.B, event func(d *deploy.Deployment, owner int)) {
	b.Helper()
	var worst time.Duration
	for b.Loop() {
		d, err := deploy.New(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		owner := ownerOf(d)
		worst = max(worst, longestGap(b, d, (owner+1)%3, func() { event(d, owner) }))
		d.Close()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}

// BenchmarkOwnerLost measures the gap between writes when the owner crashes.
func BenchmarkOwnerLost(b *testing.B) {
	benchGap(b, func(d *deploy.Deployment, owner int) { d.Kill(owner) })
}

// BenchmarkOwnerStopped measures the gap between writes when the owner is drained.
func BenchmarkOwnerStopped(b *testing.B) {
	benchGap(b, func(d *deploy.Deployment, owner int) { go d.Stop(b.Context(), owner) })
}

// BenchmarkPrimaryCut measures the gap between writes when the primary is
// partitioned from the network.
func BenchmarkPrimaryCut(b *testing.B) {
	benchGap(b, func(d *deploy.Deployment, _ int) { d.Group("fittings").Primary().SetPartitioned(true) })
}

// BenchmarkPrimarySwitched measures the gap between writes during a planned
// switchover.
func BenchmarkPrimarySwitched(b *testing.B) {
	benchGap(b, func(d *deploy.Deployment, owner int) { d.Host(owner).StartSwitchover("fittings", "fittings-1") })
}
