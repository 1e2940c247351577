package borrow

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/gossip"
)

const (
	// silentAfter is how long a host may leave a question unanswered before it
	// is probed: the wait for a connection and several times ordinary work.
	silentAfter = 400 * time.Millisecond
	// probeTimeout bounds the probe: some round trips between regions.
	probeTimeout = 250 * time.Millisecond
)

// peer is what is known of another host that is being asked.
type peer struct {
	// asked are the connections on which an answer is awaited.
	asked map[*remote.Remote]struct{}
	// heard is when the host last answered.
	heard   time.Duration
	probing bool
}

// watched asks a host and probes it where it does not answer for long.
func (a *Borrower) watched(h gossip.HostInfo, r *remote.Remote, ask func(*remote.Remote) (bool, error)) (bool, error) {
	began := a.now()
	p := a.enter(h.Host, r)
	watch := time.AfterFunc(silentAfter, func() { a.suspect(h, p, began) })
	used, err := ask(r)
	watch.Stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(p.asked, r)
	if err == nil || errors.Is(err, remote.ErrRefused) {
		p.heard = a.now()
		delete(a.bad, h.Host)
	}
	return used, err
}

func (a *Borrower) enter(host string, r *remote.Remote) *peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.peers[host]
	if !ok {
		p = &peer{asked: map[*remote.Remote]struct{}{}}
		a.peers[host] = p
	}
	p.asked[r] = struct{}{}
	return p
}

// suspect probes a host that was silent since a time. Where it can't be reached
// the questions to it end, so that another host can be asked in time: all of
// them are safe to ask twice.
func (a *Borrower) suspect(h gossip.HostInfo, p *peer, since time.Duration) {
	a.mu.Lock()
	if p.probing || p.heard > since {
		a.mu.Unlock()
		return
	}
	p.probing = true
	a.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	r, err := a.dialer.Host(ctx, h)
	if err == nil {
		r.Close()
	}
	a.mu.Lock()
	p.probing = false
	silent := err != nil && p.heard <= since
	asked := p.asked
	if silent {
		p.asked = map[*remote.Remote]struct{}{}
	}
	a.mu.Unlock()
	if !silent {
		return
	}
	a.mark(h.Host)
	for r := range asked {
		r.Close()
	}
}
