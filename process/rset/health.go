package rset

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// probeAfter is how long a statement may be unanswered before the target's
	// machine is probed: several times the duration of the longest ordinary
	// statement.
	probeAfter = 300 * time.Millisecond
	// probeTimeout bounds one probe: several round trips between regions.
	probeTimeout = 250 * time.Millisecond
	// A target counts as unresponsive if its machine accepts connections, but
	// another target answers there, or nothing answers on a new connection and
	// nothing has answered on any other for unresponsiveAfter. An unresponsive
	// target is probed by opening a connection: openProbeTimeout bounds each
	// attempt, and openProbePause is the pause between two attempts.
	unresponsiveAfter = 1500 * time.Millisecond
	openProbeTimeout  = time.Second
	openProbePause    = 500 * time.Millisecond
	// probePause is the pause between two probes of a failing target.
	probePause = 150 * time.Millisecond
	// downAfter is how long a target must fail before it counts as down: the
	// time of two probes and a pause. If its machine refuses connections, no
	// process is listening there, so the shorter downAfterRefusal is enough.
	downAfter        = 600 * time.Millisecond
	downAfterRefusal = 250 * time.Millisecond
	// latencyWeight is the weight of a new measurement in the average response
	// time.
	latencyWeight = 0.2
	// recentAnswer is how long a target counts as reachable after its last
	// answer. Idle targets are not probed, so nothing is known about a target
	// that has been silent for longer.
	recentAnswer = 2 * time.Second
	// latencyDecay is the idle time after which the average response time
	// counts half, so that a target that was slow is tried again.
	latencyDecay = time.Second
)

// Run runs statements together on a connection. It probes the target if no
// answer arrives within probeAfter, and updates the target's health and lag
// from the replies. It waits with what may commit data while the leader may be being
// replaced. If it returns ErrNotSent, nothing was sent. If it returns conn.ErrNotPrepared, no
// statement of the caller was sent, and the connection must be dropped.
func (rs *ReplicaSet) Run(ctx context.Context, cn *conn.Conn, who caller.Caller, stage ...stmt.Stmt) ([]reply.Reply, error) {
	commits := mayCommit(cn, stage)
	if commits {
		if !cn.Borrowed {
			rs.doubtIfLost(cn.Target)
		}
		if err := rs.awaitTrust(ctx, cn); err != nil {
			return nil, err
		}
		if !cn.Borrowed {
			defer rs.guardCommit(cn)()
		}
	}
	sent := rs.Acknowledged()
	replies, err := rs.runMonitored(cn.Target, probeAfter, func() ([]reply.Reply, error) { return cn.Run(ctx, who, stage...) })
	if errors.Is(err, remote.ErrRefused) {
		// The lender could not prepare the connection, or gave up waiting.
		return nil, fmt.Errorf("%w: %w", conn.ErrNotPrepared, err)
	}
	if err != nil {
		return nil, err
	}
	if commits && !cn.Borrowed && rs.permitLeft() <= 0 {
		return nil, errLapsed
	}
	committed := rs.noteCommits(cn, sent, stage, replies)
	if !cn.Borrowed && !committed.IsZero() {
		if err := rs.awaitCopy(ctx, cn.Target, committed); err != nil {
			return nil, err
		}
	}
	return replies, nil
}

// cancelOnFailure registers a function to be called when a target stops
// answering. The returned function removes the registration.
func (rs *ReplicaSet) cancelOnFailure(id string, stop func()) func() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[id]
	if !ok {
		return func() {}
	}
	rs.lastCancelID++
	n := rs.lastCancelID
	ts.cancels[n] = stop
	return func() {
		rs.mu.Lock()
		defer rs.mu.Unlock()
		delete(ts.cancels, n)
	}
}

// runMonitored calls run, which runs statements at a target, and updates the
// target's health from the outcome. It probes the target if run takes longer
// than limit.
func (rs *ReplicaSet) runMonitored(id string, limit time.Duration, run func() ([]reply.Reply, error)) ([]reply.Reply, error) {
	began := rs.now()
	rs.runStarted(id)
	timer := time.AfterFunc(limit, func() { rs.probeIfSilent(id, began) })
	replies, err := run()
	timer.Stop()
	rs.runEnded(id, rs.now()-began, replies, err)
	return replies, err
}

