// Package quorum decides which entries of a group's log can no longer be lost.
package quorum

import (
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// samplesKept bounds the pairs of read index and time that are kept.
const samplesKept = 64

// sampleSpacing is the least time between two kept pairs.
const sampleSpacing = 25 * time.Millisecond

type observation struct {
	report report.Report
	asked  time.Time
}

type sample struct {
	index mark.Mark
	at    time.Time
}

type waiter struct {
	id string
	at mark.Mark
}

type indexWaiter struct {
	id    string
	since time.Time
}

// Quorum follows the reports of a group's members. An entry is confirmed when
// a majority of members holds it in the term in which it was written and
// follows no higher term. It has no lock and no clock of its own.
type Quorum struct {
	size      int
	primary   string
	term      uint64
	base      mark.Mark
	seen      map[string]observation
	confirmed mark.Mark
	waiting   []waiter
	indexing  []indexWaiter
	index     mark.Mark
	indexedAt time.Time
	samples   []sample
}

// New returns the quorum of a group of size members.
func New(size int) *Quorum {
	return &Quorum{size: size, seen: map[string]observation{}}
}

// Observe takes a member's report that was asked for at the time asked.
// Reports asked for earlier than one already taken are dropped.
func (q *Quorum) Observe(r report.Report, asked time.Time) {
	if o, ok := q.seen[r.Member]; ok && asked.Before(o.asked) {
		return
	}
	q.seen[r.Member] = observation{r, asked}
	q.follow(r)
	q.confirm()
	q.refresh()
}

// ObserveWrite takes the mark that the primary gave with an answer: it holds its log
// up to there. This saves asking the primary once more for each write.
func (q *Quorum) ObserveWrite(member string, m mark.Mark) {
	o, ok := q.seen[member]
	if !ok || member != q.primary || m.Term != q.term || o.report.Received.AtLeast(m) {
		return
	}
	o.report.Received = m
	q.seen[member] = o
	q.confirm()
}

// follow adopts the primary of the highest term that was promoted.
func (q *Quorum) follow(r report.Report) {
	if !r.Primary || r.Term <= q.term {
		return
	}
	q.term = r.Term
	q.primary = r.Member
	q.base = r.Base
	q.index = mark.Mark{}
	q.samples = nil
}

// confirm moves the confirmed mark forward.
func (q *Quorum) confirm() {
	var held []uint64
	for _, o := range q.seen {
		if q.holds(o.report) {
			held = append(held, o.report.Received.Position)
		}
	}
	if len(held) < q.majority() || q.term == 0 {
		return
	}
	slices.Sort(held)
	slices.Reverse(held)
	q.confirmed = q.confirmed.Max(mark.New(q.term, held[q.majority()-1]))
}

func (q *Quorum) holds(r report.Report) bool {
	return r.Term == q.term && r.Received.Term == q.term
}

// refresh takes a new read index when a majority was heard in the term.
func (q *Quorum) refresh() {
	at, ok := q.heardSince()
	if !ok || !at.After(q.indexedAt) {
		return
	}
	q.indexedAt = at
	q.index = q.index.Max(mark.New(q.term, q.seen[q.primary].report.Received.Position))
	n := len(q.samples)
	if n > 0 && at.Sub(q.samples[n-1].at) < sampleSpacing {
		return
	}
	q.samples = append(q.samples, sample{q.index, at})
	if len(q.samples) > samplesKept {
		q.samples = slices.Delete(q.samples, 0, 1)
	}
}

// heardSince returns the latest time after which the primary and a majority
// were asked and answered in the term.
func (q *Quorum) heardSince() (time.Time, bool) {
	p, ok := q.seen[q.primary]
	if !ok || !p.report.Primary || p.report.Term != q.term {
		return time.Time{}, false
	}
	var others []time.Time
	for name, o := range q.seen {
		if name != q.primary && o.report.Term == q.term {
			others = append(others, o.asked)
		}
	}
	need := q.majority() - 1
	if len(others) < need {
		return time.Time{}, false
	}
	if need == 0 {
		return p.asked, true
	}
	slices.SortFunc(others, func(a, b time.Time) int { return b.Compare(a) })
	if at := others[need-1]; at.Before(p.asked) {
		return at, true
	}
	return p.asked, true
}

// Await asks to be told when the entry at m is confirmed. It returns true
// where that is so already.
func (q *Quorum) Await(id string, m mark.Mark) bool {
	if q.Confirms(m) {
		return true
	}
	q.waiting = append(q.waiting, waiter{id, m})
	return false
}

// Confirms tells whether the entry at m is confirmed. An entry of an earlier
// term is, where the term in force began after it and is confirmed itself.
func (q *Quorum) Confirms(m mark.Mark) bool {
	if m.Term == q.confirmed.Term {
		return q.confirmed.AtLeast(m)
	}
	return q.settled() && m.Term < q.term && q.base.Term == m.Term && q.base.AtLeast(m)
}

// Lost tells whether the entry at m can never be confirmed: a later term
// without it is confirmed by a majority.
func (q *Quorum) Lost(m mark.Mark) bool {
	return q.settled() && m.Term < q.term && q.base.Term <= m.Term && !q.base.AtLeast(m)
}

// Undetermined tells whether the fate of the entry at m can't be told from the
// log any more: more than one term has passed.
func (q *Quorum) Undetermined(m mark.Mark) bool {
	return q.settled() && m.Term < q.term && q.base.Term > m.Term
}

// settled tells whether the first entry of the term is confirmed.
func (q *Quorum) settled() bool {
	return q.confirmed.Term == q.term && q.term > 0
}

// TakeDecided removes and returns the waiters whose fate is known, in the order in
// which they came: those held, those gone and those in doubt.
func (q *Quorum) TakeDecided() (held, gone, doubtful []string) {
	left := q.waiting[:0]
	for _, w := range q.waiting {
		switch {
		case q.Confirms(w.at):
			held = append(held, w.id)
		case q.Lost(w.at):
			gone = append(gone, w.id)
		case q.Undetermined(w.at):
			doubtful = append(doubtful, w.id)
		default:
			left = append(left, w)
		}
	}
	q.waiting = left
	return held, gone, doubtful
}

// AwaitIndex asks for a read index taken after the time since.
func (q *Quorum) AwaitIndex(id string, since time.Time) {
	q.indexing = append(q.indexing, indexWaiter{id, since})
}

// TakeIndexed removes and returns those whose read index is known, with the index.
func (q *Quorum) TakeIndexed() ([]string, mark.Mark) {
	if len(q.indexing) == 0 {
		return nil, q.index
	}
	var ready []string
	left := q.indexing[:0]
	for _, w := range q.indexing {
		if !q.indexedAt.Before(w.since) && q.index.Term == q.term {
			ready = append(ready, w.id)
			continue
		}
		left = append(left, w)
	}
	q.indexing = left
	return ready, q.index
}

// Drop forgets a waiter of either kind.
func (q *Quorum) Drop(id string) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiter) bool { return w.id == id })
	q.indexing = slices.DeleteFunc(q.indexing, func(w indexWaiter) bool { return w.id == id })
}

