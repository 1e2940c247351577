// Package slot runs requests on one connection to a member of a database group.
package slot

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sys/unix"

	"github.com/pistachiotray/pistachiotray/connection/adapt"
	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/process/wrap"
)

const (
	// positionName is the name of the prepared statement and of the portal that
	// ask for a member's report.
	positionName = "pistachiotray_position"
	// maxFrameBytes is the length of the longest frame that a target may send.
	maxFrameBytes = 1 << 30
	// preparedLimit is how many prepared statements a slot keeps before it is
	// reset.
	preparedLimit = 500
	// cancelTimeout bounds a cancel request, including the time to connect.
	cancelTimeout = time.Second
)

// Slot is one connection to a member. Run, ResolveOutcome, Rollback and Alive are called by
// one goroutine at a time; Cancel and Close by any.
type Slot struct {
	member     string
	address    string
	adapter    adapt.Adapter
	conn       net.Conn
	reader     *frame.Reader
	pid        uint32
	secret     []byte
	parameters map[string]string
	// prepared holds the hashes of the Parse messages of the statements that are prepared in the
	// slot, by name. The hash is zero if it is not known which statement has the name, if any.
	prepared map[string][sha256.Size]byte
	// settings are the statements that set the session's settings. settingsKnown is
	// unset after a call that may have changed settings.
	settings      []string
	settingsKnown bool
	// readOnly is the state of default_transaction_read_only.
	readOnly bool
	// dirty means that a call may have left state in the session, which is therefore
	// reset before the next transaction.
	dirty bool
	// failed means that the connection can't be used any more.
	failed bool
	// markerTableExists means that this slot has created the marker table or found
	// that it exists.
	markerTableExists bool
	// cancelMu guards currentCallID. It is locked while a cancel request is sent.
	cancelMu sync.Mutex
	// currentCallID is the id of the running call, empty if none runs.
	currentCallID string
	// lastUsed is when the last call or check by Alive ended.
	lastUsed  time.Time
	now       func() time.Time
	closeOnce sync.Once
}

// New opens a slot to the member with a connection string in pgconn's form. If the
// target refuses the connection, the error wraps the target's error, so that its
// SQLSTATE can be checked.
func New(ctx context.Context, member, dsn string, options ...func(*Slot)) (*Slot, error) {
	s := &Slot{member: member, adapter: adapt.New(), prepared: map[string][sha256.Size]byte{}, settingsKnown: true, now: time.Now}
	for _, o := range options {
		o(s)
	}
	config, err := pgconn.ParseConfig(dsn)
	if err != nil {
		return nil, errors.Wrap(err, "parse connection string")
	}
	pc, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.Wrap(err, "connect to member")
	}
	hijacked, err := pc.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "take over connection from pgconn")
	}
	s.adopt(hijacked)
	if err := s.preparePosition(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// adopt takes over the connection from pgconn.
func (s *Slot) adopt(h *pgconn.HijackedConn) {
	s.conn = h.Conn
	s.address = h.Conn.RemoteAddr().String()
	s.pid = h.PID
	s.secret = h.SecretKey
	s.parameters = h.ParameterStatuses
	s.reader = frame.New(h.Conn, maxFrameBytes)
}

// preparePosition prepares the statement that asks for the member's report.
func (s *Slot) preparePosition() error {
	messages := mustEncode(&pgproto3.Parse{Name: positionName, Query: s.adapter.PositionSQL()})
	messages = append(messages, mustEncode(&pgproto3.Sync{})...)
	if _, err := s.conn.Write(messages); err != nil {
		return errors.Wrap(err, "send position statement")
	}
	_, err := s.drain()
	return err
}

// drain discards frames up to the next ReadyForQuery and returns its transaction
// status.
func (s *Slot) drain() (byte, error) {
	var buffer []byte
	for {
		kind, p, err := s.reader.Append(buffer[:0])
		if err != nil {
			return 0, errors.Wrap(err, "read answer of member")
		}
		buffer = p
		if kind == 'Z' {
			return frame.Body(p)[0], nil
		}
	}
}

// hasPrepared reports whether the named statement of a Parse message is prepared in the slot.
func (s *Slot) hasPrepared(name string, p []byte) bool {
	sum, ok := s.prepared[name]
	return ok && sum == sha256.Sum256(p)
}

// Parameters returns the parameters that the target reported at startup.
func (s *Slot) Parameters() map[string]string {
	return s.parameters
}

// setCurrent sets the id of the call that runs in the slot, "" for none. If a cancel
// request is being sent, setCurrent waits for it, since it could otherwise cancel
// the next call.
func (s *Slot) setCurrent(id string) {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.currentCallID = id
}

// Cancel sends a cancel request to the member if the call still runs in the slot,
// and waits until the member has processed the request and closed its connection.
func (s *Slot) Cancel(ctx context.Context, id string) error {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if s.currentCallID != id {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "Slot.Cancel")
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	if _, err = conn.Write(mustEncode(&pgproto3.CancelRequest{ProcessID: s.pid, SecretKey: s.secret})); err != nil {
		return errors.Wrap(err, "Slot.Cancel")
	}
	_, err = io.Copy(io.Discard, conn)
	return wrap.If(err, "Slot.Cancel")
}

// Close closes the connection. A call that runs in it ends with an error.
func (s *Slot) Close() {
	s.closeOnce.Do(func() { _ = s.conn.Close() })
}

// Alive reports whether the member still has the connection open. It must only be
// called while no call runs, and counts as a use of the slot. It peeks at the socket
// without waiting: the connection counts as dead if it was closed, or if the member
// sent an unsolicited message, as a member that shuts down does. If the connection
// is encrypted, unread data does not count as such a message, since it may be a TLS
// record without one.
func (s *Slot) Alive() bool {
	s.lastUsed = time.Now()
	if s.reader.Buffered() > 0 {
		return false
	}
	raw := s.conn
	t, encrypted := raw.(*tls.Conn)
	if encrypted {
		raw = t.NetConn()
	}
	c, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	sys, err := c.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = sys.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = errors.Is(err, unix.EAGAIN) || (err == nil && n > 0 && encrypted)
		return true
	})
	return err == nil && alive
}

// Rollback ends the open transaction and reports whether the slot can be used
// again.
func (s *Slot) Rollback() bool {
	s.setCurrent("")
	if _, err := s.conn.Write(mustEncode(&pgproto3.Query{String: "ROLLBACK"})); err != nil {
		return false
	}
	status, err := s.drain()
	return err == nil && status == 'I'
}

// sameSettings reports whether the slot is known to have exactly these settings.
func (s *Slot) sameSettings(settings []string) bool {
	return s.settingsKnown && slices.Equal(s.settings, settings)
}

// mustEncode returns an encoded message. It panics if the message can't be encoded.
func mustEncode(m interface {
	Encode([]byte) ([]byte, error)
},
) []byte {
	p, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return p
}
