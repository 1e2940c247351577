// Package quota decides which part of each customer's limit every host may use. It is the
// coordinator's side of the limits over all hosts; docs/design/quota.md describes it.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/books"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/version/cust"
)

const (
	// interval is the time between two claims of a host where there are up to
	// intervalHosts hosts. All times grow in proportion with more hosts, so that the
	// coordinator gets the same number of claims.
	interval      = 500 * time.Millisecond
	intervalHosts = 100
	// lifetime is how long a share is valid: four claims may get lost before a host is
	// without shares.
	lifetime = 2 * time.Second
	// followTime is for how long a host counts as a follower after it sent a claim. One
	// claim may get lost and be sent again. While a lost coordinator may still count its
	// followers, no other one has the limits, so this time is short.
	followTime = 900 * time.Millisecond
	// knownMemory is the time within which the number of known hosts does not fall, since
	// hosts that restart together are not known for a while.
	knownMemory = 10 * time.Second
	// startTime is for how long a coordinator lets operations wait for tokens rather than
	// refuses them, from when all known hosts follow it. After a restart of all hosts the
	// callers come back at once, and the buckets are empty.
	startTime = time.Second
	// handoverTime is how long a coordinator that should be replaced waits for the next one
	// to take over its accounts: two claims of it.
	handoverTime = time.Second
	// settleTime is for how long a coordinator that has taken over stays, although its list
	// of hosts, which may be late, names another one.
	settleTime = 3 * time.Second
)

// limits looks up the customers of the plan in force.
type limits interface {
	// CustomerNamed returns the customer with a name and reports whether there is one.
	CustomerNamed(name string) (cust.Customer, bool)
}

// Coordinator answers the claims of hosts with their shares of the customers' limits. The
// times of its methods are those of the caller's clock. It is not safe for concurrent use.
type Coordinator struct {
	window, overage, slack float64
	// ownEra is the last era of this process. era is the era of the accounts, which may be
	// that of another coordinator that gave them away, and shift the time on that one's
	// clock less the time on the caller's.
	ownEra, era uint64
	shift       time.Duration
	// first is the host that should coordinate, since firstSince by the caller's clock.
	first      string
	firstSince time.Duration
	// listed holds for each known host when it was first listed, and marked the hosts that are
	// marked as unheard. Both are by the caller's clock.
	listed map[string]time.Duration
	marked map[string]bool
	// lastSilent is the host that Silent returned last.
	lastSilent string
	// known holds the numbers of known hosts, by the caller's clock.
	known []knownCount
	// settledAt is when what the list of hosts says counts again after accounts were taken
	// over, by the caller's clock.
	settledAt time.Duration
	// given are the accounts that were given away last, to givenTo at givenAt, by the
	// caller's clock.
	given   books.Books
	givenTo string
	givenAt time.Duration

	// The fields below are the accounts, whose times are those of the era's clock.

	followers    map[string]*follower
	accounts     map[string]*account
	lastAt       time.Duration
	integratedAt time.Duration
	// confirmedAt is when a claim was last confirmed, 0 if none was.
	confirmedAt time.Duration
	// cleanShare is the share of the known hosts that only this coordinator counts, and
	// extraShare the share of those that one other coordinator may count.
	cleanShare, extraShare float64
	// cleanTotal, extraTotal and followTotal are cleanShare, extraShare and the sum of both
	// added up over the time, in seconds.
	cleanTotal, extraTotal, followTotal float64
	// majority means that most of the known hosts follow only this coordinator, so that no
	// other one has a majority, since majoritySince. majorTotal adds up the time, in seconds.
	majority      bool
	majoritySince time.Duration
	majorTotal    float64
	// hosts is the largest number of known hosts within knownMemory, and whole means that
	// all of them follow this coordinator.
	hosts int
	whole bool
	// begunAt is when this coordinator first had all known hosts as followers, 0 before.
	begunAt time.Duration
}

// follower is the state of one host that sent a claim.
type follower struct {
	start  uint64
	number uint64
	echo   time.Duration
	// until is the end of the time for which the host has promised to follow only this
	// coordinator. Before cleanAt another coordinator may count the host as well, and
	// before extraAt several others.
	until, cleanAt, extraAt time.Duration
	// heardAt is when the last claim came.
	heardAt time.Duration
	// inherits means that the claim in hand is the host's first, so that it tells what the
	// host has from another coordinator.
	inherits bool
	// freshSince is when the host's process started, if it has followed no other
	// coordinator since, and otherwise 0.
	freshSince time.Duration
	entries    map[string]*entry
}

