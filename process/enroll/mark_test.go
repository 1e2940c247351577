package enroll_test

import (
	"context"
	"fmt"
	"maps"
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

	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/enroll"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
)

const (
	address = "10.0.0.1:7000"
	row     = `{"Address":"10.0.0.1:7000","Zone":"a","Leaving":false}`
	marked  = `{"Address":"10.0.0.1:7000","Zone":"a","Leaving":false,"Unheard":true}`
	leaving = `{"Address":"10.0.0.1:7000","Zone":"a","Leaving":true}`
)

// rowStore is a table store in memory. It implements the table of package enroll.
type rowStore struct {
	mu           sync.Mutex
	rows         map[string]record.Row
	era, version uint64
	calls        int
	// written is called after a write and before its answer.
	written func(r record.Row)
}

func newRowStore() *rowStore {
	return &rowStore{rows: map[string]record.Row{}, era: 1, written: func(record.Row) {}}
}

func (s *rowStore) Get(_ context.Context, _, key string) (record.Row, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.rows[key], 0, nil
}

func (s *rowStore) CompareAndSwap(_ context.Context, _ string, r record.Row) (stamp.Stamp, error) {
	s.mu.Lock()
	s.calls++
	if s.rows[r.Key].Version != r.Version {
		s.mu.Unlock()
		return stamp.Stamp{}, errors.New("the row has another version")
	}
	r = s.put(r.Key, string(r.Value))
	s.mu.Unlock()
	s.written(r)
	return r.Stamp(), nil
}

// put writes a row. The caller holds the lock, unless nothing else uses the store.
func (s *rowStore) put(key, value string) record.Row {
	s.version++
	s.rows[key] = record.New(key, []byte(value)).WithVersion(s.version).WithEra(s.era)
	return s.rows[key]
}

// value returns the value of a row.
func (s *rowStore) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[key].Value)
}

// callCount returns the number of calls so far.
func (s *rowStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// list hands a full listing to hosts.
func (s *rowStore) list(hosts ...*enroll.Registry) {
	s.mu.Lock()
	rows, at := slices.Collect(maps.Values(s.rows)), stamp.New(s.era, s.version)
	s.mu.Unlock()
	for _, h := range hosts {
		h.Apply(rows, at, true)
	}
}

// newHost returns the registry of a host of the store, and what it knows.
func newHost(s *rowStore, log *zap.Logger, name string) (*enroll.Registry, *assign.Assignment) {
	known := &assign.Assignment{}
	return enroll.New(log, s, gossip.New(name, address, "a", 0), map[string]string{"a": "r"}, func(a assign.Assignment) { *known = a }), known
}

// A mark must take a single call to the store and be known to the hosts, without changing
// anything else in the row.
func TestMarkIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	s := newRowStore()
	s.put("h2", row)
	h1, known := newHost(s, zap.NewNop(), "h1")
	s.list(h1)
	for range 3 {
		is.NoErr(h1.MarkUnheard(t.Context(), "h2"))
	}
	is.Equal(s.callCount(), 1)
	is.Equal(s.value("h2"), marked)
	before := *known
	s.list(h1)
	h, ok := known.Host("h2")
	is.True(ok && h.Unheard && h.State == gossip.Alive)
	is.Equal(known.LiveCount(), before.LiveCount())
	is.NoErr(h1.MarkUnheard(t.Context(), "h2"))
	is.Equal(s.callCount(), 1)
}

// The mark of a host that registered again meanwhile, or that another coordinator marked, must
// not overwrite its row.
func TestChangedRowIsNotMarked(t *testing.T) {
	for _, value := range []string{`{"Address":"10.0.0.9:7000","Zone":"a","Leaving":false}`, leaving, marked} {
		is := is.New(t)
		s := newRowStore()
		s.put("h2", row)
		h1, _ := newHost(s, zap.NewNop(), "h1")
		s.list(h1)
		s.put("h2", value)
		is.True(h1.MarkUnheard(t.Context(), "h2") != nil)
		is.Equal(s.value("h2"), value)
	}
}

// Hosts whose row needs no mark must cause no call to the store.
func TestNothingToMark(t *testing.T) {
	is := is.New(t)
	s := newRowStore()
	s.put("h1", row)
	s.put("leaving", leaving)
	s.put("marked", marked)
	s.put("malformed", `{"Address":"10.0.0.1"}`)
	h1, _ := newHost(s, zap.NewNop(), "h1")
	is.NoErr(h1.MarkUnheard(t.Context(), "leaving")) // before the first listing
	s.list(h1)
	for _, host := range []string{"h1", "leaving", "marked", "malformed", "unknown"} {
		is.NoErr(h1.MarkUnheard(t.Context(), host))
	}
	gone := s.rows["marked"]
	gone.Gone = true
	h1.Apply([]record.Row{gone}, gone.Stamp(), false)
	is.NoErr(h1.MarkUnheard(t.Context(), "marked"))
	is.Equal(s.callCount(), 0)
}

