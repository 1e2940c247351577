// Package found holds what a replay stated and what it found.
package found

import "fmt"

// Found is one stated outcome beside what came of it. It is immutable.
type Found struct {
	// Expect names the outcome, with the request or label that it is about.
	Expect string
	// Stated is what the trace states, Measured what the replay gave.
	Stated   string
	Measured string
	// Met tells whether the two agree.
	Met bool
}

// New returns a stated outcome with what came of it.
func New(expect, stated, measured string, met bool) Found {
	return Found{Expect: expect, Stated: stated, Measured: measured, Met: met}
}

// String returns the outcome as a line.
func (f Found) String() string {
	word := "met"
	if !f.Met {
		word = "MISSED"
	}
	return fmt.Sprintf("%-7s %-40s stated %-16s found %s", word, f.Expect, f.Stated, f.Measured)
}
