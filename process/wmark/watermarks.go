// Package wmark tracks which log position covers all commits up to a time.
package wmark

import (
	"sort"
	"time"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// A new watermark replaces the newest one if it is less than spacing later
	// than the second newest.
	spacing = 25 * time.Millisecond
	// maxWatermarks is the maximum number of watermarks. With a distance of
	// spacing between them, they cover 6.4 s, more than the longest maximum age
	// that users configure.
	maxWatermarks = 256
)

// watermark is a log position and the time up to which that position covers all
// commits.
type watermark struct {
	mark   mark.Mark
	covers time.Duration
}

// Watermarks is the list of watermarks of one group. A watermark is a log
// position, its mark, and a time. It proves that every log that includes the
// mark also includes all commits acknowledged before that time. The mark is a
// position that the primary reported, and the time is just before the primary
// was asked for it. Times count from the start of the machine, including the
// time for which the machine was suspended. Watermarks is not safe for
// concurrent use.
type Watermarks struct {
	list []watermark
}

// New returns an empty list of watermarks.
func New() *Watermarks {
	return &Watermarks{}
}

// Add adds a watermark if it is later than the newest one, and ignores it
// otherwise. The zero Mark is the position of an empty log.
func (w *Watermarks) Add(m mark.Mark, at time.Duration) {
	n := len(w.list)
	if n > 0 && at <= w.list[n-1].covers {
		return
	}
	if n > 1 && at-w.list[n-2].covers < spacing {
		w.list[n-1] = watermark{m, at}
		return
	}
	if n == maxWatermarks {
		copy(w.list, w.list[1:])
		w.list = w.list[:n-1]
	}
	w.list = append(w.list, watermark{m, at})
}

// Covering returns the oldest mark that covers every commit acknowledged before
// the given time, and the time up to which that mark covers all commits. It
// returns false if no watermark is recent enough.
func (w *Watermarks) Covering(at time.Duration) (mark.Mark, time.Duration, bool) {
	i := sort.Search(len(w.list), func(i int) bool { return w.list[i].covers >= at })
	if i == len(w.list) {
		return mark.Mark{}, 0, false
	}
	return w.list[i].mark, w.list[i].covers, true
}

// FirstBeyond returns the time of the oldest watermark whose mark is beyond m.
// When the leader answered the request for that watermark, its log was longer
// than a log that ends at m. It returns false if there are no watermarks or m
// includes the newest watermark's mark.
func (w *Watermarks) FirstBeyond(m mark.Mark) (time.Duration, bool) {
	i := sort.Search(len(w.list), func(i int) bool { return !m.AtLeast(w.list[i].mark) })
	if i == len(w.list) {
		return 0, false
	}
	return w.list[i].covers, true
}

// Newest returns the time of the newest watermark, or 0 if there is none.
func (w *Watermarks) Newest() time.Duration {
	if len(w.list) == 0 {
		return 0
	}
	return w.list[len(w.list)-1].covers
}
