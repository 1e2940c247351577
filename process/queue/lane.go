package queue

import (
	"container/heap"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/request/call"
)

// maskCount is the number of sets of eight members.
const maskCount = 256

// item is one waiting call.
type item struct {
	call       call.Call
	mask       uint8
	label      string
	expected   time.Duration
	long       bool
	sequence   uint64
	byDeadline int
	inLane     int
}

// share is what one service has had of the slots.
type share struct {
	weight   int
	pass     float64
	waiting  int
	expected time.Duration
}

// deadlineHeap orders all items by deadline.
type deadlineHeap []*item

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool { return earlier(h[i], h[j]) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].byDeadline = i
	h[j].byDeadline = j
}

func (h *deadlineHeap) Push(x any) {
	t := x.(*item)
	t.byDeadline = len(*h)
	*h = append(*h, t)
}

func (h *deadlineHeap) Pop() any {
	n := len(*h) - 1
	t := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return t
}

// laneHeap orders the items of one service and length in one lane.
type laneHeap []*item

func (h laneHeap) Len() int { return len(h) }

func (h laneHeap) Less(i, j int) bool { return earlier(h[i], h[j]) }

func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].inLane = i
	h[j].inLane = j
}

func (h *laneHeap) Push(x any) {
	t := x.(*item)
	t.inLane = len(*h)
	*h = append(*h, t)
}

func (h *laneHeap) Pop() any {
	n := len(*h) - 1
	t := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return t
}

func earlier(a, b *item) bool {
	if !a.call.Deadline.Equal(b.call.Deadline) {
		return a.call.Deadline.Before(b.call.Deadline)
	}
	return a.sequence < b.sequence
}

// stand is what one service has waiting in one lane.
type stand struct {
	service string
	short   laneHeap
	long    laneHeap
}

// lane holds the items with one set of permitted members.
type lane struct {
	stands   []*stand
	short    time.Duration
	long     time.Duration
	shortCnt int
}

func (l *lane) standOf(service string) *stand {
	for _, s := range l.stands {
		if s.service == service {
			return s
		}
	}
	s := &stand{service: service}
	l.stands = append(l.stands, s)
	return s
}

func (l *lane) push(t *item) {
	s := l.standOf(t.call.Class.Service)
	if t.long {
		l.long += t.expected
		heap.Push(&s.long, t)
		return
	}
	l.short += t.expected
	l.shortCnt++
	heap.Push(&s.short, t)
}

func (l *lane) remove(t *item) {
	s := l.standOf(t.call.Class.Service)
	if t.long {
		l.long -= t.expected
		heap.Remove(&s.long, t.inLane)
	} else {
		l.short -= t.expected
		l.shortCnt--
		heap.Remove(&s.short, t.inLane)
	}
	if len(s.long) == 0 && len(s.short) == 0 {
		l.stands = slices.DeleteFunc(l.stands, func(o *stand) bool { return o == s })
	}
}
