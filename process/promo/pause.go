package promo

import (
	"cmp"
	"context"
	"slices"
	"syscall"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/member"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// pauseReplicas orders all targets except the given ones to stop receiving log
// entries, until all of them have stopped or the context ends. It returns the
// reports of those that stopped. The result complete is false if any did not,
// including members that are not registered. The log of one that left is gone, so that
// it is not waited for once its process has ended. The target that a pending order
// replaces is left out if the reports show that no other has led since: what it received
// alone was never acknowledged.
func (p *Promoter) pauseReplicas(ctx context.Context, except ...string) (reports []report.Report, complete bool) {
	term := p.group.Term() + 1
	for {
		var highest uint64
		reports, complete, highest = p.pauseOnce(ctx, except, term)
		if complete || ctx.Err() != nil {
			return reports, complete
		}
		term = max(term, highest+1)
		sleep.For(ctx, checkPause)
	}
}

// pauseOnce orders each target except the given ones once to stop receiving log
// entries, with the given term. It returns the reports of the targets that
// stopped, and whether all targets of the group did. It also returns the
// highest term that any target reported, since a target ignores an order with a
// term that it has already reached.
func (p *Promoter) pauseOnce(ctx context.Context, except []string, term uint64) ([]report.Report, bool, uint64) {
	type outcome struct {
		target target.Target
		report report.Report
		err    error
	}
	members := p.members()
	p.tally.members = members
	targets := members.Members()
	results := make(chan outcome, len(targets))
	pause := withTerm(stmt.Pause, term)
	asked := 0
	for _, t := range targets {
		if slices.Contains(except, t.ID) {
			continue
		}
		asked++
		go func() {
			ctx, stop := context.WithTimeout(ctx, stepTimeout)
			defer stop()
			r, err := p.report(ctx, members, t, pause)
			results <- outcome{t, r, err}
		}()
	}
	var outcomes []outcome
	var highest uint64
	for range asked {
		o := <-results
		outcomes = append(outcomes, o)
		highest = max(highest, o.report.Term)
	}
	former := p.pending.Former
	if highest != p.pending.FormerTerm {
		former = ""
	}
	var reports []report.Report
	stopped := 0
	for _, o := range outcomes {
		switch {
		case o.target.ID == former:
			stopped++
			p.count(o.target, countedFormer, o.report, o.err)
		case o.target.Leaving && members.MissingSince(o.target.ID) != 0 && hasEnded(o.err):
			stopped++
			p.count(o.target, countedEnded, o.report, o.err)
		case o.err != nil:
			if p.count(o.target, countedNotHeard, o.report, o.err) {
				p.log.Info("target not paused", zap.String("Target", o.target.ID), zap.Uint64("Term", term), zap.String("Error", o.err.Error()))
			}
		case o.report.Held >= term:
			stopped++
			reports = append(reports, o.report)
			p.count(o.target, countedStopped, o.report, nil)
		case p.count(o.target, countedReceives, o.report, nil):
			p.log.Info("target did not stop receiving", zap.Uint64("Term", term), zap.Any("Report", o.report))
		}
	}
	return reports, stopped == asked && asked > 0, highest
}

// report runs a command at a member and returns its report. A member that is not
// registered counts as leaving, since no host can use it.
func (p *Promoter) report(ctx context.Context, members member.Set, t target.Target, s stmt.Stmt) (report.Report, error) {
	if members.MissingSince(t.ID) == 0 {
		return p.group.Report(ctx, t, s)
	}
	r, err := p.group.ReportUnregistered(ctx, t, s)
	return r.WithLeaving(true), err
}

// hasEnded reports whether an error shows that a target's process has ended: nothing, or
// another target, is at its address.
func hasEnded(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, code.NotRunWrongTarget)
}

// mostReceived returns the report of the target that received most of the log.
// If several received equally much, it prefers the target that was already
// ordered to lead, then one that is not leaving, then the lowest ID, so that
// the same reports always give the same target. It returns false if there are
// no reports.
func mostReceived(reports []report.Report, ordered string) (report.Report, bool) {
	if len(reports) == 0 {
		return report.Report{}, false
	}
	return slices.MaxFunc(reports, func(a, b report.Report) int {
		return cmp.Or(
			a.Received.Compare(b.Received),
			compareBool(a.Member == ordered, b.Member == ordered),
			compareBool(!a.Leaving, !b.Leaving),
			cmp.Compare(b.Member, a.Member),
		)
	}), true
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
