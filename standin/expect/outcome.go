// Package expect holds what a replay stated and what it found.
package expect

import "fmt"

// Outcome is one stated outcome beside what came of it. It is immutable.
type Outcome struct {
	// Expect names the outcome, with the request or label that it is about.
	Expect string
	// Stated is what the trace states, Measured what the replay gave.
	Stated   string
	Measured string
	// Met tells whether the two agree.
	Met bool
}

// New returns a stated outcome with what came of it.
func New(expect, stated, measured string, met bool) Outcome {
	return Outcome{Expect: expect, Stated: stated, Measured: measured, Met: met}
}

// String returns the outcome as a line.
func (f Outcome) String() string {
	word := "met"
	if !f.Met {
		word = "MISSED"
	}
	return fmt.Sprintf("%-7s %-40s stated %-16s found %s", word, f.Expect, f.Stated, f.Measured)
}
