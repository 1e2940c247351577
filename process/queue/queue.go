// Package queue decides which waiting request gets which slot of a group.
package queue

import (
	"container/heap"
	"time"

	"github.com/pistachiotray/pistachiotray/process/timing"
	"github.com/pistachiotray/pistachiotray/request/call"
)

const (
	// defaultLongAfter is the service time from which a request is long.
	defaultLongAfter = 100 * time.Millisecond
	// defaultAging is how long long work waits at most behind short work.
	defaultAging = time.Second
	// defaultLongDutyCycle is the share of the time in which long work may hold the
	// slots that its cap grants, while short work comes in.
	defaultLongDutyCycle = 0.4
	// shortActiveTime is how long after the last short request short work counts
	// as coming in.
	shortActiveTime = time.Second
	// defaultCapacity bounds the number of waiting requests.
	defaultCapacity = 100_000
)

// Queue is the one queue of a database group, at the group's owner. Requests
// wait in lanes by the set of members that may serve them. Work is shared
// among services by weight; within a service short work goes first, the
// earliest deadline first. It has no lock and no clock of its own.
type Queue struct {
	times            *timing.ServiceTimes
	members          []*member
	lanes            [maskCount]*lane
	laneMasks        []uint8
	items            map[string]*item
	byDeadline       deadlineHeap
	services         map[string]*serviceShare
	pass             float64
	sequence         uint64
	agingTime        time.Duration
	capacity         int
	longSlotLimit    int
	longDutyCycle    float64
	lastShortArrival time.Time
	confirmMargin    time.Duration
	late             []call.Call
	policy           func(q *Queue, now time.Time, i int) *item
	admit            bool
}

// New returns a queue for the named members, at most eight.
func New(members []string, options ...func(*Queue)) *Queue {
	q := &Queue{
		times:         timing.New(defaultLongAfter),
		items:         map[string]*item{},
		services:      map[string]*serviceShare{},
		agingTime:     defaultAging,
		capacity:      defaultCapacity,
		longDutyCycle: defaultLongDutyCycle,
		policy:        (*Queue).shortFirst,
		admit:         true,
	}
	for _, m := range members {
		q.members = append(q.members, newMember(m))
	}
	for _, o := range options {
		o(q)
	}
	return q
}

// WithLongAfter returns an option that sets the service time from which a
// request is long.
func WithLongAfter(d time.Duration) func(*Queue) {
	return func(q *Queue) { q.times = timing.New(d) }
}

// WithAging returns an option that sets how long long work waits at most
// behind short work where its cap allows it to run.
func WithAging(d time.Duration) func(*Queue) {
	return func(q *Queue) { q.agingTime = d }
}

// WithCapacity returns an option that bounds the number of waiting requests.
func WithCapacity(n int) func(*Queue) {
	return func(q *Queue) { q.capacity = n }
}

// WithLongLimit returns an option that lowers the number of slots of a member
// that long work may hold; 0 stands for all but one.
func WithLongLimit(n int) func(*Queue) {
	return func(q *Queue) { q.longSlotLimit = n }
}

// WithLongDutyCycle returns an option that sets the share of the time in which
// long work may hold the slots that its cap grants, from 0 to 1, while short
// work comes in.
func WithLongDutyCycle(share float64) func(*Queue) {
	return func(q *Queue) { q.longDutyCycle = share }
}

// WithArrivalOrder returns an option that serves in order of arrival and caps
// nothing. It exists to be compared with.
func WithArrivalOrder() func(*Queue) {
	return func(q *Queue) { q.policy = (*Queue).arrivalOrder }
}

// WithoutAdmission returns an option that refuses nothing on arrival. It
// exists to be compared with.
func WithoutAdmission() func(*Queue) {
	return func(q *Queue) { q.admit = false }
}

