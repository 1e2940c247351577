package rset

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// renewTimeout bounds the renewal of the watermark. It takes no slot of the
	// target, so only round trips and the wait for a connection count.
	renewTimeout = time.Second
	// searchPause is the pause between two rounds of asking the targets which
	// of them leads.
	searchPause = 100 * time.Millisecond
	// searchLimit bounds a search; the next statement that needs a leader
	// starts another one.
	searchLimit = 10 * time.Second
)

// renewal is a renewal of the watermark in progress, shared by the statements
// that wait for it.
type renewal struct {
	done  chan struct{}
	began time.Duration
	err   error
}

// AwaitWatermark waits until the leader confirmed a watermark in a renewal that
// began at or after a time. Concurrent callers share a renewal.
func (rs *ReplicaSet) AwaitWatermark(ctx context.Context, after time.Duration) error {
	for {
		r := rs.startRenewal()
		select {
		case <-r.done:
		case <-ctx.Done():
			return errors.Wrap(ErrNotSent, "no proof of the newest position")
		}
		if r.began >= after || r.err != nil {
			return r.err
		}
	}
}

// RenewWatermark starts to renew the watermark, unless that is in progress, and
// does not wait for it.
func (rs *ReplicaSet) RenewWatermark() {
	rs.startRenewal()
}

func (rs *ReplicaSet) startRenewal() *renewal {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.renewal == nil {
		rs.renewal = &renewal{done: make(chan struct{}), began: rs.now()}
		go rs.runRenewal(rs.renewal)
	}
	return rs.renewal
}

func (rs *ReplicaSet) runRenewal(r *renewal) {
	ctx, stop := context.WithTimeout(context.Background(), renewTimeout)
	defer stop()
	r.err = rs.proveLeadership(ctx)
	rs.mu.Lock()
	rs.renewal = nil
	rs.mu.Unlock()
	close(r.done)
}

// proveLeadership has the leader begin a transaction that may write, which also
// adds a watermark. A target that refuses the transaction is no longer the
// leader.
func (rs *ReplicaSet) proveLeadership(ctx context.Context) error {
	t, err := rs.AwaitLeader(ctx)
	if err != nil {
		return err
	}
	r, err := rs.tryTransaction(ctx, t)
	if err != nil {
		return err
	}
	if !r.OK() {
		rs.ClearLeader(t.ID)
		return errors.Errorf("the leader did not prove to lead: %s", r.Code.Name())
	}
	return nil
}

// AddWatermark records that a log that includes m includes all commits that
// were acknowledged before a time.
func (rs *ReplicaSet) AddWatermark(m mark.Mark, at time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.watermarks.Add(m, at)
}

// CoveringMark returns the oldest known mark that covers all commits before a
// time, the time up to which it covers them, and the time of the newest
// watermark.
func (rs *ReplicaSet) CoveringMark(at time.Duration) (m mark.Mark, covers, newest time.Duration, ok bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	m, covers, ok = rs.watermarks.Covering(at)
	return m, covers, rs.watermarks.Newest(), ok
}

// Report runs a command at a target and returns the target's report.
func (rs *ReplicaSet) Report(ctx context.Context, t target.Target, s stmt.Stmt) (report.Report, error) {
	rs.mu.Lock()
	ts, err := rs.reachable(t.ID)
	if err != nil {
		rs.mu.Unlock()
		return report.Report{}, err
	}
	own, hosts, first := ts.direct, ts.lenders, ts.firstLender
	rs.mu.Unlock()
	if !own {
		r, err := rs.borrower.Report(ctx, t, s, hosts, first)
		if err == nil || ctx.Err() != nil || errors.Is(err, remote.ErrRefused) {
			return r.WithMember(t.ID).WithLeaving(t.Leaving), err
		}
	}
	r, err := rs.ReportOwn(ctx, t.ID, s)
	return r.WithLeaving(t.Leaving), err
}

// ReportOwn is Report restricted to this host's own connections. It serves
// other hosts that borrow them.
func (rs *ReplicaSet) ReportOwn(ctx context.Context, id string, s stmt.Stmt) (report.Report, error) {
	_, cn, err := rs.DoOwn(ctx, id, batch.New(caller.Caller{}).WithKeep())
	if err != nil {
		return report.Report{}, err
	}
	r, err := cn.Report(ctx, s)
	if err != nil {
		rs.Drop(cn)
		return r, err
	}
	rs.Put(cn)
	return r, nil
}

// AcceptsWrites reports whether a target accepts a transaction that may write,
// which only the leader does.
func (rs *ReplicaSet) AcceptsWrites(ctx context.Context, t target.Target) (bool, error) {
	r, err := rs.tryTransaction(ctx, t)
	return err == nil && r.OK(), err
}

// tryTransaction begins and rolls back a transaction that may write, which only
// the leader accepts and which takes no slot.
func (rs *ReplicaSet) tryTransaction(ctx context.Context, t target.Target) (reply.Reply, error) {
	replies, _, err := rs.Do(ctx, t.ID, batch.New(caller.Caller{},
		[]stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Begin, "")}, []stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Rollback, "")}))
	if err != nil {
		return reply.Reply{}, err
	}
	return replies[0], nil
}

// startSearch asks all targets which of them leads, until one does; the caller
// holds the lock.
func (rs *ReplicaSet) startSearch() {
	if rs.searching {
		return
	}
	rs.searching = true
	go rs.searchLoop()
}

func (rs *ReplicaSet) searchLoop() {
	ctx, stop := context.WithTimeout(context.Background(), searchLimit)
	defer stop()
	for ctx.Err() == nil && !rs.hasLeader() {
		rs.searchRound(ctx)
		if !rs.hasLeader() {
			time.Sleep(searchPause)
		}
	}
	rs.mu.Lock()
	rs.searching = false
	rs.mu.Unlock()
}

// hasLeader reports whether there is a leader that gets new work.
func (rs *ReplicaSet) hasLeader() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[rs.leader]
	return ok && rs.usable(ts)
}

func (rs *ReplicaSet) searchRound(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, renewTimeout)
	defer stop()
	targets := slices.DeleteFunc(rs.Targets(), func(t target.Target) bool {
		_, down := rs.Down(t.ID)
		return down
	})
	done := make(chan struct{}, len(targets))
	for _, t := range targets {
		go func() {
			defer func() { done <- struct{}{} }()
			r, err := rs.tryTransaction(ctx, t)
			if err == nil && r.Code == code.Done {
				rs.SetLeader(t.ID, "accepted a transaction")
			}
		}()
	}
	for range targets {
		<-done
	}
}
