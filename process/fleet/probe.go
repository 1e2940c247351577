package fleet

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/sleep"
)

func (f *Fleet) probeLoop() {
	sleep.Every(f.stop, f.probeInterval, f.probeNext)
}

// probeNext applies the expired timeouts of suspected, dead and left hosts, and
// probes the next host in the background.
func (f *Fleet) probeNext() {
	var target gossip.HostInfo
	found := false
	f.update(func(now time.Time) {
		f.swim.Tick(now)
		target, found = f.swim.NextProbe()
	})
	if found {
		go f.probe(target)
	}
}

// probe probes a host directly and, if that fails, through other hosts. If all
// of these probes fail, it marks the host as suspected.
func (f *Fleet) probe(target gossip.HostInfo) {
	if f.sendProbe(target, probeTimeout, "", "") {
		f.markAlive(target.Host)
		return
	}
	f.mu.Lock()
	helpers := f.swim.Helpers(target.Host)
	f.mu.Unlock()
	reached := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() { reached <- f.sendProbe(h, indirectTimeout, target.Host, target.Address) }()
	}
	for range helpers {
		if <-reached {
			f.markAlive(target.Host)
			return
		}
	}
	f.update(func(now time.Time) { f.swim.MarkSuspect(now, target.Host) })
}

// markAlive records that a host answered a probe, directly or to another host.
func (f *Fleet) markAlive(host string) {
	f.update(func(now time.Time) {
		f.lastHeard = now
		f.swim.MarkAlive(now, host)
	})
}

// sendProbe sends one probe to a host and merges the updates in the answer. If
// target is not empty, the probed host is asked to probe the target in turn, at
// the given address, and sendProbe reports whether the target answered. If
// target is empty, it reports whether the probed host itself answered.
func (f *Fleet) sendProbe(to gossip.HostInfo, timeout time.Duration, target, address string) bool {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	f.mu.Lock()
	updates := f.swim.NextUpdates()
	f.mu.Unlock()
	r, err := f.Client(to.Address).Probe(ctx, connect.NewRequest(&wirepb.ProbeRequest{
		From: f.self.Host, Target: target, TargetAddress: address, News: encodeHosts(updates), Version: f.versions.Newest(),
	}))
	if err != nil || (target == "" && r.Msg.GetHost() != to.Host) {
		return false
	}
	f.versions.Learn(r.Msg.GetVersion())
	f.update(func(now time.Time) {
		f.lastHeard = now
		f.swim.Merge(now, decodeHosts(r.Msg.GetNews()))
	})
	return r.Msg.GetReached()
}

// HandleProbe answers a probe. If the probe names a target other than this
// host, HandleProbe probes the target on behalf of the sender and replies
// whether the target answered.
func (f *Fleet) HandleProbe(_ context.Context, r *wirepb.ProbeRequest) *wirepb.ProbeReply {
	f.versions.Learn(r.GetVersion())
	f.update(func(now time.Time) {
		f.lastHeard = now
		f.swim.Merge(now, decodeHosts(r.GetNews()))
		f.swim.MarkAlive(now, r.GetFrom())
	})
	reached := true
	if r.GetTarget() != "" && r.GetTarget() != f.self.Host {
		reached = f.sendProbe(gossip.New(r.GetTarget(), r.GetTargetAddress(), "", 0), probeTimeout, "", "")
	}
	f.mu.Lock()
	updates := f.swim.NextUpdates()
	f.mu.Unlock()
	return &wirepb.ProbeReply{Reached: reached, News: encodeHosts(updates), Version: f.versions.Newest(), Host: f.self.Host}
}

func encodeHosts(hosts []gossip.HostInfo) []*wirepb.News {
	encoded := make([]*wirepb.News, len(hosts))
	for i, h := range hosts {
		encoded[i] = &wirepb.News{Host: h.Host, Address: h.Address, Zone: h.Zone, Incarnation: h.Incarnation, State: int32(h.State)}
	}
	return encoded
}

func decodeHosts(hosts []*wirepb.News) []gossip.HostInfo {
	decoded := make([]gossip.HostInfo, len(hosts))
	for i, h := range hosts {
		decoded[i] = gossip.New(h.GetHost(), h.GetAddress(), h.GetZone(), h.GetIncarnation()).WithState(int(h.GetState()))
	}
	return decoded
}
