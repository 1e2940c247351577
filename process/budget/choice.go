package budget

// fits reports whether a taker may draw n bytes now. The caller holds the lock.
func (b *Budget) fits(t *taker, n int64) bool {
	occupied := b.used + b.garbage.bytes() + b.slabs.bytes
	return b.fitsLive(t, n) && occupied+n <= b.limitFor(t, n)+b.limit/garbageShare
}

// fitsLive reports whether a taker might draw n bytes if there were no garbage. The caller holds
// the lock.
func (b *Budget) fitsLive(t *taker, n int64) bool {
	return b.used+n <= b.limitFor(t, n)
}

// limitFor returns how much may be used after a taker has drawn n bytes.
func (b *Budget) limitFor(t *taker, n int64) int64 {
	if t.held+n <= smallBytes {
		return b.limit
	}
	return b.limit - b.limit/reserveShare
}

// closeFor closes takers until a draw of n bytes will fit once they have returned what they
// hold. It returns their end functions. If t itself is to be closed, it is the last one. The
// caller holds the lock and calls the functions without it.
func (b *Budget) closeFor(t *taker, n int64) []func() {
	var ends []func()
	for b.used-b.ending+n > b.limitFor(t, n) && !t.closed {
		victim, reason := b.victim(t)
		if victim == nil {
			break
		}
		victim.closed = true
		b.ending += victim.held
		b.closed[reason]++
		b.note(reasonNames[reason]+" closed", victim)
		b.failDraws(victim)
		ends = append(ends, victim.end)
	}
	return ends
}

// victim returns the next taker to be closed for a draw of asking, and the reason; nil if there
// is none. The one that asks is closed only if it stands out, or if others have unfinished
// messages and its own is the oldest. The caller holds the lock.
func (b *Budget) victim(asking *taker) (*taker, int) {
	var most, first, resting *taker
	unfinished := 0
	for _, t := range b.takers {
		if t.end == nil || t.closed {
			continue
		}
		if most == nil || larger(t, most) {
			most = t
		}
		if t.unfinished > 0 && t.held > 0 {
			unfinished++
			if first == nil || closedBefore(t, first) {
				first = t
			}
		}
		if t != asking && !t.working && t.held > smallBytes && (resting == nil || larger(t, resting)) {
			resting = t
		}
	}
	switch {
	case most != nil && most.held >= b.limit/standOutShare:
		return most, largest
	case first != nil && (first != asking || unfinished > 1):
		return first, oldest
	case resting != nil:
		return resting, idle
	}
	return nil, 0
}

// larger reports whether a taker holds more than another. Of two that hold the same, the one
// that joined first counts as larger, so that the choice does not depend on the order of
// a map.
func larger(t, other *taker) bool {
	if t.held != other.held {
		return t.held > other.held
	}
	return t.id < other.id
}

// closedBefore reports whether a taker with an unfinished message is closed before another one.
// Those that hold little come last: they are ordinary, and closing them gains nothing.
func closedBefore(t, other *taker) bool {
	if small, otherSmall := t.held <= smallBytes, other.held <= smallBytes; small != otherSmall {
		return otherSmall
	}
	return t.began < other.began
}

// serveWaiting lets the draws that fit now go on, the oldest first. A large one does not hold up
// the smaller ones behind it. The caller holds the lock.
func (b *Budget) serveWaiting() {
	if b.over != nil && b.over.held == 0 {
		b.over = nil
	}
	kept := b.waiting[:0]
	for _, d := range b.waiting {
		fits := b.fits(d.taker, d.bytes)
		if !fits && b.fitsLive(d.taker, d.bytes) {
			b.startCollection()
		}
		if !fits && !b.mayOverdraw(d.taker) {
			kept = append(kept, d)
			continue
		}
		b.add(d.taker, d.bytes)
		d.done <- nil
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
}

// mayOverdraw reports whether a taker may draw although nothing is left. One taker at a time
// that can't be closed may, if nothing is about to be returned: otherwise those who can only wait
// would wait for one another, and for statements that wait for them. The caller holds the lock.
func (b *Budget) mayOverdraw(t *taker) bool {
	if t.end != nil || b.ending > 0 || b.garbage.collecting || b.over != nil && b.over != t {
		return false
	}
	b.over = t
	return true
}

// closeForWaiting closes takers for the oldest draw that waits, after a taker became one that
// may be closed. It returns their end functions. The caller holds the lock.
func (b *Budget) closeForWaiting() []func() {
	if len(b.waiting) == 0 {
		return nil
	}
	return b.closeFor(b.waiting[0].taker, b.waiting[0].bytes)
}
