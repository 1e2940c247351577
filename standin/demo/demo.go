// Package demo simulates a short working day of callers of a small deployment. It
// counts the writes that were lost or ran twice, and the wrong answers.
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
	// fitterCount is the number of fitters, which are the callers of the database
	// "fittings". All work at the same time.
	fitterCount = 24
	// replicaLag is the apply lag of the replicas.
	replicaLag = 20 * time.Millisecond
	// workTime is the duration of the fitters' work. partitionAt, healAt and
	// killAt are the times from the start of this work until the primary is
	// partitioned, until the partition ends, and until a host is killed.
	workTime    = 9 * time.Second
	partitionAt = 3 * time.Second
	healAt      = 6 * time.Second
	killAt      = 7 * time.Second
	// shortTime is the duration of each of two measurements of short requests,
	// one without and one with long requests at the same time.
	shortTime = 3 * time.Second
	// peakTime is the duration of the load with the demand peak. The rate is ten
	// times as high in the middle third of this time.
	peakTime = 4500 * time.Millisecond
)

// Demo is one simulated day. Its exported fields are the results.
type Demo struct {
	// Lost counts the acknowledged orders that are missing, and Doubled the orders
	// that ran more than once. Wrong counts two kinds of wrong answers: a count of
	// a fitter's orders that is lower than the number acknowledged or higher than
	// the number sent, and a result that says that an order did not run although
	// it ran.
	Lost    int
	Doubled int
	Wrong   int
	// Acknowledged counts the fitters' orders that were acknowledged. Unknown
	// counts the fitters' orders that failed and may have run, and the requests of
	// the load with the demand peak that ended with OutcomeUnknown.
	Acknowledged int
	Unknown      int
	// ReplicaShare is the share of reads that replicas served before a host was
	// killed, from 0 to 1.
	ReplicaShare float64
	// FailoverGap is the longest time between two successive acknowledgements of
	// orders of any fitters. The primary is replaced during their work.
	FailoverGap time.Duration
	// CrestAsked, CrestAnswered and CrestRefused count the requests of the load
	// with the demand peak: all, those without an error, and those that ended with
	// NotRunOverload. CrestRefusalP99 is the 99th percentile of the time to a
	// result that says that the request did not run.
	CrestAsked      int
	CrestAnswered   int
	CrestRefused    int
	CrestRefusalP99 time.Duration
	// ShortAlone and ShortBeside are the 99th percentiles of the time that short
	// requests take, without and with long requests at the same time.
	ShortAlone  time.Duration
	ShortBeside time.Duration
	// Seed is the seed of the random choices.
	Seed uint64

	deployment *deploy.Deployment
	progress   func(string)
	// mu guards the fields below, and Acknowledged, Unknown and Wrong while
	// fitters work.
	mu sync.Mutex
	// acknowledgedIDs has the IDs of orders that were acknowledged, and notRunIDs
	// those of orders that were reported as not run.
	acknowledgedIDs map[string]bool
	notRunIDs       map[string]bool
	// ackTimes are the times at which orders were acknowledged, ascending.
	ackTimes []time.Time
}

// New returns a demo whose random choices depend on seed. Run calls progress with a
// line of text for each step and event. The calls can be concurrent.
func New(seed uint64, progress func(string)) *Demo {
	return &Demo{Seed: seed, progress: progress, acknowledgedIDs: map[string]bool{}, notRunIDs: map[string]bool{}}
}

// Run runs the simulated day and sets the results. It returns an error if a step
// could not be run. Lost or doubled orders and wrong answers are counted and cause
// no error.
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

// publish publishes the example service files and waits until all hosts use them.
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

// awaitVersion waits until a configuration version is in force at all hosts.
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

// runFitters runs the fitters. During their work it partitions the primary for a
// while and kills a host.
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
	workCtx, stop := context.WithTimeout(ctx, workTime)
	defer stop()
	var wg sync.WaitGroup
	for i := range fitterCount {
		wg.Go(func() { d.runFitter(ctx, workCtx, i) })
	}
	oldPrimary := group.Primary()
	time.AfterFunc(partitionAt, func() { d.progress("  the primary is cut off"); oldPrimary.SetPartitioned(true) })
	time.AfterFunc(healAt, func() { d.progress("  the old primary comes back"); oldPrimary.SetPartitioned(false) })
	time.Sleep(killAt)
	d.progress("  entry host 2 is lost")
	d.ReplicaShare = d.measureReplicaShare()
	d.deployment.Kill(2)
	wg.Wait()
	d.FailoverGap = d.longestGap()
	return nil
}

