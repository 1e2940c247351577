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

// planned reports whether a leader with the given problem is replaced by a
// handover, in which it serves until the next leader takes over.
func planned(why string) bool {
	return why == rset.LeaderLeaving || why == rset.ReplicasBehind
}

// handover prepares the replacement of a leader that still serves. One replica,
// the successor, keeps receiving log entries and the others stop. Once the
// successor's log also includes everything that the others received, the leader
// is demoted and the target to lead elected, which is the successor unless
// another one received more meanwhile. Writes are served until then. The
// parameter ordered is the target of an earlier order that may still be carried
// out, or empty. The function returns the report of the target to lead, or
// false if the preparation did not succeed in time.
func (p *Promoter) handover(ctx context.Context, leader target.Target, ordered string) (report.Report, bool) {
	preparing, stop := context.WithTimeout(ctx, prepareTimeout)
	defer stop()
	next, ok := p.successor(preparing, leader.ID, ordered)
	if !ok || !p.holds() {
		return report.Report{}, false
	}
	polled := p.pauseReplicas(preparing, leader.ID, next.ID)
	if !polled.complete {
		return report.Report{}, false
	}
	for preparing.Err() == nil && p.holds() {
		r, err := p.group.Report(preparing, next, stmt.New(stmt.ProxyID, stmt.Resume, ""))
		p.count(next, countedSuccessor, r, err)
		if err == nil && receivedAll(r, polled.reports) {
			p.log.Info("handover ready", zap.Any("Heir", r), zap.Any("Others", polled.reports))
			return p.elect(ctx, leader, next.ID)
		}
		sleep.For(preparing, checkPause)
	}
	return report.Report{}, false
}

// successor returns the replica that takes over from a leader that still
// serves: the one that was already ordered to lead, or else the one that
// received most of the log. If several received equally much, it is the one
// with the largest lag, since a replica that becomes leader no longer lags. It
// never returns a target that is leaving or down.
func (p *Promoter) successor(ctx context.Context, leader, ordered string) (target.Target, bool) {
	type candidate struct {
		target   target.Target
		received mark.Mark
		lag      time.Duration
	}
	var found []candidate
	for _, t := range p.group.Targets() {
		if _, down := p.group.Down(t.ID); t.ID == leader || t.Leaving || down {
			continue
		}
		if t.ID == ordered {
			return t, true
		}
		found = append(found, candidate{target: t, lag: p.group.Lag(t.ID)})
	}
	if len(found) == 0 {
		return target.Target{}, false
	}
	targets := make([]target.Target, len(found))
	for i := range found {
		targets[i] = found[i].target
	}
	for i, r := range p.statuses(ctx, targets, stepTimeout) {
		found[i].received = r.Received
	}
	best := slices.MaxFunc(found, func(a, b candidate) int {
		return cmp.Or(a.received.Compare(b.received), cmp.Compare(a.lag, b.lag), cmp.Compare(b.target.ID, a.target.ID))
	})
	return best.target, true
}

// statuses returns the reports of replicas in their order, the zero Report of one that does not
// answer within limit. It changes nothing at the replicas.
func (p *Promoter) statuses(ctx context.Context, replicas []target.Target, limit time.Duration) []report.Report {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	reports := make([]report.Report, len(replicas))
	var asked sync.WaitGroup
	for i, t := range replicas {
		asked.Go(func() {
			r, err := p.group.Report(ctx, t, stmt.New(stmt.ProxyID, stmt.Status, ""))
			if err != nil {
				p.log.Info("can't read replica status", zap.String("Target", t.ID), zap.String("Error", err.Error()))
				return
			}
			reports[i] = r
		})
	}
	asked.Wait()
	return reports
}

// receivedAll reports whether the target that sent report r received everything
// that the others received.
func receivedAll(r report.Report, others []report.Report) bool {
	for _, o := range others {
		if !r.Received.AtLeast(o.Received) {
			return false
		}
	}
	return true
}

// replicationStalled reports whether the replicas don't receive what the leader
// writes: after receiveTime, none of them has received all entries that the
// leader had at the start. A leader whose writes only wait for slots does not
// count as stalled. If a target does not answer the status command,
// replicationStalled assumes that the target is short of slots and returns
// false.
func (p *Promoter) replicationStalled(ctx context.Context, leader target.Target) bool {
	ctx, stop := context.WithTimeout(ctx, receiveTime+stepTimeout)
	defer stop()
	status := stmt.New(stmt.ProxyID, stmt.Status, "")
	before, err := p.group.Report(ctx, leader, status)
	if err != nil {
		p.log.Info("can't check whether leader is stalled", zap.String("Error", err.Error()))
		return false
	}
	sleep.For(ctx, receiveTime)
	for _, t := range p.group.Targets() {
		if t.ID == leader.ID {
			continue
		}
		after, err := p.group.Report(ctx, t, status)
		if err != nil || after.Received.AtLeast(before.Received) {
			p.log.Info("leader is slow but not stalled", zap.Any("Leader", before), zap.Any("Replica", after), zap.Bool("Asked", err == nil))
			return false
		}
	}
	return true
}

// takeover prepares the replacement of a leader that does not serve. All other
// targets stop receiving log entries, and the one that received most is elected. A leader
// that may be demoted has the others receive until then, since it might acknowledge later
// what they lack.
// If several received equally much, takeover prefers the target that an earlier
// order names, so that both orders name the same target. It returns false if a
// replica did not stop or no target may be chosen.
func (p *Promoter) takeover(ctx context.Context, leader target.Target, ordered, why string) (report.Report, bool) {
	preparing, stop := context.WithTimeout(ctx, prepareTimeout)
	defer stop()
	hear := p.pauseReplicas
	if leader.ID != "" && p.pending.Token == 0 {
		hear = p.askReplicas
	}
	polled := hear(preparing, leader.ID)
	switch t := polled.leads; {
	case t.ID == "":
	case p.members().MissingSince(t.ID) == 0:
		p.group.SetLeader(t.ID, rset.ByReport)
	case leader.ID == "":
		// Hosts can't use a leader that is not registered.
		leader = t
		polled = hear(preparing, leader.ID)
	}
	if !polled.complete {
		return report.Report{}, false
	}
	best, ok := mostReceived(polled.reports, ordered)
	p.log.Info("takeover ready", zap.Any("Reports", polled.reports), zap.String("Chosen", best.Member))
	// A leader that still answers is not replaced by a target that is leaving.
	if !ok || why == rset.LeaderStalled && best.Leaving {
		return report.Report{}, false
	}
	return p.elect(ctx, leader, ordered)
}
