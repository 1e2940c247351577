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

// Link returns the link to a host, made on first use or where its address
// changed.
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

// to returns the link to a known host, or nil.
func (f *Fleet) to(host string) *link.Link {
	f.mu.Lock()
	n, ok := f.swim.Peer(host)
	f.mu.Unlock()
	if !ok {
		return nil
	}
	return f.Link(host, n.Address)
}

// Submit sends a request to a host.
func (f *Fleet) Submit(host string, c call.Call, a *answer.Answer) {
	l := f.to(host)
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

// Leave tells a host that a session ended on purpose.
func (f *Fleet) Leave(host, group, session string) {
	f.send(host, &wirepb.Frame{Kind: wirepb.Frame_KIND_LEAVE, Id: session, Group: group})
}

// Detach tells a host that a session lost its connection.
func (f *Fleet) Detach(host, group, session string) {
	f.send(host, &wirepb.Frame{Kind: wirepb.Frame_KIND_DETACH, Id: session, Group: group})
}

func (f *Fleet) send(host string, frame *wirepb.Frame) {
	if l := f.to(host); l != nil {
		l.Send(frame)
	}
}

// Attach asks a host whether a session has an open transaction there.
func (f *Fleet) Attach(ctx context.Context, host, group, session string) bool {
	l := f.to(host)
	return l != nil && l.Attach(ctx, group, session)
}

// CheckReach asks two hosts, those in other availability zones first, whether they
// reach a member. A host that is missing or silent counts as not reaching it.
func (f *Fleet) CheckReach(ctx context.Context, group, member string, tell func(reached bool)) {
	asked := f.witnesses()
	for range opinions - len(asked) {
		tell(false)
	}
	for _, n := range asked {
		go func() {
			r, err := f.Client(n.Address).Sight(ctx, connect.NewRequest(&wirepb.SightRequest{Group: group, Member: member}))
			tell(err == nil && r.Msg.GetReached())
		}()
	}
	<-ctx.Done()
}

func (f *Fleet) witnesses() []gossip.HostInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	var elsewhere, same []gossip.HostInfo
	for _, n := range f.swim.Helpers("") {
		if n.Zone != f.self.Zone {
			elsewhere = append(elsewhere, n)
			continue
		}
		same = append(same, n)
	}
	all := append(elsewhere, same...)
	return all[:min(len(all), opinions)]
}

// Client returns a client for single questions to a host. It makes no stream:
// a host asks many others and has streams to few.
func (f *Fleet) Client(address string) wirepbconnect.PeerClient {
	return wirepbconnect.NewPeerClient(f.client, address, f.options...)
}
