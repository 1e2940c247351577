// Package frame reads the frames of PostgreSQL's protocol, version 3, without
// decoding them.
package frame

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/intake"
	"github.com/pistachiotray/pistachiotray/process/budget"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

const (
	// headerBytes is the length of a frame's header: a type of 1 byte and a length
	// field of 4 bytes.
	headerBytes = 5
	// bufferBytes is the length of the read buffer.
	bufferBytes = 8 << 10
)

// Reader reads frames from a connection.
type Reader struct {
	buffer *bufio.Reader
	limit  int
	// intake accounts for long frames. It has no account for the frames of targets, which are
	// read into memory of their announced length at once.
	intake intake.Intake
}

// WithIntake returns an option that sets what accounts for long frames.
func WithIntake(in intake.Intake) func(*Reader) {
	return func(r *Reader) { r.intake = in }
}

// New returns a reader of frames. limit is the maximum length of a frame in bytes,
// header included.
func New(r io.Reader, limit int, options ...func(*Reader)) *Reader {
	rd := &Reader{buffer: bufio.NewReaderSize(r, bufferBytes), limit: limit}
	for _, o := range options {
		o(rd)
	}
	return rd
}

// Drawn returns how much memory was drawn for frames since the last call, 0 for frames that fit
// into the read buffer.
func (r *Reader) Drawn() int {
	return r.intake.Drawn()
}

// Append reads one frame and appends it, header included, to p. It returns the frame's
// type and the extended slice. It returns a MessageTooLarge fault for a frame that is
// longer than the limit, and a BadMessage fault for an impossible length.
func (r *Reader) Append(p []byte) (byte, []byte, error) {
	header, err := r.buffer.Peek(headerBytes)
	if err != nil {
		return 0, p, err
	}
	kind := header[0]
	length := binary.BigEndian.Uint32(header[1:])
	if length < 4 {
		return 0, p, fault.New(code.BadMessage, "impossible message length")
	}
	if uint64(length)+1 > uint64(r.limit) {
		return 0, p, fault.New(code.MessageTooLarge, "a message is longer than the limit")
	}
	start := len(p)
	if r.intake.HasAccount() && length+1 > bufferBytes {
		p, err = r.appendLong(p, int(length)+1)
		return kind, p, err
	}
	p = append(p, make([]byte, length+1)...)
	if _, err := io.ReadFull(r.buffer, p[start:]); err != nil {
		return 0, p[:start], errors.Wrap(err, "Reader.Append")
	}
	return kind, p, nil
}

// appendLong reads n bytes and appends them to p. It uses memory as they arrive, not when their
// number is announced.
func (r *Reader) appendLong(p []byte, n int) ([]byte, error) {
	r.intake.Begin()
	defer r.intake.Finish()
	p, err := r.intake.Append(p, r.buffer, n, bufferBytes)
	if errors.Is(err, budget.ErrExhausted) {
		return p, fault.New(code.NotRunOverload, "no memory for the message")
	}
	if err != nil {
		return p, errors.Wrap(err, "Reader.Append")
	}
	return p, nil
}

// Buffered returns the number of bytes that were read from the connection and not
// yet returned.
func (r *Reader) Buffered() int {
	return r.buffer.Buffered()
}

// Body returns a frame without its header. The frame must be complete.
func Body(p []byte) []byte {
	return p[headerBytes:]
}

// Split returns the first frame of p and the rest. It reports false if p does not
// begin with a complete frame.
func Split(p []byte) (kind byte, frame, rest []byte, ok bool) {
	if len(p) < headerBytes {
		return 0, nil, p, false
	}
	length := uint64(binary.BigEndian.Uint32(p[1:])) + 1
	if length < headerBytes || length > uint64(len(p)) {
		return 0, nil, p, false
	}
	return p[0], p[:length], p[length:], true
}

// maxStartupBytes is the length of the longest startup message, as in PostgreSQL.
const maxStartupBytes = 10000

// Startup reads one message that precedes the first frame, such as a startup message or
// a cancel request. These messages have no type field. Startup returns the message
// without its length field, and a BadMessage fault for an impossible length.
func (r *Reader) Startup() ([]byte, error) {
	header, err := r.buffer.Peek(headerBytes - 1)
	if err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header)
	if length < 2*(headerBytes-1) || length > maxStartupBytes {
		return nil, fault.New(code.BadMessage, "impossible length of a startup message")
	}
	p := make([]byte, length)
	if _, err := io.ReadFull(r.buffer, p); err != nil {
		return nil, errors.Wrap(err, "Reader.Startup")
	}
	return p[headerBytes-1:], nil
}
