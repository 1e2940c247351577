// Package load generates an open-loop load: it sends statements at scheduled
// times, whether or not earlier statements were answered. Latencies are measured
// from the scheduled time, and thus include the wait for a free connection.
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

// maxLatency is the highest latency that the histograms can record.
const maxLatency = 10 * time.Minute

// Load is one stream of statements. The fields up to Seed configure it and must be
// set before Run; the fields from Asked on are the results of Run. It is not safe
// for concurrent use.
type Load struct {
	// DSNs are the connection strings; the callers use them in turn.
	DSNs []string
	// Statement is the SQL to send. The first %d in it is replaced by the number of
	// the statement.
	Statement string
	// Callers is the number of callers. Each has one connection.
	Callers int
	// Rate is the mean number of statements per second.
	Rate float64
	// For is the duration of the load.
	For time.Duration
	// Crest is the factor that multiplies the rate in the middle third of the load;
	// 0 and 1 leave the rate unchanged.
	Crest float64
	// Seed is the seed of the random send times.
	Seed uint64

	// Asked is the number of statements that were scheduled.
	Asked int
	// Answered is the number of statements that were answered without an error.
	Answered int
	// Results holds the number of statements by the name of their result code.
	// "Error" counts the errors without a result code.
	Results map[string]int
	// P50, P99, P999 and Max are latencies of the answered statements, measured
	// from their scheduled times.
	P50, P99, P999, Max time.Duration
	// RefusalP99 is the 99th percentile of the latencies of the statements whose
	// result code says that they did not run.
	RefusalP99 time.Duration
	// PerSecond holds the number of answered statements for each second of the
	// load, by their scheduled time.
	PerSecond []int

	// mu guards the results and the histograms while Run is in progress.
	mu               sync.Mutex
	latencies        *hdrhistogram.Histogram
	refusalLatencies *hdrhistogram.Histogram
}

// Defaults returns a load of 100 statements per second from 30 callers for 10 s.
func Defaults() *Load {
	const (
		callers = 30
		rate    = 100
		seconds = 10
	)
	return &Load{Statement: "SELECT 1", Callers: callers, Rate: rate, For: seconds * time.Second, Crest: 1, Seed: 1}
}

// Validate returns an error that lists every invalid field, or nil.
func (l *Load) Validate() error {
	var problems []error
	add := func(invalid bool, text string) {
		if invalid {
			problems = append(problems, errors.New(text))
		}
	}
	add(len(l.DSNs) == 0, "DSNs: must name at least one address")
	add(l.Statement == "", "Statement: must not be empty")
	add(l.Callers < 1, "Callers: must be 1 or more")
	add(l.Rate <= 0, "Rate: must be over 0")
	add(l.For <= 0, "For: must be over 0")
	add(l.Crest < 0, "Crest: must not be negative")
	return errors.Join(problems...)
}

// arrival is one statement of the schedule.
type arrival struct {
	number int
	// due is the offset from the start of the load at which the statement is sent.
	due time.Duration
}

// schedule returns the statements to send, in order of time. The times are a Poisson
// process whose rate is multiplied by Crest in the middle third.
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

// Run sends the statements, waits for their answers and computes the results. It
// returns an error if a field is invalid or the context ends.
func (l *Load) Run(ctx context.Context) error {
	if err := l.Validate(); err != nil {
		return err
	}
	l.latencies = hdrhistogram.New(1, int64(maxLatency/time.Microsecond), 3)
	l.refusalLatencies = hdrhistogram.New(1, int64(maxLatency/time.Microsecond), 3)
	l.Results = map[string]int{}
	l.PerSecond = make([]int, int(l.For/time.Second)+1)
	all := l.schedule()
	l.Asked = len(all)
	work := make(chan arrival, len(all))
	began := time.Now()
	var done sync.WaitGroup
	for i := range l.Callers {
		done.Go(func() { l.runCaller(ctx, l.DSNs[i%len(l.DSNs)], began, work) })
	}
	l.dispatch(ctx, began, all, work)
	close(work)
	done.Wait()
	l.summarize()
	return ctx.Err()
}

// dispatch passes each statement to the callers when it is due, and returns early if
// the context ends.
func (l *Load) dispatch(ctx context.Context, began time.Time, all []arrival, work chan<- arrival) {
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

// runCaller sends statements on one connection until the channel work is closed. It
// opens another connection if this one was closed. A statement fails if no
// connection can be opened.
func (l *Load) runCaller(ctx context.Context, dsn string, began time.Time, work <-chan arrival) {
	var c *caller.Caller
	defer func() {
		if c != nil {
			c.Drop()
		}
	}()
	for a := range work {
		if c == nil || c.Conn().IsClosed() {
			opened, err := caller.New(ctx, dsn)
			if err != nil {
				c = nil
				l.record(a, err, time.Since(began)-a.due)
				continue
			}
			c = opened
		}
		_, err := c.Exec(ctx, l.statementText(a.number))
		l.record(a, err, time.Since(began)-a.due)
	}
}

// statementText returns the SQL of a statement: Statement, with the number instead
// of the first %d.
func (l *Load) statementText(number int) string {
	for i := range len(l.Statement) - 1 {
		if l.Statement[i] == '%' && l.Statement[i+1] == 'd' {
			return fmt.Sprintf("%s%d%s", l.Statement[:i], number, l.Statement[i+2:])
		}
	}
	return l.Statement
}

// record adds the result of one statement. latency is the time since the statement
// was due.
func (l *Load) record(a arrival, err error, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := caller.Code(err)
	switch {
	case err == nil:
		l.Answered++
		l.Results["Done"]++
		l.PerSecond[int(a.due/time.Second)]++
		_ = l.latencies.RecordValue(int64(latency / time.Microsecond))
	case known:
		l.Results[c.Name()]++
		if c.NotRun() {
			_ = l.refusalLatencies.RecordValue(int64(latency / time.Microsecond))
		}
	default:
		l.Results["Error"]++
	}
}

// summarize computes the percentiles and the highest latency.
func (l *Load) summarize() {
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	l.P50, l.P99, l.P999 = quantile(l.latencies, 50), quantile(l.latencies, 99), quantile(l.latencies, 99.9)
	l.Max = time.Duration(l.latencies.Max()) * time.Microsecond
	l.RefusalP99 = quantile(l.refusalLatencies, 99)
}

// String returns the results as one line of text.
func (l *Load) String() string {
	return fmt.Sprintf("asked %d, answered %d, p50 %s, p99 %s, p99.9 %s, max %s, refusals p99 %s, results %v",
		l.Asked, l.Answered, l.P50, l.P99, l.P999, l.Max, l.RefusalP99, l.Results)
}
