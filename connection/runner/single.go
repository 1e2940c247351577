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
	"github.com/pistachiotray/pistachiotray/version/waits"
)

// retryPause is the pause before a statement that did not run is tried again. It is a few
// round trips within a zone, in which a slot may become free.
const retryPause = 20 * time.Millisecond

// errNoTarget is returned when a read has tried every usable target of its group.
var errNoTarget = errors.New("no usable target left to try")

// waitBeforeRetry waits for retryPause. It returns false if the context ended.
func waitBeforeRetry(ctx context.Context) bool {
	return sleep.For(ctx, retryPause)
}

// boundLeaderWait returns a context for the wait for a leader. If no leader is
// expected soon, the wait is bounded, so that a caller that is refused early still
// has time to try again.
func boundLeaderWait(ctx context.Context, group *rset.ReplicaSet, rt route.Route) (context.Context, context.CancelFunc) {
	if !group.LeaderOverdue() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, waits.New(rt).ForLeader())
}

// maxWait returns how long after its arrival a statement may wait at a group before it
// is refused as not run.
func maxWait(group *rset.ReplicaSet, rt route.Route) time.Duration {
	return waits.New(rt).ForConnection(group.Shared())
}

// batch returns a batch of stages for the session. The batch may wait for a
// connection as long as package waits allows.
func (r *Runner) batch(group *rset.ReplicaSet, rt route.Route, arrived time.Duration, stages ...[]stmt.Stmt) batch.Batch {
	wait := waits.New(rt).Remaining(group.Shared(), r.now()-arrived)
	return batch.New(r.caller, stages...).WithPriority(rt.Priority).WithWait(wait)
}

// waitedTooLong reports whether a statement that did not run has waited so long
// that it should be refused. It returns false unless the leader serves, since only
// then is the statement waiting for capacity.
func (r *Runner) waitedTooLong(group *rset.ReplicaSet, rt route.Route, arrived time.Duration) bool {
	return r.now()-arrived >= maxWait(group, rt) && group.LeaderServes()
}

// refuseNotRun returns the reply to a statement that did not run. This is the reply
// of the last target if that target refused to run the statement, and otherwise a
// refusal of this host.
func (r *Runner) refuseNotRun(last reply.Reply, err error) reply.Reply {
	if err != nil {
		r.addLogFields(zap.String("Error", err.Error()))
	}
	if last.Code.NotRun() {
		return last
	}
	return reply.Refuse(code.NotRunDeadline, "no target could take it in time")
}

// write runs a single write at the leader. After a write was sent, it is sent again
// only if the target replied that the write did not run.
func (r *Runner) write(ctx context.Context, group *rset.ReplicaSet, rt route.Route, s stmt.Stmt) reply.Reply {
	var last reply.Reply
	for try := 1; ; try++ {
		t, err := r.awaitLeader(ctx, group, rt)
		var cn *conn.Conn
		if err == nil {
			cn, err = group.Take(ctx, t.ID, r.batch(group, rt, s.Arrived))
		}
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, rset.ErrNotSent) || r.waitedTooLong(group, rt, s.Arrived) || !waitBeforeRetry(ctx) {
				return r.refuseNotRun(last, err)
			}
			continue
		}
		sent := r.now()
		replies, err := group.Run(ctx, cn, r.caller, s)
		r.addLogFields(zap.String("Target", t.ID), zap.Int("Try", try))
		if errors.Is(err, rset.ErrNotSent) {
			group.Put(cn)
			if !waitBeforeRetry(ctx) {
				return r.refuseNotRun(last, err)
			}
			continue
		}
		if errors.Is(err, conn.ErrNotPrepared) {
			group.Drop(cn)
			if r.waitedTooLong(group, rt, s.Arrived) || !waitBeforeRetry(ctx) {
				return r.refuseNotRun(last, err)
			}
			continue
		}
		if err != nil {
			group.Drop(cn)
			r.reportStall(ctx, group, t.ID)
			r.addLogFields(zap.String("Error", err.Error()))
			return reply.Refuse(code.OutcomeUnknown, "the answer of the target was lost")
		}
		group.Put(cn)
		last = replies[0]
		if last.OK() {
			r.recordCommit(group, s.ID, t.ID, last, sent)
			return last
		}
		if !r.prepareRetry(ctx, group, t, last) || r.waitedTooLong(group, rt, s.Arrived) {
			return last
		}
	}
}

