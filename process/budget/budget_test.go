package budget_test

import (
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/pistachiotray/pistachiotray/process/budget"
)

const (
	kib   = 1 << 10
	mib   = 1 << 20
	limit = 32 * mib
)

// used returns how much of a budget is drawn.
func used(b *budget.Budget) int64 {
	return reflect.ValueOf(b.Metrics()).FieldByName("Used").Int()
}

// joined adds takers, whose end functions make them leave, and returns their IDs, and the
// numbers of those that were closed, in order.
func joined(b *budget.Budget, n int) (ids []uint64, closed *[]int) {
	closed = &[]int{}
	for i := range n {
		var id uint64
		id = b.Join(func() {
			*closed = append(*closed, i)
			b.Leave(id)
		})
		ids = append(ids, id)
	}
	return ids, closed
}

func ExampleBudget() {
	b := budget.New(zap.NewNop(), 1<<20)
	var large, small uint64
	large = b.Join(func() { fmt.Println("closed"); b.Leave(large) })
	small = b.Join(func() { b.Leave(small) })
	fmt.Println(b.Draw(large, 800<<10))
	fmt.Println(b.Draw(small, 300<<10))
	// Output:
	// <nil>
	// closed
	// <nil>
}

// The largest taker goes first, although another one has the older message.
func TestTakerThatStandsOutIsClosed(t *testing.T) {
	is := is.New(t)
	b := budget.New(zap.NewNop(), limit)
	ids, closed := joined(b, 4)
	b.Begin(ids[0])
	for i, n := range []int{7 * mib, 12 * mib, 8 * mib} {
		is.NoErr(b.Draw(ids[i], n))
	}
	is.NoErr(b.Draw(ids[3], 2*mib))
	is.Equal(*closed, []int{1})
}

// Without a taker that stands out, the one whose message is unfinished for the longest time
// goes, and one whose statement runs stays.
func TestOldestUnfinishedMessageIsClosed(t *testing.T) {
	is := is.New(t)
	b := budget.New(zap.NewNop(), limit)
	ids, closed := joined(b, 6)
	for _, i := range []int{3, 1, 2} {
		b.Begin(ids[i])
	}
	b.SetWorking(ids[0], true)
	for i := range 4 {
		is.NoErr(b.Draw(ids[i], 7*mib))
	}
	is.NoErr(b.Draw(ids[4], 7*mib))
	is.NoErr(b.Draw(ids[5], 7*mib))
	is.Equal(*closed, []int{3, 1})
}

// A caller with a message of usual size that is slow must not go before large ones.
func TestTakersThatHoldLittleAreClosedLast(t *testing.T) {
	is := is.New(t)
	b := budget.New(zap.NewNop(), limit)
	ids, closed := joined(b, 6)
	for _, id := range ids {
		b.Begin(id)
	}
	is.NoErr(b.Draw(ids[0], 60*kib))
	for _, id := range ids[1:] {
		is.NoErr(b.Draw(id, 7*mib))
	}
	is.Equal(*closed, []int{1, 2})
}

// Session values that nobody uses must not keep others out for good.
func TestIdleTakersAreClosedLast(t *testing.T) {
	is := is.New(t)
	b := budget.New(zap.NewNop(), limit)
	ids, closed := joined(b, 40)
	for _, id := range ids[:27] {
		is.NoErr(b.Draw(id, mib))
	}
	b.Begin(ids[39])
	is.NoErr(b.Draw(ids[39], 2*mib))
	is.Equal(*closed, []int{0})
}

// Ordinary callers draw little, and must get it while large messages hold all they may.
func TestSmallDrawsUseTheReserve(t *testing.T) {
	is := is.New(t)
	b := budget.New(zap.NewNop(), limit)
	ids, closed := joined(b, 40)
	for _, id := range ids[:28] {
		b.SetWorking(id, true)
		is.NoErr(b.Draw(id, mib))
	}
	for _, id := range ids[28:] {
		is.NoErr(b.Draw(id, 32*kib))
	}
	is.Equal(len(*closed), 0)
}

