// Package huff compresses the messages between hosts by Huffman coding.
package huff

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/huff0"

	"github.com/pistachiotray/pistachiotray/connection/intake"
)

const (
	// minCompressBytes is the minimum size of a message that is compressed. For a
	// shorter message, the code table costs as much as compression saves.
	minCompressBytes = 200
	// maxBlockBytes is the maximum size of a message that is compressed. It is the
	// size of the largest block that the encoder accepts.
	maxBlockBytes = huff0.BlockSizeMax
	// maxMessageBytes is the maximum size of a message that is read without
	// compression. A statement of 1 MiB and the fields that are sent with it fit in.
	maxMessageBytes = 4 << 20
	// keptBytes is the size up to which the buffer of a written frame is kept for the next one,
	// and a message is read at once.
	keptBytes = 16 << 10
	// decodingCopies is how often the bytes of a message are copied when it is decoded.
	decodingCopies = 2
)

// ErrMalformed is returned for a frame that can't be decompressed or whose length is
// above the limits.
var ErrMalformed = errors.New("malformed frame")

// scratchPool holds working memory of the encoder and decoder. Each message takes
// one Scratch for the time of its coding. A Scratch per connection would waste
// memory, since connections are many and mostly idle.
var scratchPool = sync.Pool{New: func() any { return &huff0.Scratch{} }}

// Stream writes and reads frames. A frame begins with a varint: the length of the
// message shifted left by one bit, with the lowest bit set if the message is
// compressed. In a frame with a compressed message, a second varint follows with the
// length before compression. The frame ends with the message. One goroutine may read
// while another writes.
type Stream struct {
	writer io.Writer
	reader *bufio.Reader
	// buf holds the frame that is written.
	buf []byte
	// unread is the rest of the last message read.
	unread []byte
	// intake accounts for long messages.
	intake intake.Intake
}

// WithIntake returns an option that sets what accounts for long messages.
func WithIntake(in intake.Intake) func(*Stream) {
	return func(s *Stream) { s.intake = in }
}

// New returns a Stream over conn.
func New(conn io.ReadWriter, options ...func(*Stream)) *Stream {
	s := &Stream{writer: conn, reader: bufio.NewReader(conn)}
	for _, o := range options {
		o(s)
	}
	return s
}

// Drawn returns how much memory was drawn for messages since the last call.
func (s *Stream) Drawn() int {
	return s.intake.Drawn()
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
	_, err := s.writer.Write(s.buf)
	if cap(s.buf) > keptBytes {
		s.buf = nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "Stream.Write")
	}
	return len(b), nil
}

// compress compresses bytes. It returns false if they should be sent uncompressed,
// because of their size or because compression saves nothing.
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

// Read reads the messages of the frames as one stream of bytes.
func (s *Stream) Read(b []byte) (int, error) {
	for len(s.unread) == 0 {
		var err error
		if s.unread, err = s.readFrame(); err != nil {
			return 0, err
		}
	}
	n := copy(b, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// readFrame reads one frame and returns its message, uncompressed.
func (s *Stream) readFrame() ([]byte, error) {
	header, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return nil, err
	}
	n := header >> 1
	if header&1 == 0 {
		return s.readBytes(n)
	}
	size, err := binary.ReadUvarint(s.reader)
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

// readBytes reads n bytes. It allocates memory for a long message as its bytes arrive.
func (s *Stream) readBytes(n uint64) ([]byte, error) {
	if n > maxMessageBytes {
		return nil, ErrMalformed
	}
	if n > keptBytes {
		return s.readLong(int(n))
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(s.reader, b); err != nil {
		return nil, errors.Wrap(err, "Stream.Read")
	}
	return b, nil
}

// readLong reads n bytes, which draw memory as they arrive, and then as much again for each copy
// that their decoding makes.
func (s *Stream) readLong(n int) ([]byte, error) {
	s.intake.Begin()
	defer s.intake.Finish()
	b, err := s.intake.Append(nil, s.reader, n, keptBytes)
	if err == nil {
		err = s.intake.Draw(decodingCopies * n)
	}
	if err != nil {
		return nil, errors.Wrap(err, "Stream.Read")
	}
	return b, nil
}

// decompress returns a message that had size bytes before compression.
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
