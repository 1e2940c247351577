// Package meter counts and logs the outcomes of statements.
package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// successLogRate is the maximum number of successful statements logged per
	// second, and failureLogRate that of failed or slow statements. The limits
	// bound the time spent on logging.
	successLogRate = 5
	failureLogRate = 100
	// slowAfter is the minimum duration of a successful statement that counts
	// as slow.
	slowAfter = 500 * time.Millisecond
	// maxTime is the longest duration that the histograms record; longer
	// durations count as maxTime. The histograms have a precision of
	// significantDigits decimal digits.
	maxTime           = time.Minute
	significantDigits = 2
	// maxLoggedIDBytes bounds the part of a statement's ID that is logged, since callers choose
	// IDs of any length.
	maxLoggedIDBytes = 100
)

// doneOutcome is the outcome of a successful statement: the name of the result
// code code.Done.
const doneOutcome = "Done"

// Meter counts statements by outcome, also for each customer, and keeps a histogram of their durations
// for each database. It logs statements within its rate limits.
type Meter struct {
	log            *zap.Logger
	mu             sync.Mutex
	outcomes       map[string]int64
	times          map[string]*hdrhistogram.Histogram
	customers      tally
	successLimiter *rate.Limiter
	failureLimiter *rate.Limiter
	// suppressed counts the statements that were not logged since the last log
	// line.
	suppressed int64
}

// New returns a Meter without counts.
func New(log *zap.Logger) *Meter {
	return &Meter{
		log: log, outcomes: map[string]int64{}, times: map[string]*hdrhistogram.Histogram{}, customers: tally{},
		successLimiter: rate.NewLimiter(successLogRate, successLogRate), failureLimiter: rate.NewLimiter(failureLogRate, failureLogRate),
	}
}

// Record counts a finished statement, and logs it if the rate limits allow. customer is empty if
// callers are not told apart.
func (m *Meter) Record(caller, customer, database, id, outcome string, took time.Duration, fields ...zap.Field) {
	suppressed, ok := m.count(customer, database, outcome, took)
	if !ok {
		return
	}
	if customer != "" {
		fields = append(fields, zap.String("Customer", customer))
	}
	m.log.Info("statement", append([]zap.Field{
		zap.String("ID", id[:min(len(id), maxLoggedIDBytes)]), zap.String("Caller", caller), zap.String("Database", database),
		zap.String("Outcome", outcome), zap.Duration("Took", took), zap.Int64("Suppressed", suppressed),
	}, fields...)...)
}

// count counts a statement and reports whether to log it. If so, it also
// returns the number of statements that were not logged since the last log
// line.
func (m *Meter) count(customer, database, outcome string, took time.Duration) (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[outcome]++
	m.customers.add(customer, outcome)
	h, ok := m.times[database]
	if !ok {
		h = hdrhistogram.New(1, maxTime.Microseconds(), significantDigits)
		m.times[database] = h
	}
	// Durations are clamped to the histogram's range, so that none is rejected.
	_ = h.RecordValue(max(1, min(took, maxTime).Microseconds()))
	limiter := m.failureLimiter
	if outcome == doneOutcome && took < slowAfter {
		limiter = m.successLimiter
	}
	if !limiter.Allow() {
		m.suppressed++
		return 0, false
	}
	suppressed := m.suppressed
	m.suppressed = 0
	return suppressed, true
}

// Metrics returns the number of statements for each outcome and, for each
// database, the number of statements and the quantiles of their durations in
// milliseconds. If callers are told apart, it also returns the number of statements for each
// outcome of the customers with most statements, and of all others together.
func (m *Meter) Metrics() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	type quantiles struct {
		Count         int64
		P50, P99, Max float64
	}
	times := map[string]quantiles{}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	for name, h := range m.times {
		times[name] = quantiles{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
	}
	outcomes := map[string]int64{}
	for name, n := range m.outcomes {
		outcomes[name] = n
	}
	return struct {
		Outcomes  map[string]int64
		TimesMs   map[string]quantiles
		Customers map[string]map[string]int64 `json:",omitempty"`
	}{outcomes, times, m.customers.largest(shownCustomers)}
}
