package marker_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pistachiotray/pistachiotray/process/marker"
)

// fleet has silent hosts and a store. It implements the interfaces of package marker.
type fleet struct {
	mu     sync.Mutex
	silent []string
	away   bool
	// writes holds the times of the attempts to write, and marked the hosts that were marked.
	writes []time.Duration
	marked []string
	began  time.Time
}

func (f *fleet) Silent(context.Context) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.silent) == 0 {
		return "", false
	}
	return f.silent[0], true
}

func (f *fleet) MarkUnheard(_ context.Context, host string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes = append(f.writes, time.Since(f.began))
	if f.away {
		return errors.New("the store is away")
	}
	f.marked, f.silent = append(f.marked, host), f.silent[1:]
	return nil
}

// set changes which hosts are silent and whether the store is away, and forgets the writes.
func (f *fleet) set(away bool, silent ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away, f.silent, f.writes, f.began = away, silent, nil, time.Now()
}

// seen returns the times of the attempts to write, and the hosts that were marked.
func (f *fleet) seen() (writes []time.Duration, marked []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.writes), slices.Clone(f.marked)
}

// withMarker runs a test with a marker in virtual time.
func withMarker(t *testing.T, test func(f *fleet, logs *observer.ObservedLogs)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer stop()
		core, logs := observer.New(zapcore.InfoLevel)
		f := &fleet{}
		running.Go(func() { marker.New(zap.New(core), f, f).Run(ctx) })
		time.Sleep(time.Second / 2)
		test(f, logs)
	})
}

// Hosts that are lost together must be marked one by one, since each mark raises what
// partitioned hosts may hand out to themselves.
func TestOneHostIsMarkedPerSecond(t *testing.T) {
	withMarker(t, func(f *fleet, logs *observer.ObservedLogs) {
		is := is.New(t)
		f.set(false, "a", "b", "c")
		time.Sleep(2 * time.Second)
		_, marked := f.seen()
		is.Equal(marked, []string{"a", "b"})
		time.Sleep(10 * time.Second)
		writes, marked := f.seen()
		is.Equal(marked, []string{"a", "b", "c"})
		is.Equal(len(writes), 3) // none once no host is silent
		is.Equal(logs.Len(), 0)
	})
}

// While the store is away, marks must not add to its load, and each attempt must be logged with
// the host's name. Once it is back, the next failure counts as the first one.
func TestPausesWhileTheStoreIsAway(t *testing.T) {
	withMarker(t, func(f *fleet, logs *observer.ObservedLogs) {
		is := is.New(t)
		f.set(true, "a")
		time.Sleep(32 * time.Second)
		const first = time.Second / 2
		writes, _ := f.seen()
		is.Equal(writes, []time.Duration{first, first + 1*time.Second, first + 3*time.Second, first + 7*time.Second, first + 15*time.Second, first + 23*time.Second, first + 31*time.Second})
		is.Equal(logs.Len(), len(writes))
		is.Equal(logs.All()[0].Message, "host not marked as unheard")
		is.Equal(logs.All()[0].ContextMap()["Peer"], "a")
		f.set(false, "a")
		time.Sleep(8 * time.Second)
		_, marked := f.seen()
		is.Equal(marked, []string{"a"})
		f.set(true, "b")
		time.Sleep(2 * time.Second)
		writes, _ = f.seen()
		is.Equal(len(writes), 2)
	})
}
