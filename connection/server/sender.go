package server

import (
	"net"
	"syscall"
	"time"
)

// pieceBytes is how much a caller must take of an answer within the progress timeout.
const pieceBytes = 16 << 10

// sender sends messages to one caller. Its methods must not be called concurrently.
type sender struct {
	conn    net.Conn
	timeout time.Duration
	// raw writes without waiting, nil if the connection can't. write is the method writeOnce,
	// which sends pending and sets sent.
	raw     syscall.RawConn
	write   func(fd uintptr) bool
	pending []byte
	sent    int
}

// newSender returns the sender for a connection. The caller must take each piece of a message
// within the timeout.
func newSender(c net.Conn, timeout time.Duration) *sender {
	s := &sender{conn: c, timeout: timeout}
	s.write = s.writeOnce
	if sc, ok := c.(syscall.Conn); ok {
		// Without raw, try sends nothing.
		s.raw, _ = sc.SyscallConn()
	}
	return s
}

// try sends what the connection takes without waiting, and returns the rest.
func (s *sender) try(messages []byte) []byte {
	if s.raw == nil {
		return messages
	}
	s.pending, s.sent = messages, 0
	err := s.raw.Write(s.write)
	s.pending = nil
	if err != nil {
		return messages
	}
	return messages[s.sent:]
}

// writeOnce writes what the connection takes. It returns true, so that nobody waits for it to
// take more.
func (s *sender) writeOnce(fd uintptr) bool {
	if n, err := syscall.Write(int(fd), s.pending); err == nil {
		s.sent = n
	}
	return true
}

// send sends messages and waits until the connection has taken them. After an error it closes the
// connection.
func (s *sender) send(messages []byte) error {
	for len(messages) > 0 {
		piece := messages[:min(pieceBytes, len(messages))]
		if err := s.conn.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
			return err
		}
		if _, err := s.conn.Write(piece); err != nil {
			_ = s.conn.Close()
			return err
		}
		messages = messages[len(piece):]
	}
	// try would fail after a deadline that has passed.
	return s.conn.SetWriteDeadline(time.Time{})
}
