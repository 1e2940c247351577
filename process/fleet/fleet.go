// Package fleet tracks which other hosts are live, by probes and gossip, and
// manages the connections to them.
package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/link"
	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/process/swim"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

const (
	// probeTimeout is the time limit of a direct probe.
	probeTimeout = 150 * time.Millisecond
	// indirectTimeout is the time limit of an indirect probe, which another
	// host sends on behalf of this one, and of a probe of a seed address.
	indirectTimeout = 300 * time.Millisecond
	// defaultProbeInterval is the time between two probes. WithInterval
	// overrides it.
	defaultProbeInterval = 250 * time.Millisecond
	// reachChecks is the number of hosts that CheckReach asks whether they
	// reach a member.
	reachChecks = 2
)

// engine assigns the groups to the live hosts, and tracks the requests that
// other hosts run for this one.
type engine interface {
	// SetHosts sets the hosts that are considered live.
	SetHosts(hosts []string)
	// Refused is called when the owner of a group refused a request.
	Refused(id string, f *fault.Fault)
	// OwnerLost is called when the host that should run a request is lost. If
	// sent is true, the lost host may have received the request. begun is true
	// if a part of the answer has arrived.
	OwnerLost(id string, sent, begun bool)
	// Forget removes a request that was answered.
	Forget(id string)
}

// versions tracks the number of the newest configuration version.
type versions interface {
	// Newest returns the highest version number known at this host.
	Newest() uint64
	// Learn records a version number that another host knows.
	Learn(number uint64)
}

// hostLister reads the platform's list of hosts.
type hostLister interface {
	// Hosts returns the hosts that the platform lists.
	Hosts(ctx context.Context) ([]gossip.HostInfo, error)
}

// Fleet is the table of hosts, with the links to them. Its lock is the first in
// the lock order of the process.
type Fleet struct {
	self          gossip.HostInfo
	log           *zap.Logger
	engine        engine
	versions      versions
	hostLister    hostLister
	client        connect.HTTPClient
	options       []connect.ClientOption
	probeInterval time.Duration
	seeds         []string

	// mu protects the fields up to stop.
	mu   sync.Mutex
	swim *swim.Swim
	// links holds the links by host. addresses holds the address of each link,
	// also by host.
	links     map[string]*link.Link
	addresses map[string]string
	// live holds the live hosts. changes is the value that swim.Changes returned
	// when live was computed.
	live    []string
	changes int
	// lastHeard is the time of the last probe or answer from another host.
	// lastListed is the time of the last successful load of the platform's
	// list.
	lastHeard  time.Time
	lastListed time.Time
	bytesOut   int64

	stop  chan struct{}
	loops sync.WaitGroup
}

// WithInterval returns an option that sets the time between two probes.
func WithInterval(d time.Duration) func(*Fleet) {
	return func(f *Fleet) { f.probeInterval = d }
}

// WithClientOptions returns an option that sets the options of the RPC clients
// that call other hosts.
func WithClientOptions(options ...connect.ClientOption) func(*Fleet) {
	return func(f *Fleet) { f.options = options }
}

// WithSeeds returns an option that adds addresses of other hosts, which are
// probed while no other host is known. The scheme is "http://" or "https://".
func WithSeeds(scheme string, addresses []string) func(*Fleet) {
	return func(f *Fleet) {
		for _, a := range addresses {
			f.seeds = append(f.seeds, scheme+a)
		}
	}
}

