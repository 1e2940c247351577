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

// poll is the outcome of an attempt to stop the members of a group.
type poll struct {
	// reports are those of the members that stopped, without the former leader's.
	reports []report.Report
	// former is the report of the target that a pending order replaces, if it stopped. What
	// it received alone was never acknowledged, unless others are missing.
	former report.Report
	// heard are the IDs of the members that stopped, the former leader included.
	heard []string
	// complete is set if all members have stopped or ended, apart from those left out.
	complete bool
	// leftOut is set if a member was not heard that may have acknowledged commits, and ended
	// if the process of one that was leaving seems to have ended.
	leftOut, ended bool
	// silent is set if such a member may still acknowledge commits to hosts behind the same
	// partition.
	silent bool
	// leads is another member that reports to lead. Its ID is empty if there is none.
	leads target.Target
	// highest is the highest term that any member reported.
	highest uint64
}

// outcome is the answer of one member to an order.
type outcome struct {
	target target.Target
	report report.Report
	err    error
}

// pauseReplicas orders all members except the given one to stop receiving log entries, until
// all of them have stopped, another one is found to lead, or the context ends. A member that
// was leaving is not waited for once it is not registered any more, since its log goes with
// it, nor one that is absent.
func (p *Promoter) pauseReplicas(ctx context.Context, except ...string) poll {
	return p.pollReplicas(ctx, except, p.group.Term()+1)
}

// askReplicas is like pauseReplicas, but the members go on receiving.
func (p *Promoter) askReplicas(ctx context.Context, except ...string) poll {
	return p.pollReplicas(ctx, except, 0)
}

func (p *Promoter) pollReplicas(ctx context.Context, except []string, term uint64) poll {
	for {
		polled := p.pollOnce(ctx, except, term)
		if polled.complete || polled.leads.ID != "" || ctx.Err() != nil {
			return polled
		}
		if term != 0 {
			term = max(term, polled.highest+1)
		}
		sleep.For(ctx, checkPause)
	}
}

// pollOnce orders each member except the given ones once to stop receiving log entries,
// with the given term. A member ignores an order with a term that it has already reached, so
// that the term 0 only asks for its report.
func (p *Promoter) pollOnce(ctx context.Context, except []string, term uint64) poll {
	members := p.members()
	p.tally.members = members
	targets := slices.DeleteFunc(members.Members(), func(t target.Target) bool { return slices.Contains(except, t.ID) })
	results := make(chan outcome, len(targets))
	for _, t := range targets {
		go func() {
			limit := stepTimeout
			if members.Absent(t.ID) {
				limit = absentTimeout
			}
			ctx, stop := context.WithTimeout(ctx, limit)
			defer stop()
			r, err := p.report(ctx, members, t, withTerm(stmt.Pause, term))
			results <- outcome{t, r, err}
		}()
	}
	var outcomes []outcome
	var polled poll
	for range targets {
		o := <-results
		outcomes = append(outcomes, o)
		polled.highest = max(polled.highest, o.report.Term)
	}
	former := p.pending.Former
	if polled.highest != p.pending.FormerTerm {
		// Another target has led since.
		former = ""
	}
	settled := 0
	for _, o := range outcomes {
		if o.err == nil && o.report.Held >= term {
			polled.heard = append(polled.heard, o.target.ID)
		}
		counted := p.classify(members, o, former, term)
		switch counted {
		case countedStopped, countedAnswered:
			polled.reports = append(polled.reports, o.report)
		case countedFormer:
			if o.err == nil && o.report.Held >= term {
				polled.former = o.report
			}
		case countedLeft, countedAbsent:
			polled.leftOut = true
			polled.silent = polled.silent || !hasEnded(o.err) && !members.Lost(o.target.ID)
		case countedEnded:
			polled.ended = true
		case countedReceives, countedNotHeard:
			settled--
		case countedLeads:
			settled--
			polled.leads = o.target
		}
		settled++
		changed := p.count(o.target, counted, o.report, o.err)
		switch {
		case changed && counted == countedNotHeard:
			p.log.Info("target not paused", zap.String("Target", o.target.ID), zap.Uint64("Term", term), zap.String("Error", o.err.Error()))
		case changed && counted == countedReceives:
			p.log.Info("target did not stop receiving", zap.Uint64("Term", term), zap.Any("Report", o.report))
		}
	}
	polled.complete = settled == len(targets) && len(targets) > 0
	return polled
}

// classify returns how the answer of a member to an order to stop counts.
func (p *Promoter) classify(members member.Set, o outcome, former string, term uint64) string {
	switch {
	case o.target.ID == former:
		return countedFormer
	case o.err == nil && o.report.Primary:
		return countedLeads
	case o.err == nil && term == 0:
		return countedAnswered
	case o.err == nil && o.report.Held >= term:
		return countedStopped
	case o.err == nil:
		return countedReceives
	case o.target.Leaving && members.MissingSince(o.target.ID) != 0 && hasEnded(o.err):
		return countedEnded
	case o.target.Leaving && members.MissingSince(o.target.ID) != 0:
		return countedLeft
	case members.Absent(o.target.ID):
		return countedAbsent
	}
	return countedNotHeard
}

// report runs a command at a member and returns its report. A member that is not
// registered counts as leaving, since no host can use it.
func (p *Promoter) report(ctx context.Context, members member.Set, t target.Target, s stmt.Stmt) (report.Report, error) {
	if members.MissingSince(t.ID) == 0 {
		return p.group.Report(ctx, t, s)
	}
	r, err := p.group.ReportFromAny(ctx, t, s, p.group.ReportUnregistered)
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
