package share

import (
	"encoding/binary"
	"math"

	"github.com/go-faster/errors"
)

// unit is the precision of encoded rates and tokens. Messages hold most customers of a busy
// host twice a second, so that their size matters.
const unit = 1.0 / 1024

// The bits of the first byte of an encoded share.
const (
	waitingBit = 1
	limitedBit = 2
)

// errMalformed is returned for bytes that are no share.
var errMalformed = errors.New("malformed share")

// AppendClaimed appends the share as a part of a claim. Tokens are rounded up and lost tokens
// down, so that the coordinator never takes a host for poorer than it is.
func (s Share) AppendClaimed(b []byte) []byte {
	return s.append(b, math.Ceil)
}

// AppendAwarded appends the share as a part of an award. It is rounded down, so that a host
// never gets more than the coordinator counts.
func (s Share) AppendAwarded(b []byte) []byte {
	return s.append(b, math.Floor)
}

// append appends the share with its tokens rounded by a function.
func (s Share) append(b []byte, round func(float64) float64) []byte {
	var bits byte
	if s.Waiting > 0 {
		bits |= waitingBit
	}
	if s.Limited {
		bits |= limitedBit
	}
	b = append(b, bits)
	b = binary.AppendUvarint(b, uint64(len(s.Customer)))
	b = append(b, s.Customer...)
	for _, v := range []float64{math.Floor(s.Rate / unit), math.Floor(s.Burst / unit), round(s.Tokens / unit), math.Floor(s.Returned / unit), math.Round(s.Demand / unit)} {
		b = binary.AppendUvarint(b, uint64(max(v, 0)))
	}
	b = binary.AppendUvarint(b, uint64(max(s.LeftMs, 0)))
	if s.Waiting > 0 {
		b = binary.AppendUvarint(b, uint64(s.Waiting))
	}
	return b
}

// Parse decodes a share at the beginning of b and returns the bytes behind it.
func Parse(b []byte) (Share, []byte, error) {
	if len(b) == 0 {
		return Share{}, nil, errMalformed
	}
	waits := b[0]&waitingBit != 0
	s := Share{Limited: b[0]&limitedBit != 0}
	n, size := binary.Uvarint(b[1:])
	if size <= 0 || n > uint64(len(b)-1-size) {
		return Share{}, nil, errMalformed
	}
	b = b[1+size:]
	s.Customer, b = string(b[:n]), b[n:]
	for _, v := range []*float64{&s.Rate, &s.Burst, &s.Tokens, &s.Returned, &s.Demand} {
		n, size := binary.Uvarint(b)
		if size <= 0 {
			return Share{}, nil, errMalformed
		}
		*v, b = float64(n)*unit, b[size:]
	}
	left, size := binary.Uvarint(b)
	if size <= 0 || left > math.MaxInt64 {
		return Share{}, nil, errMalformed
	}
	s.LeftMs, b = int64(left), b[size:]
	if waits {
		waiting, size := binary.Uvarint(b)
		if size <= 0 || waiting > math.MaxInt32 {
			return Share{}, nil, errMalformed
		}
		s.Waiting, b = int(waiting), b[size:]
	}
	return s, b, nil
}