// New returns the Fleet of the host that self describes. It knows no other host
// until Start loads the list of hosts and starts the probes.
func New(self gossip.HostInfo, log *zap.Logger, e engine, v versions, l hostLister, client connect.HTTPClient, options ...func(*Fleet)) *Fleet {
	seed := xxhash.Sum64String(self.Host)
	f := &Fleet{
		self: self, log: log, engine: e, versions: v, hostLister: l, client: client, probeInterval: defaultProbeInterval,
		swim:  swim.New(self, rand.New(rand.NewPCG(seed, self.Incarnation))),
		links: map[string]*link.Link{}, addresses: map[string]string{}, stop: make(chan struct{}),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Start loads the platform's list of hosts, probes the seeds and starts the
// periodic probes.
func (f *Fleet) Start(ctx context.Context) {
	f.mu.Lock()
	f.lastHeard = time.Now()
	f.mu.Unlock()
	f.loadHosts(ctx)
	f.probeSeeds(ctx)
	f.loops.Go(f.probeLoop)
	f.loops.Go(f.listLoop)
}

// loadHosts adds the hosts that the platform lists. The list may be out of
// date, so loadHosts never removes a host that is missing from it.
func (f *Fleet) loadHosts(ctx context.Context) {
	hosts, err := f.hostLister.Hosts(ctx)
	if err != nil {
		f.log.Debug("host list not available", zap.Error(err))
		return
	}
	f.update(func(now time.Time) {
		f.lastListed = now
		f.swim.AddListed(now, hosts)
	})
}

// update calls edit with the lock held. If a host was added or changed its
// state, or on the first call, it then passes the live hosts to the engine. It
// also abandons the requests on disconnected links to suspected hosts, and closes
// the links to dead hosts. The caller must not hold the lock.
func (f *Fleet) update(edit func(now time.Time)) {
	f.mu.Lock()
	edit(time.Now())
	changes := f.swim.Changes()
	if changes == f.changes && f.live != nil {
		f.mu.Unlock()
		return
	}
	f.changes = changes
	f.live = f.swim.Live()
	live := f.live
	disconnected, dead := f.lostLinks()
	f.mu.Unlock()
	f.log.Info("live hosts changed", zap.Strings("Hosts", live))
	f.engine.SetHosts(live)
	for _, l := range disconnected {
		l.Abandon()
	}
	for _, l := range dead {
		go l.Close()
	}
}

// lostLinks returns the disconnected links to suspected hosts, whose requests
// are to be abandoned, and the links to dead hosts, which are to be closed. It
// removes the links to dead hosts from the table. The caller holds f.mu.
func (f *Fleet) lostLinks() (disconnected, dead []*link.Link) {
	for host, l := range f.links {
		p, ok := f.swim.Peer(host)
		switch {
		case ok && p.State == gossip.Dead:
			dead = append(dead, l)
			delete(f.links, host)
		case ok && p.State == gossip.Suspect && !l.Up():
			disconnected = append(disconnected, l)
		}
	}
	return disconnected, dead
}

// probeSeeds probes one seed address after the other until another host is
// known. The answer contains the name of the host at the address.
func (f *Fleet) probeSeeds(ctx context.Context) {
	for _, address := range f.seeds {
		if len(f.Hosts()) > 1 {
			return
		}
		probeCtx, stop := context.WithTimeout(ctx, indirectTimeout)
		r, err := f.Client(address).Probe(probeCtx, connect.NewRequest(&wirepb.ProbeRequest{From: f.self.Host, News: encodeHosts([]gossip.HostInfo{f.self})}))
		stop()
		if err != nil || r.Msg.GetHost() == f.self.Host {
			continue
		}
		f.update(func(now time.Time) {
			f.swim.AddListed(now, []gossip.HostInfo{gossip.New(r.Msg.GetHost(), address, "", 0)})
			f.swim.Merge(now, decodeHosts(r.Msg.GetNews()))
		})
	}
}

// listLoop periodically reloads the platform's list and, while no other host is
// known, probes the seeds.
func (f *Fleet) listLoop() {
	const interval = 5 * time.Second
	sleep.Every(f.stop, interval, func() {
		ctx, stop := context.WithTimeout(context.Background(), interval)
		defer stop()
		f.loadHosts(ctx)
		f.probeSeeds(ctx)
	})
}

// Hosts returns the info of all known hosts: this one first, the others sorted
// by name.
func (f *Fleet) Hosts() []gossip.HostInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.swim.Hosts()
}

// Suspicions returns how many times this host suspected another one because its
// own probes failed.
func (f *Fleet) Suspicions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.swim.Suspicions()
}

// Isolated reports whether this host knows other hosts but has not heard from
// any of them for longer than d.
func (f *Fleet) Isolated(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.swim.Hosts()) > 1 && time.Since(f.lastHeard) > d
}

// AnnounceLeave marks this host as leaving. It then probes each alive host, one
// after the other, because each probe carries this host's new state.
func (f *Fleet) AnnounceLeave() {
	f.update(func(time.Time) { f.swim.Leave() })
	for _, h := range f.Hosts()[1:] {
		if h.State == gossip.Alive {
			f.sendProbe(h, probeTimeout, "", "")
		}
	}
}

// Close stops the periodic probes and closes the links. It must not be called
// twice.
func (f *Fleet) Close() {
	close(f.stop)
	f.loops.Wait()
	f.mu.Lock()
	links := f.links
	f.links = map[string]*link.Link{}
	f.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}
