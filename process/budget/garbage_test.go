package budget_test

import (
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/pistachiotray/pistachiotray/process/budget"
)

// metric returns a number of a budget's metrics.
func metric(b *budget.Budget, name string) int64 {
	return reflect.ValueOf(b.Metrics()).FieldByName(name).Int()
}

// Takers that leave, again and again, must not fill the memory with garbage while nothing is
// collected.
func TestGarbageCountsUntilItIsCollected(t *testing.T) {
	is := is.New(t)
	never := make(chan struct{})
	defer close(never)
	b := budget.New(zap.NewNop(), limit, budget.WithCollect(func() { <-never }), budget.WithWait(time.Millisecond))
	occupied := 0
	for range 100 {
		id := b.Join(func() {})
		if b.Draw(id, mib) == nil {
			occupied += mib
		}
		b.Leave(id)
	}
	is.True(occupied > limit)
	is.True(occupied <= limit+limit/2)
}

// A draw that does not fit because of garbage must wait for a collection, and close nobody.
func TestGarbageClosesNobody(t *testing.T) {
	is := is.New(t)
	collections := 0
	b := budget.New(zap.NewNop(), limit, budget.WithCollect(func() { collections++; runtime.GC() }))
	ids, closed := joined(b, 3)
	b.Begin(ids[0])
	b.Begin(ids[1])
	is.NoErr(b.Draw(ids[0], mib))
	for range 200 {
		is.NoErr(b.Draw(ids[1], 5*mib))
		b.Return(ids[1], 5*mib)
	}
	is.Equal(len(*closed), 0)
	is.Equal(metric(b, "Refused"), int64(0))
	// The runtime may collect by itself before a draw asks for it.
	is.True(collections <= 200*5*mib/(limit/2))
}

// Ordinary callers must be served although collections take longer than a draw may wait.
func TestSmallDrawsAreNotRefusedForGarbage(t *testing.T) {
	is := is.New(t)
	never := make(chan struct{})
	defer close(never)
	b := budget.New(zap.NewNop(), limit, budget.WithCollect(func() { <-never }), budget.WithWait(time.Millisecond))
	ids, closed := joined(b, 2)
	for i := 0; b.Draw(ids[0], mib) == nil; i++ {
		is.True(i < 100)
		b.Return(ids[0], mib)
	}
	// The reserve for small draws is used up too.
	b.Charge(ids[0], limit/4)
	b.Return(ids[0], limit/4)
	is.NoErr(b.Draw(ids[1], 32*kib))
	is.Equal(len(*closed), 0)
}

// Connections to targets that wait for a collection must go on when it ends, and must not pass the
// limit before.
func TestTakersThatCannotBeClosedWaitForGarbage(t *testing.T) {
	is := is.New(t)
	collect := make(chan struct{})
	b := budget.New(zap.NewNop(), limit, budget.WithCollect(func() { <-collect }))
	id := b.Join(nil)
	for range 3 {
		b.Charge(id, limit/2)
		b.Return(id, limit/2)
	}
	drawn := make(chan error)
	go func() { drawn <- b.Draw(id, mib) }()
	select {
	case <-drawn:
		t.Fatal("the draw did not wait")
	case <-time.After(20 * time.Millisecond):
	}
	close(collect)
	is.NoErr(<-drawn)
}

// A slab that was returned must be used again, or given-up messages become garbage.
func TestSlabsAreUsedAgain(t *testing.T) {
	is := is.New(t)
	b := budget.New(zap.NewNop(), limit)
	first, second := b.Join(func() {}), b.Join(func() {})
	slab, err := b.DrawSlab(first, 64*kib)
	is.NoErr(err)
	b.ReturnSlab(first, slab)
	is.Equal(used(b), int64(0))
	again, err := b.DrawSlab(second, 64*kib)
	is.NoErr(err)
	is.True(&slab[0] == &again[0])
	is.Equal(used(b), int64(64*kib))
	b.Leave(second)
	// After the taker left, its memory counts as garbage and is not kept.
	b.ReturnSlab(second, again)
	is.Equal(metric(b, "Kept"), int64(0))
	is.Equal(metric(b, "Garbage"), int64(64*kib))
}

// A draw that waits for others must get their slabs, or a full budget makes garbage.
func TestSlabsAreUsedAgainAfterAWait(t *testing.T) {
	is := is.New(t)
	b := budget.New(zap.NewNop(), 64*kib)
	first, second := b.Join(func() {}), b.Join(func() {})
	slab, err := b.DrawSlab(first, 8*kib)
	is.NoErr(err)
	is.NoErr(b.Draw(first, 50*kib))
	again := make(chan []byte)
	go func() {
		got, err := b.DrawSlab(second, 8*kib)
		if err != nil {
			t.Error(err)
		}
		again <- got
	}()
	for metric(b, "Waiting") == 0 {
		time.Sleep(time.Millisecond)
	}
	b.ReturnSlab(first, slab)
	is.True(&(<-again)[0] == &slab[0])
}

// Memory that is kept for reuse must not stay occupied when large messages stop.
func TestUnusedSlabsAreCollected(t *testing.T) {
	is := is.New(t)
	b := budget.New(zap.NewNop(), limit)
	id := b.Join(func() {})
	for range 2 {
		var slabs [][]byte
		for range 200 {
			slab, err := b.DrawSlab(id, 64*kib)
			is.NoErr(err)
			slabs = append(slabs, slab)
		}
		for _, slab := range slabs {
			b.ReturnSlab(id, slab)
		}
		is.True(metric(b, "Kept") <= limit/8)
	}
	for i := 0; metric(b, "Kept")+metric(b, "Garbage") > 0; i++ {
		if i == 100 {
			t.Fatalf("%d bytes are kept and %d are garbage", metric(b, "Kept"), metric(b, "Garbage"))
		}
		runtime.GC()
		time.Sleep(time.Millisecond)
	}
}

// Whatever takers draw and return, as slabs or not, what they hold, what is kept and what no
// collection has freed never passes one and a half times the limit.
func TestMemoryStaysBoundedInRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget.New(zap.NewNop(), limit, budget.WithCollect(func() {}), budget.WithWait(time.Millisecond))
		ids, _ := joined(b, 8)
		slabs := map[uint64][][]byte{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "taker")
			n := rapid.SampledFrom([]int{mib, 2 * mib}).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				if slab, err := b.DrawSlab(id, n); err == nil {
					slabs[id] = append(slabs[id], slab)
				}
			case 1:
				if k := len(slabs[id]); k > 0 {
					b.ReturnSlab(id, slabs[id][k-1])
					slabs[id] = slabs[id][:k-1]
				}
			case 2:
				if b.Draw(id, n) == nil {
					b.Return(id, n)
				}
			case 3:
				b.Begin(id)
			}
			if total := metric(b, "Used") + metric(b, "Garbage") + metric(b, "Kept"); total > limit+limit/2 {
				t.Fatalf("%d bytes of a budget of %d are occupied", total, limit)
			}
		}
		for _, id := range ids {
			b.Leave(id)
		}
		if n := used(b); n != 0 {
			t.Fatalf("%d bytes are held by nobody", n)
		}
	})
}
