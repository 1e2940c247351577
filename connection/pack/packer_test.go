package pack_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/pack"
	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
)

// configuration returns a configuration with a number of routes.
func configuration(routes int) []byte {
	var text []byte
	for i := range routes {
		text = fmt.Appendf(text, `{"Name":"r-%d","DatabaseName":"%x","RouteKind":"bounded_staleness","TimeoutMs":3000,"TargetLatencyMs":1200},`, i, i*7919)
	}
	return text
}

func news(version uint64, value []byte) []delta.Delta {
	row := record.New("config", value).WithVersion(version).WithEra(1)
	return []delta.Delta{
		delta.New("hosts", nil, stamp.New(1, version)),
		delta.New("op", []record.Row{row}, stamp.New(1, version)).WithAge(7),
	}
}

func TestLargeRowsArePackedAndComeBackWhole(t *testing.T) {
	is := is.New(t)
	var p pack.Packer
	for version := range uint64(3) {
		sent := news(version+1, configuration(1400+int(version)))
		bare, packed, err := p.Pack(sent)
		is.NoErr(err)
		is.True(len(packed) > 0 && len(packed) < len(sent[1].Rows[0].Value)/5)
		is.Equal(len(bare[1].Rows), 0)
		is.Equal(len(sent[1].Rows), 1)
		got, err := pack.Unpack(bare, packed)
		is.NoErr(err)
		is.Equal(got, sent)
	}
}

func TestSmallRowsAreNotPacked(t *testing.T) {
	is := is.New(t)
	var p pack.Packer
	sent := news(1, configuration(3))
	plain, packed, err := p.Pack(sent)
	is.NoErr(err)
	is.Equal(len(packed), 0)
	got, err := pack.Unpack(plain, packed)
	is.NoErr(err)
	is.Equal(got, sent)
}

// FuzzUnpack feeds bytes of another host to Unpack, which must neither panic nor need memory
// without bounds.
func FuzzUnpack(f *testing.F) {
	var p pack.Packer
	sent := news(1, configuration(100))
	bare, packed, err := p.Pack(sent)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add(packed[:len(packed)/2])
	f.Add([]byte("no rows"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := pack.Unpack(bare, data)
		if err == nil && len(got) != len(bare) {
			t.Errorf("%d changes, want %d", len(got), len(bare))
		}
	})
}
