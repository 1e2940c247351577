package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/share"
	"github.com/pistachiotray/pistachiotray/version/cust"
)

const (
	// rateShare is the part of a limit that is handed out as rates when the demand reaches
	// the limit. The rest is for hosts whose demand has just begun.
	rateShare = 0.9
	// saturation is the demand over the limit from which the customer counts as limited.
	saturation = 0.95
	// scarceStock is the part of the stock below which the free tokens of a saturated
	// customer are divided by demand, so that a short excess is served from the stock.
	scarceStock = 0.1
	// fullDemand is the demand over the limit from which all of the limit is divided.
	fullDemand = 0.5
	// spareStock is the stock per host from which every host gets a token of its own while
	// the customer is limited.
	spareStock = 3
	// reserve is the part of the stock that only hosts get which have operations waiting,
	// unless one host has all the demand.
	reserve = 0.25
	// steadyRate is the part of a rate below which a lower one is not worth it.
	steadyRate = 0.15
	// hysteresis is how far a bucket may exceed its target before it loses tokens.
	hysteresis = 1.25
	// drawFactor is how much of its part of the free tokens a host gets with one claim of a
	// limited customer. A higher factor leaves fewer tokens unused, a lower one divides
	// them more evenly.
	drawFactor = 4
	// rounding allows for the rounding of tokens that add up to one.
	rounding = 1e-9
	// minDemand is the demand in operations per second below which a host needs no share.
	minDemand = 0.05
	// extraStock is for how many seconds the extra part may be saved up.
	extraStock = 1
	// gapPart is the part of overage and slack that is handed out while it is not known
	// what is held on a host's account elsewhere, and by a majority in place of silent
	// hosts. Both can happen at once, the first for less than half of the hosts. stockPart
	// is the part that may be unused at a time. The rest, at least 15%, allows for operations
	// that are admitted and run a little later.
	gapPart   = 0.3
	stockPart = 0.6
)

// holding is what a host may hold of a customer's limit until a time.
type holding struct {
	rate, burst float64
	until       time.Duration
}

// entry is one host's part of one customer's limit.
type entry struct {
	// told is what the host reported to hold, and granted what it was sent since. It may
	// hold either until its next claim tells.
	told, granted holding
	// rate and most are what counts against the limit: tokens per second, and the most
	// tokens that the host can get. level is the most that it can have had at the
	// time levelAt.
	rate, most, level float64
	levelAt           time.Duration
	demand            float64
	// returned is what the host told of lost tokens, negative if it has not told yet.
	returned float64
	// inherited is what the host had from another coordinator when it sent its first
	// claim, until that coordinator no longer counts the host.
	inherited holding
	// due is the host's claim on whole tokens that has added up while its part is less
	// than one token.
	due float64
	// number is the number of the claim that last named the customer.
	number uint64
}

// count returns what the host may hold from now on: the highest rate, and the most tokens it
// can have if it has no more than level now. until is when that changes.
func (e *entry) count(now time.Duration, level float64) (rate, most float64, until time.Duration) {
	until = now + knownMemory
	var burst float64
	var last time.Duration
	for _, h := range []holding{e.told, e.granted} {
		if h.until > now {
			rate, burst = max(rate, h.rate), max(burst, h.burst)
			until, last = min(until, h.until), max(last, h.until)
		}
	}
	return rate, min(burst, level+rate*(last-now).Seconds()), until
}

// account is what is known of one customer: the tokens that no host holds, and the sums
// over the hosts' entries.
type account struct {
	tokens              float64
	at                  time.Duration
	cleanTotal          float64
	extraTotal          float64
	majorTotal          float64
	followTotal         float64
	entries             map[string]*entry
	rates, most, demand float64
	// levels and gained give the most tokens that all hosts can have: levels, plus rates
	// times the time, less gained. gained is the sum of the rates times their levelAt.
	levels, gained float64
	// sweepAt is the earliest time at which a holding expires.
	sweepAt time.Duration
	// inherited is the sum of what the hosts inherited, until the first part of it ends.
	inherited holding
}

// hosts returns the hosts with an entry in a fixed order, so that sums are the same in each
// run.
func (a *account) hosts() []string {
	return slices.Sorted(maps.Keys(a.entries))
}

// inherit adds up what the hosts inherited.
func (a *account) inherit(now time.Duration) {
	a.inherited = holding{until: now + knownMemory}
	for _, host := range a.hosts() {
		if i := a.entries[host].inherited; i.until > now {
			a.inherited = holding{a.inherited.rate + i.rate, a.inherited.burst + i.burst, min(a.inherited.until, i.until)}
		}
	}
}