// IndexWaiters returns how many wait for a read index.
func (q *Quorum) IndexWaiters() int {
	return len(q.indexing)
}

// IndexedAt returns the latest time after which a majority confirmed the term.
func (q *Quorum) IndexedAt() time.Time {
	return q.indexedAt
}

// HighestAwaited returns the highest mark that a confirmation is awaited for.
func (q *Quorum) HighestAwaited() mark.Mark {
	var highest mark.Mark
	for _, w := range q.waiting {
		highest = highest.Max(w.at)
	}
	return highest
}

// Age returns how old the data at applied is at most, at the time now. It
// reports false where no bound is known.
func (q *Quorum) Age(applied mark.Mark, now time.Time) (time.Duration, bool) {
	for i := len(q.samples) - 1; i >= 0; i-- {
		if applied.AtLeast(q.samples[i].index) {
			return now.Sub(q.samples[i].at), true
		}
	}
	return 0, false
}

// Primary returns the primary of the highest term seen and that term; the
// name is empty where none is known.
func (q *Quorum) Primary() (string, uint64) {
	return q.primary, q.term
}

// Confirmed returns the highest mark known to be confirmed.
func (q *Quorum) Confirmed() mark.Mark {
	return q.confirmed
}

// LastReport returns the newest report of a member and when it was asked for.
func (q *Quorum) LastReport(member string) (report.Report, time.Time, bool) {
	o, ok := q.seen[member]
	return o.report, o.asked, ok
}

func (q *Quorum) majority() int {
	return q.size/2 + 1
}
