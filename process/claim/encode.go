package claim

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/share"
)

// The bits of the first byte of an encoded claim.
const (
	partialBit = 1
	readyBit   = 2
)

// errMalformed is returned for bytes that are no claim.
var errMalformed = errors.New("malformed claim")

// GobEncode encodes the claim in a form that is a third as long as that of encoding/gob.
func (c Claim) GobEncode() ([]byte, error) {
	var bits byte
	if c.Partial {
		bits |= partialBit
	}
	if c.Ready {
		bits |= readyBit
	}
	b := binary.AppendUvarint([]byte{bits}, uint64(len(c.Host)))
	b = append(b, c.Host...)
	for _, v := range []uint64{c.Start, c.Number, c.Era, uint64(c.Echo), uint64(c.HeldMs), uint64(c.Known), uint64(c.CleanMs), uint64(c.ExtraMs), uint64(c.FreshMs)} {
		b = binary.AppendUvarint(b, v)
	}
	for _, s := range c.Shares {
		b = s.AppendClaimed(b)
	}
	return b, nil
}

// GobDecode decodes a claim. It fails if the bytes are no claim.
func (c *Claim) GobDecode(b []byte) error {
	if len(b) == 0 {
		return errMalformed
	}
	bits := b[0]
	b = b[1:]
	n, size := binary.Uvarint(b)
	if size <= 0 || n > uint64(len(b)-size) {
		return errMalformed
	}
	host, b := string(b[size:size+int(n)]), b[size+int(n):]
	var values [9]uint64
	for i := range values {
		if values[i], size = binary.Uvarint(b); size <= 0 || i > 2 && values[i] > math.MaxInt64 {
			return errMalformed
		}
		b = b[size:]
	}
	*c = Claim{
		Host: host, Start: values[0], Number: values[1], Era: values[2], Echo: time.Duration(values[3]),
		HeldMs: int64(values[4]), Known: int(values[5]), CleanMs: int64(values[6]), ExtraMs: int64(values[7]), FreshMs: int64(values[8]),
		Partial: bits&partialBit != 0, Ready: bits&readyBit != 0,
	}
	for len(b) > 0 {
		s, rest, err := share.Parse(b)
		if err != nil {
			return errors.Wrap(err, "claim")
		}
		c.Shares, b = append(c.Shares, s), rest
	}
	return nil
}
