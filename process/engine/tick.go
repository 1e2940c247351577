package engine

import (
	"time"
)

// tickInterval is the time between two ticks of a busy group.
const tickInterval = 20 * time.Millisecond

// idleTickInterval is the time between two ticks while all groups are idle.
const idleTickInterval = 160 * time.Millisecond

// wake makes the tick loop return to the short interval.
func (e *Engine) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// tickLoop ticks the groups: at the short interval while one is busy, and at
// the long one while all are idle, since each wake-up costs CPU time.
func (e *Engine) tickLoop() {
	t := time.NewTimer(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-e.wakeup:
		case <-t.C:
		}
		t.Reset(e.tickAll())
	}
}

// tickAll ticks the busy groups, and all groups when an idle tick is due. It
// returns the time until the next tick.
func (e *Engine) tickAll() time.Duration {
	now := e.now()
	due := now.Sub(e.lastFullTick) >= idleTickInterval-tickInterval/2
	if due {
		e.lastFullTick = now
	}
	next := idleTickInterval
	for _, gr := range e.allGroups() {
		busy := !gr.idle.Load()
		if busy {
			next = tickInterval
		}
		if busy || due {
			e.pool.Submit(gr.tick)
		}
	}
	return next
}
