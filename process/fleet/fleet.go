// Package fleet keeps this host's view of the other hosts and its links to
// them.
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
	"github.com/pistachiotray/pistachiotray/process/swim"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

const (
	// probeTimeout bounds the wait for a probed host.
	probeTimeout = 150 * time.Millisecond
	// helpTimeout bounds the wait for hosts that probe on this one's behalf.
	helpTimeout = 300 * time.Millisecond
	// defaultInterval is the time between two probes.
	defaultInterval = 250 * time.Millisecond
	// opinions is how many hosts are asked whether they reach a member.
	opinions = 2
)

// engine owns groups over the hosts that are believed live.
type engine interface {
	// SetHosts takes the hosts that are believed live.
	SetHosts(hosts []string)
	// Refused tells that an owner refused a request.
	Refused(id string, f *fault.Fault)
	// OwnerLost tells that an owner is gone.
	OwnerLost(id string, sent, begun bool)
	// Forget tells that a request was answered.
	Forget(id string)
}

// versions follows the number of the newest configuration.
type versions interface {
	// Newest returns the newest number known here.
	Newest() uint64
	// Learn takes a number that another host knows.
	Learn(number uint64)
}

// lister gives the platform's list of hosts.
type lister interface {
	// Hosts returns the hosts that the platform lists.
	Hosts(ctx context.Context) ([]gossip.HostInfo, error)
}

// Fleet is the table of hosts: the first lock in the lock order.
type Fleet struct {
	self     gossip.HostInfo
	log      *zap.Logger
	engine   engine
	versions versions
	lister   lister
	client   connect.HTTPClient
	options  []connect.ClientOption
	interval time.Duration
	seeds    []string

	mu        sync.Mutex
	swim      *swim.Swim
	links     map[string]*link.Link
	addresses map[string]string
	live      []string
	changes   int
	heard     time.Time
	listed    time.Time
	bytesOut  int64

	stop chan struct{}
	done sync.WaitGroup
}

// WithInterval returns an option that sets the time between two probes.
func WithInterval(d time.Duration) func(*Fleet) {
	return func(f *Fleet) { f.interval = d }
}

// WithClientOptions returns an option that sets options of the peers' clients.
func WithClientOptions(options ...connect.ClientOption) func(*Fleet) {
	return func(f *Fleet) { f.options = options }
}

// WithSeeds returns an option that names addresses of other hosts, which are
// asked while no other host is known.
func WithSeeds(scheme string, addresses []string) func(*Fleet) {
	return func(f *Fleet) {
		for _, a := range addresses {
			f.seeds = append(f.seeds, scheme+a)
		}
	}
}

// New returns the fleet as the host self sees it. Start begins the probes.
func New(self gossip.HostInfo, log *zap.Logger, e engine, v versions, l lister, client connect.HTTPClient, options ...func(*Fleet)) *Fleet {
	seed := xxhash.Sum64String(self.Host)
	f := &Fleet{
		self: self, log: log, engine: e, versions: v, lister: l, client: client, interval: defaultInterval,
		swim:  swim.New(self, rand.New(rand.NewPCG(seed, self.Incarnation))),
		links: map[string]*link.Link{}, addresses: map[string]string{}, stop: make(chan struct{}),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Start takes the platform's list and begins the probes.
func (f *Fleet) Start(ctx context.Context) {
	f.mu.Lock()
	f.heard = time.Now()
	f.mu.Unlock()
	f.relist(ctx)
	f.sow(ctx)
	f.done.Go(f.probeLoop)
	f.done.Go(f.listLoop)
}

// relist takes the platform's list of hosts, which is late at times.
func (f *Fleet) relist(ctx context.Context) {
	hosts, err := f.lister.Hosts(ctx)
	if err != nil {
		f.log.Debug("host list not available", zap.Error(err))
		return
	}
	f.change(func(now time.Time) {
		f.listed = now
		f.swim.AddListed(now, hosts)
	})
}

// change runs g on the view and tells the engine where the live hosts changed.
func (f *Fleet) change(g func(now time.Time)) {
	f.mu.Lock()
	g(time.Now())
	changes := f.swim.Changes()
	if changes == f.changes && f.live != nil {
		f.mu.Unlock()
		return
	}
	f.changes = changes
	f.live = f.swim.Live()
	live := f.live
	broken, dead := f.gone()
	f.mu.Unlock()
	f.log.Info("live hosts changed", zap.Strings("Hosts", live))
	f.engine.SetHosts(live)
	for _, l := range broken {
		l.Abandon()
	}
	for _, l := range dead {
		go l.Close()
	}
}

// gone returns the links to hosts that are not believed live: the broken ones
// of suspected hosts, whose requests are given up, and all of dead ones, which
// are closed.
func (f *Fleet) gone() (broken, dead []*link.Link) {
	for host, l := range f.links {
		p, ok := f.swim.Peer(host)
		switch {
		case ok && p.State == gossip.Dead:
			dead = append(dead, l)
			delete(f.links, host)
		case ok && p.State == gossip.Suspect && !l.Up():
			broken = append(broken, l)
		}
	}
	return broken, dead
}

// sow asks the seeds who they are, as long as no other host is known.
func (f *Fleet) sow(ctx context.Context) {
	for _, address := range f.seeds {
		if len(f.Hosts()) > 1 {
			return
		}
		asked, stop := context.WithTimeout(ctx, helpTimeout)
		r, err := f.Client(address).Probe(asked, connect.NewRequest(&wirepb.ProbeRequest{From: f.self.Host, News: encode([]gossip.HostInfo{f.self})}))
		stop()
		if err != nil || r.Msg.GetHost() == f.self.Host {
			continue
		}
		f.change(func(now time.Time) {
			f.swim.AddListed(now, []gossip.HostInfo{gossip.New(r.Msg.GetHost(), address, "", 0)})
			f.swim.Merge(now, decode(r.Msg.GetNews()))
		})
	}
}

func (f *Fleet) listLoop() {
	const every = 5 * time.Second
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
			ctx, stop := context.WithTimeout(context.Background(), every)
			f.relist(ctx)
			f.sow(ctx)
			stop()
		}
	}
}

