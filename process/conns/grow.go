package conns

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// grow starts to open connections for waiting calls. Up to this host's share,
// it opens them at once; beyond the share, one per growPause, and beyond the
// number crowd one per crowdedGrowPause. It never exceeds the limit; the caller holds the lock.
func (p *Pool) grow() {
	if p.closed || len(p.waiting) == 0 {
		return
	}
	now := p.now()
	if now < p.pausedUntil {
		p.growLater(p.pausedUntil - now)
		return
	}
	for p.openingCount < len(p.waiting) && p.openCount+p.openingCount < p.limit {
		if p.openCount+p.openingCount >= p.share {
			if now < p.nextGrowth || p.openingCount > 0 {
				p.growLater(max(p.nextGrowth-now, growPause/2))
				return
			}
			p.nextGrowth = now + p.growthPause()
		}
		p.openingCount++
		go p.openOne()
	}
}

// growthPause returns the pause after a connection that is opened beyond the share;
// the caller holds the lock.
func (p *Pool) growthPause() time.Duration {
	if p.openCount+p.openingCount+1 >= p.crowd {
		return crowdedGrowPause
	}
	return growPause
}

// growLater schedules a call of grow after wait, unless a call is already
// scheduled; the caller holds the lock.
func (p *Pool) growLater(wait time.Duration) {
	if p.growScheduled {
		return
	}
	p.growScheduled = true
	time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.growScheduled = false
		p.grow()
	})
}

// openOne opens a connection and passes it to the first waiting call. If the
// target is full, no other connection is opened for fullPause, and the waiting
// calls fail only if this host has no open connection to the target. After any
// other error, all waiting calls fail.
func (p *Pool) openOne() {
	ctx, stop := context.WithTimeout(context.Background(), openTimeout)
	defer stop()
	cn, err := p.open(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openingCount--
	switch {
	case err == nil && p.closed:
		cn.Close()
	case err == nil:
		if p.openCount == 0 && p.opened {
			p.lost++
		}
		p.opened = true
		p.openCount++
		if p.openCount >= p.share && p.warmSince == 0 {
			p.warmSince = p.now()
		}
		p.handOver(cn)
		p.grow()
	case errors.Is(err, ErrTargetFull):
		p.pausedUntil = p.now() + fullPause
		if p.openCount == 0 {
			p.failWaiting(err)
		}
		p.grow()
	default:
		p.failWaiting(err)
	}
}

// failWaiting makes all waiting calls return err; the caller holds the lock.
func (p *Pool) failWaiting(err error) {
	for _, w := range p.waiting {
		w.granted <- grant{err: err}
	}
	p.waiting = nil
}
