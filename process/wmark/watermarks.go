// Package wmark tracks which log position covers all commits up to a time.
package wmark

import (
	"sort"
	"time"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// A new watermark that is less than spacing after the second newest
	// replaces the newest.
	spacing = 25 * time.Millisecond
	// maxWatermarks bounds the number of watermarks. If they are spacing apart,
	// they cover 6.4 s, more than the longest configured maximum age.
	maxWatermarks = 256
)

// watermark is a log position and the time up to which it covers all commits.
type watermark struct {
	mark mark.Mark
	at   time.Duration
}

// Watermarks holds the watermarks of one group. A watermark proves that a log
// that includes its mark includes every commit that was acknowledged before its
// time. The mark is the position that the primary reported while it led, and
// the time is just before the primary was asked. Times count from the machine's
// start and include the time for which it was suspended. Watermarks is not safe
// for concurrent use.
type Watermarks struct {
	entries []watermark
}

// New returns Watermarks without entries.
func New() *Watermarks {
	return &Watermarks{}
}

// Add adds a watermark, unless its time is not after that of the newest. The
// zero Mark is the position of an empty log.
func (w *Watermarks) Add(m mark.Mark, at time.Duration) {
	n := len(w.entries)
	if n > 0 && at <= w.entries[n-1].at {
		return
	}
	if n > 1 && at-w.entries[n-2].at < spacing {
		w.entries[n-1] = watermark{m, at}
		return
	}
	if n == maxWatermarks {
		copy(w.entries, w.entries[1:])
		w.entries = w.entries[:n-1]
	}
	w.entries = append(w.entries, watermark{m, at})
}

// Covering returns the oldest mark that covers every commit acknowledged before
// a time, and the time up to which the mark covers them. It returns false if no
// watermark is recent enough.
func (w *Watermarks) Covering(at time.Duration) (mark.Mark, time.Duration, bool) {
	i := sort.Search(len(w.entries), func(i int) bool { return w.entries[i].at >= at })
	if i == len(w.entries) {
		return mark.Mark{}, 0, false
	}
	return w.entries[i].mark, w.entries[i].at, true
}

// FirstBeyond returns the time of the oldest watermark whose mark lies beyond
// m. The leader's log was longer than a log that ends at m by the time the
// leader answered the request for that watermark. It returns false if there are
// no watermarks or m includes the newest watermark's mark.
func (w *Watermarks) FirstBeyond(m mark.Mark) (time.Duration, bool) {
	i := sort.Search(len(w.entries), func(i int) bool { return !m.AtLeast(w.entries[i].mark) })
	if i == len(w.entries) {
		return 0, false
	}
	return w.entries[i].at, true
}

// Newest returns the time of the newest watermark, or 0 if there is none.
func (w *Watermarks) Newest() time.Duration {
	if len(w.entries) == 0 {
		return 0
	}
	return w.entries[len(w.entries)-1].at
}
