// Package bucket holds one host's shares of the customers' limits as token buckets, and
// decides which coordinator the host follows. docs/design/quota.md describes it.
package bucket

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/quota"
	"github.com/pistachiotray/pistachiotray/process/share"
	"github.com/pistachiotray/pistachiotray/process/skips"
)

const (
	// firstInterval is the time between two claims before a coordinator told another.
	firstInterval = 500 * time.Millisecond
	// firstAccount is for how long an earlier process of this host may still count at a
	// coordinator, before a coordinator told another time.
	firstAccount = 2900 * time.Millisecond
	// maxFailures is the number of failed claims in a row after which another coordinator
	// is asked. One failure may be due to a connection that broke.
	maxFailures = 2
	// partialTime is the part of an interval after a claim about all customers within which
	// further claims are partial, since operations wait for a few customers only.
	partialTime = 0.8
)

// Buckets is one host's shares. Its times are those of the caller's clock, which must
// include the time for which the machine was suspended. It is not safe for concurrent use.
type Buckets struct {
	self  string
	start uint64
	// startedAt is when the process started.
	startedAt time.Duration
	// order holds the live hosts in the order in which they become the coordinator.
	order   []string
	skipped *skips.Skips
	number  uint64
	// current is the coordinator that this host follows, and failures the number of
	// claims in a row that it did not answer. advised is who it says should coordinate.
	current  string
	advised  string
	failures int
	// consulted is set once another host was asked who coordinates.
	consulted bool
	era       uint64
	echo      time.Duration
	echoAt    time.Duration
	interval  time.Duration
	account   time.Duration
	// wholeAt is when the last claim was sent that told about all customers, to the
	// coordinator wholeEra.
	wholeAt  time.Duration
	wholeEra uint64
	// accounts holds the time until which each coordinator may count this host, by era,
	// and left the same by name for those that this host no longer follows.
	accounts map[uint64]time.Duration
	left     map[string]time.Duration
	buckets  map[string]*bucket
}

// New returns the buckets of a host, without a coordinator. start identifies the process.
func New(self string, start uint64, now time.Duration) *Buckets {
	return &Buckets{
		self: self, start: start, startedAt: now, skipped: skips.New(), interval: firstInterval, account: firstAccount,
		accounts: map[uint64]time.Duration{}, left: map[string]time.Duration{}, buckets: map[string]*bucket{},
	}
}

// SetHosts sets the names of the live hosts.
func (bs *Buckets) SetHosts(live []string) {
	bs.order = slices.SortedFunc(slices.Values(live), func(a, b string) int {
		return cmp.Or(cmp.Compare(quota.Order(a), quota.Order(b)), cmp.Compare(a, b))
	})
}

// Coordinator returns the host that this host follows, empty if there is none.
func (bs *Buckets) Coordinator() string {
	return bs.current
}

// Starting reports whether this process started so short ago that all hosts may have
// restarted with it.
func (bs *Buckets) Starting(now time.Duration) bool {
	return now-bs.startedAt < firstAccount
}

// Interval returns the time between two claims.
func (bs *Buckets) Interval() time.Duration {
	return bs.interval
}

// Settled reports whether the next claim goes to a coordinator that this host follows. It
// is false while a coordinator has yet to be asked for its era, which can be done at once.
func (bs *Buckets) Settled(now time.Duration) bool {
	return bs.current != "" && bs.destination(now) == bs.current
}

// destination returns the host to which the next claim is sent, empty if there is none.
func (bs *Buckets) destination(now time.Duration) string {
	switch {
	case bs.current != "" && bs.failures < maxFailures:
		return bs.better(now)
	case bs.consults():
		return bs.order[1]
	case bs.current == "" && slices.Contains(bs.order, bs.advised) && bs.eligible(bs.advised, now):
		return bs.advised
	}
	for _, h := range bs.order {
		if h != bs.current && bs.eligible(h, now) {
			return h
		}
	}
	return bs.current
}

// better returns the host to which this one moves from a coordinator that answers: the one that
// should coordinate or, if that can't be reached, the first in the order that can. Otherwise hosts
// that were cut off from each other would keep two coordinators as long as a lost host comes first.
func (bs *Buckets) better(now time.Duration) string {
	if bs.advised == "" || bs.advised == bs.current || !slices.Contains(bs.order, bs.advised) {
		return bs.current
	}
	if bs.eligible(bs.advised, now) {
		return bs.advised
	}
	for _, h := range bs.order {
		if h == bs.current || bs.eligible(h, now) {
			return h
		}
	}
	return bs.current
}

// consults reports whether the next claim only asks another host who coordinates. A host that
// has just started and comes first in the order may take over from the coordinator.
func (bs *Buckets) consults() bool {
	return bs.current == "" && !bs.consulted && len(bs.order) > 1 && bs.order[0] == bs.self
}

// eligible reports whether this host may begin to follow a coordinator. It does not return
// to one that may still count it, since that one may have handed out something in between.
func (bs *Buckets) eligible(host string, now time.Duration) bool {
	return bs.skipped.End(host) <= now && bs.left[host] <= now
}