// recordCommit handles the acknowledgement of the commit with writes of the statement id.
// It logs the commit, clears the target's record of an unanswered write, and advances the
// group's watermark and the session's floor. sent is when the commit was sent.
func (r *Runner) recordCommit(group *rset.ReplicaSet, id, target string, answer reply.Reply, sent time.Duration) {
	group.LogCommit(id, target, answer.Mark)
	group.ClearStall(target)
	group.AddWatermark(answer.Mark, sent)
	r.caller = r.caller.WithFloor(answer.Mark, r.now())
}

// reportStall reports to the group that a write at a target was not answered, if the
// context ended by its deadline.
func (r *Runner) reportStall(ctx context.Context, group *rset.ReplicaSet, target string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		group.NoteStalledWrite(target)
	}
}

// prepareRetry handles a statement that a target refused. If the target replied that
// it is not the primary, the group no longer considers it the leader. If the
// statement did not run, prepareRetry pauses and returns true: the statement may be
// tried again. It returns false otherwise, or if the context ended.
func (r *Runner) prepareRetry(ctx context.Context, group *rset.ReplicaSet, t target.Target, answer reply.Reply) bool {
	if answer.Code == code.NotRunNoPrimary {
		group.ClearLeader(t.ID)
	}
	return answer.Code.NotRun() && waitBeforeRetry(ctx)
}

// awaitLeader returns the leader, and waits for one if there is none.
func (r *Runner) awaitLeader(ctx context.Context, group *rset.ReplicaSet, rt route.Route) (target.Target, error) {
	waitCtx, stop := boundLeaderWait(ctx, group, rt)
	defer stop()
	return group.AwaitLeader(waitCtx)
}

// readAtLeader runs a read at the leader, inside a transaction that may write. Only
// the leader accepts such a transaction, so the read fails if the target has lost
// the leadership.
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

// readRefusal returns the reply to a read that got no answer. The reply states that
// the read did not run only if no try of the read may have run.
func (r *Runner) readRefusal(last reply.Reply, mayHaveRun bool, err error) reply.Reply {
	if mayHaveRun {
		return reply.Refuse(code.DeadlinePassed, "no answer in time")
	}
	return r.refuseNotRun(last, err)
}

// readInTransaction runs a read at a target between a Begin and a Rollback. It returns
// the reply to the Begin if that failed.
func (r *Runner) readInTransaction(ctx context.Context, group *rset.ReplicaSet, t target.Target, rt route.Route, s stmt.Stmt) (reply.Reply, error) {
	replies, _, err := group.Do(ctx, t.ID, r.batch(group, rt, s.Arrived,
		[]stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Begin, "")}, []stmt.Stmt{s, stmt.New(stmt.ProxyID, stmt.Rollback, "")}))
	if err != nil {
		return reply.Reply{}, err
	}
	answer := replies[0]
	if answer.OK() {
		answer = replies[1]
	}
	if answer.Code == code.NotRunNoPrimary {
		group.ClearLeader(t.ID)
	}
	return answer, nil
}

