package relay_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/huff"
	"github.com/pistachiotray/pistachiotray/connection/relay"
)

// Anybody may connect to the port for other hosts. A connection whose bytes announce more than a
// parcel may have must be closed before anything is kept for it.
func TestAnnouncedLengthIsChecked(t *testing.T) {
	for name, announced := range map[string][]byte{
		"1 GiB":            {0xfc, 0x40, 0, 0, 0},
		"17 MiB":           {0xfc, 0x01, 0x10, 0, 0},
		"more than 64 bit": {0xf0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1},
		"largest":          {0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			go relay.New(zap.NewNop(), nil, nil).Serve(l)
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = huff.New(c).Write(announced)
			is.NoErr(err)
			is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
			_, err = c.Read(make([]byte, 1))
			is.Equal(err, io.EOF)
		})
	}
}
