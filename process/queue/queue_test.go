package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/pistachiotray/pistachiotray/process/queue"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/version/class"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCall(id string, now time.Time, k class.Class) call.Call {
	return call.New(id, "s", "g", k).WithTimes(now, now.Add(k.Deadline))
}

// newQueue returns a queue of three usable members with the given number of open
// slots each.
func newQueue(slots int, options ...func(*queue.Queue)) *queue.Queue {
	q := queue.New([]string{"m0", "m1", "m2"}, options...)
	for i := range 3 {
		q.SetMember(i, true, slots)
		for n := range slots {
			q.AddSlot(i, uint64(i*1000+n))
		}
	}
	return q
}

// running is a call that was granted a slot.
type running struct {
	member int
	slot   uint64
	long   bool
	until  time.Time
}

// TestInvariantsUnderRandomLoad lets requests arrive and end at random. It checks
// that each slot runs one request at a time, each request is granted a slot once,
// long requests stay within their limit, no short request waits while a slot that
// may serve it is free, and every request runs eventually.
func TestInvariantsUnderRandomLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SampledFrom([]int{1, 2, 5}).Draw(t, "slots")
		q := newQueue(slots, queue.WithoutAdmission(), queue.WithLongAfter(50*time.Millisecond))
		now := startTime
		granted := map[uint64]running{}
		waiting := map[string]time.Time{}
		long := map[string]bool{}
		masks := map[string]uint8{}
		for n := range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "pause")) * time.Millisecond)
			for slot, r := range granted {
				if !now.Before(r.until) {
					q.Release(now, r.member, slot, true)
					delete(granted, slot)
				}
			}
			if rapid.Bool().Draw(t, "arrives") {
				id := fmt.Sprint(n)
				k := class.Defaults().WithDeadline(time.Hour).WithLong(rapid.IntRange(0, 3).Draw(t, "long") == 0)
				mask := uint8(rapid.IntRange(1, 7).Draw(t, "mask"))
				q.Offer(now, newCall(id, now, k), mask)
				waiting[id] = now
				masks[id] = mask
				long[id] = k.Long
			}
			grantSlots(t, q, now, slots, granted, waiting, long, masks)
		}
		for len(waiting) > 0 {
			before := now
			now = now.Add(20 * time.Millisecond)
			for slot, r := range granted {
				if !now.Before(r.until) {
					q.Release(now, r.member, slot, true)
					delete(granted, slot)
				}
			}
			grantSlots(t, q, now, slots, granted, waiting, long, masks)
			if now.Sub(startTime) > 10*time.Minute {
				t.Fatalf("%d requests have been waiting for too long at %s", len(waiting), before)
			}
		}
	})
}

// grantSlots picks calls until no more can run, records them in granted, and checks
// the invariants.
func grantSlots(t *rapid.T, q *queue.Queue, now time.Time, slots int, granted map[uint64]running, waiting map[string]time.Time, long map[string]bool, masks map[string]uint8) {
	for {
		c, member, slot, ok := q.Pick(now, []int{1, 2, 0})
		if !ok {
			break
		}
		if _, twice := granted[slot]; twice {
			t.Fatalf("slot %d was granted while a request runs in it", slot)
		}
		if _, waits := waiting[c.ID]; !waits {
			t.Fatalf("request %s was granted twice", c.ID)
		}
		delete(waiting, c.ID)
		runTime := 5 * time.Millisecond
		if long[c.ID] {
			runTime = 200 * time.Millisecond
		}
		granted[slot] = running{member, slot, long[c.ID], now.Add(runTime)}
	}
	checkLongLimit(t, slots, granted)
	checkWorkConserving(t, q, slots, granted, waiting, long, masks)
}

// checkLongLimit fails if more slots of a member run long requests than allowed.
func checkLongLimit(t *rapid.T, slots int, granted map[uint64]running) {
	counts := map[int]int{}
	for _, r := range granted {
		if r.long {
			counts[r.member]++
		}
	}
	for member, n := range counts {
		if n > max(slots-1, 1) {
			t.Fatalf("%d long requests at member %d of %d slots", n, member, slots)
		}
	}
}

