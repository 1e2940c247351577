package promo

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/sleep"
)

// promote orders the chosen target to lead and waits until it does. It returns
// false if the order was not sent or the promotion not confirmed. An order that
// was sent may be carried out at any later time, so further orders with higher
// tokens follow until one is answered; until then no target may receive entries
// of the old term.
func (p *Promoter) promote(ctx context.Context, l lease.Lease, chosen, why string, began time.Time) bool {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	ordered := l.WithOrder(chosen)
	var err error
	if !l.Reserve {
		if ordered, err = p.platform.Write(ctx, ordered); err != nil {
			p.log.Warn("promotion order not stored", zap.String("Target", chosen), zap.Uint64("Token", l.Token), zap.String("Error", err.Error()))
			return false
		}
	}
	p.sent, p.orderPending = ordered, true
	p.orderedUntil = p.now() + claimHold
	p.claimed = lease.Lease{}
	err = p.platform.Promote(ctx, ordered)
	if l.Reserve && (err == nil || errors.Is(err, ErrFenced)) {
		// A token that was used or refused is never sent again.
		p.reservedLease = lease.Lease{}
	}
	p.log.Info("promotion ordered", zap.String("Why", why), zap.String("Target", chosen), zap.Uint64("Token", ordered.Token),
		zap.Duration("Took", time.Since(began)), zap.Bool("Done", err == nil), zap.String("Answer", answer(err)))
	if err != nil {
		p.log.Warn("promotion not confirmed", zap.String("Target", chosen), zap.Uint64("Token", ordered.Token), zap.String("Error", err.Error()))
		return false
	}
	if !p.awaitLeading(ctx, chosen) {
		p.log.Warn("promoted target does not lead", zap.Uint64("Token", ordered.Token), zap.String("Target", chosen))
		return false
	}
	p.log.Info("promotion done", zap.String("Target", chosen), zap.Uint64("Token", ordered.Token), zap.Duration("Took", time.Since(began)))
	// The promotion lets the other targets receive again.
	p.group.SetLeader(chosen, "promoted")
	if l.Reserve {
		return true
	}
	if _, err := p.platform.Write(ctx, ordered.WithDone()); err != nil {
		p.log.Info("lease not marked done", zap.Uint64("Token", ordered.Token), zap.String("Error", err.Error()))
	}
	return true
}

// awaitLeading waits until the target leads, and returns false if it does not
// within leadTimeout. Until the target leads, the others must not receive log
// entries, because the old leader could then acknowledge a commit that the
// target does not have.
func (p *Promoter) awaitLeading(ctx context.Context, id string) bool {
	ctx, stop := context.WithTimeout(ctx, leadTimeout)
	defer stop()
	for ctx.Err() == nil {
		for _, t := range p.group.Targets() {
			if t.ID != id {
				continue
			}
			if leads, err := p.group.AcceptsWrites(ctx, t); leads {
				return true
			} else if err != nil {
				p.log.Info("promoted target not reached", zap.String("Target", id), zap.String("Error", err.Error()))
			}
		}
		sleep.For(ctx, leadPollPause)
	}
	return false
}
