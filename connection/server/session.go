package server

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/draw"
	"github.com/pistachiotray/pistachiotray/process/rescue"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// endDelay is how long a draining session goes on reading before it ends. It allows for
// the way of a statement that its caller sent before. It is also how long statements are still
// run after draining began.
const endDelay = 100 * time.Millisecond

// maxLoggedBytes bounds the part of a reason that is logged, since it may repeat what the caller
// sent.
const maxLoggedBytes = 200

// session serves one caller's connection.
type session struct {
	server *Server
	conn   net.Conn
	id     string
	runner runner
	// share is the memory that the session holds of the process's budget.
	share *draw.Draw
	// sender sends answers.
	sender *sender
	// running counts the statement that runs, until its answer was sent.
	running sync.WaitGroup
	// ctx is the context of the statements, and cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// mu guards the fields from outstanding to interrupted.
	mu sync.Mutex
	// outstanding is the number of statements that were read and not answered.
	outstanding int
	// status is the transaction state after the last answer.
	status   byte
	draining bool
	// ending means that the session ends when it reads no statement in time.
	ending bool
	// declineAfter is the time after which a draining session runs no further operation.
	declineAfter time.Time
	// force means that draining doesn't wait for the open transaction.
	force bool
	// interrupted means that the statement that runs was canceled, and no other may run.
	interrupted bool
	// answerBuffer is reused for each reply. Statements run one at a time, so
	// the field needs no lock.
	answerBuffer []byte
}

// serve reads the caller's statements until the session ends. Workers run the
// statements, one at a time. Meanwhile serve reads ahead by one message, so that
// it notices when the caller disconnects. The next statement runs when the caller has taken
// the answer to the last one.
func (s *session) serve() {
	defer func() { _ = s.conn.Close() }()
	defer s.cancel(nil)
	s.share = draw.New(s.server.budget, func() { _ = s.conn.Close(); s.cancel(nil) }, draw.WithProgress(s.noteProgress))
	defer s.share.Leave()
	r := s.server.newReader(s.conn, s.share)
	if !s.start(s.ctx, r) {
		return
	}
	for {
		st, ok, err := r.ReadStatement()
		if err != nil || !ok {
			s.noteStalled(err)
			s.rejectMessage(err)
			break
		}
		drawn := r.Drawn()
		late := s.beginStatement(drawn > 0)
		st = st.WithArrived(s.server.now())
		s.running.Wait()
		s.running.Add(1)
		if !s.server.workers.Submit(func() {
			if !rescue.Run(s.server.log, func() { s.run(st, drawn, late) }) {
				_ = s.conn.Close()
				s.running.Done()
			}
		}) {
			s.running.Done()
			break
		}
	}
	s.cancel(nil)
	s.running.Wait()
	s.runner.Close()
}

// run runs a statement and sends the reply. The statement counts as running until the caller has
// taken the reply, which may be after run has returned: a caller that doesn't read holds no
// worker. drawn is the memory that was drawn for the statement. late is described at
// beginStatement.
func (s *session) run(st stmt.Stmt, drawn int, late bool) {
	if drawn > 0 {
		// A long statement is copied once more on its way to a target or to another host.
		s.share.Charge(drawn)
	}
	s.share.SetWorking(true)
	r, declined := s.decline(st, late)
	if !declined {
		r = s.runner.Run(s.ctx, st)
	}
	s.share.SetWorking(false)
	if drawn > 0 {
		s.share.Return(2 * drawn)
	}
	s.answerBuffer = s.server.protocol.AppendReply(s.answerBuffer[:0], r)
	rest := s.sender.try(s.answerBuffer)
	if len(rest) == 0 {
		s.endStatement(r.Status, declined)
		s.running.Done()
		return
	}
	held := cap(s.answerBuffer)
	s.share.Charge(held)
	s.share.Begin()
	go func() {
		defer s.running.Done()
		s.noteStalled(s.sender.send(rest))
		s.share.Finish()
		s.share.Return(held)
		s.endStatement(r.Status, declined)
	}()
}

// rejectMessage sends an error to the caller if err means that its message can't be served, after
// the answer to the statement that runs. For any other error, and for nil, it sends nothing.
func (s *session) rejectMessage(err error) {
	if c, reason := s.server.protocol.Refusal(err); c != code.Done {
		s.running.Wait()
		_ = s.sender.send(s.server.protocol.AppendError(nil, c, reason))
	}
}

// refuse sends the caller the error with which the session is refused. It logs the
// refusal with the given fields unless the limit of log lines per second is reached.
func (s *session) refuse(c code.Code, reason string, fields ...zap.Field) {
	sv := s.server
	sv.refused.Add(1)
	if sv.refusalLogLimiter.Allow() {
		fields = append(fields, zap.String("Caller", s.id), zap.String("Outcome", c.Name()),
			zap.String("Reason", reason[:min(len(reason), maxLoggedBytes)]), zap.Int64("Suppressed", sv.suppressed.Swap(0)))
		sv.log.Info("caller refused", fields...)
	} else {
		sv.suppressed.Add(1)
	}
	// The connection is closed in any case.
	_ = s.sender.send(sv.protocol.AppendError(nil, c, reason))
}

