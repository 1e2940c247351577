package host

import (
	"net"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/conf"
)

// listeners are the host's listening sockets.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// newListeners listens on the host's addresses. The error lists every address
// that can't be opened; then no listener stays open.
func newListeners(s conf.Settings) (*listeners, error) {
	var errs []error
	open := func(address string) net.Listener {
		l, err := net.Listen("tcp", address)
		if err != nil {
			errs = append(errs, errors.Wrap(err, "newListeners"))
			return nil
		}
		return l
	}
	l := &listeners{callers: open(s.Listen), peers: open(s.PeerListen), operators: open(s.OperatorListen)}
	if len(errs) > 0 {
		l.close()
		return nil, errors.Join(errs...)
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
