package queue

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/call"
)

// Pick removes the next call from the queue and grants it a slot. It tries the
// members in the given order of preference and reports false if no waiting call
// may run in a free slot.
func (q *Queue) Pick(now time.Time, order []int) (c call.Call, member int, slot uint64, ok bool) {
	for _, i := range order {
		m := q.members[i]
		if !m.usable || len(m.free) == 0 {
			continue
		}
		if t := q.chooseItem(now, i); t != nil {
			return t.call, i, q.grant(now, i, t), true
		}
	}
	return call.Call{}, 0, 0, false
}

// chooseItem returns the item that member i serves next, or nil. Items that would
// miss their deadline are removed and kept for TakeLate.
func (q *Queue) chooseItem(now time.Time, i int) *item {
	for {
		t := q.policy(q, now, i)
		if t == nil || !q.admissionControl || !q.tooLate(now, t) {
			return t
		}
		q.removeItem(t)
		q.late = append(q.late, t.call)
	}
}

// tooLate reports whether a call has waited so long that it would miss its
// deadline, by its expected service time and the confirmation margin. A call whose
// deadline at arrival was less than twice that time away is tried nevertheless,
// since the expected service time may be wrong.
func (q *Queue) tooLate(now time.Time, t *item) bool {
	need := t.expected + q.confirmMargin
	if t.call.Deadline.Sub(t.call.Arrived) < 2*need {
		return false
	}
	return now.Add(need).After(t.call.Deadline)
}

// shortFirst is the policy that serves short calls before long ones, except for
// a long call that has waited for the aging time. Short calls among each other, and
// long calls among each other, are ordered by preferred.
func (q *Queue) shortFirst(now time.Time, i int) *item {
	longAllowed := q.mayStartLong(now, q.members[i])
	var short, long *item
	for _, mask := range q.laneMasks {
		if mask&(1<<i) == 0 {
			continue
		}
		l := q.lanes[mask]
		for _, b := range l.backlogs {
			short = q.preferred(short, head(b.short))
			long = q.preferred(long, head(b.long))
		}
	}
	if !longAllowed {
		return short
	}
	if long != nil && (short == nil || now.Sub(long.call.Arrived) >= q.agingTime) {
		return long
	}
	return short
}

// arrivalOrder is the policy that serves calls in the order in which they were
// queued, and limits no long work.
func (q *Queue) arrivalOrder(_ time.Time, i int) *item {
	var best *item
	for _, t := range q.items {
		if t.mask&(1<<i) != 0 && (best == nil || t.sequence < best.sequence) {
			best = t
		}
	}
	return best
}

// head returns the first item of a heap, or nil.
func head(h laneHeap) *item {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

// preferred returns the item to serve first: the item of the service with the lower
// pass, or the item with the earlier deadline if the service or the pass is the
// same. a, b or both may be nil.
func (q *Queue) preferred(a, b *item) *item {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	pa := q.services.Pass(q.serviceOf(a))
	pb := q.services.Pass(q.serviceOf(b))
	if pa != pb && a.call.Class.Service != b.call.Class.Service {
		if pa < pb {
			return a
		}
		return b
	}
	if earlier(b, a) {
		return b
	}
	return a
}

// predictItemWait returns how long an item is expected to wait, which is the lower
// of two estimates. The first divides the expected time of all work ahead of the
// item by the number of slots that may serve the item. The second divides the
// expected time of the waiting work of the item's service by that service's share
// of those slots. The result is zero if a slot is free and no work is ahead, and
// also if no slot may serve the item.
func (q *Queue) predictItemWait(t *item) time.Duration {
	slots, free, residual := q.slotsFor(t)
	ahead := q.workAhead(t)
	if free > 0 && ahead == 0 {
		return 0
	}
	if slots == 0 {
		return 0
	}
	allServices := (ahead + residual) / time.Duration(slots)
	work, weight, weights, ok := q.services.Work(t.call.Class.Service)
	if !ok {
		return allServices
	}
	ownShare := (work + residual) * time.Duration(weights) / time.Duration(slots*weight)
	return min(allServices, ownShare)
}

// slotsFor returns the number of slots that an item may use, the number of free
// slots among them, and the expected remaining time of the short work that runs in
// them, estimated as half of its expected service time. For a short item, slots in
// which long work runs are not included.
func (q *Queue) slotsFor(t *item) (slots, free int, residual time.Duration) {
	for i, m := range q.members {
		if t.mask&(1<<i) == 0 || !m.usable {
			continue
		}
		free += len(m.free)
		slots += len(m.slots)
		if !t.long {
			slots -= m.runningLong
		}
		residual += m.shortCharged / 2
	}
	return slots, free, residual
}

// workAhead returns the expected time of the waiting work that is served before
// an item: all short work and, for a long item, all long work that may run in the
// item's slots. The work of a lane counts by the fraction of the lane's slots that
// the item may use too.
func (q *Queue) workAhead(t *item) time.Duration {
	var sum time.Duration
	for _, mask := range q.laneMasks {
		if mask&t.mask == 0 {
			continue
		}
		l := q.lanes[mask]
		share := q.overlap(mask, t.mask)
		sum += time.Duration(float64(l.shortWork) * share)
		if t.long {
			sum += time.Duration(float64(l.longWork) * share)
		}
	}
	return sum
}

// overlap compares two sets of members, lane and mask. It returns the fraction of
// the slots of lane's usable members that belong to members in mask, or 1 if lane
// has no such slots.
func (q *Queue) overlap(lane, mask uint8) float64 {
	var all, common int
	for i, m := range q.members {
		if lane&(1<<i) == 0 || !m.usable {
			continue
		}
		all += len(m.slots)
		if mask&(1<<i) != 0 {
			common += len(m.slots)
		}
	}
	if all == 0 {
		return 1
	}
	return float64(common) / float64(all)
}
