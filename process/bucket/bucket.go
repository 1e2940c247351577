package bucket

import (
	"math"
	"time"

	"github.com/pistachiotray/pistachiotray/process/share"
)

const (
	// demandMemory is the time constant of the average of the demand. An average adds up
	// over the hosts, which the maximum of a fast and a slow one would not.
	demandMemory = time.Second
	// negligible is the demand below which a bucket counts as unused.
	negligible = 0.02
	// rounding allows for the rounding of tokens that add up to one.
	rounding = 1e-9
	// lowPart is the part of a bucket below which more tokens are asked for before it is
	// empty.
	lowPart = 0.25
)

// grant is what a coordinator granted until a time.
type grant struct {
	rate, burst float64
	until       time.Duration
}

// bucket is the token bucket of one customer. It has no tokens once its grants have expired.
type bucket struct {
	// now is the grant of the coordinator, and before that of an earlier one.
	current, before grant
	tokens          float64
	// returned is how many tokens the bucket has lost because it was full.
	returned float64
	at       time.Duration
	limited  bool
	// awardedAt is when the grant of the coordinator was renewed, for the log.
	awardedAt time.Duration
	// asked counts the operations since the last claim, at countedAt.
	asked     float64
	countedAt time.Duration
	demand    float64
	// waiting is how many operations found no token since the last claim or award.
	waiting int
	// named is the number of the last claim that named the customer, and fresh means that
	// the last award did.
	named uint64
	fresh bool
}

// effective returns the rate, the capacity and the end of what is granted at a time.
func (b *bucket) effective(now time.Duration) grant {
	var sum grant
	for _, g := range []grant{b.current, b.before} {
		if g.until > now {
			sum = grant{max(sum.rate, g.rate), max(sum.burst, g.burst), max(sum.until, g.until)}
		}
	}
	return sum
}

// refill adds the tokens gained since the last call, and drops those that the grants no
// longer allow.
func (b *bucket) refill(now time.Duration) grant {
	for b.at < now {
		// Grants may expire in between, so the time is taken in parts.
		next := now
		for _, g := range []grant{b.current, b.before} {
			if g.until > b.at {
				next = min(next, g.until)
			}
		}
		e := b.effective(b.at)
		b.tokens += e.rate * (next - b.at).Seconds()
		b.trim(e.burst)
		b.at = next
	}
	e := b.effective(now)
	b.trim(e.burst)
	return e
}

// trim takes the tokens out of the bucket that it can't hold.
func (b *bucket) trim(burst float64) {
	if b.tokens > burst {
		b.returned += b.tokens - burst
		b.tokens = burst
	}
}

// claim returns the customer's share for a claim.
func (b *bucket) claim(now time.Duration, customer string) share.Share {
	e := b.refill(now)
	if dt := now - b.countedAt; dt > 0 {
		b.demand = average(b.demand, b.asked, dt, demandMemory)
		b.asked, b.countedAt = 0, now
	}
	if b.demand < negligible {
		b.demand = 0
	}
	left := int64(0)
	if e.until > now {
		left = (e.until - now + time.Millisecond - 1).Milliseconds()
	}
	s := share.New(customer).WithDemand(b.demand, b.waiting).WithBucket(e.rate, e.burst, b.tokens).WithLeft(left).WithReturned(b.returned)
	b.waiting = 0
	return s
}

// average returns an exponential average with a time constant after n more events in dt.
func average(before, n float64, dt, constant time.Duration) float64 {
	keep := math.Exp(-dt.Seconds() / constant.Seconds())
	return before*keep + n/dt.Seconds()*(1-keep)
}

// replace replaces the coordinator's grant, and adds the tokens that come with it.
func (b *bucket) replace(now, until time.Duration, s share.Share, keep bool) {
	b.refill(now)
	b.current = grant{s.Rate, s.Burst, until}
	if !keep {
		b.before = grant{}
	}
	b.tokens += s.Tokens
	b.limited, b.fresh, b.awardedAt = s.Limited, true, now
	// The operations that wait try again now.
	b.waiting = 0
	b.refill(now)
}

// moved makes the coordinator's grant that of an earlier one.
func (b *bucket) moved() {
	if b.current.until > b.before.until {
		b.before = b.current
	}
	b.current, b.limited = grant{}, false
}
