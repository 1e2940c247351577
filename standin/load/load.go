// Package load sends statements at stated times, whether or not earlier ones
// were answered, and measures the answers from the time that was stated.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/standin/caller"
)

// longest is the longest latency that is told apart.
const longest = 10 * time.Minute

// Load is one stream of statements. The fields above the line are set before
// Run; those below hold its results. It is used by one goroutine.
type Load struct {
	// DSNs are the connection strings, taken in turn.
	DSNs []string
	// Statement is what is sent; %d in it becomes the statement's number.
	Statement string
	// Callers is the number of connections.
	Callers int
	// Rate is the mean number of statements a second, For how long they come.
	Rate float64
	For  time.Duration
	// Crest multiplies the rate in the middle third; 0 and 1 change nothing.
	Crest float64
	// Seed makes the times repeatable.
	Seed uint64

	// Asked counts the statements sent, Answered those without an error.
	Asked    int
	Answered int
	// Results counts the results by name.
	Results map[string]int
	// P50, P99, P999 and Max are latencies of what was answered, from the
	// stated time of sending.
	P50, P99, P999, Max time.Duration
	// RefusalP99 is the 99th percentile of the time to a result of not run.
	RefusalP99 time.Duration
	// PerSecond counts the answers by the second in which they were due.
	PerSecond []int

	mu       sync.Mutex
	times    *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

// Defaults returns a load of 100 statements a second for 10 s by 30 callers.
func Defaults() *Load {
	const (
		callers = 30
		rate    = 100
		seconds = 10
	)
	return &Load{Statement: "SELECT 1", Callers: callers, Rate: rate, For: seconds * time.Second, Crest: 1, Seed: 1}
}

// Validate returns an error that lists every bad field, or nil.
func (l *Load) Validate() error {
	var found []error
	add := func(bad bool, text string) {
		if bad {
			found = append(found, errors.New(text))
		}
	}
	add(len(l.DSNs) == 0, "DSNs: must name at least one address")
	add(l.Statement == "", "Statement: must not be empty")
	add(l.Callers < 1, "Callers: must be 1 or more")
	add(l.Rate <= 0, "Rate: must be over 0")
	add(l.For <= 0, "For: must be over 0")
	add(l.Crest < 0, "Crest: must not be negative")
	return errors.Join(found...)
}

// arrival is one statement and when it is due after the beginning.
type arrival struct {
	number int
	due    time.Duration
}

// schedule returns the times of sending: a Poisson process whose rate is
// higher in the middle third.
func (l *Load) schedule() []arrival {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	var all []arrival
	for at := time.Duration(0); at < l.For; {
		rate := l.Rate
		if l.Crest > 0 && at >= l.For/3 && at < 2*l.For/3 {
			rate *= l.Crest
		}
		all = append(all, arrival{len(all), at})
		at += time.Duration(random.ExpFloat64() * float64(time.Second) / rate)
	}
	return all
}

// Run sends the statements and waits for the answers.
func (l *Load) Run(ctx context.Context) error {
	if err := l.Validate(); err != nil {
		return err
	}
	l.times = hdrhistogram.New(1, int64(longest/time.Microsecond), 3)
	l.refusals = hdrhistogram.New(1, int64(longest/time.Microsecond), 3)
	l.Results = map[string]int{}
	l.PerSecond = make([]int, int(l.For/time.Second)+1)
	all := l.schedule()
	l.Asked = len(all)
	work := make(chan arrival, len(all))
	began := time.Now()
	var done sync.WaitGroup
	for i := range l.Callers {
		done.Go(func() { l.call(ctx, l.DSNs[i%len(l.DSNs)], began, work) })
	}
	l.feed(ctx, began, all, work)
	close(work)
	done.Wait()
	l.sum()
	return ctx.Err()
}

// feed hands each statement out when it is due.
func (l *Load) feed(ctx context.Context, began time.Time, all []arrival, work chan<- arrival) {
	for _, a := range all {
		timer := time.NewTimer(time.Until(began.Add(a.due)))
		select {
		case <-timer.C:
			work <- a
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (l *Load) call(ctx context.Context, dsn string, began time.Time, work <-chan arrival) {
	var c *caller.Caller
	defer func() {
		if c != nil {
			c.Drop()
		}
	}()
	for a := range work {
		if c == nil || c.Conn().IsClosed() {
			fresh, err := caller.New(ctx, dsn)
			if err != nil {
				c = nil
				l.add(a, err, time.Since(began)-a.due)
				continue
			}
			c = fresh
		}
		_, err := c.Exec(ctx, l.text(a.number))
		l.add(a, err, time.Since(began)-a.due)
	}
}

func (l *Load) text(number int) string {
	for i := range len(l.Statement) - 1 {
		if l.Statement[i] == '%' && l.Statement[i+1] == 'd' {
			return fmt.Sprintf("%s%d%s", l.Statement[:i], number, l.Statement[i+2:])
		}
	}
	return l.Statement
}

func (l *Load) add(a arrival, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, known := caller.Code(err)
	switch {
	case err == nil:
		l.Answered++
		l.Results["Done"]++
		l.PerSecond[int(a.due/time.Second)]++
		_ = l.times.RecordValue(int64(took / time.Microsecond))
	case known:
		l.Results[k.Name()]++
		if k.NotRun() {
			_ = l.refusals.RecordValue(int64(took / time.Microsecond))
		}
	default:
		l.Results["Error"]++
	}
}

func (l *Load) sum() {
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	l.P50, l.P99, l.P999 = at(l.times, 50), at(l.times, 99), at(l.times, 99.9)
	l.Max = time.Duration(l.times.Max()) * time.Microsecond
	l.RefusalP99 = at(l.refusals, 99)
}

// String returns the results as text.
func (l *Load) String() string {
	return fmt.Sprintf("asked %d, answered %d, p50 %s, p99 %s, p99.9 %s, max %s, refusals p99 %s, results %v",
		l.Asked, l.Answered, l.P50, l.P99, l.P999, l.Max, l.RefusalP99, l.Results)
}
