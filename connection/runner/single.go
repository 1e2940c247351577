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
	// waitPercent is the percentage of a route's latency objective that a statement
	// waits for a connection, or for a leader that is not expected soon. The
	// platform counts a wait of a quarter of the objective as too long.
	waitPercent = 22
	// minConnWait is the minimum time to wait for a connection.
	minConnWait = 30 * time.Millisecond
	// ageMargin is subtracted from a route's maximum age, since the arrival time
	// is read a little after the caller sent its statement.
	ageMargin = 10 * time.Millisecond
)

// errNoTarget is returned when every target of a group was tried.
var errNoTarget = errors.New("no target left")

// waitBeforeRetry waits before another try. It reports false if the context ended.
func waitBeforeRetry(ctx context.Context) bool {
	return sleep.For(ctx, retryPause)
}

// boundLeaderWait bounds the wait for a leader if none is expected soon. A caller
// that is refused early still has time to try again.
func boundLeaderWait(ctx context.Context, group *rset.ReplicaSet, rt route.Route) (context.Context, context.CancelFunc) {
	if !group.LeaderOverdue() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, rt.LatencyObjective*waitPercent/100)
}

// batch returns a batch of stages for the session. Its wait for a connection is
// bounded by what remains, since the statement's arrival, of the part of the
// latency objective that may be spent waiting.
func (r *Runner) batch(rt route.Route, arrived time.Duration, stages ...[]stmt.Stmt) batch.Batch {
	wait := max(rt.LatencyObjective*waitPercent/100-(r.now()-arrived), minConnWait)
	return batch.New(r.caller, stages...).WithPriority(rt.Priority).WithWait(wait)
}

// waitedTooLong reports whether a statement that did not run has waited so long
// that it should be refused. It applies only while the leader serves, since then
// the wait is for capacity.
func (r *Runner) waitedTooLong(group *rset.ReplicaSet, rt route.Route, arrived time.Duration) bool {
	return r.now()-arrived >= rt.LatencyObjective*waitPercent/100 && group.LeaderServes()
}

// notRun returns the refusal of a statement that never left this host, or that
// the last target refused to run.
func (r *Runner) notRun(last reply.Reply, err error) reply.Reply {
	if err != nil {
		r.addLogFields(zap.String("Error", err.Error()))
	}
	if last.Code.NotRun() {
		return last
	}
	return reply.Refuse(code.NotRunDeadline, "no target could take it in time")
}

// write runs a single write at the leader. It is sent again only if the target
// replied that it did not run.
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

// recordCommit handles the acknowledgement of a commit that wrote. It advances
// the group's watermark and the session's floor.
func (r *Runner) recordCommit(group *rset.ReplicaSet, target string, out reply.Reply, sent time.Duration) {
	group.ClearStall(target)
	group.AddWatermark(out.Mark, sent)
	r.caller = r.caller.WithFloor(out.Mark, r.now())
}

// reportStall reports to the group that a write at a target got no answer before
// its deadline.
func (r *Runner) reportStall(ctx context.Context, group *rset.ReplicaSet, target string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		group.NoteStalledWrite(target)
	}
}

// shouldRetry pauses, and reports whether a statement that was refused may be
// tried again.
func (r *Runner) shouldRetry(ctx context.Context, group *rset.ReplicaSet, t target.Target, out reply.Reply) bool {
	if out.Code == code.NotRunNoPrimary {
		group.ClearLeader(t.ID)
	}
	return out.Code.NotRun() && waitBeforeRetry(ctx)
}

// awaitLeader returns the leader, and waits for one if there is none.
func (r *Runner) awaitLeader(ctx context.Context, group *rset.ReplicaSet, rt route.Route) (target.Target, error) {
	waitCtx, stop := boundLeaderWait(ctx, group, rt)
	defer stop()
	return group.AwaitLeader(waitCtx)
}

