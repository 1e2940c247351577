// Package demo plays a short day of both users' work against a small
// deployment and counts what was lost, doubled or wrong.
package demo

import (
	"context"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/cloud"
	sample "github.com/pistachiotray/pistachiotray/docs/examples"
	"github.com/pistachiotray/pistachiotray/process/publ"
	"github.com/pistachiotray/pistachiotray/standin/caller"
	"github.com/pistachiotray/pistachiotray/standin/deploy"
	"github.com/pistachiotray/pistachiotray/standin/load"
	"github.com/pistachiotray/pistachiotray/version/bundle"
)

const (
	// callers is the number of fitters that work at a time.
	callers = 24
	// replicaLag is how far replicas show data late.
	replicaLag = 20 * time.Millisecond
	// workTime, cutAt and killAt are offsets in the day's first part.
	workTime = 9 * time.Second
	cutAt    = 3 * time.Second
	healAt   = 6 * time.Second
	killAt   = 7 * time.Second
	// shortTime is how long short work is measured with and without long work.
	shortTime = 3 * time.Second
	// crestTime is how long the crest's load lasts, its middle third at ten
	// times the rate.
	crestTime = 4500 * time.Millisecond
)

// Demo is one day and what came of it. The exported fields hold the results.
type Demo struct {
	// Lost, Doubled and Wrong count broken promises: acknowledged orders that
	// are missing, orders that ran twice, and answers that do not show the
	// session's own work or are another's.
	Lost    int
	Doubled int
	Wrong   int
	// Acknowledged and Unknown count the orders by what their callers were told.
	Acknowledged int
	Unknown      int
	// ReplicaShare is the share of reads that replicas served.
	ReplicaShare float64
	// FailoverGap is the longest time between two acknowledged orders while the
	// primary was replaced.
	FailoverGap time.Duration
	// CrestAsked, CrestAnswered and CrestRefused count the crest's requests;
	// CrestRefusalP99 is the time to refuse.
	CrestAsked      int
	CrestAnswered   int
	CrestRefused    int
	CrestRefusalP99 time.Duration
	// ShortAlone and ShortBeside are the 99th percentiles of short work
	// without and with long work beside it.
	ShortAlone  time.Duration
	ShortBeside time.Duration
	// Seed is the seed of the day.
	Seed uint64

	site     *deploy.Deployment
	progress func(string)
	mu       sync.Mutex
	acked    map[string]bool
	told     map[string]bool
	times    []time.Time
}

// New returns a day with a seed; progress is told what happens.
func New(seed uint64, progress func(string)) *Demo {
	return &Demo{Seed: seed, progress: progress, acked: map[string]bool{}, told: map[string]bool{}}
}

// Run plays the day. An error means that it could not be played; broken
// promises stand in the results.
func (d *Demo) Run(ctx context.Context) error {
	s, err := deploy.New(ctx, deploy.WithDatabases("fittings", "shipments", "orders"), deploy.WithSlots(2, 10*time.Millisecond), deploy.WithLog(zap.NewNop()))
	if err != nil {
		return err
	}
	defer s.Close()
	d.site = s
	for _, step := range []struct {
		text string
		run  func(context.Context) error
	}{
		{"services publish their files", d.publish},
		{"fitting day: writes, own reads at other hosts, a primary cut off, an entry host lost", d.work},
		{"orders alone and beside a batch log", d.shortAndLong},
		{"webshop newsletter: ten times the demand", d.crest},
		{"every acknowledged order is looked up", d.verify},
	} {
		d.progress(step.text)
		if err := step.run(ctx); err != nil {
			return errors.Wrap(err, step.text)
		}
	}
	return nil
}

func (d *Demo) publish(ctx context.Context) error {
	p := publ.New(cloud.New(d.site.PlatformURL(), http.DefaultClient), "demo")
	files := map[string]string{}
	for _, name := range []string{"fittings", "orders"} {
		text, err := fs.ReadFile(sample.Files, name+".toml")
		if err != nil {
			return err
		}
		files[name] = string(text)
	}
	if _, err := p.Publish(ctx, bundle.New(), "demo", files); err != nil {
		return err
	}
	return d.awaitVersion(ctx, 1)
}

