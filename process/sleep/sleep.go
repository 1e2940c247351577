// Package sleep provides waits for a time that can end early.
package sleep

import (
	"context"
	"time"
)

// For waits for the duration d and returns true. It returns false as soon as the
// context ends, if that is earlier.
func For(ctx context.Context, d time.Duration) bool {
	return Until(ctx, nil, d)
}

// Until waits until the channel event delivers a value or is closed, but no longer than d, and
// returns true. It returns false as soon as the context ends, if that is earlier.
func Until(ctx context.Context, event <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-event:
	case <-ctx.Done():
		return false
	}
	return true
}

// Every calls work each time the interval has passed, until done is closed. It drops ticks while
// work runs, as a time.Ticker does.
func Every(done <-chan struct{}, interval time.Duration, work func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			work()
		}
	}
}
