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

	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/rescue"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/process/stamp"
)

const (
	// minPause and maxPause are the shortest and the longest pause after a
	// failure. The pause grows with each failure in a row.
	minPause = 100 * time.Millisecond
	maxPause = time.Second
	// maxPrerequisiteWait is the maximum time that a Watcher waits until its
	// prerequisite reaches the store again. The wait is limited because the
	// store may refuse the prerequisite's calls but not those of this Watcher.
	maxPrerequisiteWait = 5 * time.Second
	// gatePatience is how long the gate may be closed before others no longer wait for
	// this Watcher to reach the store.
	gatePatience = 50 * time.Millisecond
)

// ErrHistoryDropped is returned when the store no longer has all changes after
// the requested version.
var ErrHistoryDropped = errors.New("the store dropped the history that was asked for")

// ErrRefused is returned when the store refused a call because it received too
// many calls. The refused call had no effect.
var ErrRefused = errors.New("the store refused the call")

// source is the platform's store.
type source interface {
	// List returns all rows of a table and the position of the store.
	List(ctx context.Context, table string) ([]record.Row, stamp.Stamp, error)
	// Feed returns the rows that changed after a version, and the position to
	// continue from. If nothing changed, it waits for a change for up to the
	// given time. It returns ErrHistoryDropped if the store no longer has all
	// changes after the version.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]record.Row, stamp.Stamp, error)
}

// mirror is the host's copy of the tables.
type mirror interface {
	// Stamp returns the position up to which a table is known, or the zero Stamp.
	Stamp(table string) stamp.Stamp
	// SinceRestore returns the newest era in which any table was read, and how long ago
	// the store is known to have been restored.
	SinceRestore() (era uint64, ago time.Duration)
	// Apply updates a table.
	Apply(d delta.Delta)
}

// gate tells a Watcher when to read the store.
type gate interface {
	// Await waits until a table has to be read from the store. It returns false if
	// the context ended.
	Await(ctx context.Context, table string) bool
}

// always is a gate that is always open.
type always struct{}

func (always) Await(ctx context.Context, _ string) bool { return ctx.Err() == nil }

// Watcher follows the changes of one table.
type Watcher struct {
	log      *zap.Logger
	source   source
	mirror   mirror
	gate     gate
	table    string
	interval time.Duration
	// wait is how long the store waits for a change before it answers a request. A
	// store that falls silent may never answer the request, so the wait bounds how
	// late a change is noticed.
	wait time.Duration
	// initialDelay is the pause before the first request. secondDelay is the
	// pause after the next successful request: interval, except for the first
	// one.
	initialDelay time.Duration
	secondDelay  time.Duration
	// prerequisite is another Watcher that this one waits for after a failure,
	// or nil.
	prerequisite *Watcher
	// failedSince is when the current series of failures began, or zero if the
	// last request succeeded.
	failedSince time.Time
	// outage is nil while the store answers or the gate is closed. Otherwise it is a
	// channel that is closed when either begins; mu guards the field.
	mu     sync.Mutex
	outage chan struct{}
}

