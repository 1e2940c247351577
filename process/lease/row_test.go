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

// FuzzDecode feeds rows of other writers to Decode, which must not panic.
func FuzzDecode(f *testing.F) {
	r, err := lease.New("g").WithClaim("host-1", time.Minute).WithOrder("b").Row()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(r.Value)
	f.Add([]byte(`{"Holder":7,"Token":1e30}`))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, value []byte) {
		l, err := lease.Decode("g", record.New("g", value).WithVersion(1))
		if err == nil && l.Group != "g" {
			t.Errorf("lease of the group %q", l.Group)
		}
	})
}
