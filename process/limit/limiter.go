// Package limit holds the rates at which services may send requests.
package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// burstTime is how much of its rate a service may use at once.
const burstTime = time.Second

// Limiter keeps one token bucket for each service at this host.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*rate.Limiter
	now     func() time.Time
}

// New returns an empty table with a clock.
func New(now func() time.Time) *Limiter {
	return &Limiter{buckets: map[string]*rate.Limiter{}, now: now}
}

// Admit takes one request of a service with a rate in requests a second; 0 is
// no limit. Where the request is over the rate it returns false and after how
// long the next will be let in.
func (l *Limiter) Admit(service string, perSecond float64) (time.Duration, bool) {
	if perSecond <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[service]
	if !ok || b.Limit() != rate.Limit(perSecond) {
		b = rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond*burstTime.Seconds()), 1))
		l.buckets[service] = b
	}
	now := l.now()
	r := b.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
		return wait, false
	}
	return 0, true
}