// A draw waits for statements that run, and is refused if they don't end in time.
func TestDrawWaitsForWork(t *testing.T) {
	is := is.New(t)
	b := budget.New(zap.NewNop(), limit, budget.WithWait(20*time.Millisecond))
	ids, closed := joined(b, 5)
	for _, id := range ids[:4] {
		b.SetWorking(id, true)
		is.NoErr(b.Draw(id, 7*mib))
	}
	is.Equal(b.Draw(ids[4], mib), budget.ErrExhausted)
	time.AfterFunc(time.Millisecond, func() { b.Return(ids[0], 7*mib) })
	is.NoErr(b.Draw(ids[4], mib))
	is.Equal(len(*closed), 0)
}

// Connections to targets that all wait for bytes, each with a part of an answer, would wait
// for one another.
func TestTakersThatCannotBeClosedGoOn(t *testing.T) {
	is := is.New(t)
	b := budget.New(zap.NewNop(), limit, budget.WithWait(time.Minute))
	var all sync.WaitGroup
	for range 40 {
		id := b.Join(nil)
		all.Go(func() {
			for range 3 {
				if err := b.Draw(id, mib); err != nil {
					t.Error(err)
				}
			}
			b.Return(id, 3*mib)
		})
	}
	all.Wait()
	is.Equal(used(b), int64(0))
}

// Whatever takers draw, charge and return, and whenever they are closed or leave, nothing is
// left of the budget's use, and draws never pass the limit.
func TestAllIsReturnedInRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget.New(zap.NewNop(), limit, budget.WithWait(time.Millisecond))
		var mu sync.Mutex
		held := map[uint64]int{}
		gone := map[uint64]bool{}
		leave := func(id uint64) {
			b.Leave(id)
			mu.Lock()
			defer mu.Unlock()
			delete(held, id)
			gone[id] = true
		}
		var ids []uint64
		charged := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(ids) == 0 || rapid.IntRange(0, 4).Draw(t, "joins") == 0 {
				var id uint64
				id = b.Join(func() { leave(id) })
				ids = append(ids, id)
			}
			id := rapid.SampledFrom(ids).Draw(t, "taker")
			n := rapid.IntRange(0, 6*mib).Draw(t, "bytes")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				if b.Draw(id, n) == nil && !gone[id] {
					held[id] += n
				}
			case 2:
				charged = true
				b.Charge(id, n)
				if !gone[id] {
					held[id] += n
				}
			case 3:
				n = min(n, held[id])
				b.Return(id, n)
				if !gone[id] {
					held[id] -= n
				}
			case 4:
				b.Begin(id)
			case 5:
				b.Finish(id)
				b.SetWorking(id, rapid.Bool().Draw(t, "working"))
			case 6:
				leave(id)
			}
			total := 0
			for _, n := range held {
				total += n
			}
			if int64(total) != used(b) {
				t.Fatalf("%d bytes are held, but %d are used", total, used(b))
			}
			if !charged && total > limit {
				t.Fatalf("%d bytes were drawn of %d", total, limit)
			}
		}
		for _, id := range ids {
			leave(id)
		}
		if used(b) != 0 {
			t.Fatalf("%d bytes are used after all takers left", used(b))
		}
	})
}

// Takers draw, wait, are closed and leave at the same time.
func TestAllIsReturnedByConcurrentTakers(t *testing.T) {
	is := is.New(t)
	b := budget.New(zap.NewNop(), 4*mib, budget.WithWait(5*time.Millisecond))
	var all sync.WaitGroup
	for i := range 32 {
		all.Go(func() {
			for round := range 50 {
				var ended sync.Once
				closed := make(chan struct{})
				id := b.Join(func() { ended.Do(func() { close(closed) }) })
				b.Begin(id)
				for piece := 4 * kib; piece <= mib; piece *= 2 {
					if b.Draw(id, piece) != nil {
						break
					}
				}
				b.Finish(id)
				if (i+round)%2 == 0 {
					b.Charge(id, 64*kib)
					b.Return(id, 32*kib)
				}
				b.Leave(id)
			}
		})
	}
	all.Wait()
	is.Equal(used(b), int64(0))
}
