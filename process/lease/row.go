package lease

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/record"
)

// stored is the value of a row of the table of leases. Fields without a comment are
// those of the Lease.
type stored struct {
	Holder string
	// Token is the fencing token, 0 for that of the row's version.
	Token      uint64
	Target     string
	Former     string `json:",omitempty"`
	FormerTerm uint64 `json:",omitempty"`
	Replaces   string `json:",omitempty"`
	Done       bool
	// AtMs is the Lease's At in milliseconds.
	AtMs     int64
	Reserves int
}

// Decode returns the lease of a group in a row of the table, or one that was never claimed
// if the row does not exist.
func Decode(group string, r record.Row) (Lease, error) {
	l := New(group)
	if r.Version == 0 || r.Gone {
		return l.WithStored(r.Stamp()), nil
	}
	var value stored
	if err := json.Unmarshal(r.Value, &value); err != nil {
		return Lease{}, errors.Wrap(err, "decode lease")
	}
	l.Holder, l.Token, l.Target, l.Done, l.At, l.Reserves = value.Holder, value.Token, value.Target, value.Done, time.Duration(value.AtMs)*time.Millisecond, value.Reserves
	l.Replaces = value.Replaces
	return l.WithFormer(value.Former, value.FormerTerm).WithStored(r.Stamp()), nil
}

// Row returns the row to store for the lease, with the version that the stored row must have.
func (l Lease) Row() (record.Row, error) {
	value, err := json.Marshal(stored{l.Holder, l.Token, l.Target, l.Former, l.FormerTerm, l.Replaces, l.Done, l.At.Milliseconds(), l.Reserves})
	if err != nil {
		return record.Row{}, errors.Wrap(err, "encode lease")
	}
	return record.New(l.Group, value).WithVersion(l.Stored.Version), nil
}