// recount replaces what an entry counts in the sums. level is the most tokens that the host
// can have now.
func (a *account) recount(e *entry, now time.Duration, level float64) {
	a.drop(e)
	rate, most, until := e.count(now, level)
	e.rate, e.most, e.level, e.levelAt = rate, most, min(level, most), now
	a.rates += e.rate
	a.most += e.most
	a.levels += e.level
	a.gained += e.rate * e.levelAt.Seconds()
	a.sweepAt = min(a.sweepAt, until)
}

// drop takes what an entry counts out of the sums.
func (a *account) drop(e *entry) {
	a.rates -= e.rate
	a.most -= e.most
	a.levels -= e.level
	a.gained -= e.rate * e.levelAt.Seconds()
	e.rate, e.most, e.level = 0, 0, 0
}

// held returns the most tokens that all hosts can have now.
func (a *account) held(now time.Duration) float64 {
	return min(a.levels+a.rates*now.Seconds()-a.gained, a.most)
}

// sweep recomputes all sums, once a holding has expired. This also ends the accumulation of
// rounding errors.
func (a *account) sweep(now time.Duration) {
	a.rates, a.most, a.demand, a.levels, a.gained, a.sweepAt = 0, 0, 0, 0, 0, now+knownMemory
	for _, host := range a.hosts() {
		e := a.entries[host]
		if e.told.until <= now && e.granted.until <= now {
			// The host is silent, or has lost interest.
			e.demand = 0
		}
		level := e.level + e.rate*(now-e.levelAt).Seconds()
		e.rate, e.most, e.level = 0, 0, 0
		a.recount(e, now, level)
		a.demand += e.demand
	}
}

// remove removes the entry of a host.
func (a *account) remove(host string) {
	if e, ok := a.entries[host]; ok {
		a.drop(e)
		a.demand -= e.demand
		delete(a.entries, host)
	}
}

// account returns a customer's account with the tokens gained up to now, and the budget. An
// account that is new has what was gained since this coordinator has had a share of the limits.
func (c *Coordinator) account(now time.Duration, limit cust.Customer) (*account, budget) {
	a, ok := c.accounts[limit.Name]
	if !ok {
		a = &account{entries: map[string]*entry{}, at: now, sweepAt: now + knownMemory}
		c.accounts[limit.Name] = a
	}
	passed := (now - a.at).Seconds()
	gained := limit.Rate * (c.cleanTotal - a.cleanTotal)
	continued := 0.0
	if now < a.inherited.until {
		continued = min(gained+a.inherited.rate*passed, limit.Rate*(c.followTotal-a.followTotal))
	} else {
		a.inherit(now)
	}
	gained += c.extraRate(limit)*(c.extraTotal-a.extraTotal) + c.majorRate(limit)*(c.majorTotal-a.majorTotal)
	// The rates of holdings that have expired since the last call count for the whole time,
	// which errs on the safe side.
	a.tokens += max(gained, continued) - a.rates*passed
	a.at, a.cleanTotal, a.extraTotal, a.majorTotal, a.followTotal = now, c.cleanTotal, c.extraTotal, c.majorTotal, c.followTotal
	if now >= a.sweepAt {
		a.sweep(now)
	}
	b := c.budget(limit, a.inherited)
	a.tokens = min(a.tokens, max(b.stock-a.held(now), 0))
	return a, b
}

// divide returns the host's shares for a claim. Customers that the claim doesn't name are
// those of which the host holds nothing.
func (c *Coordinator) divide(now, until time.Duration, f *follower, cl claim.Claim, plan limits) []share.Share {
	shares := make([]share.Share, 0, len(cl.Shares))
	for _, s := range cl.Shares {
		limit, ok := plan.CustomerNamed(s.Customer)
		if !ok || !limit.Limited() {
			continue
		}
		limit = c.even(limit)
		a, b := c.account(now, limit)
		e, ok := a.entries[cl.Host]
		if !ok {
			e = &entry{returned: -1}
			a.entries[cl.Host], f.entries[s.Customer] = e, e
		}
		a.tell(e, now, cl.Number, s)
		if f.inherits {
			left := time.Duration(s.LeftMs) * time.Millisecond
			e.inherited = holding{s.Rate, min(s.Burst, s.Tokens+s.Rate*left.Seconds()), f.cleanAt}
			a.inherit(now)
			b = c.budget(limit, a.inherited)
		}
		a.tokens = min(a.tokens, max(b.stock-a.held(now), 0))
		b.patient = c.starting(now)
		shares = append(shares, a.grant(e, now, until, b, s))
	}
	for customer, e := range f.entries {
		if e.number == cl.Number || cl.Partial {
			continue
		}
		if a, ok := c.accounts[customer]; ok {
			a.remove(cl.Host)
		}
		delete(f.entries, customer)
	}
	return shares
}