// New returns a coordinator without followers. era identifies the process, and differs
// from that of every other coordinator. The bounds are those of a window of five seconds,
// with a tenth of overage and a slack of 20, unless an option sets others.
func New(era uint64, options ...func(*Coordinator)) *Coordinator {
	const (
		window  = 5
		overage = 0.1
		slack   = 20
	)
	c := &Coordinator{ownEra: era, era: era, window: window, overage: overage, slack: slack, listed: map[string]time.Duration{}, followers: map[string]*follower{}, accounts: map[string]*account{}}
	for _, o := range options {
		o(c)
	}
	return c
}

// WithBound returns an option that sets what may run in a window: the limit times
// 1 + overage, and slack operations.
func WithBound(window time.Duration, overage, slack float64) func(*Coordinator) {
	return func(c *Coordinator) {
		c.window, c.overage, c.slack = window.Seconds(), overage, slack
	}
}

// Order returns a host's place in the order in which hosts become the coordinator; the
// lowest comes first.
func Order(host string) uint64 {
	return xxhash.Sum64String("quota/" + host)
}

// times returns the interval between two claims, the lifetime of shares and the time for
// which a host counts as a follower.
func (c *Coordinator) times() (every, valid, follows time.Duration) {
	scale := func(d time.Duration) time.Duration {
		return max(d, d*time.Duration(c.hosts)/intervalHosts)
	}
	return scale(interval), scale(lifetime), scale(followTime)
}

// Award answers a claim. Limits are those of the plan in force. follows is the other host that
// this one follows as its coordinator, empty if there is none or it does not answer; for a claim
// of this host it is empty, too.
func (c *Coordinator) Award(now time.Duration, cl claim.Claim, plan limits, follows string) award.Award {
	c.noteKnown(now, cl.Known)
	every, valid, counts := c.times()
	at := now + c.shift
	c.lastAt = max(at, c.lastAt+1)
	answer := award.New(c.era, c.lastAt, c.advice(now, cl.Host, follows)).WithTimes(every, valid, counts+valid)
	c.integrate(at)
	if a, ok := c.afterHandover(now, cl, answer); ok {
		return a
	}
	if c.waits(now, cl.Host, follows) {
		return answer
	}
	f, ok := c.follow(at, cl, counts)
	if !ok {
		return answer
	}
	c.confirmedAt = at
	c.share(at)
	c.forget(at, plan)
	answer = answer.WithShares(!c.whole, c.divide(at, at+valid, f, cl, plan)...)
	if cl.Ready && cl.Host == c.first {
		answer = answer.WithBooks(c.give(now, cl.Host, plan))
	}
	return answer
}

// advice returns who should coordinate. While this coordinator has followers and should be
// replaced, they stay for handoverTime, so that the next one can take over the accounts.
func (c *Coordinator) advice(now time.Duration, asking, follows string) string {
	switch {
	case c.waits(now, asking, follows):
		return follows
	case c.acting(now) && (now-c.firstSince < handoverTime || now < c.settledAt):
		return ""
	}
	return c.first
}

// follow takes note of a confirmed claim. It reports false for a claim that is not
// confirmed or older than another one.
func (c *Coordinator) follow(now time.Duration, cl claim.Claim, follows time.Duration) (*follower, bool) {
	if cl.Era != c.era || cl.Echo <= 0 || cl.Echo > c.lastAt {
		return nil, false
	}
	f, known := c.followers[cl.Host]
	if !known {
		f = &follower{entries: map[string]*entry{}}
		c.followers[cl.Host] = f
	}
	if cl.Echo < f.echo || cl.Echo == f.echo && (cl.Start != f.start || cl.Number <= f.number) {
		return nil, false
	}
	fresh := f.start != cl.Start
	if fresh || now > f.until {
		// The host may have told another coordinator in between.
		for _, e := range f.entries {
			e.returned = -1
		}
	}
	wasClean := !fresh && f.cleanAt <= now && now <= f.until
	f.start, f.number, f.echo, f.heardAt = cl.Start, cl.Number, cl.Echo, now
	// The host sent the claim no earlier than this after it got the award, so that its
	// promise lasts longer, however late the claim arrives.
	sent := min(cl.Echo+max(time.Duration(cl.HeldMs)*time.Millisecond, 0), now)
	f.until = sent + follows
	if !wasClean {
		f.cleanAt = now + time.Duration(cl.CleanMs)*time.Millisecond
	}
	f.extraAt = now + time.Duration(cl.ExtraMs)*time.Millisecond
	f.freshSince = 0
	if cl.FreshMs > 0 {
		f.freshSince = now - time.Duration(cl.FreshMs)*time.Millisecond
	}
	f.inherits = !known && f.cleanAt > now && f.extraAt <= now
	return f, true
}

