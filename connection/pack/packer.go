// Package pack compresses the rows of large changes of tables, which hosts pass on to many
// others.
package pack

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/flate"

	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/record"
)

const (
	// minBytes is the size of the values from which on rows are packed.
	minBytes = 4 << 10
	// maxUnpackedBytes bounds the memory that rows need when they are unpacked.
	maxUnpackedBytes = 16 << 20
)

// Packer packs rows. It keeps the last result, since the followers of a host mostly need the
// same changes. It is safe for concurrent use. The zero Packer is ready for use.
type Packer struct {
	// mu guards the fields below: the last result, and the hash of the rows that it holds.
	mu     sync.Mutex
	hash   uint64
	packed []byte
}

// Pack returns the changes without their rows, and the packed rows. If the rows are few, it
// returns the changes as they are, and nil.
func (p *Packer) Pack(news []delta.Delta) ([]delta.Delta, []byte, error) {
	size, hash := 0, xxhash.New()
	rows := make([][]record.Row, len(news))
	bare := make([]delta.Delta, len(news))
	for i, d := range news {
		// Writing to a hash never fails.
		_, _ = hash.WriteString(d.Table + "\n")
		for _, r := range d.Rows {
			size += len(r.Value)
			_, _ = hash.WriteString(r.Key + "\n")
			_, _ = hash.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, r.Era), r.Version))
		}
		rows[i], bare[i] = d.Rows, d.WithRows(nil)
	}
	if size < minBytes {
		return news, nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed == nil || p.hash != hash.Sum64() {
		packed, err := encode(rows)
		if err != nil {
			return nil, nil, errors.Wrap(err, "Packer.Pack")
		}
		p.packed, p.hash = packed, hash.Sum64()
	}
	return bare, p.packed, nil
}

// encode encodes rows and compresses them.
func encode(rows [][]record.Row) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(w).Encode(rows); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// Unpack returns the changes with their rows, the reverse of Packer.Pack. It fails if the rows
// can't be unpacked, or are not those of the changes.
func Unpack(news []delta.Delta, packed []byte) ([]delta.Delta, error) {
	if len(packed) == 0 {
		return news, nil
	}
	unpacked := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes)
	var rows [][]record.Row
	err := gob.NewDecoder(unpacked).Decode(&rows)
	if err == nil && len(rows) != len(news) {
		err = errors.Errorf("rows of %d tables, changes of %d", len(rows), len(news))
	}
	if err != nil {
		return nil, errors.Wrap(err, "Unpack")
	}
	whole := make([]delta.Delta, len(news))
	for i, d := range news {
		whole[i] = d.WithRows(rows[i])
	}
	return whole, nil
}