// Offer queues a call for the members in mask: bit i stands for member i. It
// returns the predicted wait, and false where the call is refused because it
// would miss its deadline or the queue is full; it then does not wait.
func (q *Queue) Offer(now time.Time, c call.Call, mask uint8) (time.Duration, bool) {
	t := q.newItem(c, mask)
	if !t.long {
		q.lastShortArrival = now
	}
	wait := q.predictWait(t)
	if len(q.items) >= q.capacity {
		return wait, false
	}
	if q.admit && wait > 0 && wait+t.expected+q.confirmMargin > c.Deadline.Sub(now) {
		return wait, false
	}
	q.insert(t)
	return wait, true
}

// SetMargin sets how long before its deadline a call must leave its slot, so
// that its answer can be confirmed in time.
func (q *Queue) SetMargin(d time.Duration) {
	q.confirmMargin = d
}

// TakeLate removes and returns the calls that were passed over since they could
// not have ended in time.
func (q *Queue) TakeLate() []call.Call {
	doomed := q.late
	q.late = nil
	return doomed
}

// PredictWait returns how long a call would wait for the members in mask.
func (q *Queue) PredictWait(c call.Call, mask uint8) time.Duration {
	label := c.Label()
	return q.predictWait(&item{
		call: c, mask: mask, label: label, expected: q.times.Expected(label), long: c.Class.Long || q.times.Long(label),
	})
}

// Requeue queues a call again that was granted and not run. It is not refused.
func (q *Queue) Requeue(c call.Call, mask uint8) {
	q.insert(q.newItem(c, mask))
}

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

func (q *Queue) insert(t *item) {
	s := q.shareOf(t)
	if s.waiting == 0 {
		s.pass = max(s.pass, q.pass)
	}
	s.waiting++
	s.expectedWork += t.expected
	q.items[t.call.ID] = t
	heap.Push(&q.byDeadline, t)
	q.laneOf(t.mask).push(t)
}

// Remove takes a waiting call out, for example because it was canceled. It
// reports false where the call does not wait.
func (q *Queue) Remove(id string) (call.Call, bool) {
	t, ok := q.items[id]
	if !ok {
		return call.Call{}, false
	}
	q.take(t)
	return t.call, true
}

func (q *Queue) take(t *item) {
	s := q.shareOf(t)
	s.waiting--
	s.expectedWork -= t.expected
	delete(q.items, t.call.ID)
	heap.Remove(&q.byDeadline, t.deadlineIndex)
	q.lanes[t.mask].remove(t)
}

// Expire removes and returns the calls whose deadline has come.
func (q *Queue) Expire(now time.Time) []call.Call {
	var expired []call.Call
	for len(q.byDeadline) > 0 && !now.Before(q.byDeadline[0].call.Deadline) {
		t := q.byDeadline[0]
		q.take(t)
		expired = append(expired, t.call)
	}
	return expired
}

// Remask recomputes the permitted members of each waiting call. It costs time
// in proportion to what waits and belongs to changes of the group only.
func (q *Queue) Remask(permitted func(call.Call) uint8) {
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

// SetMask gives one waiting call another set of permitted members.
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

// Drain removes and returns every waiting call.
func (q *Queue) Drain() []call.Call {
	calls := make([]call.Call, 0, len(q.items))
	for len(q.byDeadline) > 0 {
		t := q.byDeadline[0]
		q.take(t)
		calls = append(calls, t.call)
	}
	return calls
}

func (q *Queue) laneOf(mask uint8) *lane {
	if q.lanes[mask] == nil {
		q.lanes[mask] = &lane{}
		q.laneMasks = append(q.laneMasks, mask)
	}
	return q.lanes[mask]
}

func (q *Queue) shareOf(t *item) *serviceShare {
	name := t.call.Class.Service
	s, ok := q.services[name]
	if !ok {
		s = &serviceShare{weight: max(t.call.Class.Weight, 1)}
		q.services[name] = s
	}
	s.weight = max(t.call.Class.Weight, 1)
	return s
}
