package promo

import (
	"context"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// withTerm returns a command for an election in the given term.
func withTerm(kind int, term uint64) stmt.Stmt {
	return stmt.New(stmt.ProxyID, kind, "").WithName("", strconv.FormatUint(term, 10))
}

// holds reports whether this host's claim still keeps other hosts from claiming the
// lease, and does so until a command that is sent now has ended. A reserved lease keeps
// nobody from it.
func (p *Promoter) holds() bool {
	return p.now() < p.heldUntil-stepTimeout
}

// demote makes the leader a replica, so that it acknowledges no more commits, through
// any host that reaches it. It returns the leader's report, whose position covers all
// commits acknowledged in its term. The result is false if the leader answers no host or
// did not lead any more.
func (p *Promoter) demote(ctx context.Context, leader target.Target) (report.Report, bool) {
	if leader.ID == "" {
		return report.Report{}, false
	}
	ctx, stop := context.WithTimeout(ctx, demoteTimeout)
	defer stop()
	own := p.group.Report
	if p.members().MissingSince(leader.ID) != 0 {
		own = p.group.ReportUnregistered
	}
	ask := func(s stmt.Stmt) (report.Report, error) { return p.group.ReportFromAny(ctx, leader, s, own) }
	before, err := ask(withTerm(stmt.Pause, p.group.Term()+1))
	if err != nil || !before.Primary {
		p.log.Info("leader not demoted", zap.String("Target", leader.ID), zap.Any("Report", before), zap.Bool("Asked", err == nil), zap.NamedError("Error", err))
		return report.Report{}, false
	}
	after, err := ask(withTerm(stmt.Demote, before.Term+1))
	// If the term has changed, another target leads, and has entries that this one lacks.
	if err != nil || after.Primary || after.Term != before.Term {
		p.log.Warn("leader not demoted", zap.String("Target", leader.ID), zap.Any("Before", before), zap.Any("Report", after), zap.NamedError("Error", err))
		return report.Report{}, false
	}
	p.log.Info("leader demoted", zap.Any("Report", after))
	return after, true
}

// elect demotes the leader, if that answers, and stops all other targets. It then
// returns the report of the target that may be ordered to lead: one that has all
// acknowledged commits. If several received equally much, it prefers the given one. It
// returns false if a target did not stop and the leader was not demoted, or if the target
// lacks a commit that any host knows to be acknowledged.
//
// A demoted leader acknowledges nothing more, whatever the replicas do after their
// reports: they may restart, or a former holder of the lease may make them receive
// again.
func (p *Promoter) elect(ctx context.Context, leader target.Target, preferred string) (report.Report, bool) {
	ctx, stop := context.WithTimeout(ctx, electTimeout)
	defer stop()
	last, demoted := p.demote(ctx, leader)
	known, allAnswered := p.group.Acknowledged(), true
	if demoted {
		p.count(leader, countedDemoted, last, nil)
	} else {
		if leader.ID != "" {
			p.count(leader, countedNotDemoted, last, nil)
		}
		// Other hosts stop using the leader before the others are heard once more.
		known, allAnswered = p.gatherAcknowledged(ctx, leader.ID)
	}
	polled := p.pauseReplicas(ctx, leader.ID)
	reports := polled.reports
	switch {
	case polled.leads.ID != "" || demoted && polled.highest > last.Term:
		p.log.Warn("another target has led since", zap.String("Target", polled.leads.ID), zap.Uint64("Term", polled.highest))
		return report.Report{}, false
	case demoted && (!polled.complete || polled.leftOut || polled.ended && !p.hasKnown(ctx, reports)):
		// A target with all of the leader's entries has the acknowledged ones.
		reports = slices.DeleteFunc(reports, func(r report.Report) bool { return !r.Received.AtLeast(last.Received) })
		if len(reports) == 0 && p.pending.Token == 0 {
			reports = append(reports, last)
		}
	case !polled.complete || (polled.silent || polled.ended) && !allAnswered:
		return report.Report{}, false
	}
	best, ok := mostReceived(reports, preferred)
	if demoted && best.Leaving && !last.Leaving && p.pending.Token == 0 {
		// A target that is leaving may end before the order is carried out.
		best = last
	}
	if !best.Received.AtLeast(known.Floor) && polled.former.Received.AtLeast(known.Floor) {
		// The former leader has acknowledged commits that are lost elsewhere.
		best, ok = polled.former, true
	}
	p.log.Info("target elected", zap.String("Chosen", best.Member), zap.Bool("Demoted", demoted), zap.Bool("Complete", polled.complete), zap.Bool("LeftOut", polled.leftOut))
	if demoted {
		polled.heard = append(polled.heard, leader.ID)
	}
	required := known.Floor
	if polled.leftOut || polled.ended {
		required = known.Ceiling
	}
	return best, ok && (p.hasAcknowledged(best, required) || !p.mayReturn(polled.heard))
}
