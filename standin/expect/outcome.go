// Package expect represents the outcomes that a trace states, with the values that
// the replay measured.
package expect

import "fmt"

// Outcome is an expectation that a trace states, with the value that the replay
// measured. It is immutable.
type Outcome struct {
	// Expect names the outcome, followed by the request or label that it concerns.
	Expect string
	// Stated is the condition that the trace states.
	Stated string
	// Measured is the value that the replay measured.
	Measured string
	// Met reports whether Measured satisfies Stated.
	Met bool
}

// New returns the outcome named expect with its condition and its measured value.
func New(expect, stated, measured string, met bool) Outcome {
	return Outcome{Expect: expect, Stated: stated, Measured: measured, Met: met}
}

// String returns the outcome as one line of text.
func (o Outcome) String() string {
	word := "met"
	if !o.Met {
		word = "MISSED"
	}
	return fmt.Sprintf("%-7s %-40s stated %-16s found %s", word, o.Expect, o.Stated, o.Measured)
}
