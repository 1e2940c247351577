package watch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/mirror"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/process/watch"
)

// store is a source that answers each call with the next of its steps. After
// the last step, all calls fail.
type store struct {
	began time.Time
	// asked is the list of the times of the calls, in whole seconds since
	// began.
	asked []time.Duration
	steps []step
}

// step is the answer to one call.
type step struct {
	rows []record.Row
	next uint64
	err  error
}

func (s *store) answer() ([]record.Row, stamp.Stamp, error) {
	s.asked = append(s.asked, time.Since(s.began).Round(time.Second))
	if len(s.steps) == 0 {
		return nil, stamp.Stamp{}, errors.New("down")
	}
	n := s.steps[0]
	s.steps = s.steps[1:]
	return n.rows, stamp.New(0, n.next), n.err
}

func (s *store) List(context.Context, string) ([]record.Row, stamp.Stamp, error) { return s.answer() }

func (s *store) Feed(context.Context, string, uint64, time.Duration) ([]record.Row, stamp.Stamp, error) {
	return s.answer()
}

// run runs a Watcher of the store for the given time, and calls apply with each
// version and whether the whole table was listed.
func run(t *testing.T, s *store, length time.Duration, apply func(version uint64, whole bool), options ...func(*watch.Watcher)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s.began = time.Now()
		ctx, stop := context.WithTimeout(t.Context(), length)
		defer stop()
		watch.New(zap.NewNop(), s, newMirror("t", apply), "t", 15*time.Second, time.Second, options...).Run(ctx)
	})
}

// newMirror returns a mirror that calls apply with each version of the table and
// whether the whole table was listed.
func newMirror(table string, apply func(version uint64, whole bool)) *mirror.Mirror {
	began := time.Now()
	m := mirror.New(func() time.Duration { return time.Hour + time.Since(began) })
	m.Handle(table, func(_ []record.Row, at stamp.Stamp, whole bool) { apply(at.Version, whole) })
	return m
}

// A host that starts must learn at once about the hosts that already run. Hosts
// that start together must not wait a whole interval to learn about each other.
func TestListsAtOnceAndAgainSoon(t *testing.T) {
	is := is.New(t)
	row := []record.Row{record.New("a", nil)}
	s := &store{steps: []step{{row, 1, nil}, {row, 2, nil}, {row, 3, nil}}}
	run(t, s, 20*time.Second, func(uint64, bool) {}, watch.WithSecondDelay(3*time.Second))
	is.Equal(s.asked[:2], []time.Duration{0, 3 * time.Second})
	is.True(s.asked[2] >= 15*time.Second)
}

func TestListsAgainAfterHistoryDropped(t *testing.T) {
	is := is.New(t)
	row := []record.Row{record.New("a", nil)}
	s := &store{steps: []step{{row, 1, nil}, {nil, 0, watch.ErrHistoryDropped}, {row, 9, nil}}}
	var whole []bool
	run(t, s, 40*time.Second, func(_ uint64, w bool) { whole = append(whole, w) })
	is.Equal(whole, []bool{true, true})
}

func TestPausesAreLongerAfterFailures(t *testing.T) {
	is := is.New(t)
	s := &store{}
	run(t, s, time.Minute, func(uint64, bool) { t.Error("apply was called although every request failed") })
	is.True(len(s.asked) >= 30) // it keeps retrying
	is.True(len(s.asked) <= 120)
}

// failingStore is a source that refuses calls until the time recovery. After
// that, it lists an empty table and leaves every feed request unanswered.
type failingStore struct {
	recovery time.Time
	calls    int
}

func (fs *failingStore) List(context.Context, string) ([]record.Row, stamp.Stamp, error) {
	fs.calls++
	if time.Now().Before(fs.recovery) {
		return nil, stamp.Stamp{}, watch.ErrRefused
	}
	return nil, stamp.New(0, 1), nil
}

func (fs *failingStore) Feed(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]record.Row, stamp.Stamp, error) {
	<-ctx.Done()
	return nil, stamp.Stamp{}, ctx.Err()
}

func TestWatcherWaitsWhileItsPrerequisiteIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		recovery := time.Now().Add(4500 * time.Millisecond)
		first, second := &failingStore{recovery: recovery}, &failingStore{recovery: recovery}
		var regained time.Time
		prerequisite := watch.New(zap.NewNop(), first, newMirror("a", func(uint64, bool) {}), "a", time.Second, time.Second)
		go prerequisite.Run(ctx)
		time.Sleep(time.Millisecond)
		m := newMirror("b", func(uint64, bool) { regained = time.Now() })
		watch.New(zap.NewNop(), second, m, "b", time.Second, time.Second, watch.WithPrerequisite(prerequisite)).Run(ctx)
		is.True(second.calls <= 3)
		is.True(regained.Sub(recovery) < 2*time.Second)
	})
}

// onceGate is open at once the first time, and then stays closed.
type onceGate struct{ opened bool }

func (g *onceGate) Await(ctx context.Context, _ string) bool {
	if g.opened {
		<-ctx.Done()
	}
	g.opened = true
	return ctx.Err() == nil
}

// A Watcher that does not ask the store for long must not keep others from asking it.
func TestWatcherDoesNotWaitForAPrerequisiteThatAsksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		recovery := time.Now().Add(100 * time.Millisecond)
		first, second := &failingStore{recovery: recovery}, &failingStore{recovery: recovery}
		var regained time.Time
		prerequisite := watch.New(zap.NewNop(), first, newMirror("a", func(uint64, bool) {}), "a", time.Second, time.Second, watch.WithGate(&onceGate{}))
		go prerequisite.Run(ctx)
		time.Sleep(time.Millisecond)
		m := newMirror("b", func(uint64, bool) { regained = time.Now() })
		watch.New(zap.NewNop(), second, m, "b", time.Second, time.Second, watch.WithPrerequisite(prerequisite)).Run(ctx)
		is.True(!regained.IsZero())
		is.True(regained.Sub(recovery) < time.Second)
	})
}

func TestInitialDelay(t *testing.T) {
	is := is.New(t)
	s := &store{steps: []step{{nil, 1, nil}}}
	run(t, s, 10*time.Second, func(uint64, bool) {}, watch.WithInitialDelay(3*time.Second))
	is.True(s.asked[0] >= 2*time.Second)
}
