package promo

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// planned tells whether the leader serves until the next one leads.
func planned(why string) bool {
	return why == rset.LeaderLeaving || why == rset.ReplicasBehind
}

// handover prepares the replacement of a leader that still serves. One replica
// goes on receiving and the others stop, so that each commit that is
// acknowledged from then on is on that one; it takes the lead once it holds
// what the others held. Writes are served meanwhile.
func (p *Promoter) handover(ctx context.Context, leader target.Target, noted string) (string, bool) {
	ctx, stop := context.WithTimeout(ctx, gatherLimit)
	defer stop()
	next, ok := p.heir(ctx, leader.ID, noted)
	if !ok {
		return "", false
	}
	reports, complete := p.gather(ctx, leader.ID, next.ID)
	if !complete {
		return "", false
	}
	for ctx.Err() == nil {
		r, err := p.crew.Report(ctx, next, stmt.New(stmt.ProxyID, stmt.Resume, ""))
		if err == nil && holdsAll(r, reports) {
			p.log.Info("handover ready", zap.Any("Heir", r), zap.Any("Others", reports))
			return next.ID, true
		}
		sleep.For(ctx, look)
	}
	return "", false
}

// heir returns the replica that takes the lead from one that serves: the one
// that was noted, else the one that received most, else the one that lags most,
// since it lags no longer once it leads.
func (p *Promoter) heir(ctx context.Context, leader, noted string) (target.Target, bool) {
	type candidate struct {
		target   target.Target
		received mark.Mark
		lag      time.Duration
	}
	var found []candidate
	for _, t := range p.crew.Targets() {
		if _, down := p.crew.Down(t.ID); t.ID == leader || t.Leaving || down {
			continue
		}
		if t.ID == noted {
			return t, true
		}
		found = append(found, candidate{target: t, lag: p.crew.Lag(t.ID)})
	}
	if len(found) == 0 {
		return target.Target{}, false
	}
	var asked sync.WaitGroup
	for i := range found {
		asked.Go(func() {
			ctx, stop := context.WithTimeout(ctx, stepTimeout)
			defer stop()
			r, err := p.crew.Report(ctx, found[i].target, stmt.New(stmt.ProxyID, stmt.Status, ""))
			if err != nil {
				p.log.Info("replica not asked", zap.String("Target", found[i].target.ID), zap.String("Error", err.Error()))
			}
			found[i].received = r.Received
		})
	}
	asked.Wait()
	best := slices.MaxFunc(found, func(a, b candidate) int {
		return cmp.Or(a.received.Compare(b.received), cmp.Compare(a.lag, b.lag), cmp.Compare(b.target.ID, a.target.ID))
	})
	return best.target, true
}

func holdsAll(r report.Report, others []report.Report) bool {
	for _, o := range others {
		if !r.Received.AtLeast(o.Received) {
			return false
		}
	}
	return true
}

// stalled tells whether the replicas don't get what the leader writes: its log
// is longer than what each of them received a while later. Writes that take
// long for want of slots are no reason to replace it; a target that is too
// busy to tell is in want of slots.
func (p *Promoter) stalled(ctx context.Context, leader target.Target) bool {
	ctx, stop := context.WithTimeout(ctx, stalledTime+stepTimeout)
	defer stop()
	status := stmt.New(stmt.ProxyID, stmt.Status, "")
	before, err := p.crew.Report(ctx, leader, status)
	if err != nil {
		p.log.Info("stall not checked", zap.String("Error", err.Error()))
		return false
	}
	sleep.For(ctx, stalledTime)
	for _, t := range p.crew.Targets() {
		if t.ID == leader.ID {
			continue
		}
		after, err := p.crew.Report(ctx, t, status)
		if err != nil || after.Received.AtLeast(before.Received) {
			p.log.Info("leader is slow and not stalled", zap.Any("Leader", before), zap.Any("Replica", after), zap.Bool("Asked", err == nil))
			return false
		}
	}
	return true
}

// takeover prepares the replacement of a leader that does not serve: all
// others stop receiving, and the one that holds most takes the lead. Where
// the holder of the lease before noted a target, that one goes first among
// those that hold as much, so that two orders name the same.
func (p *Promoter) takeover(ctx context.Context, leader target.Target, noted, why string) (string, bool) {
	ctx, stop := context.WithTimeout(ctx, gatherLimit)
	defer stop()
	reports, complete := p.gather(ctx, leader.ID)
	if !complete {
		return "", false
	}
	best, ok := choose(reports, noted)
	p.log.Info("takeover ready", zap.Any("Reports", reports), zap.String("Chosen", best.Member))
	// A leader that lives is not replaced by one that leaves.
	return best.Member, ok && !(why == rset.LeaderStalled && best.Leaving)
}
