// Package quorum decides which entries of a group's log can no longer be lost.
package quorum

import (
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// maxSamples bounds the pairs of read index and time that are kept.
const maxSamples = 64

// minSampleSpacing is the least time between two kept pairs.
const minSampleSpacing = 25 * time.Millisecond

type observation struct {
	report report.Report
	asked  time.Time
}

type sample struct {
	readIndex mark.Mark
	at        time.Time
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
	size         int
	primary      string
	term         uint64
	termBase     mark.Mark
	reports      map[string]observation
	confirmed    mark.Mark
	waiters      []waiter
	indexWaiters []indexWaiter
	readIndex    mark.Mark
	readIndexAt  time.Time
	samples      []sample
}

// New returns the quorum of a group of size members.
func New(size int) *Quorum {
	return &Quorum{size: size, reports: map[string]observation{}}
}

// Observe takes a member's report that was asked for at the time asked.
// Reports asked for earlier than one already taken are dropped.
func (q *Quorum) Observe(r report.Report, asked time.Time) {
	if o, ok := q.reports[r.Member]; ok && asked.Before(o.asked) {
		return
	}
	q.reports[r.Member] = observation{r, asked}
	q.adoptPrimary(r)
	q.advanceConfirmed()
	q.updateReadIndex()
}

// ObserveWrite takes the mark that the primary gave with an answer: it holds its log
// up to there. This saves asking the primary once more for each write.
func (q *Quorum) ObserveWrite(member string, m mark.Mark) {
	o, ok := q.reports[member]
	if !ok || member != q.primary || m.Term != q.term || o.report.Received.AtLeast(m) {
		return
	}
	o.report.Received = m
	q.reports[member] = o
	q.advanceConfirmed()
}

// adoptPrimary adopts the primary of the highest term that was promoted.
func (q *Quorum) adoptPrimary(r report.Report) {
	if !r.Primary || r.Term <= q.term {
		return
	}
	q.term = r.Term
	q.primary = r.Member
	q.termBase = r.Base
	q.readIndex = mark.Mark{}
	q.samples = nil
}

// advanceConfirmed moves the confirmed mark forward.
func (q *Quorum) advanceConfirmed() {
	var positions []uint64
	for _, o := range q.reports {
		if q.followsTerm(o.report) {
			positions = append(positions, o.report.Received.Position)
		}
	}
	if len(positions) < q.majority() || q.term == 0 {
		return
	}
	slices.Sort(positions)
	slices.Reverse(positions)
	q.confirmed = q.confirmed.Max(mark.New(q.term, positions[q.majority()-1]))
}

func (q *Quorum) followsTerm(r report.Report) bool {
	return r.Term == q.term && r.Received.Term == q.term
}

// updateReadIndex takes a new read index when a majority was heard in the term.
func (q *Quorum) updateReadIndex() {
	at, ok := q.majorityAskedAt()
	if !ok || !at.After(q.readIndexAt) {
		return
	}
	q.readIndexAt = at
	q.readIndex = q.readIndex.Max(mark.New(q.term, q.reports[q.primary].report.Received.Position))
	n := len(q.samples)
	if n > 0 && at.Sub(q.samples[n-1].at) < minSampleSpacing {
		return
	}
	q.samples = append(q.samples, sample{q.readIndex, at})
	if len(q.samples) > maxSamples {
		q.samples = slices.Delete(q.samples, 0, 1)
	}
}

// majorityAskedAt returns the latest time after which the primary and a majority
// were asked and answered in the term.
func (q *Quorum) majorityAskedAt() (time.Time, bool) {
	p, ok := q.reports[q.primary]
	if !ok || !p.report.Primary || p.report.Term != q.term {
		return time.Time{}, false
	}
	var others []time.Time
	for name, o := range q.reports {
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
	q.waiters = append(q.waiters, waiter{id, m})
	return false
}

// Confirms tells whether the entry at m is confirmed. An entry of an earlier
// term is, where the term in force began after it and is confirmed itself.
func (q *Quorum) Confirms(m mark.Mark) bool {
	if m.Term == q.confirmed.Term {
		return q.confirmed.AtLeast(m)
	}
	return q.termConfirmed() && m.Term < q.term && q.termBase.Term == m.Term && q.termBase.AtLeast(m)
}

// Lost tells whether the entry at m can never be confirmed: a later term
// without it is confirmed by a majority.
func (q *Quorum) Lost(m mark.Mark) bool {
	return q.termConfirmed() && m.Term < q.term && q.termBase.Term <= m.Term && !q.termBase.AtLeast(m)
}

// Undetermined tells whether the fate of the entry at m can't be told from the
// log any more: more than one term has passed.
func (q *Quorum) Undetermined(m mark.Mark) bool {
	return q.termConfirmed() && m.Term < q.term && q.termBase.Term > m.Term
}

// termConfirmed tells whether the first entry of the term is confirmed.
func (q *Quorum) termConfirmed() bool {
	return q.confirmed.Term == q.term && q.term > 0
}

// TakeDecided removes and returns the waiters whose fate is known, in the order in
// which they came: those held, those gone and those in doubt.
func (q *Quorum) TakeDecided() (confirmed, lost, undetermined []string) {
	left := q.waiters[:0]
	for _, w := range q.waiters {
		switch {
		case q.Confirms(w.at):
			confirmed = append(confirmed, w.id)
		case q.Lost(w.at):
			lost = append(lost, w.id)
		case q.Undetermined(w.at):
			undetermined = append(undetermined, w.id)
		default:
			left = append(left, w)
		}
	}
	q.waiters = left
	return confirmed, lost, undetermined
}

// AwaitIndex asks for a read index taken after the time since.
func (q *Quorum) AwaitIndex(id string, since time.Time) {
	q.indexWaiters = append(q.indexWaiters, indexWaiter{id, since})
}

// TakeIndexed removes and returns those whose read index is known, with the index.
func (q *Quorum) TakeIndexed() ([]string, mark.Mark) {
	if len(q.indexWaiters) == 0 {
		return nil, q.readIndex
	}
	var ready []string
	left := q.indexWaiters[:0]
	for _, w := range q.indexWaiters {
		if !q.readIndexAt.Before(w.since) && q.readIndex.Term == q.term {
			ready = append(ready, w.id)
			continue
		}
		left = append(left, w)
	}
	q.indexWaiters = left
	return ready, q.readIndex
}

// Drop forgets a waiter of either kind.
func (q *Quorum) Drop(id string) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w waiter) bool { return w.id == id })
	q.indexWaiters = slices.DeleteFunc(q.indexWaiters, func(w indexWaiter) bool { return w.id == id })
}

// IndexWaiters returns how many wait for a read index.
func (q *Quorum) IndexWaiters() int {
	return len(q.indexWaiters)
}

// IndexedAt returns the latest time after which a majority confirmed the term.
func (q *Quorum) IndexedAt() time.Time {
	return q.readIndexAt
}

// HighestAwaited returns the highest mark that a confirmation is awaited for.
func (q *Quorum) HighestAwaited() mark.Mark {
	var highest mark.Mark
	for _, w := range q.waiters {
		highest = highest.Max(w.at)
	}
	return highest
}

// Age returns how old the data at applied is at most, at the time now. It
// reports false where no bound is known.
func (q *Quorum) Age(applied mark.Mark, now time.Time) (time.Duration, bool) {
	for i := len(q.samples) - 1; i >= 0; i-- {
		if applied.AtLeast(q.samples[i].readIndex) {
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
	o, ok := q.reports[member]
	return o.report, o.asked, ok
}

func (q *Quorum) majority() int {
	return q.size/2 + 1
}
