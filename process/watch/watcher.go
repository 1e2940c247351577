// Package watch follows the changes of a table in the platform's store.
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
	// feedWait is how long the store waits for a change before it answers a
	// request. It is long because each call is charged for. Dead connections
	// are detected by the source, not by this timeout.
	feedWait = 28 * time.Second
	// minPause and maxPause are the shortest and the longest pause after a
	// failure. The pause grows with each failure in a row.
	minPause = 100 * time.Millisecond
	maxPause = time.Second
	// maxPrerequisiteWait is the maximum time that a Watcher waits until its
	// prerequisite reaches the store again. The wait is limited because the
	// store may refuse the prerequisite's calls but not those of this Watcher.
	maxPrerequisiteWait = 5 * time.Second
)

// ErrHistoryDropped is returned when the store no longer has all changes after
// the requested version.
var ErrHistoryDropped = errors.New("the store dropped the history that was asked for")

// ErrRefused is returned when the store refused a call because it received too
// many calls. The refused call had no effect.
var ErrRefused = errors.New("the store refused the call")

// source is the platform's store.
type source interface {
	// List returns all rows of a table and the table's version.
	List(ctx context.Context, table string) ([]record.Row, uint64, error)
	// Feed returns the rows that changed after a version, and the version to
	// continue from. If nothing changed, it waits for a change for up to the
	// given time. It returns ErrHistoryDropped if the store no longer has all
	// changes after the version.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]record.Row, uint64, error)
}

// Watcher follows the changes of one table.
type Watcher struct {
	log      *zap.Logger
	source   source
	table    string
	interval time.Duration
	// initialDelay is the pause before the first request. secondDelay is the
	// pause after the next successful request: interval, except for the first
	// one.
	initialDelay time.Duration
	secondDelay  time.Duration
	// prerequisite is another Watcher that this one waits for after a failure,
	// or nil.
	prerequisite *Watcher
	apply        func(rows []record.Row, version uint64, whole bool)
	// failedSince is when the current series of failures began, or zero if the
	// last request succeeded.
	failedSince time.Time
	// outage is nil while the store answers. Otherwise it is a channel that is
	// closed when the store answers again; mu guards the field.
	mu     sync.Mutex
	outage chan struct{}
}

// New returns a Watcher of a table that pauses for about interval after each
// successful request. The function apply is called with the version of the
// table and the changed rows, or all rows of the table if whole is true. After
// a listing of the whole table it is always called, otherwise only if rows
// changed.
func New(log *zap.Logger, s source, table string, interval time.Duration, apply func(rows []record.Row, version uint64, whole bool), options ...func(*Watcher)) *Watcher {
	w := &Watcher{log: log, source: s, table: table, interval: interval, secondDelay: interval, apply: apply}
	for _, o := range options {
		o(w)
	}
	return w
}

// WithSecondDelay returns an option that sets the pause after the first
// successful request. A pause shorter than the interval suits a table to which
// many hosts write when they start together.
func WithSecondDelay(pause time.Duration) func(*Watcher) {
	return func(w *Watcher) { w.secondDelay = pause }
}

// WithInitialDelay returns an option that sets the pause before the first
// request.
func WithInitialDelay(pause time.Duration) func(*Watcher) {
	return func(w *Watcher) { w.initialDelay = pause }
}

// WithPrerequisite returns an option that makes the Watcher wait after a failure
// while another Watcher of the same store can't reach the store either. While
// the store refuses calls, this reduces their number.
func WithPrerequisite(other *Watcher) func(*Watcher) {
	return func(w *Watcher) { w.prerequisite = other }
}

// Run lists the table and then follows its changes until the context ends. It
// lists the table again if the store no longer has all changes since the last
// request.
func (w *Watcher) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minPause
	pause.MaxInterval = maxPause
	version, listed := uint64(0), false
	w.sleep(ctx, w.initialDelay)
	for ctx.Err() == nil {
		rows, next, err := w.fetch(ctx, version, listed)
		if err == nil {
			w.noteSuccess()
			pause.Reset()
			if len(rows) > 0 || !listed {
				w.apply(rows, next, !listed)
			}
			version, listed = next, true
			w.sleep(ctx, w.secondDelay)
			w.secondDelay = w.interval
			continue
		}
		if errors.Is(err, ErrHistoryDropped) {
			w.log.Warn("store no longer has the requested history, listing the table again", zap.String("Table", w.table), zap.Uint64("Version", version))
			listed = false
			continue
		}
		w.noteFailure(err, version)
		w.sleep(ctx, pause.NextBackOff())
		w.awaitPrerequisite(ctx)
	}
}

// awaitPrerequisite waits while the prerequisite can't reach the store, for at
// most maxPrerequisiteWait.
func (w *Watcher) awaitPrerequisite(ctx context.Context) {
	if w.prerequisite == nil {
		return
	}
	w.prerequisite.mu.Lock()
	outage := w.prerequisite.outage
	w.prerequisite.mu.Unlock()
	if outage == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, maxPrerequisiteWait)
	defer stop()
	select {
	case <-outage:
	case <-ctx.Done():
	}
}

// fetch lists the whole table unless listed is set, in which case it waits for
// changes after the version.
func (w *Watcher) fetch(ctx context.Context, version uint64, listed bool) ([]record.Row, uint64, error) {
	if !listed {
		return w.source.List(ctx, w.table)
	}
	return w.source.Feed(ctx, w.table, version, feedWait)
}

// noteFailure records a failed request. The first failure of a series is logged
// and starts an outage.
func (w *Watcher) noteFailure(err error, version uint64) {
	if w.failedSince.IsZero() {
		w.failedSince = time.Now()
		w.mu.Lock()
		w.outage = make(chan struct{})
		w.mu.Unlock()
		w.log.Warn("store lost", zap.String("Table", w.table), zap.Uint64("Version", version), zap.String("Error", err.Error()))
	}
}

// noteSuccess records a successful request, which ends an outage if there is
// one.
func (w *Watcher) noteSuccess() {
	if !w.failedSince.IsZero() {
		w.log.Info("store regained", zap.String("Table", w.table), zap.Duration("Lost", time.Since(w.failedSince)))
		w.failedSince = time.Time{}
		w.mu.Lock()
		close(w.outage)
		w.outage = nil
		w.mu.Unlock()
	}
}

// sleep waits for d, varied by up to a tenth so that hosts don't send their
// requests at the same time.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	sleep.For(ctx, d*9/10+rand.N(d/5+1))
}
