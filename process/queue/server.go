package queue

import (
	"slices"
	"time"
)

// slot is one connection to a member.
type slot struct {
	busy    bool
	long    bool
	label   string
	service string
	id      string
	since   time.Time
	charged time.Duration
}

// server is one member as the queue sees it.
type server struct {
	name   string
	usable bool
	limit  int
	slots  map[uint64]*slot
	free   []uint64
	long   int
	// charged sums the expected times of the short work that runs.
	charged time.Duration
	// budget is the time in slots that long work may still take, and paid the
	// time up to which it was reckoned.
	budget time.Duration
	paid   time.Time
}

func newServer(name string) *server {
	return &server{name: name, slots: map[uint64]*slot{}}
}

// SetMember says whether member i takes new work and how many slots it grants.
func (q *Queue) SetMember(i int, usable bool, limit int) {
	q.servers[i].usable = usable
	q.servers[i].limit = limit
}

// AddSlot adds an open, free slot of member i.
func (q *Queue) AddSlot(i int, id uint64) {
	s := q.servers[i]
	s.slots[id] = &slot{}
	s.free = append(s.free, id)
}

// RemoveSlot forgets a slot that was closed, whatever ran in it.
func (q *Queue) RemoveSlot(now time.Time, i int, id uint64) {
	s := q.servers[i]
	k, ok := s.slots[id]
	if !ok {
		return
	}
	if k.busy {
		q.leave(now, s, k)
	}
	delete(s.slots, id)
	s.free = slices.DeleteFunc(s.free, func(f uint64) bool { return f == id })
}

// Slots returns the ids of member i's slots, in no order.
func (q *Queue) Slots(i int) []uint64 {
	ids := make([]uint64, 0, len(q.servers[i].slots))
	for id := range q.servers[i].slots {
		ids = append(ids, id)
	}
	return ids
}

// SlotCounts returns how many slots member i has, and how many of them are free.
func (q *Queue) SlotCounts(i int) (open, free int) {
	return len(q.servers[i].slots), len(q.servers[i].free)
}

// Release frees a slot. Where the call was answered, its service time is
// learned.
func (q *Queue) Release(now time.Time, i int, id uint64, answered bool) {
	s := q.servers[i]
	k, ok := s.slots[id]
	if !ok || !k.busy {
		return
	}
	q.leave(now, s, k)
	q.settle(now, k, answered)
	*k = slot{}
	s.free = append(s.free, id)
}

// leave takes a call that ran out of its member's sums.
func (q *Queue) leave(now time.Time, s *server, k *slot) {
	if k.long {
		q.setLong(now, s, -1)
		return
	}
	s.charged -= k.charged
}

func (q *Queue) settle(now time.Time, k *slot, answered bool) {
	took := now.Sub(k.since)
	if answered {
		q.learn.Add(k.label, took)
	}
	if sh, ok := q.services[k.service]; ok {
		sh.pass += float64(took-k.charged) / float64(sh.weight)
	}
}

// DetectLongRuns counts every call that has run for too long as a long one, so that
// the cap on long work sees it at once.
func (q *Queue) DetectLongRuns(now time.Time) {
	for _, s := range q.servers {
		for _, k := range s.slots {
			if k.busy && !k.long && now.Sub(k.since) > q.learn.LongAfter() {
				k.long = true
				s.charged -= k.charged
				q.setLong(now, s, 1)
				q.learn.AddOverrun(k.label)
				q.reclass(k.label)
			}
		}
	}
}

// reclass moves the waiting calls of a label that was found to be long. It
// happens once for a label, and costs time in proportion to what waits.
func (q *Queue) reclass(label string) {
	if !q.learn.Long(label) {
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

// grant gives a free slot of member i to an item.
func (q *Queue) grant(now time.Time, i int, t *item) uint64 {
	s := q.servers[i]
	n := len(s.free) - 1
	id := s.free[n]
	s.free = s.free[:n]
	*s.slots[id] = slot{
		busy: true, long: t.long, label: t.label, service: t.call.Class.Service,
		id: t.call.ID, since: now, charged: t.expected,
	}
	if t.long {
		q.setLong(now, s, 1)
	} else {
		s.charged += t.expected
	}
	q.take(t)
	q.charge(t)
	return id
}

func (q *Queue) charge(t *item) {
	sh := q.shareOf(t)
	q.pass = max(q.pass, sh.pass)
	sh.pass += float64(t.expected) / float64(sh.weight)
}

// pay reckons the budget of long work up to now. It fills at the duty times
// the cap and empties with the long work that runs; without short work there
// is nothing to reckon.
func (q *Queue) pay(now time.Time, s *server) {
	first := s.paid.IsZero()
	passed := now.Sub(s.paid)
	s.paid = now
	if first || now.Sub(q.lastShort) > shortPresence || passed < 0 {
		s.budget = 0
		return
	}
	gain := q.longDuty*float64(q.longCap(s)) - float64(s.long)
	s.budget = min(s.budget+time.Duration(gain*float64(passed)), 0)
}

// setLong changes how much long work runs at a member.
func (q *Queue) setLong(now time.Time, s *server, change int) {
	q.pay(now, s)
	s.long += change
}

// longRoom tells whether a member may take more long work.
func (q *Queue) longRoom(now time.Time, s *server) bool {
	q.pay(now, s)
	return s.long < q.longCap(s) && s.budget >= 0
}

func (q *Queue) longCap(s *server) int {
	room := max(max(s.limit, len(s.slots))-1, 1)
	if q.longLimit > 0 {
		room = min(room, q.longLimit)
	}
	return room
}
