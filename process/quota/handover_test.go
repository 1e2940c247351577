package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/quota"
	"github.com/pistachiotray/pistachiotray/process/share"
	"github.com/pistachiotray/pistachiotray/version/plan"
)

// handover is a coordinator that one host follows, which should take over from it, and an empty
// coordinator of that host.
type handover struct {
	from, to *quota.Coordinator
	era      uint64
	echo     time.Duration
	heard    time.Duration
	number   uint64
}

// newHandover returns a handover of which the coordinator has tokens to hand out. Both hosts' clocks
// differ by an hour.
func newHandover() *handover {
	h := &handover{from: quota.New(1), to: quota.New(2)}
	h.from.SetHosts(0, []string{"next"})
	h.to.SetHosts(time.Hour, []string{"next"})
	for at := time.Duration(0); at <= 2*time.Second; at += 500 * time.Millisecond {
		h.ask(h.from, at, 0, false)
	}
	return h
}

// ask sends a claim of the host, at which a number of operations wait.
func (h *handover) ask(c *quota.Coordinator, now time.Duration, waiting int, ready bool) award.Award {
	h.number++
	cl := claim.New("next", 1, h.number).WithKnown(1).WithReady(ready).WithEcho(h.era, h.echo, now-h.heard).
		WithShares(share.New(bakery.Name).WithDemand(1, waiting))
	a := c.Award(now, cl, plan.New(1).WithCustomers(bakery), "")
	h.era, h.echo, h.heard = a.Era, a.At, now
	return a
}

// tokens returns how many tokens an award brings.
func tokens(a award.Award) float64 {
	if len(a.Shares) == 0 {
		return 0
	}
	return a.Shares[0].Tokens
}

// The next coordinator must go on with the tokens that are left. Neither of both may hand out what the
// other one has.
func TestAccountsAreHandedOver(t *testing.T) {
	is := is.NewRelaxed(t)
	h := newHandover()
	a := h.ask(h.from, 2100*time.Millisecond, 20, true)
	is.True(a.Books != nil)
	is.Equal(tokens(a), 20.0)
	p := plan.New(1).WithCustomers(bakery)
	is.True(h.to.Take(time.Hour+2150*time.Millisecond, time.Hour+2100*time.Millisecond, *a.Books, p))
	is.Equal(h.to.Share(), 1.0)
	// The bucket of the limit holds 48 tokens, of which few are gained in the meantime.
	left := tokens(h.ask(h.to, time.Hour+2160*time.Millisecond, 100, false))
	is.True(left >= 25 && left <= 30)
	other := h.ask(h.from, 5*time.Second, 100, false)
	is.True(other.Era != a.Era && !other.Confirmed)
	is.Equal(h.from.Share(), 0.0)
}

// An answer that was lost must be given again, to the same host only.
func TestLostHandoverIsRepeated(t *testing.T) {
	is := is.NewRelaxed(t)
	h := newHandover()
	first := h.ask(h.from, 2100*time.Millisecond, 0, true)
	again := h.ask(h.from, 2500*time.Millisecond, 0, true)
	is.True(again.Books != nil && !again.Confirmed)
	is.Equal(again.Books.At-first.Books.At, 400*time.Millisecond)
	cl := claim.New("other", 1, 1).WithReady(true).WithEcho(first.Era, first.At, 0)
	other := h.from.Award(2600*time.Millisecond, cl, plan.New(1).WithCustomers(bakery), "")
	is.True(other.Books == nil && !other.Confirmed)
	is.Equal(other.Coordinator, "next")
	is.True(h.ask(h.from, 4*time.Second, 0, true).Books == nil) // too late
}

// A host that has followers of its own must not replace their accounts.
func TestActingCoordinatorTakesNothing(t *testing.T) {
	is := is.NewRelaxed(t)
	h := newHandover()
	a := h.ask(h.from, 2100*time.Millisecond, 0, true)
	other := newHandover()
	other.ask(other.from, 2100*time.Millisecond, 0, false)
	is.True(!other.from.Take(2200*time.Millisecond, 2100*time.Millisecond, *a.Books, plan.New(1).WithCustomers(bakery)))
}

// While a host follows another coordinator, it must send its claimants there. With followers it could not
// take over the accounts.
func TestClaimantsAreSentToTheCoordinator(t *testing.T) {
	is := is.NewRelaxed(t)
	c := quota.New(1)
	c.SetHosts(0, []string{"a", "b", "c"})
	p := plan.New(1).WithCustomers(bakery)
	a := c.Award(0, claim.New("a", 1, 1).WithKnown(3), p, "b")
	is.Equal(a.Coordinator, "b")
	a = c.Award(time.Second, claim.New("a", 1, 2).WithKnown(3).WithEcho(a.Era, a.At, 0), p, "b")
	is.True(!a.Confirmed && c.Ready(time.Second))
	a = c.Award(2*time.Second, claim.New("a", 1, 3).WithKnown(3).WithEcho(a.Era, a.At, 0), p, "")
	is.True(a.Confirmed && !c.Ready(2*time.Second))
}
