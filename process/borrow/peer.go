package borrow

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/gossip"
)

const (
	// probeAfter is how long a request may be unanswered before the lending
	// host is probed: the wait for a connection plus several times the duration
	// of a usual statement.
	probeAfter = 400 * time.Millisecond
	// probeTimeout is the maximum duration of a probe: several round trips
	// between regions.
	probeTimeout = 250 * time.Millisecond
)

// peerState is the state of the requests to another host. The Borrower's mutex
// guards it.
type peerState struct {
	// pending is the set of connections on which an answer is awaited.
	pending map[*remote.Remote]struct{}
	// lastHeard is when the host last answered, 0 if it never did.
	lastHeard time.Duration
	probing   bool
}

// askMonitored calls ask and returns its results. It probes the host if ask
// takes longer than probeAfter. After any answer, even a refusal, the host is
// no longer skipped.
func (br *Borrower) askMonitored(h gossip.HostInfo, r *remote.Remote, ask func(*remote.Remote) (bool, error)) (bool, error) {
	began := br.now()
	p := br.addPending(h.Host, r)
	timer := time.AfterFunc(probeAfter, func() { br.probeIfSilent(h, p, began) })
	used, err := ask(r)
	timer.Stop()
	br.mu.Lock()
	defer br.mu.Unlock()
	delete(p.pending, r)
	if err == nil || errors.Is(err, remote.ErrRefused) {
		p.lastHeard = br.now()
		br.skipped.Clear(h.Host)
	}
	return used, err
}

// addPending records that an answer is awaited on a connection to a host.
func (br *Borrower) addPending(host string, r *remote.Remote) *peerState {
	br.mu.Lock()
	defer br.mu.Unlock()
	p, ok := br.peers[host]
	if !ok {
		p = &peerState{pending: map[*remote.Remote]struct{}{}}
		br.peers[host] = p
	}
	p.pending[r] = struct{}{}
	return p
}

// probeIfSilent probes a host unless it has answered since the given time. If
// the host can't be reached, it is skipped, and the connections on which its
// answers are awaited are closed early enough to ask another host. This is safe
// because all requests may be repeated.
func (br *Borrower) probeIfSilent(h gossip.HostInfo, p *peerState, since time.Duration) {
	br.mu.Lock()
	if p.probing || p.lastHeard > since {
		br.mu.Unlock()
		return
	}
	p.probing = true
	br.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	r, err := br.dialer.Host(ctx, h)
	if err == nil {
		r.Close()
	}
	br.mu.Lock()
	p.probing = false
	silent := err != nil && p.lastHeard <= since
	asked := p.pending
	if silent {
		p.pending = map[*remote.Remote]struct{}{}
	}
	br.mu.Unlock()
	if !silent {
		return
	}
	br.skipHost(h.Host)
	for r := range asked {
		r.Close()
	}
}
