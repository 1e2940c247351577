// Package sleep waits for a while unless a context ends first.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports true, or false where the context ended first.
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
