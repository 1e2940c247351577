// Package heard defines what other hosts answered to the announcement of a replacement.
package heard

import (
	"github.com/pistachiotray/pistachiotray/process/acked"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// Heard is what a host heard from the others that it asked. It is immutable.
type Heard struct {
	// Known is what these hosts and this one know of acknowledged commits.
	Known acked.Acked
	// Asked and Answered are how many hosts were asked and did answer.
	Asked, Answered int
	// connecting is how many of those that were asked connect to the group, and silent how
	// many of these did not answer.
	connecting, silent int
}

// New returns what is heard before any of the hosts has answered: those that connect to the
// group, and former ones that did shortly before.
func New(known acked.Acked, connecting, former int) Heard {
	return Heard{Known: known, Asked: connecting + former, connecting: connecting, silent: connecting}
}

// WithAnswer returns the Heard after a host answered between which positions the newest
// commit is that it knows to be acknowledged.
func (h Heard) WithAnswer(floor, ceiling mark.Mark, connects bool) Heard {
	h.Known = h.Known.With(floor, ceiling)
	h.Answered++
	if connects {
		h.silent--
	}
	return h
}

// All reports whether all hosts answered.
func (h Heard) All() bool {
	return h.Answered == h.Asked
}

// Most reports whether no more than half of the hosts that connect to the group, this one
// included, did not answer.
func (h Heard) Most() bool {
	return 2*h.silent <= h.connecting+1
}

// WithKnown returns the Heard with what this host knows of acknowledged commits by now.
func (h Heard) WithKnown(known acked.Acked) Heard {
	h.Known = known
	return h
}
