// Package limit limits the rate at which each service may send requests.
package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// burstTime determines the burst of a service, which is the number of requests that
// its rate allows in this time, but at least one.
const burstTime = time.Second

// Limiter keeps one token bucket for each service at this host.
type Limiter struct {
	// mu protects buckets.
	mu sync.Mutex
	// buckets holds the token buckets, by service name.
	buckets map[string]*rate.Limiter
	now     func() time.Time
}

// New returns a Limiter without buckets that reads the time from now.
func New(now func() time.Time) *Limiter {
	return &Limiter{buckets: map[string]*rate.Limiter{}, now: now}
}

// Admit counts one request against a service's rate, in requests per second; 0
// means no limit. If the request exceeds the rate, Admit returns false and how long
// to wait until a request will be admitted; the request is then not counted. A
// changed rate starts with a full burst.
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
