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
	// patiencePercent is the part of an operation's aim that a statement is kept
	// waiting for a leader that is not expected, or for a connection: the
	// platform counts a quarter as held for too long.
	patiencePercent = 22
	// waitLeast is the least time that a connection is waited for.
	waitLeast = 30 * time.Millisecond
	// ageMargin is taken off a route's limit of age: clocks are read a little
	// after the caller sent its statement.
	ageMargin = 10 * time.Millisecond
)

// errNoTarget tells that every target of a group was tried.
var errNoTarget = errors.New("no target left")

// pause waits before another try. It reports false where the time is over.
func pause(ctx context.Context) bool {
	return sleep.For(ctx, retryPause)
}

// patience bounds the wait for a leader where none is expected soon: a caller
// that is refused early can come back in its time.
func patience(ctx context.Context, c *rset.ReplicaSet, rt route.Route) (context.Context, context.CancelFunc) {
	if !c.LeaderOverdue() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, rt.LatencyObjective*patiencePercent/100)
}

// batch returns stages for the session with a bound on the wait for a
// connection, for a statement that arrived at a time.
func (r *Runner) batch(rt route.Route, arrived time.Duration, stages ...[]stmt.Stmt) batch.Batch {
	wait := max(rt.LatencyObjective*patiencePercent/100-(r.now()-arrived), waitLeast)
	return batch.New(r.caller, stages...).WithPriority(rt.Priority).WithWait(wait)
}

// spent tells whether a statement that did not run has waited for so long that
// its caller should come back: the group serves and has nothing to spare.
func (r *Runner) spent(c *rset.ReplicaSet, rt route.Route, arrived time.Duration) bool {
	return r.now()-arrived >= rt.LatencyObjective*patiencePercent/100 && c.LeaderServes()
}

// notRun is the refusal of a statement that never left this host, or that the
// last target refused to run.
func (r *Runner) notRun(last reply.Reply, err error) reply.Reply {
	if err != nil {
		r.note(zap.String("Error", err.Error()))
	}
	if last.Code.NotRun() {
		return last
	}
	return reply.Refuse(code.NotRunDeadline, "no target could take it in time")
}

// write runs a single write at the leader. It is sent again only where the
// target said that it did not run.
func (r *Runner) write(ctx context.Context, c *rset.ReplicaSet, rt route.Route, s stmt.Stmt) reply.Reply {
	var last reply.Reply
	for try := 1; ; try++ {
		t, err := r.leader(ctx, c, rt)
		var l *conn.Conn
		if err == nil {
			l, err = c.Take(ctx, t.ID, r.batch(rt, s.Arrived))
		}
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, rset.ErrNotSent) || r.spent(c, rt, s.Arrived) || !pause(ctx) {
				return r.notRun(last, err)
			}
			continue
		}
		sent := r.now()
		replies, err := c.Run(ctx, l, r.caller, s)
		r.note(zap.String("Target", t.ID), zap.Int("Try", try))
		if err != nil {
			c.Drop(l)
			r.stall(ctx, c, t.ID)
			r.note(zap.String("Error", err.Error()))
			return reply.Refuse(code.OutcomeUnknown, "the answer of the target was lost")
		}
		c.Put(l)
		last = replies[0]
		if last.OK() {
			r.committed(c, t.ID, last, sent)
			return last
		}
		if !r.again(ctx, c, t, last) || r.spent(c, rt, s.Arrived) {
			return last
		}
	}
}

// committed takes the acknowledgement of a commit that wrote.
func (r *Runner) committed(c *rset.ReplicaSet, target string, out reply.Reply, sent time.Duration) {
	c.ClearStall(target)
	c.AddWatermark(out.Mark, sent)
	r.caller = r.caller.WithFloor(out.Mark, r.now())
}

// stall tells the group where a write ran out of time.
func (r *Runner) stall(ctx context.Context, c *rset.ReplicaSet, target string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.NoteStalledWrite(target)
	}
}

// again tells whether a statement that was refused may be tried once more,
// after a pause.
func (r *Runner) again(ctx context.Context, c *rset.ReplicaSet, t target.Target, out reply.Reply) bool {
	if out.Code == code.NotRunNoPrimary {
		c.ClearLeader(t.ID)
	}
	return out.Code.NotRun() && pause(ctx)
}

// leader returns the target that leads.
func (r *Runner) leader(ctx context.Context, c *rset.ReplicaSet, rt route.Route) (target.Target, error) {
	patient, stop := patience(ctx, c, rt)
	defer stop()
	return c.AwaitLeader(patient)
}

// readAtLeader reads inside a transaction that only the leader accepts: the
// read fails where the target lost the lead before it.
func (r *Runner) readAtLeader(ctx context.Context, c *rset.ReplicaSet, rt route.Route, s stmt.Stmt) reply.Reply {
	var last reply.Reply
	ran := false
	for try := 1; ; try++ {
		t, err := r.leader(ctx, c, rt)
		if err == nil {
			last, err = r.provedRead(ctx, c, t, rt, s)
			ran = ran || errors.Is(err, rset.ErrAnswerLost)
			r.note(zap.String("Target", t.ID), zap.Int("Try", try))
		}
		if err == nil && (last.OK() || !last.Code.NotRun()) {
			return last
		}
		if ctx.Err() != nil || errors.Is(err, rset.ErrNotSent) || !ran && r.spent(c, rt, s.Arrived) || !pause(ctx) {
			return r.unread(last, ran, err)
		}
	}
}