// integrate adds up the shares of the limit over the time since the last call. Each host
// counts only until its promise ends, however late the call comes.
func (c *Coordinator) integrate(now time.Duration) {
	since := c.integratedAt
	c.integratedAt = max(now, since)
	if c.hosts == 0 {
		return
	}
	whole, clean, extra, follow := 0, time.Duration(0), time.Duration(0), time.Duration(0)
	for _, f := range c.followers {
		end := min(now, f.until)
		clean += max(end-max(since, f.cleanAt), 0)
		extra += max(min(end, f.cleanAt)-max(since, f.extraAt), 0)
		follow += max(end-max(since, f.extraAt), 0)
		if f.cleanAt <= since && f.until >= now {
			whole++
		}
	}
	c.cleanTotal += clean.Seconds() / float64(c.hosts)
	c.followTotal += follow.Seconds() / float64(c.hosts)
	if 2*whole > c.hosts {
		c.majorTotal += (c.integratedAt - since).Seconds()
	} else {
		c.extraTotal += extra.Seconds() / float64(c.hosts)
	}
}

// share determines the shares of the limit that this coordinator may hand out now. Once
// every known host follows it, no other coordinator can hand out anything, so that the
// accounts of the hosts with others no longer matter.
func (c *Coordinator) share(now time.Duration) {
	following, clean, extra := 0, 0, 0
	for _, f := range c.followers {
		switch {
		case f.until < now:
			continue
		case f.cleanAt <= now:
			clean++
		case f.extraAt <= now:
			extra++
		}
		following++
	}
	c.whole = following >= c.hosts && c.hosts > 0
	if c.whole {
		c.begin(now)
		for _, f := range c.followers {
			if f.until >= now {
				f.cleanAt, f.extraAt = min(f.cleanAt, now), min(f.extraAt, now)
			}
		}
		clean, extra = following, 0
	}
	c.cleanShare, c.extraShare = 0, 0
	if c.hosts > 0 {
		c.cleanShare = min(float64(clean)/float64(c.hosts), 1)
		c.extraShare = min(float64(extra)/float64(c.hosts), 1-c.cleanShare)
	}
	majority := 2*clean > c.hosts
	if majority && !c.majority {
		c.majoritySince = now
	}
	c.majority = majority
}

// begin counts the time since the last of the hosts' processes started, once all known hosts
// follow for the first time. If all of them have just restarted, nothing ran in that time.
func (c *Coordinator) begin(now time.Duration) {
	if c.begunAt != 0 {
		return
	}
	c.begunAt = now
	if c.cleanTotal+c.extraTotal+c.majorTotal > 0 || len(c.accounts) > 0 {
		return
	}
	youngest := time.Duration(0)
	for _, f := range c.followers {
		if f.freshSince <= 0 {
			return
		}
		youngest = max(youngest, f.freshSince)
	}
	idle := max(now-youngest, 0).Seconds()
	c.cleanTotal += idle
	c.followTotal += idle
}

// starting reports whether operations should wait for tokens although none are left.
func (c *Coordinator) starting(now time.Duration) bool {
	return c.begunAt == 0 && c.cleanShare == 0 || c.begunAt != 0 && now-c.begunAt < startTime
}

// forget drops what is kept of hosts that have been silent for long, and of customers that
// are no longer in the plan.
func (c *Coordinator) forget(now time.Duration, plan limits) {
	for name, f := range c.followers {
		if now-f.until < knownMemory {
			continue
		}
		for customer := range f.entries {
			if a, ok := c.accounts[customer]; ok {
				a.remove(name)
			}
		}
		delete(c.followers, name)
	}
	for name, a := range c.accounts {
		if _, ok := plan.CustomerNamed(name); !ok && now-a.at > knownMemory {
			delete(c.accounts, name)
		}
	}
}

// Share returns which part of the limits this coordinator may hand out, from 0 to 1.
func (c *Coordinator) Share() float64 {
	return c.cleanShare
}
