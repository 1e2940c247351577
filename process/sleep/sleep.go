// Package sleep provides a sleep that a context can end early.
package sleep

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as the context is
// done.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
