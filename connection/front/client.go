package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/draw"
	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/connection/intake"
	"github.com/pistachiotray/pistachiotray/connection/sess"
	"github.com/pistachiotray/pistachiotray/connection/token"
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

// sessionParameter is the parameter in which the session token is reported to
// the caller, and in which a returning caller sends it.
const sessionParameter = "pistachiotray.session"

// client is one caller's connection.
type client struct {
	front  *Front
	conn   net.Conn
	reader *frame.Reader
	// share is the memory that the caller holds of the process's budget, and kept the part of
	// it for the session's prepared statements and settings.
	share   *draw.Draw
	kept    int
	pid     uint32
	secret  []byte
	session sess.Session
	batches chan batch
	// copyReady is the copyReady channel of the current batch, nil once it is closed.
	copyReady chan struct{}
	// deadlineSetAt is when the write deadline was last renewed.
	deadlineSetAt time.Time
	// currentRequestID is the id of the running request, nil while none runs.
	currentRequestID atomic.Pointer[string]
	// copyAnswer is the answer of the running request, if it may start a COPY.
	copyAnswer atomic.Pointer[answer.Answer]
	ctx        context.Context
	stop       context.CancelFunc

	// idleMu guards the fields below.
	idleMu sync.Mutex
	// busy means that a batch is being served.
	busy bool
	// closedWhileIdle means that stopIfIdle has ended the connection.
	closedWhileIdle bool
	// aborted means that the connection was closed by abort.
	aborted bool
}

func newClient(f *Front, conn net.Conn) *client {
	ctx, stop := context.WithCancel(context.Background())
	c := &client{front: f, conn: conn, batches: make(chan batch, 1), ctx: ctx, stop: stop}
	c.share = draw.New(f.budget, func() { _ = conn.Close(); stop() }, draw.WithProgress(c.noteProgress))
	c.reader = frame.New(conn, f.messageLimit, frame.WithIntake(intake.New(c.share)))
	return c
}

// noteProgress renews the read deadline while a long message arrives, unless the connection is
// about to end or has not started its session.
func (c *client) noteProgress() {
	c.setReadDeadline(time.Now().Add(readTimeout))
}

// setReadDeadline sets the read deadline unless stopIfIdle has set one.
func (c *client) setReadDeadline(at time.Time) {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if !c.closedWhileIdle && c.pid != 0 {
		_ = c.conn.SetReadDeadline(at)
	}
}

// keep replaces the session by one with other prepared statements or settings. It returns a fault
// if they pass the limits of a session.
func (c *client) keep(next sess.Session) error {
	count, size := next.Kept()
	if size > c.kept && (count > c.front.valueLimit || size > c.front.sessionLimit) {
		return fault.New(code.MessageTooLarge, "the session keeps too many prepared statements and settings")
	}
	c.setSession(next)
	return nil
}

// setSession replaces the session and accounts for the memory that it keeps.
func (c *client) setSession(next sess.Session) {
	c.session = next
	_, size := next.Kept()
	if size > c.kept {
		c.share.Charge(size - c.kept)
	} else {
		c.share.Return(c.kept - size)
	}
	c.kept = size
}

// run serves the caller's requests until the caller leaves or this host stops. The
// session is then closed if the caller sent Terminate, or if a request without an
// open transaction was refused because this host is stopping. Otherwise the session
// is detached, so that the caller can resume it. After abort, run neither closes nor
// detaches the session.
func (c *client) run() {
	defer c.stop()
	go c.readLoop()
	terminated := false
	for b := range c.batches {
		if b.err != nil {
			c.reportError(b.err)
			break
		}
		if b.terminate {
			terminated = true
			break
		}
		if !c.beginBusy() {
			c.sendFatal(fault.New(code.NotRunStopping, "this host is stopping"))
			terminated = c.session.Status == 'I'
			break
		}
		if b.drawn > 0 {
			// The messages are copied when they are rewritten for the target.
			c.share.Charge(b.drawn)
		}
		c.share.SetWorking(true)
		err := c.serve(b)
		c.share.SetWorking(false)
		if b.drawn > 0 {
			c.share.Return(2 * b.drawn)
		}
		c.endBusy()
		if err != nil {
			break
		}
	}
	c.stop()
	_ = c.conn.Close()
	if c.isAborted() {
		return
	}
	if terminated {
		c.front.backend.Leave(c.session.Group, c.session.ID)
		return
	}
	c.front.backend.Detach(c.session.Group, c.session.ID)
}