// A restored store gives versions out again. A mark on such a version must not count as
// written, and a row that the store lost must not come back by a mark.
func TestMarkAfterARestoreOfTheStore(t *testing.T) {
	is := is.New(t)
	s := newRowStore()
	s.put("h2", row)
	h1, known := newHost(s, zap.NewNop(), "h1")
	s.list(h1)
	s.era++
	is.True(h1.MarkUnheard(t.Context(), "h2") != nil)
	delete(s.rows, "h2")
	s.list(h1)
	is.NoErr(h1.MarkUnheard(t.Context(), "h2"))
	is.Equal(s.value("h2"), "")
	_, ok := known.Host("h2")
	is.True(ok)
}

// A host that was marked must write its row again, once, and its log must not tell of a row that
// the store lost.
func TestMarkedHostWritesItsRowAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, logs := observer.New(zapcore.WarnLevel)
		s := newRowStore()
		h1, known := newHost(s, zap.NewNop(), "h1")
		h2, _ := newHost(s, zap.New(core), "h2")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		h2.Register(ctx, false, true)
		is.Equal(s.value("h2"), row)
		go h2.Maintain(ctx)
		s.list(h1, h2)
		is.NoErr(h1.MarkUnheard(ctx, "h2"))
		before := s.callCount()
		for range 3 {
			s.list(h1, h2)
			synctest.Wait()
		}
		is.Equal(s.value("h2"), row)
		is.Equal(s.callCount()-before, 1)
		is.Equal(logs.FilterMessage("this host was marked as unheard").Len(), 1)
		is.Equal(logs.Len(), 1)
		h, ok := known.Host("h2")
		is.True(ok && !h.Unheard)
	})
}

// A store that is restored from a copy may bring back a mark, in a version that was given out
// before. The host must remove it again.
func TestMarkThatARestoredStoreBringsBackIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newRowStore()
		h2, _ := newHost(s, zap.NewNop(), "h2")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go h2.Maintain(ctx)
		h2.Register(ctx, false, true)
		h2.Register(ctx, true, true)
		h2.Register(ctx, false, true)
		s.era, s.version = 2, 0
		s.put("h2", marked)
		s.list(h2)
		synctest.Wait()
		is.Equal(s.value("h2"), row)
	})
}

// A mark that arrives before the answer to the host's own write must not stay.
func TestMarkDuringTheRegistrationIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newRowStore()
		h2, _ := newHost(s, zap.NewNop(), "h2")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go h2.Maintain(ctx)
		s.written = func(record.Row) {
			s.written = func(record.Row) {}
			s.put("h2", marked)
			s.list(h2)
		}
		h2.Register(ctx, false, true)
		synctest.Wait()
		is.Equal(s.value("h2"), row)
	})
}

// A host that reaches the store but not the coordinator must not write its row, and be marked,
// more than about once a minute. One that is lost for good soon after must still be marked.
func TestMarkAndReturnDoNotLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newRowStore()
		h1, _ := newHost(s, zap.NewNop(), "h1")
		h2, _ := newHost(s, zap.NewNop(), "h2")
		maintained, stop := context.WithCancel(t.Context())
		defer stop()
		h2.Register(maintained, false, true)
		go h2.Maintain(maintained)
		play := func(seconds int) int {
			before := s.callCount()
			for range seconds {
				s.list(h1, h2)
				synctest.Wait()
				is.NoErr(h1.MarkUnheard(t.Context(), "h2"))
				time.Sleep(time.Second)
			}
			return s.callCount() - before
		}
		writes := play(60)
		is.True(writes > 2 && writes <= 14) // after 1, 2, 4, 8, 16 and 32 s
		is.True(play(600) <= 2*10+2)        // a mark and a row each minute
		time.Sleep(5 * time.Minute)
		is.True(play(10) >= 6) // the earlier marks no longer count
		stop()
		synctest.Wait()
		is.True(play(61) >= 1)
		is.Equal(s.value("h2"), marked)
	})
}

// A host of an earlier version writes rows without the mark, and each row must stay the same
// byte for byte where no host is marked.
func TestRowWithoutMark(t *testing.T) {
	is := is.New(t)
	s := newRowStore()
	h1, _ := newHost(s, zap.NewNop(), "h1")
	h1.Register(t.Context(), false, true)
	is.Equal(s.value("h1"), row)
	h1.Register(t.Context(), true, true)
	is.Equal(s.value("h1"), leaving)
	is.Equal(fmt.Sprint(s.rows["h1"].Version), "2")
}
