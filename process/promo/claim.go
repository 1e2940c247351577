package promo

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/lease"
)

// reserveTimer returns a channel that receives a value when the lease should be
// reserved, and a function that stops the timer. The channel is nil while this
// host has a reserved lease.
func (p *Promoter) reserveTimer() (<-chan time.Time, func()) {
	if p.reservedLease.Token != 0 {
		return nil, func() {}
	}
	p.reservePause = min(max(2*p.reservePause, minReservePause), maxReservePause)
	t := time.NewTimer(p.reservePause/2 + rand.N(p.reservePause))
	return t.C, func() { t.Stop() }
}

// reserveLease claims the lease in advance, if this host connects to the leader
// directly and fewer than maxReserves such claims were made under this leader.
// A host that is far from the leader first waits for about farHostDelay. During
// an outage of the store, the host may order a promotion with a reserved lease.
// This is safe because each reserved lease has its own token, and the platform
// refuses an order with a lower token than it has seen. It returns true if the
// lease has an order of a host that may have failed since.
func (p *Promoter) reserveLease(ctx context.Context) (pending bool) {
	leader, ok := p.group.Leader()
	if !ok || p.settledLeader == leader.ID || !p.group.ConnectsTo(leader.ID) {
		return false
	}
	if rank := p.group.Rank(leader); p.deferredLeader != leader.ID && rank >= maxReserves {
		p.deferredLeader, p.reservePause = leader.ID, farHostDelay/2*time.Duration(rank-maxReserves+1)
		return false
	}
	l, _, err := p.platform.Read(ctx, p.group.Name)
	if err == nil && l.ReserveCount(leader.ID) >= maxReserves {
		p.settledLeader = leader.ID
		return false
	}
	if err != nil || !l.Free() {
		return err == nil && l.OrderPending()
	}
	claimed, err := p.platform.Write(ctx, l.WithReserve(p.host, leader.ID))
	if err != nil {
		p.log.Info("lease not reserved", zap.String("Error", err.Error()))
		return false
	}
	p.reservedLease = claimed
	p.reservePause = 0
	p.log.Info("lease reserved", zap.Uint64("Token", claimed.Token))
	return false
}

// confirm checks with the newest registrations that the problem still exists, after the
// lease was claimed because of it. If it does not, it releases the lease and returns
// false. A host that can't reach the store goes on with the registrations that it has
// if they are current.
func (p *Promoter) confirm(ctx context.Context, l lease.Lease, why string) bool {
	if l.Reserve {
		if !p.current() {
			p.log.Warn("leader not replaced with old registrations", zap.String("Why", why), zap.Uint64("Token", l.Token))
			return false
		}
		return true
	}
	refreshing, stop := context.WithTimeout(ctx, claimTimeout)
	defer stop()
	membersRead := make(chan error, 1)
	go func() { membersRead <- p.refreshMembers(refreshing) }()
	err := p.refresh(refreshing)
	if err = cmp.Or(err, <-membersRead); err != nil {
		p.log.Warn("registrations not read", zap.String("Why", why), zap.Uint64("Token", l.Token), zap.String("Error", err.Error()))
		return false
	}
	found, due, _ := p.group.LeaderProblem()
	if due && found == why || l.OrderPending() || p.orderPending {
		return true
	}
	p.log.Info("leader needs no replacement", zap.String("Why", why), zap.String("Found", found), zap.Uint64("Token", l.Token))
	p.release(refreshing)
	return false
}

// release releases this host's claim, if it holds one and has ordered nothing under it, so
// that other hosts need not wait for its end.
func (p *Promoter) release(ctx context.Context) {
	l := p.claimed
	p.claimed = lease.Lease{}
	if l.Token == 0 || l.OrderPending() || p.orderPending || p.now() >= p.heldUntil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, claimTimeout)
	defer stop()
	if _, err := p.platform.Write(ctx, l.WithDone()); err != nil {
		p.log.Info("lease not released", zap.Uint64("Token", l.Token), zap.String("Error", err.Error()))
	}
}

// claim claims the lease and reports whether this host may use it. If the store
// does not answer, it falls back on the reserved lease, except for a handover.
// It returns false if the store does not answer and there is no such lease, if
// another host holds the lease, or if the leader no longer needs to be
// replaced. If another host has just replaced the leader, claim records the new
// leader and returns false.
func (p *Promoter) claim(ctx context.Context, why string) (lease.Lease, bool) {
	p.heldUntil, p.outwaited = 0, ""
	began := p.now()
	reading, stop := context.WithTimeout(ctx, p.storeTimeout())
	defer stop()
	l, now, err := p.platform.Read(reading, p.group.Name)
	if err != nil {
		p.log.Warn("lease not read", zap.String("Why", why), zap.String("Error", err.Error()), zap.Uint64("Reserve", p.reservedLease.Token))
		return p.reservedLease, p.reservedLease.Token != 0 && !planned(why)
	}
	if era, ago := p.restored(); l.Stored.Era > era || ago < claimHold {
		p.log.Info("lease not claimed after a restore of the store", zap.String("Why", why), zap.Uint64("Era", l.Stored.Era), zap.Uint64("Known", era), zap.Duration("Ago", ago))
		return l, false
	}
	if l.Done && now-l.At < claimHold && p.group.SetLeader(l.Target, "lease") {
		return l, false
	}
	if l.HeldByOther(p.host, now, claimHold) {
		p.fence(ctx, l)
		return l, false
	}
	if l.Holder != p.host && p.now() < p.orderedUntil {
		// Two hosts that order in turn would undo each other's work.
		return l, false
	}
	p.orderPending = p.orderPending && !p.carriedOut(l)
	leader, _ := p.group.Leader()
	if _, due, _ := p.group.LeaderProblem(); !due && !p.orderPending && (!l.OrderPending() || leader.ID == l.Target) {
		return l, false
	}
	claimed, err := p.platform.Write(reading, l.WithClaim(p.host, now))
	if err != nil && !errors.Is(err, ErrTaken) && p.reservedLease.Token != 0 && !planned(why) {
		return p.reservedLease, true
	}
	if err != nil {
		p.log.Info("lease not claimed", zap.String("Why", why), zap.Uint64("Token", claimed.Token), zap.String("Error", err.Error()))
		return claimed, false
	}
	p.heldUntil, p.claimed = began+claimHold, claimed
	p.log.Info("lease claimed", zap.String("Why", why), zap.Uint64("Token", claimed.Token), zap.String("Before", l.Holder))
	return claimed, true
}

// storeTimeout returns how long a claim may take. The time is shorter if this
// host can fall back on a reserved lease.
func (p *Promoter) storeTimeout() time.Duration {
	if p.reservedLease.Token != 0 {
		return claimTimeoutReserved
	}
	return claimTimeout
}
