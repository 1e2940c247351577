// Package quorum decides from the reports of a group's members which entries of
// its log are confirmed, which means that they can no longer be lost.
package quorum

import (
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// maxSamples is the maximum number of samples that are kept.
const maxSamples = 64

// minSampleSpacing is the minimum time between two samples that are kept.
const minSampleSpacing = 25 * time.Millisecond

// observation is a member's report and the time at which it was requested.
type observation struct {
	report report.Report
	asked  time.Time
}

// sample is a read index and a time: data that includes the log up to the index
// includes everything that was confirmed before that time.
type sample struct {
	readIndex mark.Mark
	at        time.Time
}

// waiter waits for the confirmation of the entry at a log position.
type waiter struct {
	id       string
	position mark.Mark
}

// indexWaiter waits for a read index that is not older than its field since.
type indexWaiter struct {
	id    string
	since time.Time
}

// Quorum evaluates the reports of a group's members. An entry is confirmed when a
// majority of members has it in the term in which it was written and follows no
// higher term. A Quorum has no lock and no clock: its callers must hold a lock and
// pass the time.
type Quorum struct {
	// size is the number of members.
	size int
	// term is the current term: the highest term in which a member reported to be
	// the primary. primary is that member, and termBase the position of the last
	// entry before the term began.
	primary  string
	term     uint64
	termBase mark.Mark
	// reports are the newest reports, by member.
	reports map[string]observation
	// confirmed is the highest log position known to be confirmed.
	confirmed    mark.Mark
	waiters      []waiter
	indexWaiters []indexWaiter
	// readIndex is the newest read index. It was taken at the time readIndexAt or
	// later.
	readIndex   mark.Mark
	readIndexAt time.Time
	// samples are read indexes of the current term with their times, oldest first,
	// from which Age is computed.
	samples []sample
}

// New returns the quorum of a group with this number of members.
func New(size int) *Quorum {
	return &Quorum{size: size, reports: map[string]observation{}}
}

// Observe records a member's report. asked is when the report was requested. A
// report is ignored if a report of the member that was requested later is known.
func (q *Quorum) Observe(r report.Report, asked time.Time) {
	if o, ok := q.reports[r.Member]; ok && asked.Before(o.asked) {
		return
	}
	q.reports[r.Member] = observation{r, asked}
	q.adoptPrimary(r)
	q.advanceConfirmed()
	q.updateReadIndex()
}

// ObserveWrite records the log position that the primary returned with an answer:
// the primary's log reaches at least that far. This saves a poll of the primary per
// write. A position from another member or term is ignored.
func (q *Quorum) ObserveWrite(member string, m mark.Mark) {
	o, ok := q.reports[member]
	if !ok || member != q.primary || m.Term != q.term || o.report.Received.AtLeast(m) {
		return
	}
	o.report.Received = m
	q.reports[member] = o
	q.advanceConfirmed()
}

// adoptPrimary makes the term of a report the current term if the member is the
// primary of a higher term than the current one. The read index and the samples of
// earlier terms are dropped, since they are not valid in the new term.
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

// advanceConfirmed moves the confirmed log position up to the highest position that
// a majority has received in the current term.
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

// followsTerm reports whether a member follows the current term and its log ends
// with an entry of that term.
func (q *Quorum) followsTerm(r report.Report) bool {
	return r.Term == q.term && r.Received.Term == q.term
}

// updateReadIndex takes a new read index if the primary and a majority have answered
// polls in the current term that were sent after the last read index. The index is
// the end of the primary's log.
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

// majorityAskedAt returns the latest time such that the primary and enough other
// members for a majority were asked at that time or later and answered in the
// current term. It returns false if no majority has answered in the current term.
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

// Await reports whether the entry at m is confirmed. If it is not, the id becomes
// a waiter, and TakeDecided returns it once the outcome is known.
func (q *Quorum) Await(id string, m mark.Mark) bool {
	if q.Confirms(m) {
		return true
	}
	q.waiters = append(q.waiters, waiter{id, m})
	return false
}

// Confirms reports whether the entry at m is confirmed. An entry of an earlier
// term is confirmed if the current term began after it and the first entry of the
// current term is confirmed.
func (q *Quorum) Confirms(m mark.Mark) bool {
	if m.Term == q.confirmed.Term {
		return q.confirmed.AtLeast(m)
	}
	return q.termConfirmed() && m.Term < q.term && q.termBase.Term == m.Term && q.termBase.AtLeast(m)
}

// Lost reports whether the entry at m can never be confirmed, because a majority
// confirmed a later term that began without it.
func (q *Quorum) Lost(m mark.Mark) bool {
	return q.termConfirmed() && m.Term < q.term && q.termBase.Term <= m.Term && !q.termBase.AtLeast(m)
}

// Undetermined reports whether the log no longer shows if the entry at m survived,
// because more than one term began after it.
func (q *Quorum) Undetermined(m mark.Mark) bool {
	return q.termConfirmed() && m.Term < q.term && q.termBase.Term > m.Term
}

// termConfirmed reports whether the first entry of the current term is confirmed.
func (q *Quorum) termConfirmed() bool {
	return q.confirmed.Term == q.term && q.term > 0
}

// TakeDecided removes the waiters whose entry has a known outcome, and returns the
// ids of those whose entry is confirmed, lost or undetermined. Each list is in the
// order of registration.
func (q *Quorum) TakeDecided() (confirmed, lost, undetermined []string) {
	undecided := q.waiters[:0]
	for _, w := range q.waiters {
		switch {
		case q.Confirms(w.position):
			confirmed = append(confirmed, w.id)
		case q.Lost(w.position):
			lost = append(lost, w.id)
		case q.Undetermined(w.position):
			undetermined = append(undetermined, w.id)
		default:
			undecided = append(undecided, w)
		}
	}
	q.waiters = undecided
	return confirmed, lost, undetermined
}

// AwaitIndex registers an id that waits for a read index. The index must not be older
// than since. TakeIndexed returns the id once there is such a read index.
func (q *Quorum) AwaitIndex(id string, since time.Time) {
	q.indexWaiters = append(q.indexWaiters, indexWaiter{id, since})
}

// TakeIndexed removes the waiters for which the newest read index is recent enough,
// and returns their ids and that read index.
func (q *Quorum) TakeIndexed() ([]string, mark.Mark) {
	if len(q.indexWaiters) == 0 {
		return nil, q.readIndex
	}
	var ready []string
	remaining := q.indexWaiters[:0]
	for _, w := range q.indexWaiters {
		if !q.readIndexAt.Before(w.since) && q.readIndex.Term == q.term {
			ready = append(ready, w.id)
			continue
		}
		remaining = append(remaining, w)
	}
	q.indexWaiters = remaining
	return ready, q.readIndex
}

// RemoveWaiter removes an id from the waiters for a confirmation and from those for a
// read index.
func (q *Quorum) RemoveWaiter(id string) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w waiter) bool { return w.id == id })
	q.indexWaiters = slices.DeleteFunc(q.indexWaiters, func(w indexWaiter) bool { return w.id == id })
}

