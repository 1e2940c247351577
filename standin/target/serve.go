package target

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// controlUser is the user of the hosts' control connections, which need no slot.
const controlUser = "pistachiotray_control"

// conn is one connection to the member.
type conn struct {
	target *Target
	net    net.Conn
	// backend reads and writes messages on net, and blocks during a partition.
	backend *pgproto3.Backend
	// pid is the process ID. Cancel requests name the connection by pid and prove
	// with secret that they may cancel its statement.
	pid    uint32
	secret []byte
	// control is set for connections of the control user.
	control bool
	// hasSlot is set if the connection uses one of the member's slots.
	hasSlot bool
	session *session
	// statements and portals are keyed by name.
	statements map[string]*preparedStatement
	portals    map[string]*portal
	// skipToSync is set from an error in the extended protocol to the next Sync.
	skipToSync bool
}

// accept serves connections until the listener is closed.
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

// register assigns a process ID to a connection and adds it to t.conns. It returns
// false if the member is stopped.
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

// unregister removes a connection from t.conns and frees its slot, if it has one.
func (t *Target) unregister(c *conn) {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	delete(t.conns, c.pid)
	if c.hasSlot {
		t.usedSlots--
	}
}

// takeSlot assigns a free slot to a connection. It returns false if there is none.
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

// startup handles the first messages of a connection: it declines encryption, and
// runs a cancel request or completes the startup. It returns true only if the
// startup is complete.
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
// completes the startup without authentication. It returns false if no slot is
// free or the connection failed.
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

// cancel interrupts the running statement of the connection with process ID pid.
// It has no effect if the secret isn't the secret of this connection.
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

func fatalError(sqlState, message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: sqlState, Message: message}
}
