package keeper_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pistachiotray/pistachiotray/process/acked"
	"github.com/pistachiotray/pistachiotray/process/keeper"
	"github.com/pistachiotray/pistachiotray/process/member"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/standin/lstore"
)

// registrations is a group as one host sees it.
type registrations struct {
	targets []target.Target
	changed chan struct{}
	rank    int

	mu    sync.Mutex
	acked acked.Acked
}

func (g *registrations) Targets() []target.Target        { return g.targets }
func (g *registrations) TargetsChanged() <-chan struct{} { return g.changed }
func (g *registrations) Rank(target.Target) int          { return g.rank }

func (g *registrations) Acknowledged() acked.Acked {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acked
}

func (g *registrations) LearnPosition(context.Context) error { return nil }

func (g *registrations) LearnAcknowledged(floor, ceiling mark.Mark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acked = g.acked.With(floor, ceiling)
}

var (
	first  = target.New("a", "g", "10.0.0.1:1", "zone").WithStarted(1)
	second = target.New("b", "g", "10.0.0.2:1", "zone").WithStarted(1)
)

// run runs f on a virtual clock with a store and a function that starts a host, which
// finds the given targets registered.
func run(t *testing.T, f func(ctx context.Context, is *is.I, s *lstore.LeaseStore, start func(rank int, targets ...target.Target) *keeper.Keeper)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		began := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(began) }
		s := lstore.New("g", nil, now)
		f(ctx, is.New(t), s, func(rank int, targets ...target.Target) *keeper.Keeper {
			k := keeper.New("g", zap.NewNop(), s, &registrations{targets: targets, changed: make(chan struct{}), rank: rank}, now)
			go k.Run(ctx)
			return k
		})
	})
}

func TestHostThatStartsKnowsUnregisteredMembers(t *testing.T) {
	run(t, func(ctx context.Context, is *is.I, _ *lstore.LeaseStore, start func(int, ...target.Target) *keeper.Keeper) {
		start(0, first, second)
		time.Sleep(5 * time.Second)
		k := start(1, first)
		is.Equal(len(k.Known().Members()), 1)
		is.NoErr(k.Refresh(ctx))
		is.Equal(len(k.Known().Members()), 2)
		time.Sleep(20 * time.Second)
		is.Equal(len(k.Known().Members()), 2)
		is.True(k.Known().Absent(second.ID))
	})
}

func TestOnlyTheFirstHostsWrite(t *testing.T) {
	run(t, func(ctx context.Context, is *is.I, s *lstore.LeaseStore, start func(int, ...target.Target) *keeper.Keeper) {
		start(3, first, second)
		time.Sleep(time.Minute)
		r, _, err := s.Get(ctx, keeper.Table, "g")
		is.NoErr(err)
		is.Equal(r.Version, uint64(0))
	})
}

// A row that a restored store lost, or that can't be decoded, is written again.
func TestRowIsWrittenAgain(t *testing.T) {
	run(t, func(ctx context.Context, is *is.I, s *lstore.LeaseStore, start func(int, ...target.Target) *keeper.Keeper) {
		k := start(0, first, second)
		s.Copy()
		time.Sleep(5 * time.Second)
		s.Restore()
		is.NoErr(k.Refresh(ctx))
		is.Equal(len(k.Known().Members()), 2)
		r, _, err := s.Get(ctx, keeper.Table, "g")
		is.NoErr(err)
		_, err = s.CompareAndSwap(ctx, keeper.Table, record.New("g", []byte("{")).WithVersion(r.Version))
		is.NoErr(err)
		start(0, first)
		time.Sleep(5 * time.Second)
		other := start(0)
		is.NoErr(other.Refresh(ctx))
		is.Equal(len(other.Known().Members()), 1)
	})
}

func TestDroppedMemberIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	now := time.Hour
	clock := func() time.Duration { return now }
	g := &registrations{targets: []target.Target{first, second.WithLeaving(true)}}
	k := keeper.New("g", zap.New(core), lstore.New("g", nil, clock), g, clock)
	k.Known()
	g.targets = g.targets[:1]
	k.Known()
	now += member.AbsentAfter
	k.Known()
	is.NoErr(k.Refresh(t.Context()))
	k.Known()
	lines := logs.FilterMessage("member dropped").All()
	is.Equal(len(lines), 1)
	fields := lines[0].ContextMap()
	is.Equal(fields["Target"], second.ID)
	is.Equal(fields["Why"], "not registered")
	is.Equal(fields["Missing"], member.AbsentAfter)
}

func FuzzRefresh(f *testing.F) {
	f.Add([]byte(`{"Members":[{"ID":"a","Address":"10.0.0.1:1","Started":1,"MissingMs":5}]}`))
	f.Add([]byte(`{"Members":[{"ID":7}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		s := lstore.New("g", nil, func() time.Duration { return time.Hour })
		if _, err := s.CompareAndSwap(t.Context(), keeper.Table, record.New("g", value)); err != nil {
			t.Fatal(err)
		}
		k := keeper.New("g", zap.NewNop(), s, &registrations{targets: []target.Target{first}}, func() time.Duration { return time.Hour })
		if err := k.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		k.Known()
	})
}

// When all hosts restart, nobody has seen the commits that a member must have to lead.
func TestHostThatStartsKnowsOfAcknowledgedCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		began := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(began) }
		s := lstore.New("g", nil, now)
		before := &registrations{targets: []target.Target{first, second}, changed: make(chan struct{}, 1), acked: acked.New().With(mark.New(1, 7), mark.New(1, 8))}
		go keeper.New("g", zap.NewNop(), s, before, now).Run(ctx)
		time.Sleep(5 * time.Second)
		started := &registrations{targets: []target.Target{first}, changed: make(chan struct{})}
		is.NoErr(keeper.New("g", zap.NewNop(), s, started, now).Refresh(ctx))
		is.Equal(started.Acknowledged(), acked.New().With(mark.New(1, 7), mark.New(1, 8)))
	})
}

// A member must not count as missing since long ago because the clocks of the host and the
// store differ.
func TestMemberIsMissingByOneClock(t *testing.T) {
	for _, hostAhead := range []time.Duration{-time.Hour, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			began := time.Now()
			storeNow := func() time.Duration { return 2*time.Hour + time.Since(began) }
			hostNow := func() time.Duration { return storeNow() + hostAhead }
			s := lstore.New("g", nil, storeNow)
			g := &registrations{targets: []target.Target{first, second}, changed: make(chan struct{}, 1)}
			k := keeper.New("g", zap.NewNop(), s, g, hostNow)
			k.Known()
			g.targets = g.targets[:1]
			k.Known()
			time.Sleep(time.Second)
			is.NoErr(k.Refresh(ctx))
			is.Equal(k.Known().At-k.Known().MissingSince(second.ID), time.Second)
			go k.Run(ctx)
			time.Sleep(5 * time.Second)
			g.changed <- struct{}{}
			time.Sleep(5 * time.Second)
			other := keeper.New("g", zap.NewNop(), s, &registrations{targets: g.targets, changed: make(chan struct{})}, storeNow)
			is.NoErr(other.Refresh(ctx))
			is.Equal(other.Known().At-other.Known().MissingSince(second.ID), 11*time.Second)
		})
	}
}