// Claim returns the next claim and the host to which to send it. It returns false if no
// host is known that could coordinate. ready means that this host can take over the accounts of the
// coordinator, which it does not if it is about to stop. Every claim must be followed by Accept or
// Fail before the next one.
func (bs *Buckets) Claim(now time.Duration, ready bool) (string, claim.Claim, bool) {
	to := bs.destination(now)
	if to == "" {
		return "", claim.Claim{}, false
	}
	bs.number++
	c := claim.New(bs.self, bs.start, bs.number).WithKnown(len(bs.order)).WithReady(ready && to != bs.self && slices.Contains(bs.order, bs.self))
	if to != bs.current {
		return to, c, true
	}
	clean, extra := bs.foreign(now)
	bs.accounts[bs.era] = now + bs.account
	partial := bs.wholeEra == bs.era && bs.failures == 0 && float64(now-bs.wholeAt) < partialTime*float64(bs.interval)
	if !partial {
		bs.wholeAt, bs.wholeEra = now, bs.era
	}
	if clean <= max(bs.startedAt+bs.account-now, 0) && extra == 0 {
		c = c.WithFresh(now - bs.startedAt)
	}
	return to, c.WithEcho(bs.era, bs.echo, now-bs.echoAt).WithAccounts(clean, extra).WithPartial(partial).WithShares(bs.shares(now, partial)...), true
}

// foreign returns for how long another coordinator may still count this host, and for how
// long more than one may. An earlier process of this host may have had a coordinator that
// is not known.
func (bs *Buckets) foreign(now time.Duration) (clean, extra time.Duration) {
	clean = max(bs.startedAt+bs.account-now, 0)
	for era, end := range bs.accounts {
		switch left := end - now; {
		case era == bs.era:
		case left <= 0:
			delete(bs.accounts, era)
		case left > clean:
			clean, extra = left, clean
		default:
			extra = max(extra, left)
		}
	}
	return clean, extra
}

// shares returns the shares in a claim, and forgets the buckets that are not needed. A partial
// claim has only those for which operations wait.
func (bs *Buckets) shares(now time.Duration, partial bool) []share.Share {
	shares := make([]share.Share, 0, len(bs.buckets))
	for _, customer := range slices.Sorted(maps.Keys(bs.buckets)) {
		if partial && bs.buckets[customer].waiting == 0 {
			continue
		}
		s := bs.buckets[customer].claim(now, customer)
		bs.buckets[customer].named = bs.number
		if s.LeftMs == 0 && s.Demand == 0 && s.Waiting == 0 {
			delete(bs.buckets, customer)
			continue
		}
		shares = append(shares, s)
	}
	return shares
}

// Fail takes note that a host did not answer a claim.
func (bs *Buckets) Fail(now time.Duration, to string) {
	bs.consulted = true
	if to == bs.current {
		bs.failures++
	}
	if to != bs.current || bs.failures >= maxFailures {
		bs.skipped.Unreachable(to, now)
	}
}

// Accept takes note of a host's answer to the claim that was sent at a time.
func (bs *Buckets) Accept(now, sent time.Duration, to string, a award.Award) {
	bs.skipped.Clear(to)
	bs.advised = a.Coordinator
	if bs.consults() && to == bs.order[1] && a.Coordinator != "" && a.Coordinator != to {
		bs.consulted = true
		return
	}
	bs.consulted = true
	if to != bs.current || a.Era != bs.era {
		bs.move(now, to, a.Era)
	}
	bs.failures, bs.echo, bs.echoAt = 0, a.At, now
	bs.interval = time.Duration(a.IntervalMs) * time.Millisecond
	bs.account = time.Duration(a.AccountMs) * time.Millisecond
	if !a.Confirmed {
		return
	}
	until := sent + time.Duration(a.LifetimeMs)*time.Millisecond
	for _, b := range bs.buckets {
		b.fresh = false
	}
	for _, s := range a.Shares {
		if b, ok := bs.buckets[s.Customer]; ok {
			b.replace(now, until, s, a.Keep)
		}
	}
	for _, b := range bs.buckets {
		if !b.fresh && b.named == bs.number {
			b.replace(now, until, share.Share{}, a.Keep)
		}
	}
}

// TakeOver makes this host follow itself, which has taken over the accounts of the coordinator
// that it followed. The era and the shares stay the same.
func (bs *Buckets) TakeOver() {
	bs.current, bs.advised = bs.self, bs.self
}

// Follows returns the other host that this one follows, empty if there is none or it did not
// answer the last claim.
func (bs *Buckets) Follows() string {
	if bs.current == bs.self || bs.failures > 0 {
		return ""
	}
	return bs.current
}

// move makes this host follow another coordinator. Shares from the one before remain until
// they expire or the new one replaces them. If the era is the same, the one before has given
// its accounts to the new one, and nothing else changes.
func (bs *Buckets) move(now time.Duration, to string, era uint64) {
	if era == bs.era {
		bs.current = to
		return
	}
	if bs.current != "" && bs.current != to {
		bs.left[bs.current] = bs.accounts[bs.era]
	}
	bs.current, bs.era = to, era
	for name, end := range bs.left {
		if end <= now || name == to {
			delete(bs.left, name)
		}
	}
	for _, b := range bs.buckets {
		b.moved()
	}
}
