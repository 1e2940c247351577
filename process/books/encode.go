package books

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/share"
)

// errMalformed is returned for bytes that are no books.
var errMalformed = errors.New("malformed books")

// Append appends the encoded books to b.
func (b Books) Append(buf []byte) ([]byte, error) {
	buf = binary.AppendUvarint(buf, b.Era)
	buf = binary.AppendUvarint(buf, uint64(b.At))
	buf = binary.AppendUvarint(buf, uint64(len(b.Claims)))
	for _, c := range b.Claims {
		encoded, err := c.GobEncode()
		if err != nil {
			return nil, errors.Wrap(err, "books")
		}
		buf = binary.AppendUvarint(buf, uint64(len(encoded)))
		buf = append(buf, encoded...)
	}
	buf = binary.AppendUvarint(buf, uint64(len(b.Free)))
	for _, s := range b.Free {
		// Rounded down, so that the next coordinator never has more than this one.
		buf = s.AppendAwarded(buf)
	}
	return buf, nil
}

// Parse decodes books at the beginning of buf and returns the bytes behind them.
func Parse(buf []byte) (Books, []byte, error) {
	var b Books
	var at, claims, free uint64
	for i, v := range []*uint64{&b.Era, &at, &claims} {
		size := 0
		if *v, size = binary.Uvarint(buf); size <= 0 || i == 1 && *v > math.MaxInt64 {
			return Books{}, nil, errMalformed
		}
		buf = buf[size:]
	}
	b.At = time.Duration(at)
	for range claims {
		n, size := binary.Uvarint(buf)
		if size <= 0 || n > uint64(len(buf)-size) {
			return Books{}, nil, errMalformed
		}
		var c claim.Claim
		if err := c.GobDecode(buf[size : size+int(n)]); err != nil {
			return Books{}, nil, errors.Wrap(err, "books")
		}
		b.Claims, buf = append(b.Claims, c), buf[size+int(n):]
	}
	free, size := binary.Uvarint(buf)
	if size <= 0 {
		return Books{}, nil, errMalformed
	}
	buf = buf[size:]
	for range free {
		s, rest, err := share.Parse(buf)
		if err != nil {
			return Books{}, nil, errors.Wrap(err, "books")
		}
		b.Free, buf = append(b.Free, s), rest
	}
	return b, buf, nil
}
