package rset

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// askOthersAfter is how long this host tries to reach a target alone: several times the
	// usual response time of a target in another region.
	askOthersAfter = 150 * time.Millisecond
	// formerHostTime is how long a host that does not connect to a target any more may go on
	// with its open transactions there, or take to stop.
	formerHostTime = 10 * time.Second
)

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

// formerHost is a host that connected to targets until a time.
type formerHost struct {
	info  gossip.HostInfo
	until time.Duration
}

// noteFormerHosts notes which of the hosts that connected to targets before do not any more:
// they stop, or others are nearer. The caller holds the lock.
func (rs *ReplicaSet) noteFormerHosts(before []gossip.HostInfo) {
	for _, h := range before {
		rs.formerHosts[h.Host] = formerHost{h, rs.now()}
	}
	for _, h := range rs.connectingHosts("") {
		delete(rs.formerHosts, h.Host)
	}
	maps.DeleteFunc(rs.formerHosts, func(_ string, f formerHost) bool { return rs.now()-f.until > formerHostTime })
}

// formerlyConnecting returns the hosts that connected to targets of the group until shortly,
// and may still send commits to them.
func (rs *ReplicaSet) formerlyConnecting() []gossip.HostInfo {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var hosts []gossip.HostInfo
	for _, f := range rs.formerHosts {
		if rs.now()-f.until <= formerHostTime {
			hosts = append(hosts, f.info)
		}
	}
	slices.SortFunc(hosts, func(a, b gossip.HostInfo) int { return cmp.Compare(a.Host, b.Host) })
	return hosts
}

// otherHosts returns the other live hosts that connect to a target, or to any target of the
// group if this one is not registered.
func (rs *ReplicaSet) otherHosts(id string) []gossip.HostInfo {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.connectingHosts(id)
}

// connectingHosts returns what otherHosts does; the caller holds the lock.
func (rs *ReplicaSet) connectingHosts(id string) []gossip.HostInfo {
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
