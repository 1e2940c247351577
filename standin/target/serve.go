package target

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// controlUser is the user of the hosts' control connections, which take no
// slot.
const controlUser = "pistachiotray_control"

// conn is one connection to the member.
type conn struct {
	target  *Target
	net     net.Conn
	backend *pgproto3.Backend
	// pid and secret identify the connection in cancel requests.
	pid    uint32
	secret []byte
	// control is set for connections of the control user.
	control    bool
	hasSlot    bool
	session    *session
	statements map[string]*preparedStatement
	portals    map[string]*portal
	// skipToSync is set after an error in the extended protocol.
	skipToSync bool
}

func (t *Target) accept() {
	for {
		n, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.goroutines.Go(func() { t.serve(n) })
	}
}

// serve handles a connection from startup to its end.
func (t *Target) serve(n net.Conn) {
	defer func() { _ = n.Close() }()
	pc := partitionedConn{n, t.partition}
	c := &conn{
		target: t, net: n, backend: pgproto3.NewBackend(pc, pc),
		statements: map[string]*preparedStatement{}, portals: map[string]*portal{},
	}
	c.secret = make([]byte, 4)
	_, _ = rand.Read(c.secret)
	if !t.register(c) {
		return
	}
	defer t.unregister(c)
	if !c.startup() {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s, err := newSession(ctx, t)
	if err != nil {
		return
	}
	c.session = s
	defer s.close()
	c.receiveLoop()
}

// register gives a connection its process ID. It returns false if the member is
// stopped.
func (t *Target) register(c *conn) bool {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	if t.closed {
		return false
	}
	t.nextPID++
	c.pid = t.nextPID
	t.conns[c.pid] = c
	return true
}

func (t *Target) unregister(c *conn) {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	delete(t.conns, c.pid)
	if c.hasSlot {
		t.usedSlots--
	}
}

// takeSlot counts a connection against the member's slots. It returns false if
// none is free.
func (t *Target) takeSlot(c *conn) bool {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	if t.usedSlots >= t.slots {
		return false
	}
	t.usedSlots++
	c.hasSlot = true
	return true
}

// startup handles the startup message. It refuses encryption, handles a cancel
// request, and returns true if a session was started.
func (c *conn) startup() bool {
	m, err := c.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	switch m := m.(type) {
	case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
		_, _ = c.net.Write([]byte("N"))
		return c.startup()
	case *pgproto3.CancelRequest:
		c.target.cancel(m.ProcessID, m.SecretKey)
		return false
	case *pgproto3.StartupMessage:
		return c.acceptStartup(m)
	}
	return false
}

// acceptStartup takes a slot, unless the connection is a control connection, and
// completes the startup without authentication.
func (c *conn) acceptStartup(m *pgproto3.StartupMessage) bool {
	c.control = m.Parameters["user"] == controlUser
	if !c.control {
		if !c.target.takeSlot(c) {
			c.backend.Send(fatalError("53300", "too many connections"))
			_ = c.backend.Flush()
			return false
		}
		time.Sleep(time.Duration(c.target.connectDelay.Load()))
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for name, value := range map[string]string{
		"server_version": "15.0", "client_encoding": "UTF8", "server_encoding": "UTF8",
		"DateStyle": "ISO, MDY", "TimeZone": "UTC", "integer_datetimes": "on", "standard_conforming_strings": "on",
	} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.backend.Flush() == nil
}

// cancel interrupts the running statement of the connection with the process ID
// pid, if the secret is that connection's.
func (t *Target) cancel(pid uint32, secret []byte) {
	t.connMu.Lock()
	c := t.conns[pid]
	t.connMu.Unlock()
	if c == nil || c.session == nil || len(secret) != len(c.secret) {
		return
	}
	if binary.BigEndian.Uint32(secret) != binary.BigEndian.Uint32(c.secret) {
		return
	}
	c.session.interrupt()
}

func fatalError(state, text string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: state, Message: text}
}
