// Package host puts the parts of one host together and runs them.
package host

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/front"
	"github.com/pistachiotray/pistachiotray/connection/peer"
	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/connection/wirepb/wirepbconnect"
	"github.com/pistachiotray/pistachiotray/process/audit"
	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/process/config"
	"github.com/pistachiotray/pistachiotray/process/engine"
	"github.com/pistachiotray/pistachiotray/process/fleet"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/process/groups"
	"github.com/pistachiotray/pistachiotray/process/guard"
	"github.com/pistachiotray/pistachiotray/process/pool"
	"github.com/pistachiotray/pistachiotray/process/recent"
)

const (
	// aloneAfter is how long a host may hear no other and no store before it
	// reports itself not ready.
	aloneAfter = 3 * time.Second
	// loadEvery is the time between two readings of the list of groups.
	loadEvery = 10 * time.Second
	// loadTimeout bounds one reading of the list of groups.
	loadTimeout = 5 * time.Second
	// stopTimeout bounds the closing of connections that remain at the end.
	stopTimeout = 2 * time.Second
)

// Host is one host of pistachiotray.
type Host struct {
	settings conf.Settings
	log      *zap.Logger
	pool     *pool.Pool
	vault    *guard.Breaker
	groups   *groups.Groups
	engine   *engine.Engine
	config   *config.Config
	fleet    *fleet.Fleet
	front    *front.Front
	peer     *peer.Peer
	trail    *audit.Trail
	ring     *recent.Decisions
	keys     *secrets

	listen   *listeners
	servers  []*http.Server
	stop     chan struct{}
	done     sync.WaitGroup
	drained  sync.Once
	remained int
	draining chan struct{}
}

// Start begins to serve on the host's addresses, which are open since New.
func (h *Host) Start(ctx context.Context) {
	loading, stop := context.WithTimeout(ctx, loadTimeout)
	defer stop()
	if err := h.groups.Load(loading); err != nil {
		h.log.Warn("list of groups not available yet", zap.Error(err))
	}
	h.engine.Connect(h.fleet)
	h.serveHTTP()
	h.fleet.Start(loading)
	h.groupsOfPeers(loading)
	h.config.Start(h.bodyOfPeers)
	h.trail.Start()
	h.ownGroups()
	h.done.Go(h.loadLoop)
	h.done.Go(func() { h.front.Serve(h.listen.callers) })
	h.trail.Record("Start", "", h.settings.Summary())
}

// serveHTTP serves other hosts and operators.
func (h *Host) serveHTTP() {
	guard := connect.WithHandlerOptions(
		connect.WithInterceptors(h.keys.interceptor()),
		connect.WithCompression("gzip", nil, nil),
	)
	peers := http.NewServeMux()
	peers.Handle(wirepbconnect.NewPeerHandler(h.peer, guard))
	h.serve(h.listen.peers, peers, h.keys.peerTLS)
	operators := http.NewServeMux()
	operators.Handle(wirepbconnect.NewOperatorHandler(&commands{host: h}, guard))
	operators.Handle("/debug/vars", h.keys.guard(expvar.Handler()))
	operators.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	operators.HandleFunc("/ready", h.serveReady)
	h.serve(h.listen.operators, operators, h.keys.peerTLS)
}

func (h *Host) serve(l net.Listener, handler http.Handler, t *tls.Config) {
	const headerTimeout = 5 * time.Second
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	quiet, err := zap.NewStdLogAt(h.log, zap.DebugLevel)
	if err != nil {
		quiet = nil
	}
	s := &http.Server{ErrorLog: quiet, Handler: handler, ReadHeaderTimeout: headerTimeout, Protocols: protocols, TLSConfig: t.Clone()}
	h.servers = append(h.servers, s)
	h.done.Go(func() {
		if t != nil {
			_ = s.ServeTLS(l, "", "")
			return
		}
		_ = s.Serve(l)
	})
}

// Ready tells whether the host should get callers, and if not, why not.
func (h *Host) Ready() (bool, string) {
	select {
	case <-h.draining:
		return false, "stopping"
	default:
	}
	if len(h.groups.Names()) == 0 {
		return false, "no list of groups"
	}
	if h.fleet.Isolated(aloneAfter) && !h.vault.Up() {
		return false, "cut off from the platform and from every other host"
	}
	return true, ""
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, why := h.Ready(); !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ownGroups opens the slots of the groups that this host owns ahead of demand.
func (h *Host) ownGroups() {
	for _, name := range h.groups.Names() {
		h.engine.Activate(name)
	}
}

func (h *Host) loadLoop() {
	t := time.NewTicker(loadEvery)
	defer t.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-t.C:
			ctx, stop := context.WithTimeout(context.Background(), loadTimeout)
			if h.groups.Load(ctx) != nil {
				h.groupsOfPeers(ctx)
			}
			h.ownGroups()
			stop()
		}
	}
}

