package engine

import (
	"time"
)

// tickInterval is the time between two ticks of a busy group.
const tickInterval = 20 * time.Millisecond

// idleTickInterval is the time between two ticks while all groups are idle.
const idleTickInterval = 160 * time.Millisecond

// wake makes the tick loop tick at once, and thus return to the short interval if
// a group is busy. It does not block.
func (e *Engine) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// tickLoop ticks the groups until the engine stops: at tickInterval while a group is
// busy, and at idleTickInterval while all are idle, since each wake-up costs CPU
// time.
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
	fullTickDue := now.Sub(e.lastFullTick) >= idleTickInterval-tickInterval/2
	if fullTickDue {
		e.lastFullTick = now
	}
	next := idleTickInterval
	for _, gr := range e.allGroups() {
		busy := !gr.idle.Load()
		if busy {
			next = tickInterval
		}
		if busy || fullTickDue {
			e.pool.Submit(gr.tick)
		}
	}
	return next
}
