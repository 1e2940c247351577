package queue

import (
	"slices"
	"time"
)

// slot is the state of one connection to a member. All fields but busy describe
// the call that runs in the slot.
type slot struct {
	busy    bool
	long    bool
	label   string
	service string
	callID  string
	started time.Time
	// charged is the expected service time that was charged to the service's pass
	// when the call started.
	charged time.Duration
}

// member is the queue's state of one member.
type member struct {
	name string
	// usable is set if the member takes new work.
	usable    bool
	slotLimit int
	// slots are all slots, by id, and free the ids of the slots that are not busy.
	slots map[uint64]*slot
	free  []uint64
	// runningLong counts the slots in which long work runs.
	runningLong int
	// shortCharged is the sum of the expected service times of the short calls
	// that run.
	shortCharged time.Duration
	// longBudget is negative while long work has used more slot time than its
	// duty cycle allows, and 0 otherwise. It was last computed at budgetTime.
	longBudget time.Duration
	budgetTime time.Time
}

func newMember(name string) *member {
	return &member{name: name, slots: map[uint64]*slot{}}
}

// SetMember sets whether member i takes new work and its slot limit. The limit only
// determines how many slots long work may hold; AddSlot adds slots regardless.
func (q *Queue) SetMember(i int, usable bool, limit int) {
	q.members[i].usable = usable
	q.members[i].slotLimit = limit
}

// AddSlot adds an open, free slot to member i.
func (q *Queue) AddSlot(i int, id uint64) {
	m := q.members[i]
	m.slots[id] = &slot{}
	m.free = append(m.free, id)
}

// RemoveSlot removes a slot that was closed, even if a call ran in it.
func (q *Queue) RemoveSlot(now time.Time, i int, id uint64) {
	m := q.members[i]
	sl, ok := m.slots[id]
	if !ok {
		return
	}
	if sl.busy {
		q.subtractRun(now, m, sl)
	}
	delete(m.slots, id)
	m.free = slices.DeleteFunc(m.free, func(f uint64) bool { return f == id })
}

// Slots returns the ids of member i's slots, in no particular order.
func (q *Queue) Slots(i int) []uint64 {
	ids := make([]uint64, 0, len(q.members[i].slots))
	for id := range q.members[i].slots {
		ids = append(ids, id)
	}
	return ids
}

// SlotCounts returns how many slots member i has, and how many of them are free.
func (q *Queue) SlotCounts(i int) (open, free int) {
	return len(q.members[i].slots), len(q.members[i].free)
}

// Release frees a slot whose call has ended. If the call was answered, its service
// time is recorded under its label.
func (q *Queue) Release(now time.Time, i int, id uint64, answered bool) {
	m := q.members[i]
	sl, ok := m.slots[id]
	if !ok || !sl.busy {
		return
	}
	q.subtractRun(now, m, sl)
	q.recordRun(now, sl, answered)
	*sl = slot{}
	m.free = append(m.free, id)
}

// subtractRun removes a call that has ended from the sums of its member.
func (q *Queue) subtractRun(now time.Time, m *member, sl *slot) {
	if sl.long {
		q.addRunningLong(now, m, -1)
		return
	}
	m.shortCharged -= sl.charged
}

// recordRun records the service time of a call that has ended, and corrects the
// pass of its service by the difference to the expected time charged at the start.
func (q *Queue) recordRun(now time.Time, sl *slot, answered bool) {
	took := now.Sub(sl.started)
	if answered {
		q.times.Add(sl.label, took)
	}
	q.services.Correct(sl.service, took, sl.charged)
}

// DetectLongRuns reclassifies each running short call as long once it has run for
// longer than the service time above which a request is long. The limits of long
// work then apply to it at once.
func (q *Queue) DetectLongRuns(now time.Time) {
	for _, m := range q.members {
		for _, sl := range m.slots {
			if sl.busy && !sl.long && now.Sub(sl.started) > q.times.LongAfter() {
				sl.long = true
				m.shortCharged -= sl.charged
				q.addRunningLong(now, m, 1)
				q.times.AddOverrun(sl.label)
				q.reclassify(sl.label)
			}
		}
	}
}

// reclassify changes the waiting calls of a label from short to long if the label is
// long by now. It takes time proportional to the number of all waiting calls.
func (q *Queue) reclassify(label string) {
	if !q.times.Long(label) {
		return
	}
	for _, t := range q.items {
		if t.label != label || t.long {
			continue
		}
		q.lanes[t.mask].remove(t)
		t.long = true
		q.laneOf(t.mask).push(t)
	}
}

// grant removes an item from the queue, assigns it a free slot of member i and
// returns the slot's id. The member must have a free slot.
func (q *Queue) grant(now time.Time, i int, t *item) uint64 {
	m := q.members[i]
	n := len(m.free) - 1
	id := m.free[n]
	m.free = m.free[:n]
	*m.slots[id] = slot{
		busy: true, long: t.long, label: t.label, service: t.call.Class.Service,
		callID: t.call.ID, started: now, charged: t.expected,
	}
	if t.long {
		q.addRunningLong(now, m, 1)
	} else {
		m.shortCharged += t.expected
	}
	q.removeItem(t)
	q.charge(t)
	return id
}

// charge increases the pass of an item's service by the expected service time
// divided by the service's weight.
func (q *Queue) charge(t *item) {
	q.services.Charge(q.serviceOf(t), t.expected)
}

// updateLongBudget updates a member's budget of long work, which is slot time. The
// budget grows at the rate of the duty cycle times the slots that long work may
// hold, shrinks at the rate of the slots in which long work runs, and never exceeds
// zero. While no short work arrives, it is reset to zero and limits nothing.
func (q *Queue) updateLongBudget(now time.Time, m *member) {
	first := m.budgetTime.IsZero()
	elapsed := now.Sub(m.budgetTime)
	m.budgetTime = now
	if first || now.Sub(q.lastShortArrival) > shortActiveTime || elapsed < 0 {
		m.longBudget = 0
		return
	}
	rate := q.longDutyCycle*float64(q.longSlots(m)) - float64(m.runningLong)
	m.longBudget = min(m.longBudget+time.Duration(rate*float64(elapsed)), 0)
}

// addRunningLong adds change to the number of slots in which long work runs at a
// member. The budget is updated first, since the old number applies to the time
// until now.
func (q *Queue) addRunningLong(now time.Time, m *member, change int) {
	q.updateLongBudget(now, m)
	m.runningLong += change
}

// mayStartLong reports whether a member may start another long call.
func (q *Queue) mayStartLong(now time.Time, m *member) bool {
	q.updateLongBudget(now, m)
	return m.runningLong < q.longSlots(m) && m.longBudget >= 0
}

// longSlots returns how many slots of a member long work may hold: all but one,
// or fewer with WithLongLimit, but at least one.
func (q *Queue) longSlots(m *member) int {
	limit := max(max(m.slotLimit, len(m.slots))-1, 1)
	if q.longSlotLimit > 0 {
		limit = min(limit, q.longSlotLimit)
	}
	return limit
}