// checkWorkConserving fails if a short request waits while a member that may serve
// it has a free slot.
func checkWorkConserving(t *rapid.T, q *queue.Queue, slots int, granted map[uint64]running, waiting map[string]time.Time, long map[string]bool, masks map[string]uint8) {
	var used [3]int
	for _, r := range granted {
		used[r.member]++
	}
	for id := range waiting {
		for member, n := range used {
			if !long[id] && masks[id]&(1<<member) != 0 && n < slots {
				t.Fatalf("request %s waits while member %d uses %d of %d slots", id, member, n, slots)
			}
		}
	}
	if q.Waiting() != len(waiting) {
		t.Fatalf("%d requests wait, but Waiting returned %d", len(waiting), q.Waiting())
	}
}

func TestServicesShareSlotsByWeight(t *testing.T) {
	is := is.New(t)
	q := newQueue(1, queue.WithoutAdmission())
	now := startTime
	for i := range 400 {
		for service, weight := range map[string]int{"a": 3, "b": 1} {
			k := class.Defaults().WithName(service, "c").WithWeight(weight).WithDeadline(time.Hour)
			q.Offer(now, newCall(fmt.Sprint(service, i), now, k), 1)
		}
	}
	counts := map[string]int{}
	for range 200 {
		c, member, slot, ok := q.Pick(now, []int{0})
		is.True(ok)
		counts[c.Class.Service]++
		now = now.Add(time.Millisecond)
		q.Release(now, member, slot, true)
	}
	is.True(counts["a"] >= 140 && counts["a"] <= 160)
}

func TestRefusesCallsThatWouldMissTheirDeadline(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	now := startTime
	k := class.Defaults().WithDeadline(50 * time.Millisecond)
	for range 30 {
		_, ok := q.Offer(now, newCall(fmt.Sprint("w", q.Waiting()), now, k), 1)
		is.True(ok)
		c, member, slot, ok := q.Pick(now, []int{0})
		is.True(ok)
		_ = c
		now = now.Add(10 * time.Millisecond)
		q.Release(now, member, slot, true)
	}
	accepted := 0
	for i := range 100 {
		if _, ok := q.Offer(now, newCall(fmt.Sprint("x", i), now, k), 1); ok {
			accepted++
		}
	}
	is.True(accepted >= 3 && accepted <= 6)
}

// BenchmarkDecision measures the time to queue one request and pick another.
func BenchmarkDecision(b *testing.B) {
	for _, slots := range []int{2, 5, 50} {
		for _, waiting := range []int{10, 1000, 100_000} {
			b.Run(fmt.Sprintf("slots=%d/waiting=%d", slots, waiting), func(b *testing.B) {
				q := newQueue(slots, queue.WithoutAdmission(), queue.WithCapacity(1<<30))
				now := startTime
				k := class.Defaults().WithDeadline(time.Hour)
				for i := range waiting {
					q.Offer(now, newCall(fmt.Sprint("w", i), now, k), uint8(1+i%7))
				}
				ids := make([]string, b.N)
				for i := range ids {
					ids[i] = fmt.Sprint("n", i)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(time.Microsecond)
					q.Offer(now, newCall(ids[i], now, k), uint8(1+i%7))
					_, member, slot, ok := q.Pick(now, []int{1, 2, 0})
					if ok {
						q.Release(now, member, slot, true)
					}
				}
			})
		}
	}
}

// TestFirstShortRequestDoesNotBlockLongWork checks the first computation of the
// budget of long work. It has no previous computation, and the time since the zero
// time must not be deducted from the budget.
func TestFirstShortRequestDoesNotBlockLongWork(t *testing.T) {
	for _, slots := range []int{2, 5, 50} {
		is := is.New(t)
		q := newQueue(slots)
		k := class.Defaults().WithDeadline(time.Minute)
		q.Offer(startTime, newCall("short", startTime, k), 1)
		q.Offer(startTime, newCall("long", startTime, k.WithName("s", "l").WithLong(true)), 1)
		picked := map[string]bool{}
		for range 2 {
			c, _, _, ok := q.Pick(startTime, []int{0})
			is.True(ok)
			picked[c.ID] = true
		}
		is.True(picked["short"] && picked["long"])
	}
}