// noteStalled counts and logs the end of a session whose caller sent no more of a message, or
// took no more of an answer, within the progress timeout, which err says. A session that is
// about to end has such a deadline too.
func (s *session) noteStalled(err error) {
	s.mu.Lock()
	ending := s.ending
	s.mu.Unlock()
	if ending || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	sv := s.server
	sv.stalled.Add(1)
	if sv.refusalLogLimiter.Allow() {
		sv.log.Info("caller stalled", zap.String("Caller", s.id), zap.Duration("Limit", sv.progressTimeout),
			zap.Int64("Suppressed", sv.suppressed.Swap(0)))
	} else {
		sv.suppressed.Add(1)
	}
}

// start reads the first message, creates the runner and sends READY. It returns
// false if the session must end. It has then sent the caller an error, unless the
// connection failed or was closed.
func (s *session) start(ctx context.Context, r reader) bool {
	if err := s.conn.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return false
	}
	database, key, err := r.ReadStart()
	if err != nil {
		s.rejectMessage(err)
		return false
	}
	if drawn := r.Drawn(); drawn > 0 {
		// The session keeps the key.
		s.share.Charge(len(key))
		s.share.Return(drawn)
	}
	if !s.server.markStarted(s) {
		return false
	}
	if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	if s.server.isStopping() {
		s.refuse(code.NotRunStopping, "stopping")
		return false
	}
	if c, reason := s.server.databases.Check(ctx, database, key); c != code.Done {
		s.refuse(c, reason, s.server.databases.LogFields()...)
		return false
	}
	s.runner = s.server.newRunner(caller.New(s.id, strings.Clone(database)).WithKey(strings.Clone(key)), s.share)
	if s.sender.send(s.server.protocol.AppendReady(nil)) != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = reply.Idle
	s.closeIfDrained()
	return true
}

// beginStatement counts a statement as outstanding. It reports whether the statement is late:
// read after the time from which a draining session runs no further operation. If the session
// was about to end and the statement is not late, the session goes on. long means that the
// message was long, so that its parts had deadlines.
func (s *session) beginStatement(long bool) (late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding++
	late = s.draining && time.Now().After(s.declineAfter)
	if s.ending && !late || !s.ending && long {
		s.ending = false
		s.setReadDeadline(time.Time{})
	}
	return late
}

// decline refuses a statement that must not run because the host is stopping. It returns false
// if the statement may run.
func (s *session) decline(st stmt.Stmt, late bool) (reply.Reply, bool) {
	s.mu.Lock()
	decline, abort := late || s.interrupted, s.force
	s.mu.Unlock()
	if !decline {
		return reply.Reply{}, false
	}
	r, declined := s.runner.Decline(st, abort)
	if declined {
		s.server.declined.Add(1)
	}
	return r, declined
}

// noteProgress renews the deadline of reading while a long message arrives. A session that has
// not started, or is about to end, keeps its deadline.
func (s *session) noteProgress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status != 0 && !s.ending {
		s.setReadDeadline(time.Now().Add(s.server.progressTimeout))
	}
}

// setReadDeadline sets the deadline of reading; the zero time means none.
func (s *session) setReadDeadline(at time.Time) {
	if err := s.conn.SetReadDeadline(at); err != nil {
		s.server.log.Debug("read deadline not set", zap.String("Caller", s.id), zap.String("Error", err.Error()))
	}
}

// endStatement counts a statement as answered. status is the transaction state after it, and
// declined means that it was not run because the host is stopping.
func (s *session) endStatement(status byte, declined bool) {
	const keptBytes = 16 << 10
	if cap(s.answerBuffer) > keptBytes {
		s.answerBuffer = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
	s.status = status
	if declined {
		// A caller that sends ahead always has a statement outstanding.
		s.end()
		return
	}
	s.closeIfDrained()
}

// drain makes the session close as soon as no statement is outstanding and, unless
// force is true, no transaction is open.
func (s *session) drain(force bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		s.draining = true
		s.declineAfter = time.Now().Add(endDelay)
	}
	s.force = s.force || force
	s.closeIfDrained()
}

// interrupt cancels the statement that runs, and makes the session run no other. It reports
// whether there was a statement.
func (s *session) interrupt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = true
	s.cancel(code.NotRunStopping)
	return s.outstanding > 0
}

// closeIfDrained ends the session if it is draining, no statement is outstanding and,
// without force, no transaction is open. A session that has not started ends when its first
// message is refused. The caller holds the lock.
func (s *session) closeIfDrained() {
	if s.draining && s.status != 0 && s.outstanding == 0 && (s.force || s.status == reply.Idle) {
		s.end()
	}
}

// end makes the session end after endDelay: a statement that the caller has just sent may not
// have been read yet. The caller holds the lock.
func (s *session) end() {
	if !s.ending {
		s.ending = true
		s.setReadDeadline(time.Now().Add(endDelay))
	}
}