func (rs *ReplicaSet) runStarted(id string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if ts, ok := rs.states[id]; ok {
		ts.running++
	}
}

// runEnded updates a target's failure rate, response time and lag, and the
// group's highest known term, when a run of statements ended. A refusal by
// another host does not count as a failure of the target.
func (rs *ReplicaSet) runEnded(id string, took time.Duration, replies []reply.Reply, err error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[id]
	if !ok {
		return
	}
	ts.running--
	if err != nil && !errors.Is(err, remote.ErrRefused) || failed(replies) {
		ts.noteOutcome(rs.now(), true)
	}
	if err != nil {
		return
	}
	if !failed(replies) {
		ts.noteOutcome(rs.now(), false)
	}
	ts.latency = ts.expectedLatency(rs.now())
	ts.latency += time.Duration(latencyWeight * float64(took-ts.latency))
	rs.noteAnswer(ts)
	for _, r := range replies {
		rs.term = max(rs.term, r.Mark.Term)
		rs.acked = rs.acked.WithReported(r.Mark)
	}
	if n := len(replies); n > 0 && ts.target.ID != rs.leader {
		rs.observeMark(ts, replies[n-1].Mark)
	}
}

// noteAnswer records that a target answered, so that it no longer counts as
// failing; the caller holds the lock.
func (rs *ReplicaSet) noteAnswer(ts *targetState) {
	ts.lastHeard = rs.now()
	ts.unresponsive = false
	if ts.failingSince != 0 {
		rs.log.Info("target answers again", zap.String("Group", rs.Name), zap.String("Target", ts.target.ID), zap.Duration("Failed", ts.lastHeard-ts.failingSince))
		ts.failingSince = 0
		rs.changeView()
		rs.notifyChanged()
		if ts.target.ID == rs.leader {
			// Another host may have begun to replace the leader.
			rs.raiseAlarm()
		}
	}
}

// expectedLatency returns the average response time, which decays while the
// target is idle; the caller holds the lock of the group.
func (ts *targetState) expectedLatency(now time.Duration) time.Duration {
	idle := now - ts.lastHeard
	if idle <= 0 {
		return ts.latency
	}
	return time.Duration(float64(ts.latency) * float64(latencyDecay) / float64(latencyDecay+idle))
}

// noteOpen records the outcome of an attempt to open a connection. A target
// that is full counts as answering.
func (rs *ReplicaSet) noteOpen(id string, err error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[id]
	if !ok {
		return
	}
	if err == nil || errors.Is(err, conns.ErrTargetFull) {
		rs.noteAnswer(ts)
		return
	}
	// Another target may have taken over the address. Its machine accepts
	// connections, so only opening one shows that the target is gone.
	if errors.Is(err, code.NotRunWrongTarget) || errors.Is(err, os.ErrDeadlineExceeded) && rs.now()-ts.lastHeard > unresponsiveAfter {
		ts.unresponsive = true
	}
	rs.markFailing(ts, err)
}

// probeIfSilent starts to probe a target unless it has answered since the given
// time.
func (rs *ReplicaSet) probeIfSilent(id string, since time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if ts, ok := rs.states[id]; ok && ts.lastHeard <= since {
		rs.startProbing(ts)
	}
}

// markFailing records that a target does not answer and starts to probe it. If
// the target was not failing yet, the statements in progress there are
// canceled; the caller holds the lock.
func (rs *ReplicaSet) markFailing(ts *targetState, err error) {
	ts.connRefused = errors.Is(err, syscall.ECONNREFUSED)
	if ts.failingSince == 0 {
		ts.failingSince = rs.now()
		rs.changeView()
		rs.log.Info("target fails", zap.String("Group", rs.Name), zap.String("Target", ts.target.ID), zap.Bool("Leads", ts.target.ID == rs.leader),
			zap.Bool("EverHeard", ts.lastHeard != 0), zap.Duration("Heard", rs.now()-ts.lastHeard), zap.String("Error", err.Error()))
		for _, stop := range ts.cancels {
			stop()
		}
		if ts.target.ID == rs.leader {
			rs.doubtLeader("failing")
		}
	}
	rs.startProbing(ts)
}

