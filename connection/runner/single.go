package runner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/version/route"
)

const (
	// retryPause is the pause before a statement that was not run is tried
	// again: a few round trips within a zone, and time for a slot to come free.
	retryPause = 20 * time.Millisecond
	// waitPercent is the part of an operation's aim that a statement is kept
	// waiting for a leader that is not expected, or for a connection: the
	// platform counts a quarter as held for too long.
	waitPercent = 22
	// minConnWait is the least time that a connection is waited for.
	minConnWait = 30 * time.Millisecond
	// ageMargin is taken off a route's limit of age: clocks are read a little
	// after the caller sent its statement.
	ageMargin = 10 * time.Millisecond
)

// errNoTarget tells that every target of a group was tried.
var errNoTarget = errors.New("no target left")

// waitBeforeRetry waits before another try. It reports false where the time is over.
func waitBeforeRetry(ctx context.Context) bool {
	return sleep.For(ctx, retryPause)
}

// boundLeaderWait bounds the wait for a leader where none is expected soon: a caller
// that is refused early can come back in its time.
func boundLeaderWait(ctx context.Context, group *rset.ReplicaSet, rt route.Route) (context.Context, context.CancelFunc) {
	if !group.LeaderOverdue() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, rt.LatencyObjective*waitPercent/100)
}

// batch returns stages for the session with a bound on the wait for a
// connection, for a statement that arrived at a time.
func (r *Runner) batch(rt route.Route, arrived time.Duration, stages ...[]stmt.Stmt) batch.Batch {
	wait := max(rt.LatencyObjective*waitPercent/100-(r.now()-arrived), minConnWait)
	return batch.New(r.caller, stages...).WithPriority(rt.Priority).WithWait(wait)
}

// waitedTooLong tells whether a statement that did not run has waited for so long that
// its caller should come back: the group serves and has nothing to spare.
func (r *Runner) waitedTooLong(group *rset.ReplicaSet, rt route.Route, arrived time.Duration) bool {
	return r.now()-arrived >= rt.LatencyObjective*waitPercent/100 && group.LeaderServes()
}

// notRun is the refusal of a statement that never left this host, or that the
// last target refused to run.
func (r *Runner) notRun(last reply.Reply, err error) reply.Reply {
	if err != nil {
		r.addLogFields(zap.String("Error", err.Error()))
	}
	if last.Code.NotRun() {
		return last
	}
	return reply.Refuse(code.NotRunDeadline, "no target could take it in time")
}

// write runs a single write at the leader. It is sent again only where the
// target said that it did not run.
func (r *Runner) write(ctx context.Context, group *rset.ReplicaSet, rt route.Route, s stmt.Stmt) reply.Reply {
	var last reply.Reply
	for try := 1; ; try++ {
		t, err := r.awaitLeader(ctx, group, rt)
		var cn *conn.Conn
		if err == nil {
			cn, err = group.Take(ctx, t.ID, r.batch(rt, s.Arrived))
		}
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, rset.ErrNotSent) || r.waitedTooLong(group, rt, s.Arrived) || !waitBeforeRetry(ctx) {
				return r.notRun(last, err)
			}
			continue
		}
		sent := r.now()
		replies, err := group.Run(ctx, cn, r.caller, s)
		r.addLogFields(zap.String("Target", t.ID), zap.Int("Try", try))
		if err != nil {
			group.Drop(cn)
			r.reportStall(ctx, group, t.ID)
			r.addLogFields(zap.String("Error", err.Error()))
			return reply.Refuse(code.OutcomeUnknown, "the answer of the target was lost")
		}
		group.Put(cn)
		last = replies[0]
		if last.OK() {
			r.recordCommit(group, t.ID, last, sent)
			return last
		}
		if !r.shouldRetry(ctx, group, t, last) || r.waitedTooLong(group, rt, s.Arrived) {
			return last
		}
	}
}

// recordCommit takes the acknowledgement of a commit that wrote.
func (r *Runner) recordCommit(group *rset.ReplicaSet, target string, out reply.Reply, sent time.Duration) {
	group.ClearStall(target)
	group.AddWatermark(out.Mark, sent)
	r.caller = r.caller.WithFloor(out.Mark, r.now())
}

// reportStall tells the group where a write ran out of time.
func (r *Runner) reportStall(ctx context.Context, group *rset.ReplicaSet, target string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		group.NoteStalledWrite(target)
	}
}

// shouldRetry tells whether a statement that was refused may be tried once more,
// after a pause.
func (r *Runner) shouldRetry(ctx context.Context, group *rset.ReplicaSet, t target.Target, out reply.Reply) bool {
	if out.Code == code.NotRunNoPrimary {
		group.ClearLeader(t.ID)
	}
	return out.Code.NotRun() && waitBeforeRetry(ctx)
}

// awaitLeader returns the target that leads.
func (r *Runner) awaitLeader(ctx context.Context, group *rset.ReplicaSet, rt route.Route) (target.Target, error) {
	waitCtx, stop := boundLeaderWait(ctx, group, rt)
	defer stop()
	return group.AwaitLeader(waitCtx)
}

