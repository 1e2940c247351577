package promo

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/heard"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// gatherAcknowledged asks the other hosts which commits were acknowledged to them, and returns
// what those tell that answer within gatherTimeout. If a leader is given, they send it no more
// commits until they know whether it is replaced.
func (p *Promoter) gatherAcknowledged(ctx context.Context, leader string) heard.Heard {
	ctx, stop := context.WithTimeout(ctx, gatherTimeout)
	defer stop()
	told := p.group.GatherAcknowledged(ctx, leader)
	p.log.Info("acknowledged commits gathered", zap.Stringer("Floor", told.Known.Floor), zap.Stringer("Ceiling", told.Known.Ceiling),
		zap.Int("Asked", told.Asked), zap.Int("Answered", told.Answered), zap.Bool("Most", told.Most()))
	return told
}

// hasAcknowledged reports whether the log of the target that sent a report reaches a position.
// Who was left out of the reports may have acknowledged commits without that target, and
// targets that restart have forgotten what they acknowledged.
func (p *Promoter) hasAcknowledged(r report.Report, required mark.Mark) bool {
	if r.Received.AtLeast(required) {
		return true
	}
	p.log.Error("no target has all acknowledged commits", zap.String("Target", r.Member), zap.Stringer("Received", r.Received), zap.Stringer("Required", required))
	return false
}

// hasKnown reports whether one of the targets that sent reports surely has all commits that
// are known to be acknowledged to any host.
func (p *Promoter) hasKnown(ctx context.Context, reports []report.Report) bool {
	told := p.gatherAcknowledged(ctx, "")
	return told.All() && slices.ContainsFunc(reports, func(r report.Report) bool { return r.Received.AtLeast(told.Known.Ceiling) })
}

// mayReturn reports whether a member that was not heard may come back with commits that the
// others lack.
func (p *Promoter) mayReturn(heard []string) bool {
	members := p.members()
	for _, t := range members.Members() {
		if !slices.Contains(heard, t.ID) && !members.Lost(t.ID) {
			return true
		}
	}
	p.log.Error("acknowledged commits are lost with the members that had them")
	return false
}
