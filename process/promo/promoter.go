// Package promo replaces the primary of a database group.
package promo

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// hold is how long another host's claim is respected: the time that a
	// replacement takes with some retries.
	hold = 3 * time.Second
	// look is the pause between two looks at a group in trouble.
	look = 100 * time.Millisecond
	// lookMost bounds that pause, which doubles while another host acts or
	// the store does not answer.
	lookMost = 800 * time.Millisecond
	// jitter spreads the hosts that notice a trouble together.
	jitter = 120 * time.Millisecond
	// stepTimeout bounds one command to a target: its connection may wait for a slot.
	stepTimeout = 600 * time.Millisecond
	// gatherLimit bounds the wait for all replicas to stop receiving.
	gatherLimit = 1500 * time.Millisecond
	// stalledTime is how long replicas may take to receive what the leader
	// wrote before: several times the way between regions.
	stalledTime = 400 * time.Millisecond
	// reservePause and reserveLongest bound the pause before a lease is claimed
	// ahead; reservesMost is how many hosts do.
	reservePause   = time.Second
	reserveLongest = time.Minute
	reservesMost   = 3
	// reserveLate is when a host claims ahead that is farther from the leader
	// than those that should have.
	reserveLate = 20 * time.Second
	// storeShort and storeLong bound a claim: several times an ordinary answer
	// from another region, and what a slow store takes.
	storeShort = 350 * time.Millisecond
	storeLong  = 2 * time.Second
	// followLimit bounds the wait for a promoted target to lead, followPause
	// is the pause between two questions.
	followLimit = 5 * time.Second
	followPause = 40 * time.Millisecond
	// doubtLimit is how long a host that reaches few targets leaves a leader to
	// others: several times what they need.
	doubtLimit = 4 * time.Second
	// orderLimit bounds the tries to have an order carried out.
	orderLimit = 20 * time.Second
)

// ErrTaken tells that another host changed the lease.
var ErrTaken = errors.New("another host holds the lease")

// ErrFenced tells that the platform refused an order.
var ErrFenced = errors.New("the order was refused")

// orders are what the platform does.
type orders interface {
	// Read returns a group's lease and the store's clock.
	Read(ctx context.Context, group string) (lease.Lease, time.Duration, error)
	// Write stores a lease where nobody changed it.
	Write(ctx context.Context, l lease.Lease) (lease.Lease, error)
	// Promote orders the lease's target to lead.
	Promote(ctx context.Context, l lease.Lease) error
}

// Promoter watches over one group's leader and replaces it.
type Promoter struct {
	host   string
	log    *zap.Logger
	crew   *rset.ReplicaSet
	orders orders
	// reserve is a lease claimed ahead, for when the store can't be reached.
	reserve lease.Lease
	pause   time.Duration
	// unanswered tells that an order of this host may still be carried out,
	// until which replicas stay told not to receive.
	unanswered bool
	// doubt tells that the fault is more likely at this host.
	doubt func() bool
	// deferred is the leader for which claiming ahead was left to others.
	deferred string
}

// New returns the watch of one host over one group.
func New(host string, log *zap.Logger, c *rset.ReplicaSet, o orders, options ...func(*Promoter)) *Promoter {
	p := &Promoter{host: host, log: log.With(zap.String("Group", c.Name)), crew: c, orders: o, doubt: func() bool { return false }}
	for _, set := range options {
		set(p)
	}
	return p
}

// WithIsolationCheck returns an option that leaves leaders that seem silent to other
// hosts for a while where doubt tells that the fault is more likely here.
func WithIsolationCheck(doubt func() bool) func(*Promoter) {
	return func(p *Promoter) { p.doubt = doubt }
}

