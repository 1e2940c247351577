// Package queue schedules the waiting requests of a database group onto the slots
// of its members: admission control, sharing by weight, and short work first.
package queue

import (
	"container/heap"
	"time"

	"github.com/pistachiotray/pistachiotray/process/stride"
	"github.com/pistachiotray/pistachiotray/process/timing"
	"github.com/pistachiotray/pistachiotray/request/call"
)

const (
	// defaultLongAfter is the service time above which a request is long.
	defaultLongAfter = 100 * time.Millisecond
	// defaultAging is the maximum time for which a long request waits behind
	// short requests.
	defaultAging = time.Second
	// defaultLongDutyCycle is the fraction of the time for which long work may hold
	// the slots that its limit allows, while short work arrives.
	defaultLongDutyCycle = 0.4
	// shortActiveTime is the time after a short request for which short work
	// counts as arriving.
	shortActiveTime = time.Second
	// defaultCapacity is the maximum number of waiting requests.
	defaultCapacity = 100_000
)

// Queue holds the waiting requests of a database group at the group's owner; the
// group has no other queue. Requests wait in lanes, one for each set of members
// that may serve them. Services share the slots by weight (stride scheduling);
// within a service, short work goes first, by earliest deadline. Long work is
// limited by a number of slots and a duty cycle, so that short work is not blocked
// behind it. A Queue has no lock and no clock: its callers must hold a lock and
// pass the time.
type Queue struct {
	times   *timing.ServiceTimes
	members []*member
	// lanes are the lanes by mask, and laneMasks the masks of the lanes that have
	// been used.
	lanes     [maskCount]*lane
	laneMasks []uint8
	// items are the waiting calls, by call id.
	items      map[string]*item
	byDeadline deadlineHeap
	// services are the shares of the services that have queued calls so far, by name.
	services *stride.Shares
	sequence uint64
	// agingTime is the maximum time for which a long item waits behind short
	// items.
	agingTime time.Duration
	// capacity is the maximum number of items.
	capacity int
	// longSlotLimit is the maximum number of a member's slots that long work may
	// hold. With 0, and also with a higher limit, long work may hold all but one.
	longSlotLimit int
	longDutyCycle float64
	// lastShortArrival is when a short call was last offered.
	lastShortArrival time.Time
	// confirmMargin is the time reserved between the end of a call's run and its
	// deadline; see SetMargin.
	confirmMargin time.Duration
	// late are the calls that chooseItem has dropped since the last TakeLate.
	late []call.Call
	// policy returns the item that member i serves next, or nil.
	policy func(q *Queue, now time.Time, i int) *item
	// admissionControl is set if calls that would miss their deadline are refused
	// or dropped.
	admissionControl bool
}

// New returns a queue for the named members, at most eight. A member gets no work
// before SetMember and AddSlot.
func New(members []string, options ...func(*Queue)) *Queue {
	q := &Queue{
		times:            timing.New(defaultLongAfter),
		items:            map[string]*item{},
		services:         stride.New(),
		agingTime:        defaultAging,
		capacity:         defaultCapacity,
		longDutyCycle:    defaultLongDutyCycle,
		policy:           (*Queue).shortFirst,
		admissionControl: true,
	}
	for _, m := range members {
		q.members = append(q.members, newMember(m))
	}
	for _, o := range options {
		o(q)
	}
	return q
}

// WithLongAfter returns an option that sets the service time above which a
// request is long.
func WithLongAfter(d time.Duration) func(*Queue) {
	return func(q *Queue) { q.times = timing.New(d) }
}

// WithAging returns an option that sets the maximum time for which a long request
// waits behind short requests, provided that the limits of long work allow it to
// run.
func WithAging(d time.Duration) func(*Queue) {
	return func(q *Queue) { q.agingTime = d }
}

// WithCapacity returns an option that sets the maximum number of waiting requests.
func WithCapacity(n int) func(*Queue) {
	return func(q *Queue) { q.capacity = n }
}

// WithLongLimit returns an option that sets the maximum number of a member's slots
// that long work may hold. With 0, and also with a higher limit, long work may hold
// all slots but one.
func WithLongLimit(n int) func(*Queue) {
	return func(q *Queue) { q.longSlotLimit = n }
}

// WithLongDutyCycle returns an option that sets the fraction of the time, from 0
// to 1, for which long work may use its slots while short work arrives.
func WithLongDutyCycle(share float64) func(*Queue) {
	return func(q *Queue) { q.longDutyCycle = share }
}

// WithArrivalOrder returns an option that serves requests in order of arrival and
// does not limit long work. It is the baseline for comparisons with the default
// policy.
func WithArrivalOrder() func(*Queue) {
	return func(q *Queue) { q.policy = (*Queue).arrivalOrder }
}

// WithoutAdmission returns an option that turns off the refusal of requests that
// would miss their deadline, both on arrival and later. It is the baseline for
// comparisons with admission control.
func WithoutAdmission() func(*Queue) {
	return func(q *Queue) { q.admissionControl = false }
}

