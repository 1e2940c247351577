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
	// minCompressBytes is the size from which a message is packed, in bytes: below, the
	// table of codes costs as much as it saves.
	minCompressBytes = 200
	// maxBlockBytes is the size up to which one is, in bytes: what the code takes at once.
	maxBlockBytes = huff0.BlockSizeMax
	// maxMessageBytes is the longest message that is read, in bytes: a statement of
	// 1 MiB and what is told beside it.
	maxMessageBytes = 4 << 20
)

// ErrMalformed tells that what was read was not written by a Stream.
var ErrMalformed = errors.New("malformed frame")

// scratchPool are the tables of the code, which are used for one message at a time:
// connections are many and mostly idle.
var scratchPool = sync.Pool{New: func() any { return &huff0.Scratch{} }}

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
func (s *Stream) Write(b []byte) (int, error) {
	compressed, ok := compress(b)
	s.buf = s.buf[:0]
	if ok {
		s.buf = binary.AppendUvarint(s.buf, uint64(len(compressed))<<1|1)
		s.buf = binary.AppendUvarint(s.buf, uint64(len(b)))
		s.buf = append(s.buf, compressed...)
	} else {
		s.buf = binary.AppendUvarint(s.buf, uint64(len(b))<<1)
		s.buf = append(s.buf, b...)
	}
	if _, err := s.out.Write(s.buf); err != nil {
		return 0, errors.Wrap(err, "Stream.Write")
	}
	return len(b), nil
}

// compress packs bytes. It reports false where that saves nothing.
func compress(b []byte) ([]byte, bool) {
	if len(b) < minCompressBytes || len(b) > maxBlockBytes {
		return nil, false
	}
	scratch := scratchPool.Get().(*huff0.Scratch)
	defer scratchPool.Put(scratch)
	scratch.Reuse = huff0.ReusePolicyNone
	scratch.Out = scratch.Out[:0]
	compressed, _, err := huff0.Compress1X(b, scratch)
	if err != nil || len(compressed) >= len(b) {
		return nil, false
	}
	return append([]byte(nil), compressed...), true
}

// Read returns bytes of the frames, in order.
func (s *Stream) Read(b []byte) (int, error) {
	for len(s.rest) == 0 {
		var err error
		if s.rest, err = s.readFrame(); err != nil {
			return 0, err
		}
	}
	n := copy(b, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *Stream) readFrame() ([]byte, error) {
	header, err := binary.ReadUvarint(s.in)
	if err != nil {
		return nil, err
	}
	n := header >> 1
	if header&1 == 0 {
		return s.readBytes(n)
	}
	size, err := binary.ReadUvarint(s.in)
	if err != nil {
		return nil, errors.Wrap(err, "Stream.Read")
	}
	if size > maxBlockBytes || n > maxBlockBytes {
		return nil, ErrMalformed
	}
	compressed, err := s.readBytes(n)
	if err != nil {
		return nil, err
	}
	return decompress(compressed, int(size))
}

// readBytes reads a number of bytes.
func (s *Stream) readBytes(n uint64) ([]byte, error) {
	if n > maxMessageBytes {
		return nil, ErrMalformed
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(s.in, b); err != nil {
		return nil, errors.Wrap(err, "Stream.Read")
	}
	return b, nil
}

func decompress(compressed []byte, size int) ([]byte, error) {
	scratch := scratchPool.Get().(*huff0.Scratch)
	defer scratchPool.Put(scratch)
	scratch, codes, err := huff0.ReadTable(compressed, scratch)
	if err != nil {
		return nil, ErrMalformed
	}
	b, err := scratch.Decoder().Decompress1X(make([]byte, 0, size), codes)
	if err != nil || len(b) != size {
		return nil, ErrMalformed
	}
	return b, nil
}
