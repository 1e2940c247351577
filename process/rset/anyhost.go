package rset

import (
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

// ReportFromAny runs a command at a target as Report does. If this host does not reach the
// target, all other hosts that connect to it are asked to run the command. It returns the
// first report, or an error if the context ends or no host gets a report. The command may
// run more than once.
func (rs *ReplicaSet) ReportFromAny(ctx context.Context, t target.Target, s stmt.Stmt) (report.Report, error) {
	type answer struct {
		report report.Report
		err    error
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	others := rs.otherHosts(t.ID)
	answers := make(chan answer, 1+len(others))
	go func() {
		r, err := rs.Report(ctx, t, s)
		answers <- answer{r, err}
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
			failed = a.err
			pending--
		case <-alone.C:
		case <-ctx.Done():
			return report.Report{}, ctx.Err()
		}
		if asked {
			continue
		}
		asked = true
		for _, h := range others {
			pending++
			go func() {
				r, err := rs.borrower.Report(ctx, t, s, []gossip.HostInfo{h}, 0)
				answers <- answer{r.WithMember(t.ID).WithLeaving(t.Leaving), err}
			}()
		}
	}
	return report.Report{}, failed
}

// otherHosts returns the other live hosts that connect to a target.
func (rs *ReplicaSet) otherHosts(id string) []gossip.HostInfo {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[id]
	if !ok || rs.borrower == nil {
		return nil
	}
	hosts := ts.lenders
	if hosts == nil {
		hosts = rs.assignment.Live()
	}
	self := rs.assignment.Self()
	return slices.DeleteFunc(slices.Clone(hosts), func(h gossip.HostInfo) bool { return h.Host == self })
}
