package queue

import (
	"container/heap"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/request/call"
)

// maskCount is the number of different sets of at most eight members.
const maskCount = 256

// item is one waiting call.
type item struct {
	call call.Call
	// mask is the set of permitted members: bit i stands for member i.
	mask  uint8
	label string
	// expected is the expected service time.
	expected time.Duration
	long     bool
	// sequence is the item's number in the order in which items were queued.
	sequence uint64
	// deadlineIndex and laneIndex are the item's indexes in Queue.byDeadline and in
	// the laneHeap that contains it.
	deadlineIndex int
	laneIndex     int
}

// deadlineHeap is a heap of all items by deadline.
type deadlineHeap []*item

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool { return earlier(h[i], h[j]) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex = i
	h[j].deadlineIndex = j
}

func (h *deadlineHeap) Push(x any) {
	t := x.(*item)
	t.deadlineIndex = len(*h)
	*h = append(*h, t)
}

func (h *deadlineHeap) Pop() any {
	n := len(*h) - 1
	t := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return t
}

// laneHeap is a heap by deadline of either the short or the long items of one
// service in one lane.
type laneHeap []*item

func (h laneHeap) Len() int { return len(h) }

func (h laneHeap) Less(i, j int) bool { return earlier(h[i], h[j]) }

func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].laneIndex = i
	h[j].laneIndex = j
}

func (h *laneHeap) Push(x any) {
	t := x.(*item)
	t.laneIndex = len(*h)
	*h = append(*h, t)
}

func (h *laneHeap) Pop() any {
	n := len(*h) - 1
	t := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return t
}

// earlier reports whether a has the earlier deadline, or was queued first among
// equal deadlines.
func earlier(a, b *item) bool {
	if !a.call.Deadline.Equal(b.call.Deadline) {
		return a.call.Deadline.Before(b.call.Deadline)
	}
	return a.sequence < b.sequence
}

// backlog holds the items of one service in one lane.
type backlog struct {
	service string
	short   laneHeap
	long    laneHeap
}

// lane holds the items with the same set of permitted members.
type lane struct {
	// backlogs are the backlogs that are not empty.
	backlogs []*backlog
	// shortWork and longWork are the sums of the expected service times of the
	// short and of the long items.
	shortWork time.Duration
	longWork  time.Duration
	// shortCount is the number of short items.
	shortCount int
}

// backlogOf returns the backlog of a service, which it adds if needed.
func (l *lane) backlogOf(service string) *backlog {
	for _, b := range l.backlogs {
		if b.service == service {
			return b
		}
	}
	b := &backlog{service: service}
	l.backlogs = append(l.backlogs, b)
	return b
}

func (l *lane) push(t *item) {
	b := l.backlogOf(t.call.Class.Service)
	if t.long {
		l.longWork += t.expected
		heap.Push(&b.long, t)
		return
	}
	l.shortWork += t.expected
	l.shortCount++
	heap.Push(&b.short, t)
}

func (l *lane) remove(t *item) {
	b := l.backlogOf(t.call.Class.Service)
	if t.long {
		l.longWork -= t.expected
		heap.Remove(&b.long, t.laneIndex)
	} else {
		l.shortWork -= t.expected
		l.shortCount--
		heap.Remove(&b.short, t.laneIndex)
	}
	if len(b.long) == 0 && len(b.short) == 0 {
		l.backlogs = slices.DeleteFunc(l.backlogs, func(other *backlog) bool { return other == b })
	}
}
