package faulty_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/standin/faulty"
)

func TestConnectionAttempts(t *testing.T) {
	is := is.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = server.Close() }()
	p, err := faulty.New(server.Addr().String())
	is.NoErr(err)
	defer p.Close()
	dial := func() error {
		c, err := net.DialTimeout("tcp", p.Address(), 200*time.Millisecond)
		if err == nil {
			_ = c.Close()
		}
		return err
	}
	for range 3 {
		is.NoErr(dial())
		p.SetMode(faulty.Refuse)
		is.True(errors.Is(dial(), syscall.ECONNREFUSED))
		p.SetMode(faulty.Silent)
		var timeout net.Error
		is.True(errors.As(dial(), &timeout) && timeout.Timeout())
		p.SetMode(faulty.Forward)
	}
}
