package promo

import (
	"context"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/heard"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
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
// A demoted leader accepts nothing more, whatever the replicas do after their reports: they
// may restart, or a former holder of the lease may make them receive again. It may still
// acknowledge what it accepted before, so that a target which lacks that is elected only once
// the hosts have closed their connections to it.
func (p *Promoter) elect(ctx context.Context, leader target.Target, preferred string) (report.Report, bool) {
	electing, stop := context.WithTimeout(ctx, electTimeout)
	defer stop()
	last, demoted := p.demote(electing, leader)
	if !demoted {
		if leader.ID != "" {
			p.count(leader, countedNotDemoted, last, nil)
		}
		// Other hosts stop using the leader before the others are heard once more.
		told := p.gatherAcknowledged(electing, leader.ID)
		if !told.All() && leader.ID != "" && p.outwaited != leader.ID {
			if !p.outwait(ctx, leader, told) {
				return report.Report{}, false
			}
			return p.elect(ctx, leader, preferred)
		}
		return p.choose(electing, leader.ID, preferred, nil, told)
	}
	p.count(leader, countedDemoted, last, nil)
	if p.pending.Token == 0 {
		p.awaitReceived(electing, leader.ID, last.Received)
	}
	best, ok := p.choose(electing, leader.ID, preferred, &last, heard.New(p.group.Acknowledged(), 0, 0))
	if !ok || best.Received.AtLeast(last.Received) {
		return best, ok
	}
	return p.choose(electing, leader.ID, preferred, &last, p.gatherAcknowledged(electing, leader.ID))
}

// choose stops all targets but the leader and returns the report of the one to lead, as elect
// does. last is the report of the leader if it was demoted, and told what hosts told of
// acknowledged commits. Those that did not answer may still have connections to the leader.
func (p *Promoter) choose(ctx context.Context, leader, preferred string, last *report.Report, told heard.Heard) (report.Report, bool) {
	polled := p.pauseReplicas(ctx, leader)
	reports := polled.reports
	switch {
	case polled.leads.ID != "" || last != nil && polled.highest > last.Term:
		p.log.Warn("another target has led since", zap.String("Target", polled.leads.ID), zap.Uint64("Term", polled.highest))
		return report.Report{}, false
	case last != nil && (!polled.complete || polled.leftOut || !told.All() || polled.ended && !p.hasKnown(ctx, reports)):
		// A target with all of the leader's entries has the acknowledged ones.
		reports = slices.DeleteFunc(reports, func(r report.Report) bool { return !r.Received.AtLeast(last.Received) })
		if len(reports) == 0 && p.pending.Token == 0 {
			reports = append(reports, *last)
		}
	case last == nil && (!polled.complete || (polled.silent || polled.ended) && !told.All()):
		return report.Report{}, false
	}
	best, ok := mostReceived(reports, preferred)
	if last != nil && best.Leaving && !last.Leaving && p.pending.Token == 0 {
		// A target that is leaving may end before the order is carried out.
		best = *last
	}
	known := told.Known
	if !best.Received.AtLeast(known.Floor) && polled.former.Received.AtLeast(known.Floor) {
		// The former leader has acknowledged commits that are lost elsewhere.
		best, ok = polled.former, true
	}
	required := known.Floor
	if polled.leftOut || polled.ended {
		required = known.Ceiling
	}
	if last != nil && p.pending.Token == 0 && !best.Received.AtLeast(required) && last.Received.AtLeast(known.Floor) {
		// The demoted leader lives and has commits that all members that were heard lack: one that
		// is not known has received them.
		best, ok = *last, true
	}
	p.log.Info("target elected", zap.String("Chosen", best.Member), zap.Bool("Demoted", last != nil), zap.Bool("Complete", polled.complete), zap.Bool("LeftOut", polled.leftOut),
		zap.Bool("HasAll", last != nil && best.Received.AtLeast(last.Received)))
	if last != nil {
		polled.heard = append(polled.heard, leader)
	}
	return best, ok && (p.hasAcknowledged(best, required) || !p.mayReturn(polled.heard))
}

// awaitReceived waits until a target other than the demoted leader has received all entries
// up to a position, or tailTime has passed: entries that the leader sent may still arrive.
func (p *Promoter) awaitReceived(ctx context.Context, leader string, position mark.Mark) {
	ctx, stop := context.WithTimeout(ctx, tailTime)
	defer stop()
	for ctx.Err() == nil {
		polled := p.pollOnce(ctx, []string{leader}, 0)
		if slices.ContainsFunc(polled.reports, func(r report.Report) bool { return r.Received.AtLeast(position) }) {
			return
		}
		sleep.For(ctx, tailPause)
	}
}

// outwait waits until no host sends commits to a leader that could not be demoted, although
// some hosts did not answer the announcement of its replacement: it announces the replacement
// in the lease, and hosts that do not read that have no permit to send commits by the end. It
// returns false if the leader may not be replaced under the present claim.
func (p *Promoter) outwait(ctx context.Context, leader target.Target, told heard.Heard) bool {
	began := p.now()
	switch {
	case told.Most():
		p.silentSince = 0
	case p.silentSince == 0:
		p.silentSince = began
	}
	if p.permitTime == 0 {
		p.outwaited = leader.ID
		return true
	}
	if p.claimed.Token == 0 || !told.Most() && began-p.silentSince < silentHostsTime {
		p.log.Warn("leader not replaced while hosts may use it", zap.String("Leader", leader.ID), zap.Bool("Most", told.Most()), zap.Bool("Claimed", p.claimed.Token != 0))
		return false
	}
	if !p.renewClaim(ctx, leader.ID) {
		return false
	}
	end := p.now() + p.permitTime + commitMargin
	p.log.Info("replacement announced in the lease", zap.String("Leader", leader.ID), zap.Uint64("Token", p.claimed.Token), zap.Duration("Wait", end-p.now()))
	for left := end - p.now(); left > 0 && ctx.Err() == nil; left = end - p.now() {
		sleep.For(ctx, min(left, claimHold/2))
		if !p.renewClaim(ctx, leader.ID) {
			return false
		}
	}
	p.outwaited = leader.ID
	return ctx.Err() == nil
}

// renewClaim stores this host's claim with a later time, and with the leader that it is about
// to replace. It returns false if the claim is not this host's any more, or not known to be.
func (p *Promoter) renewClaim(ctx context.Context, leader string) bool {
	ctx, stop := context.WithTimeout(ctx, claimTimeout)
	defer stop()
	began := p.now()
	// The claim's time is by the store's clock.
	written, err := p.platform.Write(ctx, p.claimed.WithReplaces(leader, p.claimed.At+began-(p.heldUntil-claimHold)))
	if err != nil {
		p.log.Warn("claim not renewed", zap.String("Leader", leader), zap.Uint64("Token", p.claimed.Token), zap.String("Error", err.Error()))
		return false
	}
	p.claimed, p.heldUntil = written, began+claimHold
	return true
}
