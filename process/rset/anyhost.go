package rset

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// askOthersAfter is how long this host tries to reach a target alone: several times the
// usual response time of a target in another region.
const askOthersAfter = 150 * time.Millisecond

// ReportFromAny runs a command at a target with the function own, which is Report or
// ReportUnregistered. If this host does not reach the target, all other hosts that may
// connect to it are asked to run the command. It returns the first report, or the error of
// this host if the context ends or no host gets a report. The command may run more than once.
func (rs *ReplicaSet) ReportFromAny(ctx context.Context, t target.Target, s stmt.Stmt, own func(context.Context, target.Target, stmt.Stmt) (report.Report, error)) (report.Report, error) {
	type answer struct {
		report report.Report
		err    error
		own    bool
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	others := rs.otherHosts(t.ID)
	answers := make(chan answer, 1+len(others))
	go func() {
		r, err := own(ctx, t, s)
		answers <- answer{r.WithMember(t.ID), err, true}
	}()
	alone := time.NewTimer(askOthersAfter)
	defer alone.Stop()
	var failed error
	for pending, asked := 1, false; pending > 0; {
		select {
		case a := <-answers:
			if a.err == nil {
				return a.report, nil
			}
			if a.own {
				failed = a.err
			}
			pending--
		case <-alone.C:
		case <-ctx.Done():
			return report.Report{}, cmp.Or(failed, ctx.Err())
		}
		if asked {
			continue
		}
		asked = true
		for _, h := range others {
			pending++
			go func() {
				r, err := rs.borrower.Report(ctx, t, s, []gossip.HostInfo{h}, 0)
				answers <- answer{r.WithMember(t.ID).WithLeaving(t.Leaving), err, false}
			}()
		}
	}
	return report.Report{}, failed
}

// otherHosts returns the other live hosts that connect to a target, or to any target of the
// group if this one is not registered.
func (rs *ReplicaSet) otherHosts(id string) []gossip.HostInfo {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.borrower == nil {
		return nil
	}
	var hosts []gossip.HostInfo
	if ts, ok := rs.states[id]; ok {
		hosts = rs.hostsOf(ts)
	} else {
		for _, ts := range rs.states {
			hosts = append(hosts, rs.hostsOf(ts)...)
		}
	}
	self := rs.assignment.Self()
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(h gossip.HostInfo) bool { return h.Host == self })
	slices.SortFunc(hosts, func(a, b gossip.HostInfo) int { return cmp.Compare(a.Host, b.Host) })
	return slices.CompactFunc(hosts, func(a, b gossip.HostInfo) bool { return a.Host == b.Host })
}

// hostsOf returns the live hosts that connect to a target; the caller holds the lock.
func (rs *ReplicaSet) hostsOf(ts *targetState) []gossip.HostInfo {
	if ts.lenders != nil {
		return ts.lenders
	}
	return rs.assignment.Live()
}