// readAtLeader runs a read at the leader, inside a transaction that may write.
// Only the leader accepts one, so that the read fails if the target lost
// leadership before it.
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

// readRefusal returns the reply to a read that got no answer. If any of its tries
// may have run, the reply is not one that promises that the read did not run,
// whatever the replies to later tries.
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

// read runs a read that may be served by any target whose log is recent enough.
func (r *Runner) read(ctx context.Context, group *rset.ReplicaSet, rt route.Route, s stmt.Stmt) reply.Reply {
	var last reply.Reply
	mayHaveRun := false
	cs := candidates{group: group, tried: map[string]bool{}}
	for try := 1; ; try++ {
		t, position, err := r.freshTarget(ctx, &cs, rt, s.Arrived)
		if err == nil {
			last, err = r.readOnce(ctx, &cs, t, rt, s.WithAfter(position))
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

// retryableRead reports whether another target may answer a read that got this
// reply.
func retryableRead(out reply.Reply) bool {
	return out.Code.NotRun() || out.Code == code.TargetFailed
}

// candidates selects the targets of a group to try for one read.
type candidates struct {
	group *rset.ReplicaSet
	tried map[string]bool
	// watermarkAfter, if not zero, demands a watermark that was requested after this
	// time. It is set when every target lacked the required position.
	watermarkAfter time.Duration
}

// freshTarget returns a target for a read as of a time, and the log position that
// the target must have reached.
func (r *Runner) freshTarget(ctx context.Context, cs *candidates, rt route.Route, asOf time.Duration) (target.Target, mark.Mark, error) {
	position, reached, err := r.requiredPosition(ctx, cs, rt, asOf)
	if err != nil {
		waitBeforeRetry(ctx)
		return target.Target{}, position, err
	}
	t, ok := cs.group.Pick(cs.tried, position, reached)
	if !ok {
		clear(cs.tried)
		cs.watermarkAfter = r.now()
		waitBeforeRetry(ctx)
		return t, position, errNoTarget
	}
	cs.tried[t.ID] = true
	return t, position, nil
}

func (r *Runner) readOnce(ctx context.Context, cs *candidates, t target.Target, rt route.Route, s stmt.Stmt) (reply.Reply, error) {
	replies, _, err := cs.group.Do(ctx, t.ID, r.batch(rt, s.Arrived, []stmt.Stmt{s}))
	if err != nil {
		return reply.Reply{}, err
	}
	return replies[0], nil
}

// requiredPosition returns the log position that a target must have reached to
// serve a read of the route that arrived at a time, and the latest time at which
// the leader reached it. The position covers all commits older than the route's
// maximum age and, for a route with read-your-writes, all of the session's own.
func (r *Runner) requiredPosition(ctx context.Context, cs *candidates, rt route.Route, arrived time.Duration) (mark.Mark, time.Duration, error) {
	since := max(arrived-rt.MaxAge+ageMargin, cs.watermarkAfter)
	m, coveredUntil, newest, ok := cs.group.CoveringMark(since)
	for !ok {
		if err := r.awaitWatermark(ctx, cs.group, rt, since); err != nil {
			return m, coveredUntil, err
		}
		m, coveredUntil, newest, ok = cs.group.CoveringMark(since)
	}
	if arrived-newest > rt.MaxAge/2 {
		cs.group.RenewWatermark()
	}
	// A watermark requested after the session's commit was acknowledged covers
	// that commit, even if a change of leader renumbered the log.
	if rt.Kind == route.ReadYourWrites && coveredUntil < r.caller.FloorAt {
		return m.Max(r.caller.Floor), r.caller.FloorAt, nil
	}
	return m, coveredUntil, nil
}

func (r *Runner) awaitWatermark(ctx context.Context, group *rset.ReplicaSet, rt route.Route, after time.Duration) error {
	ctx, stop := boundLeaderWait(ctx, group, rt)
	defer stop()
	return group.AwaitWatermark(ctx, after)
}
