package rset

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

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
	// renewTimeout bounds a renewal of the watermark and a round of the search
	// for the leader. Their transactions take no slot of the target, so it
	// covers only round trips and the wait for a connection.
	renewTimeout = time.Second
	// searchPause is the pause between two rounds of a search for the leader.
	searchPause = 100 * time.Millisecond
	// searchLimit bounds a search for the leader. The next statement that needs
	// a leader starts another search.
	searchLimit = 10 * time.Second
)

// How this host learned of a leader, if it rests on what the target says of itself.
const (
	byRegistration = "registration"
	byTransaction  = "accepted a transaction"
	// ByReport is the reason for a target that reported to lead when it was told to stop
	// receiving.
	ByReport = "reports to lead"
)

// renewal is a watermark renewal in progress, shared by the statements that
// wait for it.
type renewal struct {
	// done is closed when the renewal has ended, after err was set.
	done  chan struct{}
	began time.Duration
	err   error
}

// AwaitLeader waits until there is a leader that gets new work, and returns it.
// If the context ends first, it returns ErrNotSent. If no leader is known or
// the leader is down, it starts a search for the leader.
func (rs *ReplicaSet) AwaitLeader(ctx context.Context) (target.Target, error) {
	for {
		rs.mu.Lock()
		ts, ok := rs.states[rs.leader]
		changed := rs.changed
		usable := ok && rs.usable(ts)
		if !ok || rs.isDown(ts) {
			rs.startSearch()
		}
		var t target.Target
		if ok {
			t = ts.target
		}
		rs.mu.Unlock()
		if usable {
			return t, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return target.Target{}, errors.Wrap(ErrNotSent, "no leader is known")
		}
	}
}

// usable reports whether a target, as the leader, gets new work: it answers,
// and either it is not leaving or its drain time has not passed; the caller
// holds the lock.
func (rs *ReplicaSet) usable(ts *targetState) bool {
	return ts.failingSince == 0 && (ts.drainUntil == 0 || rs.now() < ts.drainUntil)
}

// LostLeader returns the leader whose registration was removed while it led. It returns
// false if a leader is known, became unknown otherwise, or has registered again.
func (rs *ReplicaSet) LostLeader() (target.Target, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if _, again := rs.states[rs.lostLeader.ID]; again {
		return target.Target{}, false
	}
	return rs.lostLeader, rs.lostLeader.ID != ""
}

// AwaitWatermark waits until a watermark renewal succeeds that began no earlier
// than the given time. It returns the error of the first renewal that fails, or
// ErrNotSent if the context ends. Concurrent calls share a renewal.
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

// RenewWatermark starts a watermark renewal unless one is in progress, and does
// not wait for the result.
func (rs *ReplicaSet) RenewWatermark() {
	rs.startRenewal()
}

// startRenewal returns the renewal in progress, or starts one.
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

// proveLeadership begins a transaction that may write at the leader, which adds
// a watermark if the leader accepts it. A target that refuses the transaction
// is no longer the leader.
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

// AddWatermark records that every log that includes the position m also
// includes all commits acknowledged before the given time.
func (rs *ReplicaSet) AddWatermark(m mark.Mark, at time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.watermarks.Add(m, at)
}

// CoveringMark returns the oldest known log position that covers all commits
// acknowledged before the given time, and the time up to which that position
// covers all commits. It also returns the time of the newest watermark. The
// result ok is false if no watermark is recent enough.
func (rs *ReplicaSet) CoveringMark(at time.Duration) (m mark.Mark, covers, newest time.Duration, ok bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	m, covers, ok = rs.watermarks.Covering(at)
	return m, covers, rs.watermarks.Newest(), ok
}

// Report runs a command at a target, on a connection of this host or of another
// one, and returns the target's report.
func (rs *ReplicaSet) Report(ctx context.Context, t target.Target, s stmt.Stmt) (report.Report, error) {
	rs.mu.Lock()
	ts, err := rs.answeringState(t.ID)
	if err != nil {
		rs.mu.Unlock()
		return report.Report{}, err
	}
	direct, lenders, first := ts.direct, ts.lenders, ts.firstLender
	rs.mu.Unlock()
	if !direct {
		r, err := rs.borrower.Report(ctx, t, s, lenders, first)
		if err == nil || ctx.Err() != nil || errors.Is(err, remote.ErrRefused) {
			return r.WithMember(t.ID).WithLeaving(t.Leaving), err
		}
	}
	r, err := rs.ReportOwn(ctx, t.ID, s)
	return r.WithLeaving(t.Leaving), err
}

