package gate_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/gate"
)

// connect connects to a listener, and returns both ends of the connection; the far one is nil
// if the listener closed it.
func connect(t *testing.T, l net.Listener, accepted chan net.Conn) (near, far net.Conn) {
	t.Helper()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	select {
	case far = <-accepted:
		t.Cleanup(func() { _ = far.Close() })
	case <-time.After(100 * time.Millisecond):
	}
	return near, far
}

// isOpen reports whether the other end of a connection did not close it.
func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// Connections that send nothing must neither use all descriptors nor keep others out, and must
// not end those that are in use.
func TestOldestUnprovenConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := gate.New(zap.NewNop(), inner, 2)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	prove := func(c net.Conn) { c.(interface{ Prove() }).Prove() }
	used, far := connect(t, l, accepted)
	prove(far)
	silent, _ := connect(t, l, accepted)
	second, far := connect(t, l, accepted)
	is.True(far != nil)
	is.True(isOpen(used))
	is.True(!isOpen(silent))
	is.True(isOpen(second))
	prove(far)
	_, refused := connect(t, l, accepted)
	is.True(refused == nil)
	is.NoErr(far.Close())
	_, far = connect(t, l, accepted)
	is.True(far != nil)
	is.Equal(l.Closed(), int64(2))
}