// startProbing starts to probe a target until it answers again or is removed,
// unless it is being probed already; the caller holds the lock.
func (rs *ReplicaSet) startProbing(ts *targetState) {
	if ts.probing {
		return
	}
	ts.probing = true
	go rs.probeLoop(ts, ts.target)
}

func (rs *ReplicaSet) probeLoop(ts *targetState, t target.Target) {
	for {
		asked := rs.now()
		err := rs.probeOnce(ts, t)
		if !rs.noteProbe(ts, t.ID, asked, err) {
			return
		}
		time.Sleep(rs.probeInterval(ts))
	}
}

// probeInterval returns the pause before the next probe. It is longer for an
// unresponsive target, since a probe that opens a connection is more expensive
// for the target.
func (rs *ReplicaSet) probeInterval(ts *targetState) time.Duration {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if ts.unresponsive {
		return openProbePause
	}
	return probePause
}

// probeOnce checks whether the target's machine accepts connections or, if the
// target is unresponsive, whether a connection can be opened.
func (rs *ReplicaSet) probeOnce(ts *targetState, t target.Target) error {
	rs.mu.Lock()
	unresponsive := ts.unresponsive
	rs.mu.Unlock()
	if !unresponsive {
		ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
		defer stop()
		return rs.dialer.Reach(ctx, t)
	}
	ctx, stop := context.WithTimeout(context.Background(), openProbeTimeout)
	defer stop()
	cn, err := rs.dialer.Open(ctx, t, "")
	if err == nil {
		cn.Close()
		rs.noteOpen(t.ID, nil)
	}
	return err
}

// noteProbe records the outcome of a probe that began at asked. It returns true
// if the target must be probed again, and false if it answers or was removed.
func (rs *ReplicaSet) noteProbe(ts *targetState, id string, asked time.Duration, err error) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.states[id] != ts {
		return false
	}
	if err == nil && !ts.unresponsive || ts.lastHeard > asked {
		ts.probing = false
		rs.noteAnswer(ts)
		return false
	}
	if err == nil {
		// The target was found unresponsive during this probe. The probe only
		// checked that the machine accepts connections, which no longer proves
		// anything.
		return true
	}
	rs.markFailing(ts, err)
	if rs.isDown(ts) {
		ts.pool.Abort(err)
		if rs.borrower != nil {
			rs.borrower.Abort(id)
		}
		if id == rs.leader {
			rs.raiseAlarm()
		}
	}
	return true
}

// isDown reports whether a target has been failing for at least downAfter or,
// if its machine refuses connections, downAfterRefusal; the caller holds the
// lock.
func (rs *ReplicaSet) isDown(ts *targetState) bool {
	limit := downAfter
	if ts.connRefused {
		limit = downAfterRefusal
	}
	return ts.failingSince != 0 && rs.now()-ts.failingSince >= limit
}

// Down returns when a target began to fail, or 0 if it is not failing, and
// whether it counts as down. A target that is not registered counts as down,
// with the time 0.
func (rs *ReplicaSet) Down(id string) (time.Duration, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ts, ok := rs.states[id]
	if !ok {
		return 0, true
	}
	return ts.failingSince, rs.isDown(ts)
}

// CountReachable returns how many targets are failing and how many are
// reachable, that is, answered this host within recentAnswer. A target that has
// been idle for longer counts as neither.
func (rs *ReplicaSet) CountReachable() (failing, reachable int) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := rs.now()
	for _, ts := range rs.states {
		switch {
		case ts.failingSince != 0:
			failing++
		case ts.lastHeard != 0 && now-ts.lastHeard < recentAnswer:
			reachable++
		}
	}
	return failing, reachable
}