// New returns a Watcher that keeps the copy of a table in m up to date. Its requests
// wait for a change for up to wait, and it pauses for about interval after each
// successful one.
func New(log *zap.Logger, s source, m mirror, table string, interval, wait time.Duration, options ...func(*Watcher)) *Watcher {
	w := &Watcher{log: log, source: s, mirror: m, gate: always{}, table: table, interval: interval, wait: wait, secondDelay: interval}
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

// WithGate returns an option that makes the Watcher read the store only when the gate
// is open.
func WithGate(g gate) func(*Watcher) {
	return func(w *Watcher) { w.gate = g }
}

// WithPrerequisite returns an option that makes the Watcher wait after a failure
// while another Watcher of the same store can't reach the store either. While
// the store refuses calls, this reduces their number.
func WithPrerequisite(other *Watcher) func(*Watcher) {
	return func(w *Watcher) { w.prerequisite = other }
}

// Run follows the table's changes until the context ends. It lists the table if the
// copy is empty, and again if the store no longer has all changes since the copy or
// was restored.
func (w *Watcher) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minPause
	pause.MaxInterval = maxPause
	dropped := false
	w.sleep(ctx, w.initialDelay)
	for w.awaitGate(ctx) {
		known := w.mirror.Stamp(w.table)
		era, _ := w.mirror.SinceRestore()
		d, err := w.fetch(ctx, known.Version, known.Version == 0 || dropped || era > known.Era)
		if err == nil && d.Era != known.Era && !d.Whole {
			// The store knows the version, but of another era.
			err = ErrHistoryDropped
		}
		if err == nil {
			w.noteSuccess()
			w.noteEra(d, known)
			pause.Reset()
			rescue.Run(w.log, func() { w.mirror.Apply(d) })
			dropped = false
			w.sleep(ctx, w.secondDelay)
			w.secondDelay = w.interval
			continue
		}
		if errors.Is(err, ErrHistoryDropped) {
			w.log.Warn("store no longer has the requested history, listing the table again", zap.String("Table", w.table), zap.Uint64("Version", known.Version), zap.Uint64("Era", known.Era))
			dropped = true
			continue
		}
		w.noteFailure(err, known.Version)
		w.sleep(ctx, pause.NextBackOff())
		w.awaitPrerequisite(ctx)
	}
}

// awaitGate waits until the gate opens, and returns false if the context ended. While the gate
// is closed, this Watcher does not find out whether the store answers, so that others must
// not wait for it.
func (w *Watcher) awaitGate(ctx context.Context) bool {
	closed := time.AfterFunc(gatePatience, w.endOutage)
	defer closed.Stop()
	return w.gate.Await(ctx, w.table)
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

// fetch lists the whole table, or waits for changes after the version. The store may
// have answered as soon as it got the request, or when the wait was over if nothing
// changed.
func (w *Watcher) fetch(ctx context.Context, version uint64, whole bool) (delta.Delta, error) {
	if whole {
		return list(ctx, w.source, w.table)
	}
	began := time.Now()
	rows, next, err := w.source.Feed(ctx, w.table, version, w.wait)
	age := time.Since(began)
	if len(rows) == 0 && age >= w.wait {
		age -= w.wait
	}
	return delta.New(w.table, rows, next).WithAge(age), err
}

// list lists a whole table.
func list(ctx context.Context, s source, table string) (delta.Delta, error) {
	began := time.Now()
	rows, at, err := s.List(ctx, table)
	return delta.New(table, rows, at).WithWhole(true).WithAge(time.Since(began)), err
}

// List returns a function that lists a table and updates the copy in m.
func List(s source, m mirror, table string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		d, err := list(ctx, s, table)
		if err == nil {
			m.Apply(d)
		}
		return err
	}
}

// noteFailure records a failed request. The first failure of a series is logged
// and starts an outage, as does a failure after the gate was closed.
func (w *Watcher) noteFailure(err error, version uint64) {
	if w.failedSince.IsZero() {
		w.failedSince = time.Now()
		w.log.Warn("store lost", zap.String("Table", w.table), zap.Uint64("Version", version), zap.String("Error", err.Error()))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outage == nil {
		w.outage = make(chan struct{})
	}
}

// endOutage lets those that wait for this Watcher to reach the store go on.
func (w *Watcher) endOutage() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outage != nil {
		close(w.outage)
		w.outage = nil
	}
}

// noteSuccess records a successful request, which ends an outage if there is
// one.
func (w *Watcher) noteSuccess() {
	if !w.failedSince.IsZero() {
		w.log.Info("store regained", zap.String("Table", w.table), zap.Duration("Lost", time.Since(w.failedSince)))
		w.failedSince = time.Time{}
		w.endOutage()
	}
}

// noteEra logs that the store was restored from a copy since the table was known.
func (w *Watcher) noteEra(d delta.Delta, known stamp.Stamp) {
	if known.Version != 0 && d.Era != known.Era {
		w.log.Warn("store was restored from a copy", zap.String("Table", w.table), zap.Uint64("Era", d.Era), zap.Uint64("Before", known.Era),
			zap.Uint64("Version", d.Version), zap.Uint64("Known", known.Version))
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
