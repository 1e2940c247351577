package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
)

func TestRowKeepsTheLease(t *testing.T) {
	is := is.New(t)
	l := lease.New("g").WithClaim("host-1", time.Minute).WithStored(stamp.New(1, 7)).WithReplaces("a", 2*time.Minute).WithOrder("b").WithFormer("a", 3)
	r, err := l.Row()
	is.NoErr(err)
	got, err := lease.Decode("g", r.WithEra(1))
	is.NoErr(err)
	is.Equal(got, l)
}

func TestMissingRowIsAFreeLease(t *testing.T) {
	is := is.New(t)
	l, err := lease.Decode("g", record.New("g", nil))
	is.NoErr(err)
	is.True(l.Free())
	_, err = lease.Decode("g", record.New("g", []byte("{")).WithVersion(1))
	is.True(err != nil)
}
