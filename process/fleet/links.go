package fleet

import (
	"context"

	"connectrpc.com/connect"

	"github.com/pistachiotray/pistachiotray/connection/link"
	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/connection/wirepb/wirepbconnect"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/call"
)

// Link returns the link to a host. It opens a new one on first use and when the
// host's address has changed.
func (f *Fleet) Link(host, address string) *link.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, ok := f.links[host]; ok && f.addresses[host] == address {
		return l
	}
	if old, ok := f.links[host]; ok {
		go old.Close()
	}
	l := link.New(host, address, f.client, f.log, f.engine, f.options...)
	f.links[host] = l
	f.addresses[host] = address
	return l
}

// linkTo returns the link to a host, or nil if the host is not known.
func (f *Fleet) linkTo(host string) *link.Link {
	f.mu.Lock()
	h, ok := f.swim.Peer(host)
	f.mu.Unlock()
	if !ok {
		return nil
	}
	return f.Link(host, h.Address)
}

// Submit sends a request to a host.
func (f *Fleet) Submit(host string, c call.Call, a *answer.Answer) {
	l := f.linkTo(host)
	if l == nil {
		f.engine.OwnerLost(c.ID, false, false)
		return
	}
	l.Submit(c, a)
}

// Cancel asks a host to cancel a request.
func (f *Fleet) Cancel(host, id string) {
	f.send(host, &wirepb.Frame{Kind: wirepb.Frame_KIND_CANCEL, Id: id})
}

// Leave notifies a host that the caller ended a session.
func (f *Fleet) Leave(host, group, session string) {
	f.send(host, &wirepb.Frame{Kind: wirepb.Frame_KIND_LEAVE, Id: session, Group: group})
}

// Detach notifies a host that a session lost its connection.
func (f *Fleet) Detach(host, group, session string) {
	f.send(host, &wirepb.Frame{Kind: wirepb.Frame_KIND_DETACH, Id: session, Group: group})
}

func (f *Fleet) send(host string, frame *wirepb.Frame) {
	if l := f.linkTo(host); l != nil {
		l.Send(frame)
	}
}

// Attach notifies a host that a session reconnected, and reports whether the
// session has an open transaction there.
func (f *Fleet) Attach(ctx context.Context, host, group, session string) bool {
	l := f.linkTo(host)
	return l != nil && l.Attach(ctx, group, session)
}

// CheckReach asks two hosts, preferably in other availability zones, whether they
// reach a member, and calls report for each. A host that is missing or does not
// answer counts as not reaching the member.
func (f *Fleet) CheckReach(ctx context.Context, group, member string, report func(reached bool)) {
	checkers := f.reachCheckers()
	for range reachChecks - len(checkers) {
		report(false)
	}
	for _, h := range checkers {
		go func() {
			r, err := f.Client(h.Address).Sight(ctx, connect.NewRequest(&wirepb.SightRequest{Group: group, Member: member}))
			report(err == nil && r.Msg.GetReached())
		}()
	}
	<-ctx.Done()
}

// reachCheckers returns up to reachChecks random live hosts, those in other
// availability zones first.
func (f *Fleet) reachCheckers() []gossip.HostInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	var elsewhere, same []gossip.HostInfo
	for _, h := range f.swim.Helpers("") {
		if h.Zone != f.self.Zone {
			elsewhere = append(elsewhere, h)
			continue
		}
		same = append(same, h)
	}
	all := append(elsewhere, same...)
	return all[:min(len(all), reachChecks)]
}

// Client returns a client for unary calls to a host. It opens no stream: a host
// calls many others but has streams to few.
func (f *Fleet) Client(address string) wirepbconnect.PeerClient {
	return wirepbconnect.NewPeerClient(f.client, address, f.options...)
}
