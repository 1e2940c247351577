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

// Link returns the link to a host at an address. If there is none, it opens
// one. If the present link leads to another address, Link also closes that link,
// in the background.
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

// linkTo returns the link to a host at its known address, or nil if the host is
// not known.
func (f *Fleet) linkTo(host string) *link.Link {
	f.mu.Lock()
	h, ok := f.swim.Peer(host)
	f.mu.Unlock()
	if !ok {
		return nil
	}
	return f.Link(host, h.Address)
}

// Submit sends a request to a host. The answer arrives in a. If the host is not
// known, the engine is notified that the owner is lost.
func (f *Fleet) Submit(host string, c call.Call, a *answer.Answer) {
	l := f.linkTo(host)
	if l == nil {
		f.engine.OwnerLost(c.ID, false, false)
		return
	}
	l.Submit(c, a)
}

// Cancel asks a host to cancel a request. It does nothing if the host is not
// known.
func (f *Fleet) Cancel(host, id string) {
	f.send(host, &wirepb.Frame{Kind: wirepb.Frame_KIND_CANCEL, Id: id})
}

// Leave notifies a host that a session of a group was ended by its caller.
func (f *Fleet) Leave(host, group, session string) {
	f.send(host, &wirepb.Frame{Kind: wirepb.Frame_KIND_LEAVE, Id: session, Group: group})
}

// Detach notifies a host that the caller of a session lost its connection.
func (f *Fleet) Detach(host, group, session string) {
	f.send(host, &wirepb.Frame{Kind: wirepb.Frame_KIND_DETACH, Id: session, Group: group})
}

func (f *Fleet) send(host string, frame *wirepb.Frame) {
	if l := f.linkTo(host); l != nil {
		l.Send(frame)
	}
}

// Attach notifies a host that the caller of a session reconnected, and reports
// whether the session has an open transaction there. It returns false if the
// host is not known or does not answer in time.
func (f *Fleet) Attach(ctx context.Context, host, group, session string) bool {
	l := f.linkTo(host)
	return l != nil && l.Attach(ctx, group, session)
}

// CheckReach asks reachChecks hosts, preferably in other availability zones,
// whether they reach a member of a group. It calls report with each answer, and
// with false for each host that does not answer. If fewer hosts are alive, it
// calls report with false in place of each missing one. Calls of report may be
// concurrent. CheckReach blocks until the context ends.
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

// reachCheckers returns up to reachChecks hosts out of a few random live ones,
// and prefers those in other availability zones.
func (f *Fleet) reachCheckers() []gossip.HostInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	var otherZones, sameZone []gossip.HostInfo
	for _, h := range f.swim.Helpers("") {
		if h.Zone != f.self.Zone {
			otherZones = append(otherZones, h)
			continue
		}
		sameZone = append(sameZone, h)
	}
	checkers := append(otherZones, sameZone...)
	return checkers[:min(len(checkers), reachChecks)]
}

// Client returns a client for unary calls to the host at an address. Unlike
// Link, it opens no stream: a host makes unary calls to many hosts but keeps
// streams to few.
func (f *Fleet) Client(address string) wirepbconnect.PeerClient {
	return wirepbconnect.NewPeerClient(f.client, address, f.options...)
}