// measureReplicaShare returns the share of reads that replicas served, from 0 to 1.
// It takes the reads that the running hosts have counted so far.
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

// longestGap returns the longest time between two successive acknowledgements. All
// fitters must have ended.
func (d *Demo) longestGap() time.Duration {
	var gap time.Duration
	for i := 1; i < len(d.ackTimes); i++ {
		gap = max(gap, d.ackTimes[i].Sub(d.ackTimes[i-1]))
	}
	return gap
}

// runFitter inserts alteration orders, reads how many there are, and checks this
// count, until workCtx ends. From time to time it reconnects to the next host.
func (d *Demo) runFitter(ctx, workCtx context.Context, number int) {
	random := rand.New(rand.NewPCG(d.Seed, uint64(number)))
	host := number % 3
	c, err := caller.New(ctx, d.deployment.DSN(host, "fittings"))
	if err != nil {
		return
	}
	defer func() { c.Drop() }()
	acknowledged := 0
	for n := 0; workCtx.Err() == nil; n++ {
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
		count, err := c.Value(ctx, fmt.Sprintf("/*Label='Lookup'*/ SELECT count(*) FROM alteration WHERE fitter = 'f%d'", number))
		if err == nil {
			d.checkCount(count, acknowledged, n+1)
		}
	}
}

// reconnect connects to the given host, or to the next one that can be reached, and
// sets host to its number. It returns false after two attempts at each host.
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

// checkCount counts a wrong answer if answer is not a number from minimum to maximum.
func (d *Demo) checkCount(answer string, minimum, maximum int) {
	var n int
	if _, err := fmt.Sscan(answer, &n); err == nil && n >= minimum && n <= maximum {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Wrong++
}

// orderLoad returns a load on the database "orders" through hosts 0 and 1. rate is in
// requests per second, and is multiplied by peakFactor in the middle third of span.
func (d *Demo) orderLoad(statement string, rate float64, span time.Duration, peakFactor float64) *load.Load {
	l := load.Defaults()
	l.DSNs = []string{d.deployment.DSN(0, "orders"), d.deployment.DSN(1, "orders")}
	l.Statement = statement
	l.Rate, l.For, l.Crest, l.Seed = rate, span, peakFactor, d.Seed
	return l
}

// measureShortWork measures how long orders take, first alone and then beside a
// batch load of long requests.
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
	batchDone := make(chan error, 1)
	go func() { batchDone <- batch.Run(ctx) }()
	if err := beside.Run(ctx); err != nil {
		return err
	}
	d.ShortAlone, d.ShortBeside = alone.P99, beside.P99
	return <-batchDone
}

// runPeak runs the load with the demand peak.
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

// verifyOrders compares the stored orders with the results that fitters got.
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

// Lines returns the results as lines of text.
func (d *Demo) Lines() []string {
	return []string{
		fmt.Sprintf("lost %d, doubled %d, wrong %d; acknowledged %d, unknown %d; seed %d", d.Lost, d.Doubled, d.Wrong, d.Acknowledged, d.Unknown, d.Seed),
		fmt.Sprintf("reads served by replicas: %.0f%%", 100*d.ReplicaShare),
		fmt.Sprintf("gap in service while the primary was replaced: %s", d.FailoverGap.Round(time.Millisecond)),
		fmt.Sprintf("crest: asked %d, answered %d, refused %d, 99%% of refusals within %s", d.CrestAsked, d.CrestAnswered, d.CrestRefused, d.CrestRefusalP99.Round(time.Millisecond)),
		fmt.Sprintf("short work's 99th percentile: %s alone, %s beside long work", d.ShortAlone.Round(100*time.Microsecond), d.ShortBeside.Round(100*time.Microsecond)),
	}
}

// Passed reports whether no order was lost or ran twice and no answer was wrong.
func (d *Demo) Passed() bool {
	return d.Lost+d.Doubled+d.Wrong == 0
}
