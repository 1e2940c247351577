package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/books"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/share"
)

// acting reports whether hosts may follow this coordinator or have shares from it, by the
// caller's clock.
func (c *Coordinator) acting(now time.Duration) bool {
	_, valid, counts := c.times()
	return c.confirmedAt != 0 && now+c.shift-c.confirmedAt < counts+valid
}

// waits reports whether this coordinator sends a host to the one that this host follows. One
// that has just started could not take over the accounts any more if it had followers.
func (c *Coordinator) waits(now time.Duration, asking, follows string) bool {
	return follows != "" && follows != asking && !c.acting(now)
}

// Ready reports whether this coordinator has no followers, so that Take can replace its
// accounts.
func (c *Coordinator) Ready(now time.Duration) bool {
	return !c.acting(now)
}

// give returns the accounts for the host that takes them over, and goes on without any, in
// another era. What was handed out in the era before counts only there from then on.
func (c *Coordinator) give(now time.Duration, host string, plan limits) books.Books {
	c.given, c.givenTo, c.givenAt = c.export(now+c.shift, plan), host, now
	c.ownEra++
	c.reset(c.ownEra, 0, now)
	return c.given
}

// afterHandover returns the answer to a claim in an era that was given away lately, and false
// if the claim has another one. The next coordinator gets the accounts again, since the answer
// with them may have been lost; the others are sent there.
func (c *Coordinator) afterHandover(now time.Duration, cl claim.Claim, answer award.Award) (award.Award, bool) {
	if c.givenTo == "" || cl.Era != c.given.Era || now-c.givenAt >= handoverTime || c.acting(now) {
		return award.Award{}, false
	}
	b := c.given.WithAge(now - c.givenAt)
	answer.Era, answer.At, answer.Coordinator = b.Era, b.At, c.givenTo
	if cl.Host == c.givenTo && cl.Ready {
		answer = answer.WithBooks(b)
	}
	return answer, true
}

// reset replaces the accounts by none, in an era whose clock is ahead of the caller's by shift.
func (c *Coordinator) reset(era uint64, shift, now time.Duration) {
	c.era, c.shift = era, shift
	c.followers, c.accounts = map[string]*follower{}, map[string]*account{}
	c.lastAt, c.integratedAt, c.confirmedAt, c.begunAt = 0, now+shift, 0, 0
	c.cleanTotal, c.extraTotal, c.followTotal, c.majorTotal = 0, 0, 0, 0
	c.cleanShare, c.extraShare, c.majority, c.majoritySince, c.whole = 0, 0, false, 0, false
}

// export returns the accounts at a time of the era's clock.
func (c *Coordinator) export(at time.Duration, plan limits) books.Books {
	var claims []claim.Claim
	for _, name := range slices.Sorted(maps.Keys(c.followers)) {
		f := c.followers[name]
		// Held is the time from the echo to the end of the promise.
		cl := claim.New(name, f.start, f.number).WithEcho(c.era, f.echo, max(f.until-f.echo, 0)).WithKnown(c.hosts).
			WithAccounts(max(f.cleanAt-at, 0), max(f.extraAt-at, 0))
		shares := make([]share.Share, 0, len(f.entries))
		for _, customer := range slices.Sorted(maps.Keys(f.entries)) {
			shares = append(shares, f.entries[customer].export(at, customer))
		}
		claims = append(claims, cl.WithShares(shares...))
	}
	var free []share.Share
	for _, customer := range slices.Sorted(maps.Keys(c.accounts)) {
		if limit, ok := plan.CustomerNamed(customer); ok && limit.Limited() {
			a, _ := c.account(at, c.even(limit))
			free = append(free, share.New(customer).WithBucket(0, 0, max(a.tokens, 0)))
		}
	}
	return books.New(c.era, max(at, c.lastAt)).WithClaims(claims...).WithFree(free...)
}

// export returns the most that the host can have of a customer's limit.
func (e *entry) export(at time.Duration, customer string) share.Share {
	var most holding
	for _, h := range []holding{e.told, e.granted} {
		if h.until > at {
			most = holding{max(most.rate, h.rate), max(most.burst, h.burst), max(most.until, h.until)}
		}
	}
	left := int64(0)
	if most.until > at {
		left = (most.until - at + time.Millisecond - 1).Milliseconds()
	}
	level := min(e.level+e.rate*(at-e.levelAt).Seconds(), most.burst)
	return share.New(customer).WithDemand(e.demand, 0).WithBucket(most.rate, most.burst, level).
		WithLeft(left)
}

// Take replaces the accounts by those of another coordinator, which gave them in the answer to
// a claim sent at a time. It reports false if this coordinator has followers.
func (c *Coordinator) Take(now, sent time.Duration, b books.Books, plan limits) bool {
	if c.acting(now) {
		return false
	}
	// The accounts are no older than the claim, so that the era's clock is not late. Nothing
	// is gained for the time on the way.
	at := b.At + now - sent
	c.reset(b.Era, at-now, now)
	c.settledAt = now + settleTime
	c.lastAt, c.confirmedAt, c.begunAt = at, at, at
	for _, cl := range b.Claims {
		c.noteKnown(now, cl.Known)
	}
	for _, s := range b.Free {
		if limit, ok := plan.CustomerNamed(s.Customer); ok && limit.Limited() {
			c.accounts[s.Customer] = &account{entries: map[string]*entry{}, tokens: s.Tokens, at: at, sweepAt: at + knownMemory}
		}
	}
	for _, cl := range b.Claims {
		c.restore(at, cl)
	}
	c.share(at)
	return true
}

// restore adds a follower by its claim in the accounts.
func (c *Coordinator) restore(at time.Duration, cl claim.Claim) {
	f := &follower{start: cl.Start, number: cl.Number, echo: cl.Echo, heardAt: at, entries: map[string]*entry{}}
	f.until = cl.Echo + time.Duration(cl.HeldMs)*time.Millisecond
	f.cleanAt = at + time.Duration(cl.CleanMs)*time.Millisecond
	f.extraAt = at + time.Duration(cl.ExtraMs)*time.Millisecond
	c.followers[cl.Host] = f
	for _, s := range cl.Shares {
		a, ok := c.accounts[s.Customer]
		if !ok {
			continue
		}
		e := &entry{}
		a.tell(e, at, cl.Number, s)
		e.returned = -1 // what the host lost is known from its next claim on
		a.entries[cl.Host], f.entries[s.Customer] = e, e
	}
}