// Run watches until the context ends.
func (p *Promoter) Run(ctx context.Context) {
	for {
		renew, stop := p.renewal()
		select {
		case <-ctx.Done():
			stop()
			return
		case <-renew:
			p.prepare(ctx)
			continue
		case <-p.crew.LeaderAlarm():
			stop()
		}
		began := time.Now()
		for wait := look; ctx.Err() == nil; {
			why, due, trouble := p.crew.LeaderProblem()
			if due && !planned(why) && time.Since(began) < doubtLimit && p.doubt() {
				due = false
			}
			if p.unanswered && !due {
				why, due, trouble = rset.ReplicasBehind, true, true
			}
			if !trouble {
				break
			}
			if !due {
				wait = look
			} else {
				sleep.For(ctx, rand.N(jitter))
				wait = min(2*wait, lookMost)
				if p.replace(ctx, why) {
					wait = look
				}
			}
			sleep.For(ctx, wait)
		}
		// A token that was claimed under another leader is too low by now.
		if leader, ok := p.crew.Leader(); ok && leader.ID != p.reserve.Target {
			p.reserve, p.pause = lease.Lease{}, 0
		}
	}
}

// renewal returns a channel that receives when a lease should be claimed
// ahead, and what ends the wait.
func (p *Promoter) renewal() (<-chan time.Time, func()) {
	if p.reserve.Token != 0 {
		return nil, func() {}
	}
	p.pause = min(max(2*p.pause, reservePause), reserveLongest)
	t := time.NewTimer(p.pause/2 + rand.N(p.pause))
	return t.C, func() { t.Stop() }
}

// prepare claims the lease ahead, where this host connects to the leader
// itself and few others hold one. All tokens differ, and the first order
// counts; in an outage of the store that is enough.
func (p *Promoter) prepare(ctx context.Context) {
	leader, ok := p.crew.Leader()
	if !ok || !p.crew.ConnectsTo(leader.ID) {
		return
	}
	if p.deferred != leader.ID && p.crew.Rank(leader) >= reservesMost {
		p.deferred, p.pause = leader.ID, reserveLate/2
		return
	}
	l, _, err := p.orders.Read(ctx, p.crew.Name)
	if err != nil || !l.Free() || l.Reserved(leader.ID) >= reservesMost {
		return
	}
	claimed, err := p.orders.Write(ctx, l.WithReserve(p.host, leader.ID))
	if err != nil {
		p.log.Info("lease not claimed ahead", zap.String("Error", err.Error()))
		return
	}
	p.reserve = claimed
	p.pause = 0
	p.log.Info("lease claimed ahead", zap.Uint64("Token", claimed.Token))
}

// replace claims the lease and replaces the leader, unless another host does.
// It tells whether it got the lease.
func (p *Promoter) replace(ctx context.Context, why string) bool {
	leader, _ := p.crew.Leader()
	if why == rset.LeaderStalled && !p.stalled(ctx, leader) {
		p.crew.ClearStall(leader.ID)
		return false
	}
	l, ok := p.claim(ctx, why)
	if why == rset.ReplicasBehind {
		p.crew.NoteLagHandover()
	}
	if !ok {
		return false
	}
	began := time.Now()
	chosen, ok := "", false
	if planned(why) {
		chosen, ok = p.handover(ctx, leader, l.Target)
	} else {
		chosen, ok = p.takeover(ctx, leader, l.Target, why)
	}
	if !ok {
		p.log.Warn("replacement not safe", zap.String("Why", why), zap.Uint64("Token", l.Token), zap.String("Noted", l.Target))
		// An order that was noted may still be carried out: until another one
		// is answered, nothing may receive that its target would lack.
		if l.Target == "" && !l.Reserve {
			p.resume(ctx, "")
		}
		return true
	}
	p.unanswered = !p.order(ctx, l, chosen, why, began) && why == rset.ReplicasBehind
	return true
}

// claim takes the lease, or learns from whoever holds it.
func (p *Promoter) claim(ctx context.Context, why string) (lease.Lease, bool) {
	reading, stop := context.WithTimeout(ctx, p.storeTime())
	defer stop()
	l, now, err := p.orders.Read(reading, p.crew.Name)
	if err != nil {
		p.log.Warn("lease not read", zap.String("Why", why), zap.String("Error", err.Error()), zap.Uint64("Reserve", p.reserve.Token))
		return p.reserve, p.reserve.Token != 0 && !planned(why)
	}
	if l.Done && now-l.At < hold && p.crew.SetLeader(l.Target, "lease") {
		return l, false
	}
	if l.HeldByOther(p.host, now, hold) {
		return l, false
	}
	p.unanswered = p.unanswered && l.OrderPending()
	if _, due, _ := p.crew.LeaderProblem(); !due && !l.OrderPending() {
		return l, false
	}
	claimed, err := p.orders.Write(reading, l.WithClaim(p.host, now))
	if err != nil && !errors.Is(err, ErrTaken) && p.reserve.Token != 0 && !planned(why) {
		return p.reserve, true
	}
	if err != nil {
		p.log.Info("lease not claimed", zap.String("Why", why), zap.Uint64("Token", claimed.Token), zap.String("Error", err.Error()))
		return claimed, false
	}
	p.log.Info("lease claimed", zap.String("Why", why), zap.Uint64("Token", claimed.Token), zap.String("Before", l.Holder))
	return claimed, true
}