// readAtLeader reads inside a transaction that only the leader accepts: the
// read fails where the target lost the lead before it.
func (r *Runner) readAtLeader(ctx context.Context, group *rset.ReplicaSet, rt route.Route, s stmt.Stmt) reply.Reply {
	var last reply.Reply
	mayHaveRun := false
	for try := 1; ; try++ {
		t, err := r.awaitLeader(ctx, group, rt)
		if err == nil {
			last, err = r.readInTransaction(ctx, group, t, rt, s)
			mayHaveRun = mayHaveRun || errors.Is(err, rset.ErrAnswerLost)
			r.addLogFields(zap.String("Target", t.ID), zap.Int("Try", try))
		}
		if err == nil && (last.OK() || !last.Code.NotRun()) {
			return last
		}
		if ctx.Err() != nil || errors.Is(err, rset.ErrNotSent) || !mayHaveRun && r.waitedTooLong(group, rt, s.Arrived) || !waitBeforeRetry(ctx) {
			return r.readRefusal(last, mayHaveRun, err)
		}
	}
}

// readRefusal is the reply to a read that got no answer. One of which a try may
// have run is not called not run, whatever later tries were told.
func (r *Runner) readRefusal(last reply.Reply, mayHaveRun bool, err error) reply.Reply {
	if mayHaveRun {
		return reply.Refuse(code.DeadlinePassed, "no answer in time")
	}
	return r.notRun(last, err)
}

func (r *Runner) readInTransaction(ctx context.Context, group *rset.ReplicaSet, t target.Target, rt route.Route, s stmt.Stmt) (reply.Reply, error) {
	replies, _, err := group.Do(ctx, t.ID, r.batch(rt, s.Arrived,
		[]stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Begin, "")}, []stmt.Stmt{s, stmt.New(stmt.ProxyID, stmt.Rollback, "")}))
	if err != nil {
		return reply.Reply{}, err
	}
	out := replies[0]
	if out.OK() {
		out = replies[1]
	}
	if out.Code == code.NotRunNoPrimary {
		group.ClearLeader(t.ID)
	}
	return out, nil
}

// read runs a read that may be served by any target whose log holds enough.
func (r *Runner) read(ctx context.Context, group *rset.ReplicaSet, rt route.Route, s stmt.Stmt) reply.Reply {
	var last reply.Reply
	mayHaveRun := false
	w := candidates{group: group, tried: map[string]bool{}}
	for try := 1; ; try++ {
		t, position, err := r.freshTarget(ctx, &w, rt, s.Arrived)
		if err == nil {
			last, err = r.readOnce(ctx, &w, t, rt, s.WithAfter(position))
			mayHaveRun = mayHaveRun || errors.Is(err, rset.ErrAnswerLost) || err == nil && !last.Code.NotRun()
			r.addLogFields(zap.String("Target", t.ID), zap.Int("Try", try), zap.Stringer("After", position))
		}
		if err == nil && (last.OK() || !retryableRead(last)) {
			return last
		}
		if ctx.Err() != nil || errors.Is(err, rset.ErrNotSent) || !mayHaveRun && r.waitedTooLong(group, rt, s.Arrived) {
			return r.readRefusal(last, mayHaveRun, err)
		}
	}
}

// retryableRead tells whether a read may be answered by another target.
func retryableRead(out reply.Reply) bool {
	return out.Code.NotRun() || out.Code == code.TargetFailed
}

// candidates goes through the targets of a group for one read.
type candidates struct {
	group *rset.ReplicaSet
	tried map[string]bool
	// proofAfter asks for a proof that was begun after a time: every target lacked
	// the position that was asked for.
	proofAfter time.Duration
}

// freshTarget returns a target for a read as of a time and the position that its
// log must hold.
func (r *Runner) freshTarget(ctx context.Context, w *candidates, rt route.Route, asOf time.Duration) (target.Target, mark.Mark, error) {
	position, reached, err := r.requiredPosition(ctx, w, rt, asOf)
	if err != nil {
		waitBeforeRetry(ctx)
		return target.Target{}, position, err
	}
	t, ok := w.group.Pick(w.tried, position, reached)
	if !ok {
		clear(w.tried)
		w.proofAfter = r.now()
		waitBeforeRetry(ctx)
		return t, position, errNoTarget
	}
	w.tried[t.ID] = true
	return t, position, nil
}

func (r *Runner) readOnce(ctx context.Context, w *candidates, t target.Target, rt route.Route, s stmt.Stmt) (reply.Reply, error) {
	replies, _, err := w.group.Do(ctx, t.ID, r.batch(rt, s.Arrived, []stmt.Stmt{s}))
	if err != nil {
		return reply.Reply{}, err
	}
	return replies[0], nil
}

// requiredPosition returns the position that a log must hold to serve a read of the route
// that arrived at a time, and when it was reached at the latest: all commits
// older than the route's limit, and all of the session's own.
func (r *Runner) requiredPosition(ctx context.Context, w *candidates, rt route.Route, arrived time.Duration) (mark.Mark, time.Duration, error) {
	since := max(arrived-rt.MaxAge+ageMargin, w.proofAfter)
	m, covers, newest, ok := w.group.CoveringMark(since)
	for !ok {
		if err := r.prove(ctx, w.group, rt, since); err != nil {
			return m, covers, err
		}
		m, covers, newest, ok = w.group.CoveringMark(since)
	}
	if arrived-newest > rt.MaxAge/2 {
		w.group.RenewWatermark()
	}
	// A proof begun after the commit was acknowledged covers it, also where a
	// change of leader renumbered the log.
	if rt.Kind == route.ReadYourWrites && covers < r.caller.FloorAt {
		return m.Max(r.caller.Floor), r.caller.FloorAt, nil
	}
	return m, covers, nil
}

func (r *Runner) prove(ctx context.Context, group *rset.ReplicaSet, rt route.Route, since time.Duration) error {
	ctx, stop := boundLeaderWait(ctx, group, rt)
	defer stop()
	return group.AwaitWatermark(ctx, since)
}
