package promo

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/target"
)

// pendingOrder returns the lease with the order that may still be carried out when this
// host holds the lease l, or one with the token 0 if there is none. An order with a
// reserved lease was not stored, and one that was stored may be lost.
func (p *Promoter) pendingOrder(l lease.Lease) lease.Lease {
	switch {
	case l.OrderPending():
		return l
	case p.orderPending:
		return p.sent
	}
	return lease.Lease{}
}

// underWay reports whether another host may be replacing the leader, although this host
// finds no problem with it: the host has claimed the lease, or its order may still be
// carried out. The host may have failed since, and the leader may serve again. The leader
// is demoted then, since the ordered target lacks what it acknowledges. If the store does
// not answer, only an announcement counts, for claimHold. While a leader is to be handed
// over, a claim alone does not count: the leader serves until it is demoted.
func (p *Promoter) underWay(ctx context.Context, why string) bool {
	leader, ok := p.group.Leader()
	if !ok || !p.group.ConnectsTo(leader.ID) {
		return false
	}
	_, _, ago := p.group.Doubts()
	announced := ago >= 0 && ago < claimHold
	p.heldAsked = p.heldAsked && !announced
	limit := claimTimeoutReserved
	if announced {
		limit = claimTimeout
	}
	reading, stop := context.WithTimeout(ctx, limit)
	defer stop()
	l, now, err := p.platform.Read(reading, p.group.Name)
	if err != nil {
		p.log.Info("lease not read", zap.String("Why", "leader serves again"), zap.String("Error", err.Error()))
		return announced
	}
	if l.OrderPending() {
		p.fence(ctx, l)
		return leader.ID != l.Target
	}
	// The lease does not show an order that was given under a reserved lease, or that the
	// store has lost.
	if _, ago := p.restored(); announced || ago < claimHold {
		return true
	}
	if l.HeldByOther(p.host, now, claimHold) {
		return !planned(why)
	}
	if l.Reserves > 0 && !p.heldAsked && p.replicaHeld(ctx, leader) {
		// The holder of a reserved lease may have ended after its order. An order with a
		// later token fences that one.
		p.orderPending = true
		return true
	}
	p.heldAsked = true
	return false
}

// replicaHeld reports whether a replica still holds back the leader's entries, as a host told
// it to that prepared a replacement.
func (p *Promoter) replicaHeld(ctx context.Context, leader target.Target) bool {
	replicas := slices.DeleteFunc(p.group.Targets(), func(t target.Target) bool { return t.ID == leader.ID })
	found := false
	for _, r := range p.statuses(ctx, replicas, absentTimeout) {
		if r.Held != 0 {
			found = true
			p.log.Warn("replica is held without a known replacement", zap.Any("Report", r))
		}
	}
	return found
}

// fence demotes a leader that serves while the order of another host for another target
// may still be carried out.
func (p *Promoter) fence(ctx context.Context, l lease.Lease) {
	leader, ok := p.group.Leader()
	if since, _ := p.group.Down(leader.ID); !ok || since != 0 || !l.OrderPending() || leader.ID == l.Target {
		return
	}
	p.log.Warn("leader serves while an order is pending", zap.String("Leader", leader.ID), zap.String("Ordered", l.Target), zap.String("Holder", l.Holder), zap.Uint64("Token", l.Token))
	if _, ok := p.demote(ctx, leader); ok {
		p.group.ClearLeader(leader.ID)
	}
}

// carriedOut reports whether the last order of this host was carried out, or can't be
// any more because the platform has accepted one with a higher token. l is the stored
// lease.
func (p *Promoter) carriedOut(l lease.Lease) bool {
	leader, ok := p.group.Leader()
	return ok && leader.ID == p.sent.Target || l.Done && l.Target != "" && l.Reserves == 0 && l.Token > p.sent.Token
}
