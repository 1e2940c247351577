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

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCall(id string, now time.Time, k class.Class) call.Call {
	return call.New(id, "s", "g", k).WithTimes(now, now.Add(k.Deadline))
}

// filled returns a queue of three members with slots each, all usable.
func filled(slots int, options ...func(*queue.Queue)) *queue.Queue {
	q := queue.New([]string{"m0", "m1", "m2"}, options...)
	for i := range 3 {
		q.SetMember(i, true, slots)
		for n := range slots {
			q.AddSlot(i, uint64(i*1000+n))
		}
	}
	return q
}

type running struct {
	member int
	slot   uint64
	long   bool
	until  time.Time
}

// TestQueueKeepsItsPromises plays random arrivals and ends of requests.
func TestQueueKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SampledFrom([]int{1, 2, 5}).Draw(t, "slots")
		q := filled(slots, queue.WithoutAdmission(), queue.WithLongAfter(50*time.Millisecond))
		now := began
		held := map[uint64]running{}
		waiting := map[string]time.Time{}
		long := map[string]bool{}
		masks := map[string]uint8{}
		for n := range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "pause")) * time.Millisecond)
			for slot, r := range held {
				if !now.Before(r.until) {
					q.Release(now, r.member, slot, true)
					delete(held, slot)
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
			grant(t, q, now, slots, held, waiting, long, masks)
		}
		for len(waiting) > 0 {
			before := now
			now = now.Add(20 * time.Millisecond)
			for slot, r := range held {
				if !now.Before(r.until) {
					q.Release(now, r.member, slot, true)
					delete(held, slot)
				}
			}
			grant(t, q, now, slots, held, waiting, long, masks)
			if now.Sub(began) > 10*time.Minute {
				t.Fatalf("%d requests starve since %s", len(waiting), before)
			}
		}
	})
}

func grant(t *rapid.T, q *queue.Queue, now time.Time, slots int, held map[uint64]running, waiting map[string]time.Time, long map[string]bool, masks map[string]uint8) {
	for {
		c, member, slot, ok := q.Pick(now, []int{1, 2, 0})
		if !ok {
			break
		}
		if _, twice := held[slot]; twice {
			t.Fatalf("slot %d is held by two", slot)
		}
		if _, waits := waiting[c.ID]; !waits {
			t.Fatalf("request %s was granted twice", c.ID)
		}
		delete(waiting, c.ID)
		takes := 5 * time.Millisecond
		if long[c.ID] {
			takes = 200 * time.Millisecond
		}
		held[slot] = running{member, slot, long[c.ID], now.Add(takes)}
	}
	checkCaps(t, slots, held)
	checkConserving(t, q, slots, held, waiting, long, masks)
}

// checkCaps holds long work against its cap at each member.
func checkCaps(t *rapid.T, slots int, held map[uint64]running) {
	counts := map[int]int{}
	for _, r := range held {
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

// checkConserving expects that no short request waits while a member that may
// serve it has a free slot.
func checkConserving(t *rapid.T, q *queue.Queue, slots int, held map[uint64]running, waiting map[string]time.Time, long map[string]bool, masks map[string]uint8) {
	var used [3]int
	for _, r := range held {
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
		t.Fatalf("%d wait, the queue says %d", len(waiting), q.Waiting())
	}
}

func TestWeightsShareTheSlots(t *testing.T) {
	is := is.New(t)
	q := filled(1, queue.WithoutAdmission())
	now := began
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

func TestRefusalOnArrival(t *testing.T) {
	is := is.New(t)
	q := filled(1)
	now := began
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

// BenchmarkDecision gives the time to queue one request and choose another.
func BenchmarkDecision(b *testing.B) {
	for _, slots := range []int{2, 5, 50} {
		for _, waiting := range []int{10, 1000, 100_000} {
			b.Run(fmt.Sprintf("slots=%d/waiting=%d", slots, waiting), func(b *testing.B) {
				q := filled(slots, queue.WithoutAdmission(), queue.WithCapacity(1<<30))
				now := began
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

// TestLongWorkIsNotShutOutByTheFirstShortWork holds the budget of long work at
// its first reckoning, for which no earlier one exists.
func TestLongWorkIsNotShutOutByTheFirstShortWork(t *testing.T) {
	for _, slots := range []int{2, 5, 50} {
		is := is.New(t)
		q := filled(slots)
		k := class.Defaults().WithDeadline(time.Minute)
		q.Offer(began, newCall("short", began, k), 1)
		q.Offer(began, newCall("long", began, k.WithName("s", "l").WithLong(true)), 1)
		picked := map[string]bool{}
		for range 2 {
			c, _, _, ok := q.Pick(began, []int{0})
			is.True(ok)
			picked[c.ID] = true
		}
		is.True(picked["short"] && picked["long"])
	}
}
