// Package watch follows the changes of one table of the platform's store.
package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/sleep"
)

const (
	// feedWait is how long the store holds a question while nothing changes:
	// calls are priced. The source finds dead connections itself.
	feedWait = 28 * time.Second
	// firstPause and longestPause bound the pause after a failure.
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
	// leadLimit bounds the wait for another watch to reach the store again: it
	// may be refused where this one is not.
	leadLimit = 5 * time.Second
)

// ErrHistoryDropped tells that the store no longer knows what changed.
var ErrHistoryDropped = errors.New("the store dropped the history that was asked for")

// ErrRefused tells that the store did nothing and wants to be asked less.
var ErrRefused = errors.New("the store refused the call")

// source is the platform's store.
type source interface {
	// List returns the rows of a table and the version that they are of.
	List(ctx context.Context, table string) ([]record.Row, uint64, error)
	// Feed returns what changed after a version, and the version to go on from.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]record.Row, uint64, error)
}

// Watcher follows one table.
type Watcher struct {
	log    *zap.Logger
	source source
	table  string
	pace   time.Duration
	// first is the pause before the first listing, second the one after it.
	first  time.Duration
	second time.Duration
	lead   *Watcher
	apply  func(rows []record.Row, version uint64, whole bool)
	failed time.Time
	// outage is closed as the store answers again, nil while it does.
	mu     sync.Mutex
	outage chan struct{}
}

// New returns a watch of a table that asks at most once in a pace. Apply gets
// the changed rows, or the whole table.
func New(log *zap.Logger, s source, table string, pace time.Duration, apply func(rows []record.Row, version uint64, whole bool), options ...func(*Watcher)) *Watcher {
	w := &Watcher{log: log, source: s, table: table, pace: pace, second: pace, apply: apply}
	for _, o := range options {
		o(w)
	}
	return w
}

// WithSecondDelay returns an option that asks again sooner after the first listing,
// for a table to which many write as they start together.
func WithSecondDelay(pause time.Duration) func(*Watcher) {
	return func(w *Watcher) { w.second = pause }
}

// WithInitialDelay returns an option that lists the table only after a pause.
func WithInitialDelay(pause time.Duration) func(*Watcher) {
	return func(w *Watcher) { w.first = pause }
}

// WithLead returns an option that has the watch wait after a failure while
// another one can't reach the store either, so that few calls are refused.
func WithLead(lead *Watcher) func(*Watcher) {
	return func(w *Watcher) { w.lead = lead }
}

// Run follows the table until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = longestPause
	version, listed := uint64(0), false
	w.sleep(ctx, w.first)
	for ctx.Err() == nil {
		rows, next, err := w.ask(ctx, version, listed)
		if err == nil {
			w.regained()
			pause.Reset()
			if len(rows) > 0 || !listed {
				w.apply(rows, next, !listed)
			}
			version, listed = next, true
			w.sleep(ctx, w.second)
			w.second = w.pace
			continue
		}
		if errors.Is(err, ErrHistoryDropped) {
			w.log.Warn("history dropped", zap.String("Table", w.table), zap.Uint64("Version", version))
			listed = false
			continue
		}
		w.lost(err, version)
		w.sleep(ctx, pause.NextBackOff())
		w.awaitLead(ctx)
	}
}

// awaitLead waits while the lead can't reach the store.
func (w *Watcher) awaitLead(ctx context.Context) {
	if w.lead == nil {
		return
	}
	w.lead.mu.Lock()
	outage := w.lead.outage
	w.lead.mu.Unlock()
	if outage == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, leadLimit)
	defer stop()
	select {
	case <-outage:
	case <-ctx.Done():
	}
}

func (w *Watcher) ask(ctx context.Context, version uint64, listed bool) ([]record.Row, uint64, error) {
	if !listed {
		return w.source.List(ctx, w.table)
	}
	return w.source.Feed(ctx, w.table, version, feedWait)
}

// lost logs the first of a series of failures.
func (w *Watcher) lost(err error, version uint64) {
	if w.failed.IsZero() {
		w.failed = time.Now()
		w.mu.Lock()
		w.outage = make(chan struct{})
		w.mu.Unlock()
		w.log.Warn("store lost", zap.String("Table", w.table), zap.Uint64("Version", version), zap.String("Error", err.Error()))
	}
}

func (w *Watcher) regained() {
	if !w.failed.IsZero() {
		w.log.Info("store regained", zap.String("Table", w.table), zap.Duration("Lost", time.Since(w.failed)))
		w.failed = time.Time{}
		w.mu.Lock()
		close(w.outage)
		w.outage = nil
		w.mu.Unlock()
	}
}

// sleep waits for d, a tenth more or less, so that hosts don't ask together.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	sleep.For(ctx, d*9/10+rand.N(d/5+1))
}
