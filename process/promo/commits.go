package promo

import (
	"context"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/acked"
	"github.com/pistachiotray/pistachiotray/process/report"
)

// gatherAcknowledged starts to ask the other hosts which commits were acknowledged to them.
// The returned function waits for the answers of those that answer within gatherTimeout.
func (p *Promoter) gatherAcknowledged(ctx context.Context) (wait func() acked.Acked) {
	gathered := make(chan acked.Acked, 1)
	go func() {
		ctx, stop := context.WithTimeout(ctx, gatherTimeout)
		defer stop()
		known, asked, answered := p.group.GatherAcknowledged(ctx)
		p.log.Info("acknowledged commits gathered", zap.Stringer("Floor", known.Floor), zap.Int("Asked", asked), zap.Int("Answered", answered))
		gathered <- known
	}()
	return func() acked.Acked { return <-gathered }
}

// hasAcknowledged reports whether the target that sent a report has the acknowledged commits
// that are known. Who was left out of the reports may have acknowledged commits without
// that target, and targets that restart have forgotten what they acknowledged.
func (p *Promoter) hasAcknowledged(r report.Report, known acked.Acked) bool {
	if r.Received.AtLeast(known.Floor) {
		return true
	}
	p.log.Error("no target has all acknowledged commits", zap.String("Target", r.Member), zap.Stringer("Received", r.Received), zap.Stringer("Floor", known.Floor))
	return false
}
