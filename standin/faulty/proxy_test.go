package faulty_test

import (
	"io"
	"net"
	"os"
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

func TestModeOfOneClient(t *testing.T) {
	is := is.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = server.Close() }()
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := faulty.New(server.Addr().String())
	is.NoErr(err)
	defer p.Close()
	// exchange sends the first line of a client and returns the error of its echo.
	exchange := func(name string) error {
		c, err := net.Dial("tcp", p.Address())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = c.Write([]byte("START g " + name + " i-1\r\n"))
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
		_, err = c.Read(make([]byte, 1))
		return err
	}
	for _, mode := range []int{faulty.DropRequests, faulty.DropAnswers, faulty.Silent} {
		p.SetClientMode("host-1", mode)
		is.NoErr(exchange("host-2"))
		is.True(errors.Is(exchange("host-1"), os.ErrDeadlineExceeded))
	}
	for _, mode := range []int{faulty.Refuse, faulty.RefuseNew} {
		p.SetClientMode("host-1", mode)
		is.NoErr(exchange("host-2"))
		is.True(errors.Is(exchange("host-1"), syscall.ECONNRESET))
	}
	p.ClearClientModes()
	is.NoErr(exchange("host-1"))
}
