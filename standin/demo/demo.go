// Package demo simulates a short working day of the callers against a small
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
	// fitterCount is the number of fitters that work at the same time.
	fitterCount = 24
	// replicaLag is the apply lag of the replicas.
	replicaLag = 20 * time.Millisecond
	// workTime is the duration of the fitters' work. partitionAt, healAt and
	// killAt are offsets from its start.
	workTime    = 9 * time.Second
	partitionAt = 3 * time.Second
	healAt      = 6 * time.Second
	killAt      = 7 * time.Second
	// shortTime is the duration of each measurement of short work: alone, and
	// beside long work.
	shortTime = 3 * time.Second
	// peakTime is the duration of the load with the demand peak, whose middle
	// third has ten times the rate.
	peakTime = 4500 * time.Millisecond
)

// Demo is one simulated day. Its exported fields are the results.
type Demo struct {
	// Lost, Doubled and Wrong count broken promises: acknowledged orders that
	// are missing, orders that ran twice, and wrong answers. An answer is wrong
	// if a count of own orders misses an acknowledged one or includes one that
	// the session didn't send, or if it reports an order as not run that ran.
	Lost    int
	Doubled int
	Wrong   int
	// Acknowledged counts orders that were acknowledged, and Unknown requests
	// whose outcome their callers don't know.
	Acknowledged int
	Unknown      int
	// ReplicaShare is the share of reads that replicas served, from 0 to 1.
	ReplicaShare float64
	// FailoverGap is the longest time between two acknowledged orders during the
	// fitters' work, in which the primary is replaced.
	FailoverGap time.Duration
	// CrestAsked, CrestAnswered and CrestRefused count the requests of the load
	// with the demand peak. CrestRefusalP99 is the 99th percentile of the time
	// to refuse one.
	CrestAsked      int
	CrestAnswered   int
	CrestRefused    int
	CrestRefusalP99 time.Duration
	// ShortAlone and ShortBeside are the 99th percentiles of the time of short
	// work, alone and beside long work.
	ShortAlone  time.Duration
	ShortBeside time.Duration
	// Seed is the seed of the random choices.
	Seed uint64

	deployment *deploy.Deployment
	progress   func(string)
	// mu guards the fields below, and Acknowledged, Unknown and Wrong while
	// fitters work.
	mu sync.Mutex
	// acknowledgedIDs and notRunIDs are the orders by the outcome that their
	// callers saw.
	acknowledgedIDs map[string]bool
	notRunIDs       map[string]bool
	ackTimes        []time.Time
}

// New returns a demo with a seed. It calls progress with a line of text for each
// step and event.
func New(seed uint64, progress func(string)) *Demo {
	return &Demo{Seed: seed, progress: progress, acknowledgedIDs: map[string]bool{}, notRunIDs: map[string]bool{}}
}

// Run runs the simulated day. It returns an error if a step could not be run;
// broken promises are counted in the results instead.
func (d *Demo) Run(ctx context.Context) error {
	deployment, err := deploy.New(ctx, deploy.WithDatabases("fittings", "shipments", "orders"), deploy.WithSlots(2, 10*time.Millisecond), deploy.WithLog(zap.NewNop()))
	if err != nil {
		return err
	}
	defer deployment.Close()
	d.deployment = deployment
	for _, step := range []struct {
		text string
		run  func(context.Context) error
	}{
		{"services publish their files", d.publish},
		{"fitting day: writes, own reads at other hosts, a primary cut off, an entry host lost", d.runFitters},
		{"orders alone and beside a batch log", d.measureShortWork},
		{"webshop newsletter: ten times the demand", d.runPeak},
		{"every acknowledged order is looked up", d.verifyOrders},
	} {
		d.progress(step.text)
		if err := step.run(ctx); err != nil {
			return errors.Wrap(err, step.text)
		}
	}
	return nil
}

