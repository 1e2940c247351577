package award

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/books"
	"github.com/pistachiotray/pistachiotray/process/share"
)

// The bits of the first byte of an encoded award.
const (
	confirmedBit = 1
	keepBit      = 2
	booksBit     = 4
)

// errMalformed is returned for bytes that are no award.
var errMalformed = errors.New("malformed award")

// GobEncode encodes the award in a form that is a third as long as that of encoding/gob.
func (a Award) GobEncode() ([]byte, error) {
	var bits byte
	if a.Confirmed {
		bits |= confirmedBit
	}
	if a.Keep {
		bits |= keepBit
	}
	if a.Books != nil {
		bits |= booksBit
	}
	b := binary.AppendUvarint([]byte{bits}, uint64(len(a.Coordinator)))
	b = append(b, a.Coordinator...)
	for _, v := range []uint64{a.Era, uint64(a.At), uint64(a.IntervalMs), uint64(a.LifetimeMs), uint64(a.AccountMs)} {
		b = binary.AppendUvarint(b, v)
	}
	if a.Books != nil {
		var err error
		if b, err = a.Books.Append(b); err != nil {
			return nil, errors.Wrap(err, "award")
		}
	}
	for _, s := range a.Shares {
		b = s.AppendAwarded(b)
	}
	return b, nil
}

// GobDecode decodes an award. It fails if the bytes are no award.
func (a *Award) GobDecode(b []byte) error {
	if len(b) == 0 {
		return errMalformed
	}
	bits := b[0]
	n, size := binary.Uvarint(b[1:])
	if size <= 0 || n > uint64(len(b)-1-size) {
		return errMalformed
	}
	b = b[1+size:]
	coordinator, b := string(b[:n]), b[n:]
	var values [5]uint64
	for i := range values {
		if values[i], size = binary.Uvarint(b); size <= 0 || i > 0 && values[i] > math.MaxInt64 {
			return errMalformed
		}
		b = b[size:]
	}
	*a = Award{
		Era: values[0], At: time.Duration(values[1]), Coordinator: coordinator, Confirmed: bits&confirmedBit != 0, Keep: bits&keepBit != 0,
		IntervalMs: int64(values[2]), LifetimeMs: int64(values[3]), AccountMs: int64(values[4]),
	}
	if bits&booksBit != 0 {
		bk, rest, err := books.Parse(b)
		if err != nil {
			return errors.Wrap(err, "award")
		}
		a.Books, b = &bk, rest
	}
	for len(b) > 0 {
		s, rest, err := share.Parse(b)
		if err != nil {
			return errors.Wrap(err, "award")
		}
		a.Shares, b = append(a.Shares, s), rest
	}
	return nil
}
