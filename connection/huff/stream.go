// Package huff compresses the messages between hosts with a Huffman code.
package huff

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/huff0"
)

const (
	// least is the size from which a message is packed, in bytes: below, the
	// table of codes costs as much as it saves.
	least = 200
	// most is the size up to which one is, in bytes: what the code takes at once.
	most = huff0.BlockSizeMax
	// longest is the longest message that is read, in bytes: a statement of
	// 1 MiB and what is told beside it.
	longest = 4 << 20
)

// ErrMalformed tells that what was read was not written by a Stream.
var ErrMalformed = errors.New("malformed frame")

// scratches are the tables of the code, which are used for one message at a time:
// connections are many and mostly idle.
var scratches = sync.Pool{New: func() any { return &huff0.Scratch{} }}

// Stream writes and reads frames: the length of the message, twice plus one where
// it is packed, the length before packing, and the message. One goroutine reads
// and one writes at a time.
type Stream struct {
	out  io.Writer
	in   *bufio.Reader
	buf  []byte
	rest []byte
}

// New returns a Stream over conn.
func New(conn io.ReadWriter) *Stream {
	return &Stream{out: conn, in: bufio.NewReader(conn)}
}

// Write sends bytes as one frame.
func (p *Stream) Write(b []byte) (int, error) {
	packed, ok := squeeze(b)
	p.buf = p.buf[:0]
	if ok {
		p.buf = binary.AppendUvarint(p.buf, uint64(len(packed))<<1|1)
		p.buf = binary.AppendUvarint(p.buf, uint64(len(b)))
		p.buf = append(p.buf, packed...)
	} else {
		p.buf = binary.AppendUvarint(p.buf, uint64(len(b))<<1)
		p.buf = append(p.buf, b...)
	}
	if _, err := p.out.Write(p.buf); err != nil {
		return 0, errors.Wrap(err, "Stream.Write")
	}
	return len(b), nil
}

// squeeze packs bytes. It reports false where that saves nothing.
func squeeze(b []byte) ([]byte, bool) {
	if len(b) < least || len(b) > most {
		return nil, false
	}
	s := scratches.Get().(*huff0.Scratch)
	defer scratches.Put(s)
	s.Reuse = huff0.ReusePolicyNone
	s.Out = s.Out[:0]
	packed, _, err := huff0.Compress1X(b, s)
	if err != nil || len(packed) >= len(b) {
		return nil, false
	}
	return append([]byte(nil), packed...), true
}

// Read returns bytes of the frames, in order.
func (p *Stream) Read(b []byte) (int, error) {
	for len(p.rest) == 0 {
		var err error
		if p.rest, err = p.frame(); err != nil {
			return 0, err
		}
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

func (p *Stream) frame() ([]byte, error) {
	head, err := binary.ReadUvarint(p.in)
	if err != nil {
		return nil, err
	}
	size := head >> 1
	if head&1 == 0 {
		return p.bytes(size)
	}
	whole, err := binary.ReadUvarint(p.in)
	if err != nil {
		return nil, errors.Wrap(err, "Stream.Read")
	}
	if whole > most || size > most {
		return nil, ErrMalformed
	}
	packed, err := p.bytes(size)
	if err != nil {
		return nil, err
	}
	return unpack(packed, int(whole))
}

// bytes reads a number of bytes.
func (p *Stream) bytes(size uint64) ([]byte, error) {
	if size > longest {
		return nil, ErrMalformed
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(p.in, b); err != nil {
		return nil, errors.Wrap(err, "Stream.Read")
	}
	return b, nil
}

func unpack(packed []byte, whole int) ([]byte, error) {
	s := scratches.Get().(*huff0.Scratch)
	defer scratches.Put(s)
	s, codes, err := huff0.ReadTable(packed, s)
	if err != nil {
		return nil, ErrMalformed
	}
	b, err := s.Decoder().Decompress1X(make([]byte, 0, whole), codes)
	if err != nil || len(b) != whole {
		return nil, ErrMalformed
	}
	return b, nil
}
