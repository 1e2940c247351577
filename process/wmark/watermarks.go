// Package wmark holds which log position covers all commits up to a time.
package wmark

import (
	"sort"
	"time"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// spacing is the time between two kept proofs; closer ones replace.
	spacing = 25 * time.Millisecond
	// kept bounds the proofs: at the spacing they cover 6.4 s, more than the
	// longest stated age.
	kept = 256
)

type proof struct {
	mark mark.Mark
	at   time.Duration
}

// Watermarks keeps proofs of one group: a log that holds Mark holds every commit
// that was acknowledged before a time. A proof is a mark that the primary
// reported while it led, and the time just before it was asked. Times count
// from the machine's start and go on while it is suspended.
type Watermarks struct {
	proofs []proof
}

// New returns an empty table.
func New() *Watermarks {
	return &Watermarks{}
}

// Add takes a proof. The zero Mark stands for an empty log. Proofs older than
// the newest are dropped.
func (f *Watermarks) Add(m mark.Mark, at time.Duration) {
	n := len(f.proofs)
	if n > 0 && at <= f.proofs[n-1].at {
		return
	}
	if n > 1 && at-f.proofs[n-2].at < spacing {
		f.proofs[n-1] = proof{m, at}
		return
	}
	if n == kept {
		copy(f.proofs, f.proofs[1:])
		f.proofs = f.proofs[:n-1]
	}
	f.proofs = append(f.proofs, proof{m, at})
}

// Covering returns the oldest mark that covers every commit acknowledged before
// a time, and the time up to which it does.
func (f *Watermarks) Covering(at time.Duration) (mark.Mark, time.Duration, bool) {
	i := sort.Search(len(f.proofs), func(i int) bool { return f.proofs[i].at >= at })
	if i == len(f.proofs) {
		return mark.Mark{}, 0, false
	}
	return f.proofs[i].mark, f.proofs[i].at, true
}

// FirstBeyond returns the time of the oldest proof of a position beyond m. What a log
// that ends at m lacks was acknowledged before the answer to that proof. It
// reports false where m reaches the newest proof.
func (f *Watermarks) FirstBeyond(m mark.Mark) (time.Duration, bool) {
	i := sort.Search(len(f.proofs), func(i int) bool { return !m.AtLeast(f.proofs[i].mark) })
	if i == len(f.proofs) {
		return 0, false
	}
	return f.proofs[i].at, true
}

// Newest returns the time of the newest proof, or 0 where there is none.
func (f *Watermarks) Newest() time.Duration {
	if len(f.proofs) == 0 {
		return 0
	}
	return f.proofs[len(f.proofs)-1].at
}
