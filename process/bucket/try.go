package bucket

import "time"

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
	if b.tokens >= 1-rounding {
		b.tokens = max(b.tokens-1, 0)
		return true, false, !b.limited && b.tokens < lowPart*e.burst, 0
	}
	if b.limited && b.current.until > now {
		after = bs.interval
		if e.rate > 0 && e.burst >= 1 {
			after = min(after, time.Duration((1-b.tokens)/e.rate*float64(time.Second)))
		}
		return false, false, false, after
	}
	b.waiting++
	return false, true, true, bs.interval
}

// Age returns how long ago a customer's share was renewed, and false if it has none.
func (bs *Buckets) Age(now time.Duration, customer string) (time.Duration, bool) {
	b, ok := bs.buckets[customer]
	if !ok || b.current.until <= now {
		return 0, false
	}
	return now - b.awardedAt, true
}