// unread is the reply to a read that got no answer. One of which a try may
// have run is not called not run, whatever later tries were told.
func (r *Runner) unread(last reply.Reply, ran bool, err error) reply.Reply {
	if ran {
		return reply.Refuse(code.DeadlinePassed, "no answer in time")
	}
	return r.notRun(last, err)
}

func (r *Runner) provedRead(ctx context.Context, c *rset.ReplicaSet, t target.Target, rt route.Route, s stmt.Stmt) (reply.Reply, error) {
	replies, _, err := c.Do(ctx, t.ID, r.batch(rt, s.Arrived,
		[]stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Begin, "")}, []stmt.Stmt{s, stmt.New(stmt.ProxyID, stmt.Rollback, "")}))
	if err != nil {
		return reply.Reply{}, err
	}
	out := replies[0]
	if out.OK() {
		out = replies[1]
	}
	if out.Code == code.NotRunNoPrimary {
		c.ClearLeader(t.ID)
	}
	return out, nil
}

// read runs a read that may be served by any target whose log holds enough.
func (r *Runner) read(ctx context.Context, c *rset.ReplicaSet, rt route.Route, s stmt.Stmt) reply.Reply {
	var last reply.Reply
	ran := false
	w := walk{crew: c, tried: map[string]bool{}}
	for try := 1; ; try++ {
		t, need, err := r.freshTarget(ctx, &w, rt, s.Arrived)
		if err == nil {
			last, err = r.readOnce(ctx, &w, t, rt, s.WithAfter(need))
			ran = ran || errors.Is(err, rset.ErrAnswerLost) || err == nil && !last.Code.NotRun()
			r.note(zap.String("Target", t.ID), zap.Int("Try", try), zap.Stringer("After", need))
		}
		if err == nil && (last.OK() || !retried(last)) {
			return last
		}
		if ctx.Err() != nil || errors.Is(err, rset.ErrNotSent) || !ran && r.spent(c, rt, s.Arrived) {
			return r.unread(last, ran, err)
		}
	}
}

// retried tells whether a read may be answered by another target.
func retried(out reply.Reply) bool {
	return out.Code.NotRun() || out.Code == code.TargetFailed
}

// walk goes through the targets of a group for one read.
type walk struct {
	crew  *rset.ReplicaSet
	tried map[string]bool
	// renew asks for a proof that was begun after a time: every target lacked
	// the position that was asked for.
	renew time.Duration
}

// freshTarget returns a target for a read as of a time and the position that its
// log must hold.
func (r *Runner) freshTarget(ctx context.Context, w *walk, rt route.Route, asOf time.Duration) (target.Target, mark.Mark, error) {
	need, reached, err := r.need(ctx, w, rt, asOf)
	if err != nil {
		pause(ctx)
		return target.Target{}, need, err
	}
	t, ok := w.crew.Pick(w.tried, need, reached)
	if !ok {
		clear(w.tried)
		w.renew = r.now()
		pause(ctx)
		return t, need, errNoTarget
	}
	w.tried[t.ID] = true
	return t, need, nil
}

func (r *Runner) readOnce(ctx context.Context, w *walk, t target.Target, rt route.Route, s stmt.Stmt) (reply.Reply, error) {
	replies, _, err := w.crew.Do(ctx, t.ID, r.batch(rt, s.Arrived, []stmt.Stmt{s}))
	if err != nil {
		return reply.Reply{}, err
	}
	return replies[0], nil
}

// need returns the position that a log must hold to serve a read of the route
// that arrived at a time, and when it was reached at the latest: all commits
// older than the route's limit, and all of the session's own.
func (r *Runner) need(ctx context.Context, w *walk, rt route.Route, arrived time.Duration) (mark.Mark, time.Duration, error) {
	since := max(arrived-rt.MaxAge+ageMargin, w.renew)
	m, covers, newest, ok := w.crew.CoveringMark(since)
	for !ok {
		if err := r.prove(ctx, w.crew, rt, since); err != nil {
			return m, covers, err
		}
		m, covers, newest, ok = w.crew.CoveringMark(since)
	}
	if arrived-newest > rt.MaxAge/2 {
		w.crew.RenewWatermark()
	}
	// A proof begun after the commit was acknowledged covers it, also where a
	// change of leader renumbered the log.
	if rt.Kind == route.ReadYourWrites && covers < r.caller.FloorAt {
		return m.Max(r.caller.Floor), r.caller.FloorAt, nil
	}
	return m, covers, nil
}

func (r *Runner) prove(ctx context.Context, c *rset.ReplicaSet, rt route.Route, since time.Duration) error {
	ctx, stop := patience(ctx, c, rt)
	defer stop()
	return c.AwaitWatermark(ctx, since)
}
