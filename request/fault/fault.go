// Package fault holds the failure of one request.
package fault

import (
	"fmt"
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
)

// Fault is an error with a numbered result code. A Fault is immutable.
type Fault struct {
	// Code is the numbered result.
	Code code.Code
	// Detail says in words what led to it.
	Detail string
	// RetryAfter is a hint for the caller, 0 where there is none.
	RetryAfter time.Duration
}

// New returns a fault of the code.
func New(c code.Code, detail string) *Fault {
	return &Fault{Code: c, Detail: detail}
}

// WithRetryAfter returns the fault with a hint for the caller.
func (f *Fault) WithRetryAfter(d time.Duration) *Fault {
	g := *f
	g.RetryAfter = d
	return &g
}

// Error returns the code and the detail.
func (f *Fault) Error() string {
	if f.RetryAfter > 0 {
		return fmt.Sprintf("%s: %s; retry after %s", f.Code.Error(), f.Detail, f.RetryAfter)
	}
	return fmt.Sprintf("%s: %s", f.Code.Error(), f.Detail)
}

// Unwrap returns the code, so that errors.Is finds it.
func (f *Fault) Unwrap() error {
	return f.Code
}