// Offer queues a call for the members in mask: bit i stands for member i. It
// returns the predicted wait, and false if the call is refused because it would
// miss its deadline or because the queue is full. A call with a predicted wait of
// zero is not refused for its deadline.
func (q *Queue) Offer(now time.Time, c call.Call, mask uint8) (time.Duration, bool) {
	t := q.newItem(c, mask)
	if !t.long {
		q.lastShortArrival = now
	}
	wait := q.predictItemWait(t)
	if len(q.items) >= q.capacity {
		return wait, false
	}
	if q.admissionControl && wait > 0 && wait+t.expected+q.confirmMargin > c.Deadline.Sub(now) {
		return wait, false
	}
	q.insert(t)
	return wait, true
}

// SetMargin sets how long before its deadline a call must have finished in its
// slot, so that its answer can be confirmed in time.
func (q *Queue) SetMargin(d time.Duration) {
	q.confirmMargin = d
}

// TakeLate returns the calls that Pick has dropped since the last TakeLate because
// they would have missed their deadline.
func (q *Queue) TakeLate() []call.Call {
	late := q.late
	q.late = nil
	return late
}

// PredictWait returns how long a call is expected to wait if it is queued for the
// members in mask. It does not queue the call.
func (q *Queue) PredictWait(c call.Call, mask uint8) time.Duration {
	label := c.Label()
	return q.predictItemWait(&item{
		call: c, mask: mask, label: label, expected: q.times.Expected(label), long: c.Class.Long || q.times.Long(label),
	})
}

// Requeue queues a call that was accepted before, such as one that was granted a
// slot and did not run. It is never refused.
func (q *Queue) Requeue(c call.Call, mask uint8) {
	q.insert(q.newItem(c, mask))
}

// newItem returns an item for a call, which it does not queue.
func (q *Queue) newItem(c call.Call, mask uint8) *item {
	q.sequence++
	label := c.Label()
	return &item{
		call:     c,
		mask:     mask,
		label:    label,
		expected: q.times.Expected(label),
		long:     c.Class.Long || q.times.Long(label),
		sequence: q.sequence,
	}
}

// insert queues an item.
func (q *Queue) insert(t *item) {
	q.services.Enter(q.serviceOf(t), t.expected)
	q.items[t.call.ID] = t
	heap.Push(&q.byDeadline, t)
	q.laneOf(t.mask).push(t)
}

// Remove removes and returns a waiting call, for example because it was canceled.
// It reports false if the call does not wait.
func (q *Queue) Remove(id string) (call.Call, bool) {
	t, ok := q.items[id]
	if !ok {
		return call.Call{}, false
	}
	q.removeItem(t)
	return t.call, true
}

// removeItem removes an item from the queue.
func (q *Queue) removeItem(t *item) {
	q.services.Leave(q.serviceOf(t), t.expected)
	delete(q.items, t.call.ID)
	heap.Remove(&q.byDeadline, t.deadlineIndex)
	q.lanes[t.mask].remove(t)
}

// Expire removes the calls that have reached their deadline and returns them in the
// order of their deadlines.
func (q *Queue) Expire(now time.Time) []call.Call {
	var expired []call.Call
	for len(q.byDeadline) > 0 && !now.Before(q.byDeadline[0].call.Deadline) {
		t := q.byDeadline[0]
		q.removeItem(t)
		expired = append(expired, t.call)
	}
	return expired
}

// UpdateMasks recomputes the permitted members of every waiting call. It takes time
// proportional to the number of waiting calls and is meant for changes of the
// group's members only.
func (q *Queue) UpdateMasks(permitted func(call.Call) uint8) {
	for _, t := range q.items {
		mask := permitted(t.call)
		if mask == t.mask {
			continue
		}
		q.lanes[t.mask].remove(t)
		t.mask = mask
		q.laneOf(mask).push(t)
	}
}

// SetMask changes the permitted members of one waiting call.
func (q *Queue) SetMask(id string, mask uint8) {
	t, ok := q.items[id]
	if !ok || t.mask == mask {
		return
	}
	q.lanes[t.mask].remove(t)
	t.mask = mask
	q.laneOf(mask).push(t)
}

// Waiting returns the number of waiting calls.
func (q *Queue) Waiting() int {
	return len(q.items)
}

// Drain removes every waiting call and returns them in the order of their deadlines.
func (q *Queue) Drain() []call.Call {
	calls := make([]call.Call, 0, len(q.items))
	for len(q.byDeadline) > 0 {
		t := q.byDeadline[0]
		q.removeItem(t)
		calls = append(calls, t.call)
	}
	return calls
}

// laneOf returns the lane for a set of permitted members, which it adds if needed.
func (q *Queue) laneOf(mask uint8) *lane {
	if q.lanes[mask] == nil {
		q.lanes[mask] = &lane{}
		q.laneMasks = append(q.laneMasks, mask)
	}
	return q.lanes[mask]
}

// serviceOf returns the name of an item's service. It sets the weight of the service to the
// weight in the item's class, at least 1.
func (q *Queue) serviceOf(t *item) string {
	name := t.call.Class.Service
	q.services.Weigh(name, t.call.Class.Weight)
	return name
}