// IndexWaiters returns the number of ids that wait for a read index.
func (q *Quorum) IndexWaiters() int {
	return len(q.indexWaiters)
}

// IndexedAt returns the time of the newest read index, or the zero time. A majority
// that was asked at this time or later has confirmed the term.
func (q *Quorum) IndexedAt() time.Time {
	return q.readIndexAt
}

// HighestAwaited returns the highest log position that a waiter waits for, or the
// zero Mark.
func (q *Quorum) HighestAwaited() mark.Mark {
	var highest mark.Mark
	for _, w := range q.waiters {
		highest = highest.Max(w.position)
	}
	return highest
}

// Age returns the maximum age of data that includes the log up to applied; now is
// the present time. It returns false if no maximum is known.
func (q *Quorum) Age(applied mark.Mark, now time.Time) (time.Duration, bool) {
	for i := len(q.samples) - 1; i >= 0; i-- {
		if applied.AtLeast(q.samples[i].readIndex) {
			return now.Sub(q.samples[i].at), true
		}
	}
	return 0, false
}

// Primary returns the primary of the current term and that term. The name is empty
// and the term 0 if no primary is known.
func (q *Quorum) Primary() (string, uint64) {
	return q.primary, q.term
}

// Confirmed returns the highest log position known to be confirmed.
func (q *Quorum) Confirmed() mark.Mark {
	return q.confirmed
}

// LastReport returns the newest report of a member and when it was requested. It
// reports false if the member has not reported.
func (q *Quorum) LastReport(member string) (report.Report, time.Time, bool) {
	o, ok := q.reports[member]
	return o.report, o.asked, ok
}

// majority returns the smallest number of members that is a majority.
func (q *Quorum) majority() int {
	return q.size/2 + 1
}