func (d *Demo) publish(ctx context.Context) error {
	p := publ.New(cloud.New(d.deployment.PlatformURL(), http.DefaultClient), "demo")
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
	const pollInterval = 50 * time.Millisecond
	for i := range d.deployment.HostCount() {
		for d.deployment.Host(i).Version() < version {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

// runFitters runs the fitters while the primary is cut off and a host is lost.
func (d *Demo) runFitters(ctx context.Context) error {
	setup, err := caller.New(ctx, d.deployment.DSN(0, "fittings"))
	if err != nil {
		return err
	}
	defer setup.Drop()
	if _, err := setup.Exec(ctx, "CREATE TABLE alteration (id text, fitter text)"); err != nil {
		return err
	}
	group := d.deployment.Group("fittings")
	group.SetLag(0, replicaLag)
	until, stop := context.WithTimeout(ctx, workTime)
	defer stop()
	var all sync.WaitGroup
	for i := range fitterCount {
		all.Go(func() { d.runFitter(ctx, until, i) })
	}
	old := group.Primary()
	time.AfterFunc(partitionAt, func() { d.progress("  the primary is cut off"); old.SetPartitioned(true) })
	time.AfterFunc(healAt, func() { d.progress("  the old primary comes back"); old.SetPartitioned(false) })
	time.Sleep(killAt)
	d.progress("  entry host 2 is lost")
	d.ReplicaShare = d.measureReplicaShare()
	d.deployment.Kill(2)
	all.Wait()
	d.FailoverGap = d.longestGap()
	return nil
}

// measureReplicaShare returns the share of reads that replicas served, over all
// hosts that run.
func (d *Demo) measureReplicaShare() float64 {
	var replica, primary int64
	for i := range d.deployment.HostCount() {
		if h := d.deployment.Host(i); h != nil {
			replica += h.Count("ReadsAtReplica")
			primary += h.Count("ReadsAtPrimary")
		}
	}
	if replica+primary == 0 {
		return 0
	}
	return float64(replica) / float64(replica+primary)
}

// longestGap returns the longest time between two acknowledged orders.
func (d *Demo) longestGap() time.Duration {
	var gap time.Duration
	for i := 1; i < len(d.ackTimes); i++ {
		gap = max(gap, d.ackTimes[i].Sub(d.ackTimes[i-1]))
	}
	return gap
}

// runFitter inserts alteration orders and counts them, in a session that moves
// between hosts.
func (d *Demo) runFitter(ctx, until context.Context, number int) {
	random := rand.New(rand.NewPCG(d.Seed, uint64(number)))
	host := number % 3
	c, err := caller.New(ctx, d.deployment.DSN(host, "fittings"))
	if err != nil {
		return
	}
	defer func() { c.Drop() }()
	acknowledged := 0
	for n := 0; until.Err() == nil; n++ {
		id := fmt.Sprintf("f%d-%d", number, n)
		_, err := c.Exec(ctx, fmt.Sprintf("/*Label='AlterationOrder'*/ INSERT INTO alteration VALUES ('%s', 'f%d')", id, number))
		if d.recordOutcome(id, err) {
			acknowledged++
		}
		if c.Conn().IsClosed() || random.IntN(4) == 0 {
			host = (host + 1) % 3
			if !d.reconnect(ctx, c, &host, random.IntN(3) == 0) {
				return
			}
		}
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
		got, err := c.Value(ctx, fmt.Sprintf("/*Label='Lookup'*/ SELECT count(*) FROM alteration WHERE fitter = 'f%d'", number))
		if err == nil {
			d.checkCount(got, acknowledged, n+1)
		}
	}
}

// reconnect connects to the given host, or to the next one that can be reached,
// and sets host to its number.
func (d *Demo) reconnect(ctx context.Context, c *caller.Caller, host *int, forget bool) bool {
	for range 6 {
		if c.Reconnect(ctx, d.deployment.DSN(*host, "fittings"), forget) == nil {
			return true
		}
		*host = (*host + 1) % 3
	}
	return false
}

// recordOutcome records the outcome of an order as its caller saw it, and reports
// whether the order was acknowledged.
func (d *Demo) recordOutcome(id string, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	result, known := caller.Code(err)
	switch {
	case err == nil:
		d.Acknowledged++
		d.acknowledgedIDs[id] = true
		d.ackTimes = append(d.ackTimes, time.Now())
		return true
	case known && result.NotRun():
		d.notRunIDs[id] = true
	default:
		d.Unknown++
	}
	return false
}

// checkCount counts a wrong answer if the number of own orders read isn't between
// the number acknowledged and the number sent.
func (d *Demo) checkCount(got string, minimum, maximum int) {
	var n int
	if _, err := fmt.Sscan(got, &n); err == nil && n >= minimum && n <= maximum {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Wrong++
}

// orderLoad returns a load on the database of orders.
func (d *Demo) orderLoad(statement string, rate float64, span time.Duration, peakFactor float64) *load.Load {
	l := load.Defaults()
	l.DSNs = []string{d.deployment.DSN(0, "orders"), d.deployment.DSN(1, "orders")}
	l.Statement = statement
	l.Rate, l.For, l.Crest, l.Seed = rate, span, peakFactor, d.Seed
	return l
}

// measureShortWork measures orders alone and beside batch work.
func (d *Demo) measureShortWork(ctx context.Context) error {
	c, err := caller.New(ctx, d.deployment.DSN(0, "orders"))
	if err != nil {
		return err
	}
	defer c.Drop()
	if _, err := c.Exec(ctx, "CREATE TABLE soap (id text)"); err != nil {
		return err
	}
	const order = "/*Label='Order'*/ INSERT INTO soap VALUES ('o%d')"
	alone := d.orderLoad(order, 40, shortTime, 1)
	if err := alone.Run(ctx); err != nil {
		return err
	}
	batch := d.orderLoad("/*Label='BatchLog'*/ SELECT pg_sleep(0.8)", 2, shortTime, 1)
	beside := d.orderLoad(order, 40, shortTime, 1)
	done := make(chan error, 1)
	go func() { done <- batch.Run(ctx) }()
	if err := beside.Run(ctx); err != nil {
		return err
	}
	d.ShortAlone, d.ShortBeside = alone.P99, beside.P99
	return <-done
}

// runPeak runs a load whose rate is ten times as high for a while.
func (d *Demo) runPeak(ctx context.Context) error {
	l := d.orderLoad("/*Label='Order'*/ SELECT pg_sleep(0.01)", 60, peakTime, 10)
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

// verifyOrders compares the table with the outcomes that callers saw.
func (d *Demo) verifyOrders(ctx context.Context) error {
	c, err := caller.New(ctx, d.deployment.DSN(0, "fittings"))
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
		if d.notRunIDs[id] {
			d.Wrong++
		}
	}
	for id := range d.acknowledgedIDs {
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