func (d *Demo) awaitVersion(ctx context.Context, version uint64) error {
	const every = 50 * time.Millisecond
	for i := range d.site.HostCount() {
		for d.site.Host(i).Version() < version {
			select {
			case <-time.After(every):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

// work lets fitters work while the primary is cut off and a host is lost.
func (d *Demo) work(ctx context.Context) error {
	setup, err := caller.New(ctx, d.site.DSN(0, "fittings"))
	if err != nil {
		return err
	}
	defer setup.Drop()
	if _, err := setup.Exec(ctx, "CREATE TABLE alteration (id text, fitter text)"); err != nil {
		return err
	}
	group := d.site.Group("fittings")
	group.SetLag(0, replicaLag)
	until, stop := context.WithTimeout(ctx, workTime)
	defer stop()
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { d.fitter(ctx, until, i) })
	}
	old := group.Primary()
	time.AfterFunc(cutAt, func() { d.progress("  the primary is cut off"); old.SetPartitioned(true) })
	time.AfterFunc(healAt, func() { d.progress("  the old primary comes back"); old.SetPartitioned(false) })
	time.Sleep(killAt)
	d.progress("  entry host 2 is lost")
	d.ReplicaShare = d.share()
	d.site.Kill(2)
	all.Wait()
	d.FailoverGap = d.gap()
	return nil
}

// share returns the share of reads that replicas served, over all hosts.
func (d *Demo) share() float64 {
	var replica, primary int64
	for i := range d.site.HostCount() {
		if h := d.site.Host(i); h != nil {
			replica += h.Count("ReadsAtReplica")
			primary += h.Count("ReadsAtPrimary")
		}
	}
	if replica+primary == 0 {
		return 0
	}
	return float64(replica) / float64(replica+primary)
}

func (d *Demo) gap() time.Duration {
	var gap time.Duration
	for i := 1; i < len(d.times); i++ {
		gap = max(gap, d.times[i].Sub(d.times[i-1]))
	}
	return gap
}

// fitter records alteration orders and reads them back at other hosts.
func (d *Demo) fitter(ctx, until context.Context, number int) {
	random := rand.New(rand.NewPCG(d.Seed, uint64(number)))
	at := number % 3
	c, err := caller.New(ctx, d.site.DSN(at, "fittings"))
	if err != nil {
		return
	}
	defer func() { c.Drop() }()
	mine := 0
	for n := 0; until.Err() == nil; n++ {
		id := fmt.Sprintf("f%d-%d", number, n)
		_, err := c.Exec(ctx, fmt.Sprintf("/*Label='AlterationOrder'*/ INSERT INTO alteration VALUES ('%s', 'f%d')", id, number))
		if d.note(id, err) {
			mine++
		}
		if c.Conn().IsClosed() || random.IntN(4) == 0 {
			at = (at + 1) % 3
			if !d.move(ctx, c, &at, random.IntN(3) == 0) {
				return
			}
		}
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
		got, err := c.Value(ctx, fmt.Sprintf("/*Label='Lookup'*/ SELECT count(*) FROM alteration WHERE fitter = 'f%d'", number))
		if err == nil {
			d.compare(got, mine, n+1)
		}
	}
}

// move connects at another host, or at the next one where that one is gone.
func (d *Demo) move(ctx context.Context, c *caller.Caller, at *int, forget bool) bool {
	for range 6 {
		if c.Reconnect(ctx, d.site.DSN(*at, "fittings"), forget) == nil {
			return true
		}
		*at = (*at + 1) % 3
	}
	return false
}

// note keeps what a caller was told of an order; it returns whether the order
// was acknowledged.
func (d *Demo) note(id string, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, known := caller.Code(err)
	switch {
	case err == nil:
		d.Acknowledged++
		d.acked[id] = true
		d.times = append(d.times, time.Now())
		return true
	case known && k.NotRun():
		d.told[id] = true
	default:
		d.Unknown++
	}
	return false
}

// compare holds a count of own orders against how many were acknowledged and
// how many were sent.
func (d *Demo) compare(got string, least, most int) {
	var n int
	if _, err := fmt.Sscan(got, &n); err == nil && n >= least && n <= most {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Wrong++
}

func (d *Demo) orders(statement string, rate float64, span time.Duration, crest float64) *load.Load {
	l := load.Defaults()
	l.DSNs = []string{d.site.DSN(0, "orders"), d.site.DSN(1, "orders")}
	l.Statement = statement
	l.Rate, l.For, l.Crest, l.Seed = rate, span, crest, d.Seed
	return l
}

// shortAndLong measures orders alone and beside batch work.
func (d *Demo) shortAndLong(ctx context.Context) error {
	c, err := caller.New(ctx, d.site.DSN(0, "orders"))
	if err != nil {
		return err
	}
	defer c.Drop()
	if _, err := c.Exec(ctx, "CREATE TABLE soap (id text)"); err != nil {
		return err
	}
	const order = "/*Label='Order'*/ INSERT INTO soap VALUES ('o%d')"
	alone := d.orders(order, 40, shortTime, 1)
	if err := alone.Run(ctx); err != nil {
		return err
	}
	batch := d.orders("/*Label='BatchLog'*/ SELECT pg_sleep(0.8)", 2, shortTime, 1)
	beside := d.orders(order, 40, shortTime, 1)
	done := make(chan error, 1)
	go func() { done <- batch.Run(ctx) }()
	if err := beside.Run(ctx); err != nil {
		return err
	}
	d.ShortAlone, d.ShortBeside = alone.P99, beside.P99
	return <-done
}

// crest sends ten times the demand for a while.
func (d *Demo) crest(ctx context.Context) error {
	l := d.orders("/*Label='Order'*/ SELECT pg_sleep(0.01)", 60, crestTime, 10)
	l.Callers = 400
	if err := l.Run(ctx); err != nil {
		return err
	}
	d.CrestAsked, d.CrestAnswered = l.Asked, l.Answered
	d.CrestRefused = l.Results["NotRunOverload"]
	d.CrestRefusalP99 = l.RefusalP99
	d.Unknown += l.Results["OutcomeUnknown"]
	return nil
}

// verify holds the table against what callers were told.
func (d *Demo) verify(ctx context.Context) error {
	c, err := caller.New(ctx, d.site.DSN(0, "fittings"))
	if err != nil {
		return err
	}
	defer c.Drop()
	results, err := c.Conn().PgConn().Exec(ctx, "SELECT id, count(*) FROM alteration GROUP BY id").ReadAll()
	if err != nil {
		return err
	}
	found := map[string]bool{}
	for _, row := range results[0].Rows {
		id := string(row[0])
		found[id] = true
		if string(row[1]) != "1" {
			d.Doubled++
		}
		if d.told[id] {
			d.Wrong++
		}
	}
	for id := range d.acked {
		if !found[id] {
			d.Lost++
		}
	}
	return nil
}

// Lines returns the results as text.
func (d *Demo) Lines() []string {
	return []string{
		fmt.Sprintf("lost %d, doubled %d, wrong %d; acknowledged %d, unknown %d; seed %d", d.Lost, d.Doubled, d.Wrong, d.Acknowledged, d.Unknown, d.Seed),
		fmt.Sprintf("reads served by replicas: %.0f%%", 100*d.ReplicaShare),
		fmt.Sprintf("gap in service while the primary was replaced: %s", d.FailoverGap.Round(time.Millisecond)),
		fmt.Sprintf("crest: asked %d, answered %d, refused %d, 99%% of refusals within %s", d.CrestAsked, d.CrestAnswered, d.CrestRefused, d.CrestRefusalP99.Round(time.Millisecond)),
		fmt.Sprintf("short work's 99th percentile: %s alone, %s beside long work", d.ShortAlone.Round(100*time.Microsecond), d.ShortBeside.Round(100*time.Microsecond)),
	}
}

// Passed reports whether no promise was broken.
func (d *Demo) Passed() bool {
	return d.Lost+d.Doubled+d.Wrong == 0
}