// read runs a read that may be served by any target whose log is recent enough.
func (r *Runner) read(ctx context.Context, group *rset.ReplicaSet, rt route.Route, s stmt.Stmt) reply.Reply {
	var last reply.Reply
	mayHaveRun := false
	ts := targetSearch{group: group, tried: map[string]bool{}, kind: kindOf(rt, s)}
	for try := 1; ; try++ {
		t, position, lender, err := r.readTarget(ctx, &ts, rt, s.Arrived)
		if err == nil {
			last, err = r.readOnce(ctx, &ts, t, rt, s.WithAfter(position), lender)
			ts.ownPosition = ts.ownPosition || err != nil
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

// kindOf returns the kind of work that a read is: times are compared only between reads of one
// database that are prepared, or that are not.
func kindOf(rt route.Route, s stmt.Stmt) string {
	if s.Kind == stmt.Execute {
		return rt.Database + "/prepared"
	}
	return rt.Database
}

// retryableRead reports whether another target may answer a read that got this
// reply.
func retryableRead(answer reply.Reply) bool {
	return answer.Code.NotRun() || answer.Code == code.TargetFailed
}

// targetSearch is the state of the search for a target for one read or transaction:
// the group and the targets that were already tried.
type targetSearch struct {
	group *rset.ReplicaSet
	tried map[string]bool
	// kind is the kind of work, empty for a transaction.
	kind string
	// watermarkAfter is the time after which the watermark for the read must have been
	// requested; zero means any time. It is set when all targets were tried without
	// success.
	watermarkAfter time.Duration
	// ownPosition means that this host determines the log position, since a lender
	// could not.
	ownPosition bool
}

// freshTarget returns a target that has not been tried for the read yet and whose
// log is recent enough for the time at which the read arrived. It also returns the
// log position that the target must have reached. It pauses before it returns an
// error. After errNoTarget all targets may be tried again.
func (r *Runner) freshTarget(ctx context.Context, ts *targetSearch, rt route.Route, arrived time.Duration) (target.Target, mark.Mark, error) {
	position, reached, err := r.requiredPosition(ctx, ts, rt, arrived)
	if err != nil {
		waitBeforeRetry(ctx)
		return target.Target{}, position, err
	}
	t, ok := ts.group.Pick(ts.kind, ts.tried, position, reached)
	if !ok {
		clear(ts.tried)
		ts.watermarkAfter = r.now()
		waitBeforeRetry(ctx)
		return t, position, errNoTarget
	}
	ts.tried[t.ID] = true
	return t, position, nil
}

// readTarget returns a target for a read like freshTarget. If this host knows no
// position that is recent enough and borrows connections to the target, the lender
// determines the position: readTarget then returns true for lender, and as position that of
// the session's own commits.
func (r *Runner) readTarget(ctx context.Context, ts *targetSearch, rt route.Route, arrived time.Duration) (t target.Target, position mark.Mark, lender bool, err error) {
	_, _, _, known := ts.group.CoveringMark(arrived - rt.DataAge())
	if !known && !ts.ownPosition && ts.watermarkAfter == 0 && ts.group.Shared() {
		var floor mark.Mark
		if rt.Kind == route.ReadYourWrites {
			floor = r.caller.Floor
		}
		t, ok := ts.group.Pick(ts.kind, ts.tried, floor, r.caller.FloorAt)
		if ok && !ts.group.ConnectsTo(t.ID) {
			ts.tried[t.ID] = true
			return t, floor, true, nil
		}
	}
	t, position, err = r.freshTarget(ctx, ts, rt, arrived)
	return t, position, false, err
}

// readOnce sends a read to one target. lender is described at readTarget.
func (r *Runner) readOnce(ctx context.Context, ts *targetSearch, t target.Target, rt route.Route, s stmt.Stmt, lender bool) (reply.Reply, error) {
	b := r.batch(ts.group, rt, s.Arrived, []stmt.Stmt{s}).WithKind(ts.kind)
	if lender {
		b = b.WithMaxAge(rt.DataAge())
	}
	replies, _, err := ts.group.Do(ctx, t.ID, b)
	if err != nil {
		return reply.Reply{}, err
	}
	return replies[0], nil
}

// requiredPosition returns the log position that a target must have reached to
// serve a read of the route that arrived at a time, and a time by which the leader had
// reached that position. The position covers all commits older than the route's
// maximum age and, for a route with read-your-writes, all commits of the session. If
// no watermark covers these commits, requiredPosition waits for one.
func (r *Runner) requiredPosition(ctx context.Context, ts *targetSearch, rt route.Route, arrived time.Duration) (mark.Mark, time.Duration, error) {
	since := max(arrived-rt.DataAge(), ts.watermarkAfter)
	m, coveredUntil, newest, ok := ts.group.CoveringMark(since)
	for !ok {
		if err := r.awaitWatermark(ctx, ts.group, rt, since); err != nil {
			return m, coveredUntil, err
		}
		m, coveredUntil, newest, ok = ts.group.CoveringMark(since)
	}
	if arrived-newest > rt.MaxAge/2 {
		ts.group.RenewWatermark()
	}
	// A watermark requested after the session's commit was acknowledged covers
	// that commit, even if a change of leader renumbered the log.
	if rt.Kind == route.ReadYourWrites && coveredUntil < r.caller.FloorAt {
		return m.Max(r.caller.Floor), r.caller.FloorAt, nil
	}
	return m, coveredUntil, nil
}

// awaitWatermark waits for a watermark of the group that was requested after a time.
func (r *Runner) awaitWatermark(ctx context.Context, group *rset.ReplicaSet, rt route.Route, after time.Duration) error {
	ctx, stop := boundLeaderWait(ctx, group, rt)
	defer stop()
	return group.AwaitWatermark(ctx, after)
}
