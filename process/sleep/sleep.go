// Package sleep provides a sleep that a context can end early.
package sleep

import (
	"context"
	"time"
)

// For waits for the duration d and returns true. It returns false as soon as the
// context ends, if that is earlier.
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