// groupsOfPeers takes the list of groups from another host where this one has
// none, as after a start while the platform is down.
func (h *Host) groupsOfPeers(ctx context.Context) {
	for _, n := range h.fleet.Hosts()[1:] {
		if len(h.groups.Names()) > 0 {
			return
		}
		if n.State != gossip.Alive {
			continue
		}
		r, err := h.fleet.Client(n.Address).Groups(ctx, connect.NewRequest(&wirepb.GroupsRequest{}))
		if err == nil && len(r.Msg.GetRows()) > 0 {
			if err := h.groups.Import(r.Msg.GetRows()); err != nil {
				h.log.Warn("list of groups of a host can't be read", zap.String("Peer", n.Host), zap.Error(err))
			}
		}
	}
}

// bodyOfPeers asks other hosts for the body of a version.
func (h *Host) bodyOfPeers(ctx context.Context, version uint64) ([]byte, bool) {
	const asked = 3
	tried := 0
	for _, n := range h.fleet.Hosts()[1:] {
		if n.State != gossip.Alive || tried == asked {
			continue
		}
		tried++
		r, err := h.fleet.Client(n.Address).Body(ctx, connect.NewRequest(&wirepb.BodyRequest{Version: version}))
		if err == nil && r.Msg.GetFound() {
			return r.Msg.GetBody(), true
		}
	}
	return nil, false
}

// RelayCancel passes a cancel request on to the host that its key names.
func (h *Host) RelayCancel(pid uint32, secret []byte) {
	for _, n := range h.fleet.Hosts()[1:] {
		if numberOf(n.Host) == uint16(pid>>16) {
			ctx, stop := context.WithTimeout(context.Background(), stopTimeout)
			defer stop()
			_, _ = h.fleet.Client(n.Address).Cancel(ctx, connect.NewRequest(&wirepb.CancelKeyRequest{Pid: pid, Secret: secret}))
		}
	}
}

// numberOf returns the number of a host in the keys of its callers. The
// highest bit is set in every key and so is none of it.
func numberOf(host string) uint16 {
	return uint16(xxhash.Sum64String(host)) | 1<<15
}

// Addresses returns where callers, peers and operators reach the host.
func (h *Host) Addresses() (callers, peers, operators string) {
	return h.listen.callers.Addr().String(), h.listen.peers.Addr().String(), h.listen.operators.Addr().String()
}

// Drain stops the host in order: it leaves the fleet, hands its groups over,
// finishes what is in progress and ends idle callers. It returns how many
// requests and callers remained when the context ended.
func (h *Host) Drain(ctx context.Context) int {
	h.drained.Do(func() {
		close(h.draining)
		h.trail.Record("Drain", "", "begun")
		h.fleet.AnnounceLeave()
		h.remained = h.front.Stop(ctx) + h.engine.Drain(ctx)
		h.trail.Record("Drain", "", "ended, remained "+utoa(uint64(h.remained)))
	})
	return h.remained
}

// Close ends the host at once.
func (h *Host) Close() {
	close(h.stop)
	h.listen.close()
	for _, s := range h.servers {
		_ = s.Close()
	}
	h.fleet.Close()
	h.engine.Close()
	h.config.Close()
	h.pool.Close()
	ctx, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()
	h.trail.Close(ctx)
	h.done.Wait()
}

// Kill ends the host as a crash would: nothing is told to anybody.
func (h *Host) Kill() {
	h.front.Abort()
	h.Close()
}

var published sync.Once

// publish shows the host's figures under /debug/vars. A process shows those
// of its first host.
func (h *Host) publish() {
	published.Do(func() { expvar.Publish("Pistachiotray", expvar.Func(func() any { return h.figures() })) })
}

// slotOptions returns the groups' options from the settings.
func groupOptions(s conf.Settings) []func(*group.Group) {
	const most = 100
	jitter := time.Duration(xxhash.Sum64String(s.Host)%most) * time.Millisecond
	return []func(*group.Group){
		group.WithGrace(s.Grace), group.WithIdleLimit(s.IdleLimit), group.WithJitter(jitter),
		group.WithHeartbeat(s.Heartbeat), group.WithLongWork(s.LongAfter, s.Aging),
	}
}

// Owner returns the host that owns a group, as far as this host knows.
func (h *Host) Owner(name string) string {
	return h.engine.Owner(name)
}

// Version returns the configuration version in force.
func (h *Host) Version() uint64 {
	return h.config.Policy().Version()
}

// Count returns a counter summed over the host's groups.
func (h *Host) Count(name string) int64 {
	var sum int64
	h.engine.Inspect(func(g *group.Group) { sum += g.Count(name) })
	return sum
}

// Switch begins a planned change of a group's primary.
func (h *Host) Switch(name, to string) bool {
	return h.engine.Switch(name, to)
}

// TrimKeys removes the idempotency keys made before a time at the groups that
// this host owns.
func (h *Host) TrimKeys(before time.Time) {
	h.engine.TrimKeys(before)
}
