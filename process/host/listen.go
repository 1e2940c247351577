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

// newListeners listens on the addresses of the settings. If one of them fails,
// it closes all listeners and returns an error that lists every failed address.
func newListeners(s conf.Settings) (*listeners, error) {
	var errs []error
	open := func(address string) net.Listener {
		l, err := net.Listen("tcp", address)
		if err != nil {
			errs = append(errs, errors.Wrap(err, "open a listener"))
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
