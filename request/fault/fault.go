// Package fault defines the error with which a request fails.
package fault

import (
	"fmt"
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
)

// Fault is an error with a numbered result code and a detail for the caller. A
// Fault is immutable.
type Fault struct {
	// Code is the numbered result code.
	Code code.Code
	// Detail describes the cause; it is sent to the caller.
	Detail string
	// RetryAfter is how long the caller should wait before it retries; 0 means
	// that the fault has no such hint.
	RetryAfter time.Duration
}

// New returns a fault with a code and a detail.
func New(c code.Code, detail string) *Fault {
	return &Fault{Code: c, Detail: detail}
}

// WithRetryAfter returns a copy of the fault with d as the time after which to
// retry.
func (f *Fault) WithRetryAfter(d time.Duration) *Fault {
	g := *f
	g.RetryAfter = d
	return &g
}

// Error returns the code's text, the detail and, if set, the retry hint.
func (f *Fault) Error() string {
	if f.RetryAfter > 0 {
		return fmt.Sprintf("%s: %s; retry after %s", f.Code.Error(), f.Detail, f.RetryAfter)
	}
	return fmt.Sprintf("%s: %s", f.Code.Error(), f.Detail)
}

// Unwrap returns the code, so that errors.Is matches a fault by its code.
func (f *Fault) Unwrap() error {
	return f.Code
}
