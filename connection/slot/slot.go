// Package slot holds one connection to a member of a database group.
package slot

import (
	"context"
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
	// positionName names the prepared statement and the portal that ask for a
	// member's report.
	positionName = "pistachiotray_position"
	// answerLimit is the longest frame that a target may send, in bytes.
	answerLimit = 1 << 30
	// preparedLimit is how many statements a slot keeps prepared.
	preparedLimit = 500
	// cancelTimeout bounds the sending of a cancel request.
	cancelTimeout = time.Second
)

// Slot is one connection to a member. Run, Settle and Rollback are called by
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
	prepared   map[string]bool
	settings   []string
	known      bool
	readOnly   bool
	dirty      bool
	failed     bool
	marked     bool
	// cancelMu guards current, and is held while a cancel request is under way.
	cancelMu sync.Mutex
	current  string
	used     time.Time
	now      func() time.Time
	once     sync.Once
}

// New opens a slot to the member with a connection string of pgconn's form.
// The error wraps that of the target, which tells a refusal by SQLSTATE.
func New(ctx context.Context, member, dsn string, options ...func(*Slot)) (*Slot, error) {
	s := &Slot{member: member, adapter: adapt.New(), prepared: map[string]bool{}, known: true, now: time.Now}
	for _, o := range options {
		o(s)
	}
	config, err := pgconn.ParseConfig(dsn)
	if err != nil {
		return nil, errors.Wrap(err, "New: connection string")
	}
	pc, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.Wrap(err, "New")
	}
	hijacked, err := pc.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "New")
	}
	s.adopt(hijacked)
	if err := s.preparePosition(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Slot) adopt(h *pgconn.HijackedConn) {
	s.conn = h.Conn
	s.address = h.Conn.RemoteAddr().String()
	s.pid = h.PID
	s.secret = h.SecretKey
	s.parameters = h.ParameterStatuses
	s.reader = frame.New(h.Conn, answerLimit)
}

func (s *Slot) preparePosition() error {
	out := mustEncode(&pgproto3.Parse{Name: positionName, Query: s.adapter.PositionSQL()})
	out = append(out, mustEncode(&pgproto3.Sync{})...)
	if _, err := s.conn.Write(out); err != nil {
		return errors.Wrap(err, "Slot.preparePosition")
	}
	_, err := s.drain()
	return err
}

// drain reads up to the next ReadyForQuery and returns the status it gives.
func (s *Slot) drain() (byte, error) {
	var buffer []byte
	for {
		kind, p, err := s.reader.Append(buffer[:0])
		if err != nil {
			return 0, errors.Wrap(err, "Slot.drain")
		}
		buffer = p
		if kind == 'Z' {
			return frame.Body(p)[0], nil
		}
	}
}

// Parameters returns what the target reported of its settings at the start.
func (s *Slot) Parameters() map[string]string {
	return s.parameters
}

// occupy notes what runs in the slot. It waits for a cancel request under way,
// so that none can reach what runs next.
func (s *Slot) occupy(id string) {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.current = id
}

// Cancel asks the member to cancel a call, if it still runs in the slot, and
// waits until the member has taken the request.
func (s *Slot) Cancel(ctx context.Context, id string) error {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if s.current != id {
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

// Close closes the connection; what runs in it ends with an error.
func (s *Slot) Close() {
	s.once.Do(func() { _ = s.conn.Close() })
}

// Alive tells whether the member still holds the connection. It is called
// while nothing runs. It looks at what has come without waiting: an end of the
// connection, or a message that nobody asked for, such as that of a member
// that stops.
func (s *Slot) Alive() bool {
	s.used = time.Now()
	if s.reader.Buffered() > 0 {
		return false
	}
	plain := s.conn
	t, encrypted := plain.(*tls.Conn)
	if encrypted {
		plain = t.NetConn()
	}
	c, ok := plain.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = errors.Is(err, unix.EAGAIN) || (err == nil && n > 0 && encrypted)
		return true
	})
	return err == nil && alive
}

// Rollback ends the open transaction and reports whether the slot is clean.
func (s *Slot) Rollback() bool {
	s.occupy("")
	if _, err := s.conn.Write(mustEncode(&pgproto3.Query{String: "ROLLBACK"})); err != nil {
		return false
	}
	status, err := s.drain()
	return err == nil && status == 'I'
}

func (s *Slot) sameSettings(settings []string) bool {
	return s.known && slices.Equal(s.settings, settings)
}

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
