// Package server serves the sessions of callers. The encoding of their messages is given.
package server

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/draw"
	"github.com/pistachiotray/pistachiotray/process/budget"
	"github.com/pistachiotray/pistachiotray/process/rescue"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// startTimeout bounds the wait for the first message of a new connection.
	startTimeout = 10 * time.Second
	// defaultProgressTimeout is the progress timeout without WithProgressTimeout.
	defaultProgressTimeout = 10 * time.Second
	// acceptPause is the pause after a failure to accept a connection.
	acceptPause = 50 * time.Millisecond
	// refusalLogsPerSecond limits the rate of log lines about refused callers.
	refusalLogsPerSecond = 10
)

// runner runs the statements of one session.
type runner interface {
	// Run runs one statement. The context ends with the session, for example when
	// the caller disconnects.
	Run(ctx context.Context, s stmt.Stmt) reply.Reply
	// Decline refuses a statement because the host is stopping, if the statement would begin
	// an operation or, with abort, is part of the open transaction. It returns false if the
	// statement may run.
	Decline(s stmt.Stmt, abort bool) (reply.Reply, bool)
	// Close ends the session and rolls back its open transaction, if any.
	Close()
}

// reader reads the messages of one caller.
type reader interface {
	// ReadStart reads the first message, and returns the database and the caller's key.
	ReadStart() (database, key string, err error)
	// ReadStatement reads the next statement. It returns false if the caller ends the session.
	ReadStatement() (stmt.Stmt, bool, error)
	// Drawn returns how much memory was drawn for the messages since the last call.
	Drawn() int
}

// protocol encodes the messages to callers.
type protocol interface {
	// AppendReady appends the message that accepts a session.
	AppendReady(dst []byte) []byte
	// AppendError appends the message that refuses a caller.
	AppendError(dst []byte, c code.Code, reason string) []byte
	// AppendReply appends the answer to a statement.
	AppendReply(dst []byte, r reply.Reply) []byte
	// Refusal returns the code and reason with which to refuse the message that a reader
	// could not read, or code.Done if the caller gets no answer.
	Refusal(err error) (code.Code, string)
}

// workers run tasks. Submit returns false, without running the task, once the
// workers are closed.
type workers interface {
	Submit(task func()) bool
}

// databases knows which databases have a route, and which keys belong to customers.
type databases interface {
	// Check returns code.Done, or the code and reason with which to refuse a caller.
	Check(ctx context.Context, database, key string) (code.Code, string)
	// LogFields returns on what an answer of Check rests.
	LogFields() []zap.Field
}

// Server accepts callers and runs a session for each.
type Server struct {
	log       *zap.Logger
	databases databases
	protocol  protocol
	newReader func(c net.Conn, s *draw.Draw) reader
	newRunner func(c caller.Caller, s *draw.Draw) runner
	workers   workers
	// budget is the memory that sessions share, nil if it is not limited.
	budget *budget.Budget
	// progressTimeout bounds the wait for the next part of a long message or for a caller that
	// takes the next part of an answer. The caller's connection is closed after that.
	progressTimeout time.Duration
	// now returns the time since the machine booted.
	now        func() time.Duration
	host       string
	maxCallers int
	// mu guards sessions, unstarted and stopping.
	mu       sync.Mutex
	sessions map[*session]struct{}
	// unstarted holds the sessions that haven't sent their first message, in
	// order of arrival.
	unstarted []*session
	// lastID is the number of the newest session.
	lastID   atomic.Uint64
	stopping bool
	// refusalLogLimiter limits the log lines about refused callers. suppressed
	// counts the refusals that were not logged since the last line.
	refusalLogLimiter *rate.Limiter
	suppressed        atomic.Int64
	// stalled counts the sessions that ended by the progress timeout, refused the callers that
	// were refused, and declined the statements that were refused because the host is stopping.
	stalled, refused, declined atomic.Int64
}

// WithBudget returns an option that sets the memory that sessions share.
func WithBudget(b *budget.Budget) func(*Server) {
	return func(sv *Server) { sv.budget = b }
}

// WithProgressTimeout returns an option that bounds the wait for the next part of a long message
// or for a caller that takes the next part of an answer.
func WithProgressTimeout(d time.Duration) func(*Server) {
	return func(sv *Server) { sv.progressTimeout = d }
}