// storeTime returns how long the store may take for a claim: it is short where
// the host can do without.
func (p *Promoter) storeTime() time.Duration {
	if p.reserve.Token != 0 {
		return storeShort
	}
	return storeLong
}

// order has the chosen target lead. Once an order was sent it may be carried
// out at any time, so it is followed by others under higher tokens until one
// is answered: nothing may receive in the old term before that. It reports
// false where none was.
func (p *Promoter) order(ctx context.Context, l lease.Lease, chosen, why string, began time.Time) bool {
	ctx, stop := context.WithTimeout(ctx, orderLimit)
	defer stop()
	ordered := l.WithOrder(chosen)
	var err error
	if !l.Reserve {
		if ordered, err = p.orders.Write(ctx, ordered); err != nil {
			p.log.Warn("order not noted", zap.Uint64("Token", l.Token), zap.String("Error", err.Error()))
			return false
		}
	}
	err = p.orders.Promote(ctx, ordered)
	if l.Reserve && (err == nil || errors.Is(err, ErrFenced)) {
		// A token that was used up or refused is never sent again.
		p.reserve = lease.Lease{}
	}
	p.log.Info("promotion ordered", zap.String("Why", why), zap.String("Target", chosen), zap.Uint64("Token", ordered.Token),
		zap.Duration("Took", time.Since(began)), zap.Bool("Done", err == nil))
	if err != nil {
		p.log.Warn("promotion not confirmed", zap.Uint64("Token", ordered.Token), zap.String("Error", err.Error()))
		return false
	}
	if !p.follow(ctx, chosen) {
		p.log.Warn("promotion not followed by a lead", zap.Uint64("Token", ordered.Token), zap.String("Target", chosen))
		return false
	}
	p.log.Info("promotion done", zap.String("Target", chosen), zap.Uint64("Token", ordered.Token), zap.Duration("Took", time.Since(began)))
	p.crew.SetLeader(chosen, "promoted")
	p.resume(ctx, chosen)
	if l.Reserve {
		return true
	}
	if _, err := p.orders.Write(ctx, ordered.WithDone()); err != nil {
		p.log.Info("lease not closed", zap.Uint64("Token", ordered.Token), zap.String("Error", err.Error()))
	}
	return true
}

// follow waits until the target leads. Before that the others must not
// receive: the old primary could have a commit acknowledged that the target
// lacks.
func (p *Promoter) follow(ctx context.Context, id string) bool {
	ctx, stop := context.WithTimeout(ctx, followLimit)
	defer stop()
	for ctx.Err() == nil {
		for _, t := range p.crew.Targets() {
			if t.ID != id {
				continue
			}
			if leads, err := p.crew.AcceptsWrites(ctx, t); leads {
				return true
			} else if err != nil {
				p.log.Info("promoted target not asked", zap.String("Target", id), zap.String("Error", err.Error()))
			}
		}
		sleep.For(ctx, followPause)
	}
	return false
}

// resume lets all targets but one receive again.
func (p *Promoter) resume(ctx context.Context, except string) {
	for _, t := range p.crew.Targets() {
		if t.ID == except {
			continue
		}
		go func() {
			ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), stepTimeout)
			defer stop()
			if _, err := p.crew.Report(ctx, t, stmt.New(stmt.ProxyID, stmt.Resume, "")); err != nil {
				p.log.Info("target not resumed", zap.String("Target", t.ID), zap.String("Error", err.Error()))
			}
		}()
	}
}