// beginBusy marks the caller as busy. It returns false if stopIfIdle has already
// ended the connection, or would do so now: a caller that always has a request under way
// is never idle.
func (c *client) beginBusy() bool {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if c.closedWhileIdle || c.front.stopping.Load() && c.session.Status == 'I' {
		return false
	}
	c.busy = true
	return true
}

func (c *client) endBusy() {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	c.busy = false
}

// stopIfIdle ends the connection if no request runs and no transaction is open. It
// sets the read deadline to the current time, which makes readLoop return.
func (c *client) stopIfIdle() {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if c.busy || c.closedWhileIdle || c.session.Status != 'I' {
		return
	}
	c.closedWhileIdle = true
	_ = c.conn.SetReadDeadline(time.Now())
}

// cancel cancels the running request, if there is one.
func (c *client) cancel() {
	if id := c.currentRequestID.Load(); id != nil {
		c.front.backend.Cancel(*id)
	}
}

// abort closes the connection without ending or detaching the session.
func (c *client) abort() {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	c.aborted = true
	_ = c.conn.Close()
}

func (c *client) isAborted() bool {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	return c.aborted
}

// reportError sends the caller the reason why its connection is closed: a fault, or
// that this host is stopping. After other errors, such as a lost connection, it
// sends nothing.
func (c *client) reportError(err error) {
	var f *fault.Fault
	c.idleMu.Lock()
	closedWhileIdle := c.closedWhileIdle
	c.idleMu.Unlock()
	switch {
	case errors.As(err, &f):
		c.sendFatal(f)
	case closedWhileIdle:
		c.sendFatal(fault.New(code.NotRunStopping, "this host is stopping"))
	}
}

// sendFatal sends a fault to the caller as a FATAL error and logs it.
func (c *client) sendFatal(f *fault.Fault) {
	c.front.log.Info("closing caller connection", zap.Int("Code", int(f.Code)), zap.String("Session", c.session.ID), zap.String("Detail", f.Detail))
	_ = c.write(errorFrame(f, "FATAL"))
}

// write sends bytes to the caller in pieces. It renews the write deadline only if a tenth of
// writeTimeout has passed since the last renewal. While more than a piece is sent, it counts as
// held by the caller, who may be closed for it.
func (c *client) write(p []byte) error {
	if len(p) > pieceBytes {
		held := len(p)
		c.share.Charge(held)
		c.share.Begin()
		defer func() {
			c.share.Finish()
			c.share.Return(held)
		}()
	}
	for {
		piece := p[:min(pieceBytes, len(p))]
		if now := time.Now(); now.Sub(c.deadlineSetAt) > writeTimeout/10 {
			c.deadlineSetAt = now
			_ = c.conn.SetWriteDeadline(now.Add(writeTimeout + writeTimeout/10))
		}
		if _, err := c.conn.Write(piece); err != nil {
			return err
		}
		if p = p[len(piece):]; len(p) == 0 {
			return nil
		}
	}
}

// errorFrame encodes a fault as an ErrorResponse. The detail field contains the name
// and number of the result code.
func errorFrame(f *fault.Fault, severity string) []byte {
	m := &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code:    f.Code.SQLState(),
		Message: f.Code.Meaning(),
		Detail:  "Result " + f.Code.Name() + " " + itoa(int(f.Code)) + ": " + f.Detail,
		Hint:    f.Code.Advice(),
	}
	if f.RetryAfter > 0 {
		m.Hint = "retry after " + f.RetryAfter.String()
	}
	p, err := m.Encode(nil)
	if err != nil {
		return nil
	}
	return p
}

// tokenFrame returns a ParameterStatus message with the session's token, or nil
// if the token can't be signed.
func (c *client) tokenFrame() []byte {
	s := c.session
	text, err := token.New(s.ID, s.User, s.Group).WithFloor(s.Floor).Sign(c.front.signKeyName, c.front.tokenKeys[c.front.signKeyName])
	if err != nil {
		return nil
	}
	p, err := (&pgproto3.ParameterStatus{Name: sessionParameter, Value: text}).Encode(nil)
	if err != nil {
		return nil
	}
	return p
}
