package host

import (
	"net"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/conf"
)

// listeners are the host's open addresses.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// newListeners opens the host's addresses. The error lists every one that
// can't be opened; none stays open then.
func newListeners(s conf.Settings) (*listeners, error) {
	var found []error
	open := func(address string) net.Listener {
		l, err := net.Listen("tcp", address)
		if err != nil {
			found = append(found, errors.Wrap(err, "newListeners"))
			return nil
		}
		return l
	}
	l := &listeners{callers: open(s.Listen), peers: open(s.PeerListen), operators: open(s.OperatorListen)}
	if len(found) > 0 {
		l.close()
		return nil, errors.Join(found...)
	}
	return l, nil
}

func (l *listeners) close() {
	for _, one := range []net.Listener{l.callers, l.peers, l.operators} {
		if one != nil {
			_ = one.Close()
		}
	}
}
