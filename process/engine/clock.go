package engine

import (
	"time"
)

// tickEvery is how often the groups are told the time.
const tickEvery = 20 * time.Millisecond

// idleTick is how often they are while nothing goes on.
const idleTick = 160 * time.Millisecond

// wake makes the clock tick often again.
func (e *Engine) wake() {
	select {
	case e.awake <- struct{}{}:
	default:
	}
}

// tick tells the groups the time: often while something goes on in one, and
// seldom while all are idle, since each wake-up costs the machine.
func (e *Engine) tick() {
	t := time.NewTimer(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-e.awake:
		case <-t.C:
		}
		t.Reset(e.tickAll())
	}
}

// tickAll ticks the groups in which something goes on, and all of them when
// an idle tick is due. It returns the time until the next tick.
func (e *Engine) tickAll() time.Duration {
	now := e.now()
	due := now.Sub(e.ticked) >= idleTick-tickEvery/2
	if due {
		e.ticked = now
	}
	next := idleTick
	for _, o := range e.known() {
		busy := !o.idle.Load()
		if busy {
			next = tickEvery
		}
		if busy || due {
			e.pool.Submit(o.tick)
		}
	}
	return next
}