// ReportOwn runs a command at a target on a connection of this host only, and
// returns the target's report. It serves other hosts that borrow connections.
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

// ReportUnregistered runs a command at a target that is not registered, on a connection
// of its own, and returns the target's report.
func (rs *ReplicaSet) ReportUnregistered(ctx context.Context, t target.Target, s stmt.Stmt) (report.Report, error) {
	cn, err := rs.dialer.Open(ctx, t, "")
	if err != nil {
		return report.Report{}, err
	}
	defer cn.Close()
	r, err := cn.Report(ctx, s)
	return r.WithLeaving(t.Leaving), err
}

// AcceptsWrites reports whether a target accepts a transaction that may write,
// which only the leader does. The error is nil if the target answered.
func (rs *ReplicaSet) AcceptsWrites(ctx context.Context, t target.Target) (bool, error) {
	r, err := rs.tryTransaction(ctx, t)
	return err == nil && r.OK(), err
}

// tryTransaction begins a transaction that may write at a target, rolls it
// back, and returns the reply to the begin statement. Only the leader accepts
// such a transaction. It takes no slot.
func (rs *ReplicaSet) tryTransaction(ctx context.Context, t target.Target) (reply.Reply, error) {
	replies, _, err := rs.Do(ctx, t.ID, batch.New(caller.Caller{},
		[]stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Begin, "")}, []stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Rollback, "")}))
	if err != nil {
		return reply.Reply{}, err
	}
	return replies[0], nil
}

// startSearch starts to ask the targets which of them leads, unless a search is
// in progress; the caller holds the lock.
func (rs *ReplicaSet) startSearch() {
	if rs.searching {
		return
	}
	rs.searching = true
	go rs.searchLoop()
}

// searchLoop asks the targets repeatedly which of them leads, until there is a
// leader that gets new work, for at most searchLimit.
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

// searchRound asks each target that is not down once whether it leads.
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
				rs.SetLeader(t.ID, byTransaction)
			}
		}()
	}
	for range targets {
		<-done
	}
}

// SetLeader records that a target is the leader. It returns false and changes
// nothing if the target is already recorded as the leader or is not part of the
// group.
func (rs *ReplicaSet) SetLeader(id, why string) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if _, ok := rs.states[id]; !ok || rs.leader == id {
		return false
	}
	rs.setLeader(id, why)
	return true
}

// ClearLeader records that a target refused a transaction that only the leader
// accepts. The leader is then unknown, unless another target was recorded as
// leader meanwhile.
func (rs *ReplicaSet) ClearLeader(id string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.leader == id {
		rs.setLeader("", "target does not lead")
		rs.raiseAlarm()
	}
}

// setLeader changes the leader, or makes it unknown if id is empty, and
// discards the lag and the stalled writes observed under the previous leader;
// the caller holds the lock.
func (rs *ReplicaSet) setLeader(id, why string) {
	if rs.leader == id {
		return
	}
	rs.log.Info("leader changed", zap.String("Group", rs.Name), zap.String("From", rs.leader), zap.String("To", id), zap.String("Why", why))
	rs.leader, rs.lostLeader = id, target.Target{}
	rs.changeView()
	for _, ts := range rs.states {
		ts.lag = lag{}
	}
	rs.doubt.open = false
	rs.permit = rs.permit.WithoutConfirmation()
	first := rs.lastLeader == "" && rs.firstStart
	if !first && (why == byRegistration || why == byTransaction || why == ByReport) {
		// It may be the former leader, restarted under its ID or another one, while the
		// order that replaces it is still to be carried out.
		rs.doubtLeader(why)
		rs.raiseAlarm()
	}
	rs.lastLeader = cmp.Or(id, rs.lastLeader)
	rs.leaderlessSince = 0
	if id == "" {
		rs.leaderlessSince = rs.now()
	}
	rs.stalledSince, rs.stalledWrites = 0, 0
	rs.notifyChanged()
}
