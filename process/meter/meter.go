// Package meter counts and logs how statements end.
package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// routineRate is how many statements that went well are logged a second,
	// failureRate how many that did not. They bound the time spent on logs.
	routineRate = 5
	failureRate = 100
	// slowAfter is the time from which a statement that went well is logged
	// like a failure.
	slowAfter = 500 * time.Millisecond
	// longest is the longest time that is told apart, digits how exactly.
	longest = time.Minute
	digits  = 2
)

// good is the outcome of a statement that its target answered.
const good = "Done"

// Meter keeps counters by outcome and a histogram of times by database, and
// writes a log line for each statement within its limits.
type Meter struct {
	log        *zap.Logger
	mu         sync.Mutex
	outcomes   map[string]int64
	times      map[string]*hdrhistogram.Histogram
	routine    *rate.Limiter
	failure    *rate.Limiter
	suppressed int64
}

// New returns an empty meter.
func New(log *zap.Logger) *Meter {
	return &Meter{
		log: log, outcomes: map[string]int64{}, times: map[string]*hdrhistogram.Histogram{},
		routine: rate.NewLimiter(routineRate, routineRate), failure: rate.NewLimiter(failureRate, failureRate),
	}
}

// Record notes how a statement ended.
func (m *Meter) Record(caller, database, id, outcome string, took time.Duration, fields ...zap.Field) {
	suppressed, ok := m.count(database, outcome, took)
	if !ok {
		return
	}
	m.log.Info("statement", append([]zap.Field{
		zap.String("ID", id), zap.String("Caller", caller), zap.String("Database", database),
		zap.String("Outcome", outcome), zap.Duration("Took", took), zap.Int64("Suppressed", suppressed),
	}, fields...)...)
}

// count counts a statement and tells whether it is logged, with the number of
// those that were not since the last line.
func (m *Meter) count(database, outcome string, took time.Duration) (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[outcome]++
	h, ok := m.times[database]
	if !ok {
		h = hdrhistogram.New(1, longest.Microseconds(), digits)
		m.times[database] = h
	}
	// Times are cut to what the histogram holds, so that none is refused.
	_ = h.RecordValue(max(1, min(took, longest).Microseconds()))
	limit := m.failure
	if outcome == good && took < slowAfter {
		limit = m.routine
	}
	if !limit.Allow() {
		m.suppressed++
		return 0, false
	}
	suppressed := m.suppressed
	m.suppressed = 0
	return suppressed, true
}

// Figures returns the counters and, by database, quantiles of the times in
// milliseconds.
func (m *Meter) Figures() any {
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
		Outcomes map[string]int64
		TimesMs  map[string]quantiles
	}{outcomes, times}
}
