package relay

import (
	"io"

	"github.com/go-faster/errors"
)

// maxParcelBytes is the longest parcel that is accepted: a statement of 1 MiB with session values
// of several times that, which hosts send with it.
const maxParcelBytes = 16 << 20

// errParcelTooLong is returned when another host sends or announces more than maxParcelBytes for
// one parcel.
var errParcelTooLong = errors.New("parcel too long")

// guard passes on a stream of gob messages and checks the length that each announces, before the
// decoder allocates memory for it.
type guard struct {
	reader io.Reader
	// left is the number of bytes left of the present message.
	left uint64
	// lengthBytes is the number of bytes left of its length, of which length holds the first.
	lengthBytes int
	length      uint64
	// total is the number of bytes since the last call of next.
	total int
}

// next begins another parcel.
func (g *guard) next() { g.total = 0 }

// Read reads from the stream.
func (g *guard) Read(b []byte) (int, error) {
	n, err := g.reader.Read(b)
	g.total += n
	if g.total > maxParcelBytes || !g.check(b[:n]) {
		return 0, errParcelTooLong
	}
	return n, err
}

// check follows the messages in the next bytes of the stream, and reports whether all lengths are
// within the limit. A length up to 127 is one byte; before a larger one stands the negated number
// of its bytes.
func (g *guard) check(b []byte) bool {
	const maxOneByte, maxLengthBytes = 0x7f, 8
	for len(b) > 0 {
		if g.left > 0 {
			skipped := min(g.left, uint64(len(b)))
			g.left -= skipped
			b = b[skipped:]
			continue
		}
		c := b[0]
		b = b[1:]
		switch {
		case g.lengthBytes > 0:
			g.length = g.length<<8 | uint64(c)
			g.lengthBytes--
		case c <= maxOneByte:
			g.length = uint64(c)
		default:
			g.length, g.lengthBytes = 0, -int(int8(c))
			if g.lengthBytes > maxLengthBytes {
				return false
			}
		}
		if g.lengthBytes == 0 {
			if g.length > maxParcelBytes {
				return false
			}
			g.left = g.length
		}
	}
	return true
}
