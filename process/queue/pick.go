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
		if t == nil || !q.admit || !q.tooLate(now, t) {
			return t
		}
		q.take(t)
		q.late = append(q.late, t.call)
	}
}

// tooLate reports whether a call has waited so long that it would miss its
// deadline. A call whose time to the deadline was less than twice the expected
// time from the beginning is tried all the same: the expectation may be wrong.
func (q *Queue) tooLate(now time.Time, t *item) bool {
	need := t.expected + q.confirmMargin
	if t.call.Deadline.Sub(t.call.Arrived) < 2*need {
		return false
	}
	return now.Add(need).After(t.call.Deadline)
}

// shortFirst is the policy that serves short calls before long ones, except for
// a long call that has waited for the aging time. The service that has used the
// least slot time for its weight comes first.
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

// arrivalOrder is the policy that serves calls in order of arrival.
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

// preferred returns the item to serve first: that of the service with the lower
// pass, and within a service that with the earlier deadline. Either may be nil.
func (q *Queue) preferred(a, b *item) *item {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	pa := q.shareOf(a).pass
	pb := q.shareOf(b).pass
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

// predictWait returns how long an item will wait. It is the expected time of the
// work ahead of it divided by the slots that may serve it, but no more than its
// service needs for its own backlog with its share of those slots. The wait is
// zero if a slot is free and no work is ahead, and also if no slot may serve the
// item.
func (q *Queue) predictWait(t *item) time.Duration {
	slots, free, residual := q.slotsFor(t)
	ahead := q.workAhead(t)
	if free > 0 && ahead == 0 {
		return 0
	}
	if slots == 0 {
		return 0
	}
	allServices := (ahead + residual) / time.Duration(slots)
	service, ok := q.services[t.call.Class.Service]
	if !ok {
		return allServices
	}
	weights := q.activeWeights(service)
	ownShare := (service.expectedWork + residual) * time.Duration(weights) / time.Duration(slots*service.weight)
	return min(allServices, ownShare)
}

// slotsFor returns the number of slots that an item may use, the number of free
// ones, and the expected remaining time of the short work that runs in them, which
// is taken as half of its expected time. For a short item, the slots in which long
// work runs do not count.
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
// an item. Work that may also run in slots which the item can't use counts in
// part.
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

// overlap returns the fraction of the slots permitted by lane that mask permits
// too. It is 1 if lane permits no usable slot.
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

// activeWeights returns the sum of the weights of own and of all other services
// that have waiting calls.
func (q *Queue) activeWeights(own *serviceShare) int {
	sum := own.weight
	for _, s := range q.services {
		if s != own && s.waiting > 0 {
			sum += s.weight
		}
	}
	return sum
}