// tell takes note of what a host told about its part of the limit.
func (a *account) tell(e *entry, now time.Duration, number uint64, s share.Share) {
	demand := max(s.Demand, 0)
	a.demand += demand - e.demand
	e.demand, e.number = demand, number
	if e.returned >= 0 && s.Returned > e.returned {
		a.tokens += s.Returned - e.returned
	}
	e.returned = s.Returned
	e.told = holding{s.Rate, s.Burst, now + time.Duration(s.LeftMs)*time.Millisecond}
	e.granted = holding{}
	a.recount(e, now, s.Tokens)
}

// grant decides a host's new part of the limit.
func (a *account) grant(e *entry, now, until time.Duration, b budget, s share.Share) share.Share {
	limited := a.demand >= saturation*b.rate && a.tokens < scarceStock*b.stock && !b.patient
	if e.demand < minDemand && s.Waiting == 0 {
		e.granted = holding{until: until}
		return share.New(s.Customer).WithLimited(limited)
	}
	// At a demand far below the limit no host needs its whole part of the demand in tokens.
	weight := min(e.demand/max(a.demand, b.rate*fullDemand, minDemand), 1)
	// Half of the stock stays free for hosts that need tokens at once, unless one host has
	// all the demand. Where there are more hosts than tokens, more than half does.
	target := b.stock * weight * (1 + weight) / 2 * min(b.stock/float64(len(a.entries)), 1)
	if hosts := float64(len(a.entries)); limited && b.stock >= spareStock*hosts {
		// Every host can have a token and a rate, which outlasts the loss of the coordinator.
		target = 1 + target*(1-hosts/b.stock)
	}
	var kept holding
	if e.inherited.until > now && e.inherited.burst >= 1 && limited {
		// The host goes on as before, since the budget is what the hosts had.
		kept = e.inherited
		target = max(target, kept.burst)
	}
	free := max(a.tokens, 0)
	if !limited && s.Waiting == 0 {
		free = max(a.tokens-reserve*(1-weight)*b.stock, 0)
	}
	tokens := max(min(a.draw(e, weight, target, limited, s), free), 0)
	burst, rate := s.Tokens+tokens, 0.0
	if target < 1 && burst < 1-rounding {
		// Parts of a token can't be used where none is added, so the host returns them.
		tokens, burst = 0, 0
	}
	if target >= 1 {
		// The rates use less of a lower demand, so that more is free where it varies.
		use := min(a.demand/max(b.rate, minDemand), 1)
		rate = rateShare * min(a.demand, b.rate) * use * weight
		if rate < s.Rate && s.Rate-rate < steadyRate*s.Rate {
			// Both the old and the new rate count until the host confirms the new one.
			rate = s.Rate
		}
		rate = min(max(rate, kept.rate), b.rate-(a.rates-e.rate))
		burst = max(target, min(s.Tokens, target*hysteresis), s.Tokens+tokens)
	}
	room := b.stock - (a.most - e.most)
	if a.held(now) <= b.stock {
		// The free tokens have room in any case.
		room = max(room, s.Tokens+tokens)
	}
	burst = max(min(burst, room), 0)
	tokens = max(min(tokens, burst-s.Tokens), 0)
	a.tokens -= tokens
	e.granted = holding{max(rate, 0), burst, until}
	a.recount(e, now, s.Tokens+tokens)
	return share.New(s.Customer).WithBucket(max(rate, 0), burst, tokens).WithLimited(limited || burst < 1-rounding && a.tokens < 1 && !b.patient)
}

// draw returns how many of the free tokens a host should get.
func (a *account) draw(e *entry, weight, target float64, limited bool, s share.Share) float64 {
	if !limited {
		e.due = 0
		switch {
		case s.Waiting > 0:
			return max(target, float64(s.Waiting)) - s.Tokens
		case target < 1:
			// Parts of a token can't be used.
			return math.Round(target) - s.Tokens
		}
		return target - s.Tokens
	}
	part := max(a.tokens, 0) * weight * drawFactor
	if target >= 1 {
		if s.Waiting > 0 {
			part = max(part, 1-s.Tokens)
		}
		return min(part, target-s.Tokens)
	}
	if s.Waiting > 0 {
		// The host did not know that the customer is limited.
		return 1 - s.Tokens
	}
	// Parts of a token can't be used, so whole ones are given out in turn.
	e.due = min(e.due+part, 1)
	if e.due < 1 || s.Tokens >= 1 || a.tokens < 1 {
		return 0
	}
	e.due = 0
	return 1
}