func (f *Fleet) probeLoop() {
	t := time.NewTicker(f.interval)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
			f.probeNext()
		}
	}
}

func (f *Fleet) probeNext() {
	var target gossip.HostInfo
	found := false
	f.change(func(now time.Time) {
		f.swim.Tick(now)
		target, found = f.swim.NextProbe()
	})
	if found {
		go f.probe(target)
	}
}

func (f *Fleet) probe(target gossip.HostInfo) {
	if f.ask(target, probeTimeout, "", "") {
		f.answered(target.Host)
		return
	}
	f.mu.Lock()
	helpers := f.swim.Helpers(target.Host)
	f.mu.Unlock()
	reached := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() { reached <- f.ask(h, helpTimeout, target.Host, target.Address) }()
	}
	for range helpers {
		if <-reached {
			f.answered(target.Host)
			return
		}
	}
	f.change(func(now time.Time) { f.swim.MarkSuspect(now, target.Host) })
}

func (f *Fleet) answered(host string) {
	f.change(func(now time.Time) {
		f.heard = now
		f.swim.MarkAlive(now, host)
	})
}

// ask sends one probe and takes the news that comes back.
func (f *Fleet) ask(to gossip.HostInfo, timeout time.Duration, target, address string) bool {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	f.mu.Lock()
	given := f.swim.NextUpdates()
	f.mu.Unlock()
	r, err := f.Client(to.Address).Probe(ctx, connect.NewRequest(&wirepb.ProbeRequest{
		From: f.self.Host, Target: target, TargetAddress: address, News: encode(given), Version: f.versions.Newest(),
	}))
	if err != nil || (target == "" && r.Msg.GetHost() != to.Host) {
		return false
	}
	f.versions.Learn(r.Msg.GetVersion())
	f.change(func(now time.Time) {
		f.heard = now
		f.swim.Merge(now, decode(r.Msg.GetNews()))
	})
	return r.Msg.GetReached()
}

// HandleProbe answers a probe, on another host's behalf where it asks for that.
func (f *Fleet) HandleProbe(_ context.Context, r *wirepb.ProbeRequest) *wirepb.ProbeReply {
	f.versions.Learn(r.GetVersion())
	f.change(func(now time.Time) {
		f.heard = now
		f.swim.Merge(now, decode(r.GetNews()))
		f.swim.MarkAlive(now, r.GetFrom())
	})
	reached := true
	if r.GetTarget() != "" && r.GetTarget() != f.self.Host {
		reached = f.ask(gossip.New(r.GetTarget(), r.GetTargetAddress(), "", 0), probeTimeout, "", "")
	}
	f.mu.Lock()
	given := f.swim.NextUpdates()
	f.mu.Unlock()
	return &wirepb.ProbeReply{Reached: reached, News: encode(given), Version: f.versions.Newest(), Host: f.self.Host}
}

func encode(all []gossip.HostInfo) []*wirepb.News {
	out := make([]*wirepb.News, len(all))
	for i, n := range all {
		out[i] = &wirepb.News{Host: n.Host, Address: n.Address, Zone: n.Zone, Incarnation: n.Incarnation, State: int32(n.State)}
	}
	return out
}

func decode(all []*wirepb.News) []gossip.HostInfo {
	out := make([]gossip.HostInfo, len(all))
	for i, n := range all {
		out[i] = gossip.New(n.GetHost(), n.GetAddress(), n.GetZone(), n.GetIncarnation()).WithState(int(n.GetState()))
	}
	return out
}

// Hosts returns what is known of all hosts, this one first.
func (f *Fleet) Hosts() []gossip.HostInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.swim.Hosts()
}

// Suspicions returns how often this host suspected another.
func (f *Fleet) Suspicions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.swim.Suspicions()
}

// Isolated tells whether no other host was heard within d although others are
// known.
func (f *Fleet) Isolated(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.swim.Hosts()) > 1 && time.Since(f.heard) > d
}

// AnnounceLeave tells the others that this host leaves.
func (f *Fleet) AnnounceLeave() {
	f.change(func(time.Time) { f.swim.Leave() })
	for _, n := range f.Hosts()[1:] {
		if n.State == gossip.Alive {
			f.ask(n, probeTimeout, "", "")
		}
	}
}

// Close ends the probes and the links.
func (f *Fleet) Close() {
	close(f.stop)
	f.done.Wait()
	f.mu.Lock()
	links := f.links
	f.links = map[string]*link.Link{}
	f.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}