// New returns a server for at most maxCallers callers at a time. Session ids
// start with the host's name. newReader returns the reader of a connection, and newRunner
// the runner for a session. now returns the time since the machine booted.
func New[D reader, R runner](host string, maxCallers int, log *zap.Logger, w workers, now func() time.Duration, d databases,
	p protocol, newReader func(c net.Conn, s *draw.Draw) D, newRunner func(c caller.Caller, s *draw.Draw) R, options ...func(*Server),
) *Server {
	sv := &Server{
		host: host, maxCallers: maxCallers, log: log, workers: w, now: now, databases: d, protocol: p,
		newReader:         func(c net.Conn, s *draw.Draw) reader { return newReader(c, s) },
		newRunner:         func(c caller.Caller, s *draw.Draw) runner { return newRunner(c, s) },
		sessions:          map[*session]struct{}{},
		refusalLogLimiter: rate.NewLimiter(refusalLogsPerSecond, refusalLogsPerSecond),
		progressTimeout:   defaultProgressTimeout,
	}
	for _, o := range options {
		o(sv)
	}
	return sv
}

// Serve accepts callers until the listener is closed.
func (sv *Server) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			sv.log.Warn("accepting a caller connection failed", zap.String("Error", err.Error()))
			time.Sleep(acceptPause)
			continue
		}
		// Connections are admitted in the order in which they were accepted, since
		// admit closes the oldest connection that has not started a session.
		s := &session{server: sv, conn: c, id: sv.host + "-" + strconv.FormatUint(sv.lastID.Add(1), 10), sender: newSender(c, sv.progressTimeout)}
		s.ctx, s.cancel = context.WithCancelCause(context.Background())
		go sv.serve(s, sv.admit(s))
	}
}

// serve runs a session that was admitted, which admission code.Done means, or
// refuses it with the code. It then closes the connection.
func (sv *Server) serve(s *session, admission code.Code) {
	if admission != code.Done {
		s.refuse(admission, "")
		_ = s.conn.Close()
		return
	}
	defer sv.remove(s)
	rescue.Run(sv.log, s.serve)
}

// admit adds a session and returns code.Done. Otherwise it returns the result
// code with which to refuse the session. If the number of sessions is at the
// limit, admit closes the oldest session that hasn't sent its first message.
func (sv *Server) admit(s *session) code.Code {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.stopping {
		return code.NotRunStopping
	}
	if len(sv.sessions) >= sv.maxCallers {
		if len(sv.unstarted) == 0 {
			return code.TooManyCallers
		}
		oldest := sv.unstarted[0]
		sv.unstarted = sv.unstarted[1:]
		delete(sv.sessions, oldest)
		_ = oldest.conn.Close()
	}
	sv.sessions[s] = struct{}{}
	sv.unstarted = append(sv.unstarted, s)
	return code.Done
}

// markStarted records that a session sent its first message. It returns false
// if admit has closed the session in the meantime.
func (sv *Server) markStarted(s *session) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.dropUnstarted(s)
	_, ok := sv.sessions[s]
	return ok
}

// remove removes a session that ended.
func (sv *Server) remove(s *session) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.dropUnstarted(s)
	delete(sv.sessions, s)
}

// dropUnstarted removes a session from the list of unstarted sessions. The
// caller holds the lock.
func (sv *Server) dropUnstarted(s *session) {
	if i := slices.Index(sv.unstarted, s); i >= 0 {
		sv.unstarted = slices.Delete(sv.unstarted, i, i+1)
	}
}

// CallerCount returns the number of open sessions, including those that haven't sent
// their first message.
func (sv *Server) CallerCount() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return len(sv.sessions)
}

// Metrics returns the number of open sessions, and since the start that of refused callers, of
// sessions that ended since their callers stalled, and of statements that were refused because
// the host is stopping.
func (sv *Server) Metrics() any {
	return struct {
		Callers                    int
		Refused, Stalled, Declined int64
	}{sv.CallerCount(), sv.refused.Load(), sv.stalled.Load(), sv.declined.Load()}
}

// Declined returns how many statements were refused because the host is stopping.
func (sv *Server) Declined() int64 {
	return sv.declined.Load()
}

// isStopping reports whether Drain was called.
func (sv *Server) isStopping() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.stopping
}

// Drain makes the server refuse new sessions and closes each session as soon as
// the session has no outstanding statement and no open transaction. With force,
// an open transaction doesn't delay the close. A session whose caller goes on sending is
// closed too: after a moment, its next operation is refused as not run. Drain doesn't wait for
// the sessions to end.
func (sv *Server) Drain(force bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.stopping = true
	for s := range sv.sessions {
		s.drain(force)
	}
}

// Interrupt cancels all statements that run, so that each is answered: as not run if it waits
// for a target, and otherwise with an unknown outcome. The sessions then end as after Drain with
// force. Interrupt returns the number of sessions that had a statement outstanding, and doesn't
// wait for them to end.
func (sv *Server) Interrupt() int {
	sv.Drain(true)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	interrupted := 0
	for s := range sv.sessions {
		if s.interrupt() {
			interrupted++
		}
	}
	return interrupted
}
