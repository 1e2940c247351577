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

	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/connection/sess"
	"github.com/pistachiotray/pistachiotray/connection/token"
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

// sessionParameter is the name under which the token is reported and taken.
const sessionParameter = "pistachiotray.session"

// client is one caller's connection.
type client struct {
	front   *Front
	net     net.Conn
	reader  *frame.Reader
	pid     uint32
	secret  []byte
	session sess.Session
	batches chan batch
	ready   chan struct{}
	limited time.Time
	current atomic.Pointer[string]
	copying atomic.Pointer[answer.Answer]
	ctx     context.Context
	stop    context.CancelFunc

	idleMu  sync.Mutex
	busy    bool
	ended   bool
	aborted bool
}

func newClient(f *Front, n net.Conn) *client {
	ctx, stop := context.WithCancel(context.Background())
	return &client{
		front: f, net: n, reader: frame.New(n, f.limit),
		batches: make(chan batch, 1), ctx: ctx, stop: stop,
	}
}

// run serves the caller's requests until it leaves.
func (c *client) run() {
	defer c.stop()
	go c.read()
	polite := false
	for b := range c.batches {
		if b.err != nil {
			c.complain(b.err)
			break
		}
		if b.leave {
			polite = true
			break
		}
		if !c.begin() {
			c.fatal(fault.New(code.NotRunStopping, "this host is stopping"))
			polite = c.session.Status == 'I'
			break
		}
		err := c.serve(b)
		c.endBusy()
		if err != nil {
			break
		}
	}
	c.stop()
	_ = c.net.Close()
	if c.isAborted() {
		return
	}
	if polite {
		c.front.backend.Leave(c.session.Group, c.session.ID)
		return
	}
	c.front.backend.Detach(c.session.Group, c.session.ID)
}

// begin marks the caller busy, unless it was ended as idle.
func (c *client) begin() bool {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if c.ended {
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

// stopIfIdle ends a caller that runs nothing and has no open transaction.
func (c *client) stopIfIdle() {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if c.busy || c.ended || c.session.Status != 'I' {
		return
	}
	c.ended = true
	_ = c.net.SetReadDeadline(time.Now())
}

// abort closes the connection and tells nobody.
func (c *client) abort() {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	c.aborted = true
	_ = c.net.Close()
}

func (c *client) isAborted() bool {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	return c.aborted
}

// complain tells the caller why its connection is closed.
func (c *client) complain(err error) {
	var f *fault.Fault
	c.idleMu.Lock()
	ended := c.ended
	c.idleMu.Unlock()
	switch {
	case errors.As(err, &f):
		c.fatal(f)
	case ended:
		c.fatal(fault.New(code.NotRunStopping, "this host is stopping"))
	}
}

func (c *client) fatal(f *fault.Fault) {
	c.front.log.Info("caller closed", zap.Int("Code", int(f.Code)), zap.String("Session", c.session.ID), zap.String("Detail", f.Detail))
	_ = c.write(errorFrame(f, "FATAL"))
}

func (c *client) write(p []byte) error {
	if now := time.Now(); now.Sub(c.limited) > writeTimeout/10 {
		c.limited = now
		_ = c.net.SetWriteDeadline(now.Add(writeTimeout + writeTimeout/10))
	}
	_, err := c.net.Write(p)
	return err
}

// errorFrame encodes a fault. The numbered code stands in the detail.
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

// tokenFrame reports the session's token to the caller.
func (c *client) tokenFrame() []byte {
	s := c.session
	text, err := token.New(s.ID, s.User, s.Group).WithFloor(s.Floor).Sign(c.front.keyName, c.front.keys[c.front.keyName])
	if err != nil {
		return nil
	}
	p, err := (&pgproto3.ParameterStatus{Name: sessionParameter, Value: text}).Encode(nil)
	if err != nil {
		return nil
	}
	return p
}
