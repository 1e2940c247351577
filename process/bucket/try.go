package bucket

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/allow"
)

// Try takes a token of a customer for one operation, which counts as new unless it waited
// for tokens before. If there is none, it returns when to try again; wait means that a
// claim may bring tokens. ask means that a claim should be sent soon.
func (bs *Buckets) Try(now time.Duration, customer string, waited bool) (ok, wait, ask bool, after time.Duration) {
	b, known := bs.buckets[customer]
	if !known {
		b = &bucket{at: now, countedAt: now - firstInterval}
		bs.buckets[customer] = b
	}
	if !waited {
		b.asked++
	}
	e := b.refill(now)
	ok, wait, after = b.decide(now, e, bs.interval)
	switch {
	case ok:
		b.tokens = max(b.tokens-1, 0)
		ask = !b.limited && b.tokens < lowPart*e.burst
	case wait:
		b.waiting++
		ask = true
	}
	return ok, wait, ask, after
}

// decide returns what Try does about an operation, but for ask. The bucket must have been
// refilled, with the result e. interval is the time between two claims.
func (b *bucket) decide(now time.Duration, e grant, interval time.Duration) (ok, wait bool, after time.Duration) {
	if b.tokens >= 1-rounding {
		return true, false, 0
	}
	if b.limited && b.current.until > now {
		after = interval
		if e.rate > 0 && e.burst >= 1 {
			after = min(after, time.Duration((1-b.tokens)/e.rate*float64(time.Second)))
		}
		return false, false, after
	}
	return false, true, interval
}

// Peek returns what this host has of a customer's limit, and what Try would decide about an
// operation now. It changes nothing.
func (bs *Buckets) Peek(now time.Duration, customer string) allow.Allowance {
	b := bucket{at: now}
	if known, ok := bs.buckets[customer]; ok {
		b = *known
	}
	e := b.refill(now)
	a := allow.New(e.rate, e.burst, b.tokens).WithCoordinator(bs.current).WithDecision(b.decide(now, e, bs.interval))
	if age, ok := bs.Age(now, customer); ok {
		return a.WithTimes(age, e.until-now)
	}
	return a.WithTimes(-1, max(e.until-now, 0))
}

// Age returns how long ago a customer's share was renewed, and false if it has none.
func (bs *Buckets) Age(now time.Duration, customer string) (time.Duration, bool) {
	b, ok := bs.buckets[customer]
	if !ok || b.current.until <= now {
		return 0, false
	}
	return now - b.awardedAt, true
}
