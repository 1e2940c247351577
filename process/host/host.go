// Package host assembles the parts of one host and runs them.
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
	// isolationTimeout is how long a host may hear from no other host, while the
	// platform is down, before it reports itself not ready.
	isolationTimeout = 3 * time.Second
	// loadInterval is the time between two reloads of the list of groups.
	loadInterval = 10 * time.Second
	// loadTimeout is the longest time that one load of the list of groups may
	// take.
	loadTimeout = 5 * time.Second
	// stopTimeout is the longest time that writing the rest of the audit trail at
	// the end, or the relay of a cancel request, may take.
	stopTimeout = 2 * time.Second
)

// Host is one running host of pistachiotray.
type Host struct {
	settings  conf.Settings
	log       *zap.Logger
	pool      *pool.Pool
	platform  *guard.Breaker
	groups    *groups.Groups
	engine    *engine.Engine
	config    *config.Config
	fleet     *fleet.Fleet
	front     *front.Front
	peer      *peer.Peer
	trail     *audit.Trail
	decisions *recent.Decisions
	secrets   *secrets

	listeners *listeners
	servers   []*http.Server
	stop      chan struct{}
	running   sync.WaitGroup
	drainOnce sync.Once
	remained  int
	draining  chan struct{}
}

// Start starts to serve on the host's addresses, which New has opened.
func (h *Host) Start(ctx context.Context) {
	loading, stop := context.WithTimeout(ctx, loadTimeout)
	defer stop()
	if err := h.groups.Load(loading); err != nil {
		h.log.Warn("list of groups not available yet", zap.Error(err))
	}
	h.engine.Connect(h.fleet)
	h.serveHTTP()
	h.fleet.Start(loading)
	h.importGroups(loading)
	h.config.Start(h.fetchBody)
	h.trail.Start()
	h.activateGroups()
	h.running.Go(h.loadLoop)
	h.running.Go(func() { h.front.Serve(h.listeners.callers) })
	h.trail.Record("Start", "", h.settings.Summary())
}

// serveHTTP serves other hosts and operators on their addresses.
func (h *Host) serveHTTP() {
	options := connect.WithHandlerOptions(
		connect.WithInterceptors(h.secrets.interceptor()),
		connect.WithCompression("gzip", nil, nil),
	)
	peers := http.NewServeMux()
	peers.Handle(wirepbconnect.NewPeerHandler(h.peer, options))
	h.serve(h.listeners.peers, peers, h.secrets.peerTLS)
	operators := http.NewServeMux()
	operators.Handle(wirepbconnect.NewOperatorHandler(&commands{host: h}, options))
	operators.Handle("/debug/vars", h.secrets.requireKey(expvar.Handler()))
	operators.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	operators.HandleFunc("/ready", h.serveReady)
	h.serve(h.listeners.operators, operators, h.secrets.peerTLS)
}

// serve serves a handler on a listener, with TLS if t is not nil.
func (h *Host) serve(l net.Listener, handler http.Handler, t *tls.Config) {
	const headerTimeout = 5 * time.Second
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	errorLog, err := zap.NewStdLogAt(h.log, zap.DebugLevel)
	if err != nil {
		errorLog = nil
	}
	s := &http.Server{ErrorLog: errorLog, Handler: handler, ReadHeaderTimeout: headerTimeout, Protocols: protocols, TLSConfig: t.Clone()}
	h.servers = append(h.servers, s)
	h.running.Go(func() {
		if t != nil {
			_ = s.ServeTLS(l, "", "")
			return
		}
		_ = s.Serve(l)
	})
}

// Ready reports whether the host should get new callers. If not, it returns the
// reason.
func (h *Host) Ready() (bool, string) {
	select {
	case <-h.draining:
		return false, "stopping"
	default:
	}
	if len(h.groups.Names()) == 0 {
		return false, "no list of groups"
	}
	if h.fleet.Isolated(isolationTimeout) && !h.platform.Up() {
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

// activateGroups activates the groups that this host owns, so that their slots
// are open before the first request.
func (h *Host) activateGroups() {
	for _, name := range h.groups.Names() {
		h.engine.Activate(name)
	}
}

// loadLoop reloads the list of groups and activates those that this host owns.
func (h *Host) loadLoop() {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-t.C:
			ctx, stop := context.WithTimeout(context.Background(), loadTimeout)
			if h.groups.Load(ctx) != nil {
				h.importGroups(ctx)
			}
			h.activateGroups()
			stop()
		}
	}
}

// importGroups gets the list of groups from another host if this one has none,
// as after a start while the platform is down.
func (h *Host) importGroups(ctx context.Context) {
	for _, p := range h.fleet.Hosts()[1:] {
		if len(h.groups.Names()) > 0 {
			return
		}
		if p.State != gossip.Alive {
			continue
		}
		r, err := h.fleet.Client(p.Address).Groups(ctx, connect.NewRequest(&wirepb.GroupsRequest{}))
		if err == nil && len(r.Msg.GetRows()) > 0 {
			if err := h.groups.Import(r.Msg.GetRows()); err != nil {
				h.log.Warn("list of groups of a host can't be read", zap.String("Peer", p.Host), zap.Error(err))
			}
		}
	}
}

// fetchBody gets the body of a configuration version from another host. It asks
// up to maxHosts hosts.
func (h *Host) fetchBody(ctx context.Context, version uint64) ([]byte, bool) {
	const maxHosts = 3
	tried := 0
	for _, p := range h.fleet.Hosts()[1:] {
		if p.State != gossip.Alive || tried == maxHosts {
			continue
		}
		tried++
		r, err := h.fleet.Client(p.Address).Body(ctx, connect.NewRequest(&wirepb.BodyRequest{Version: version}))
		if err == nil && r.Msg.GetFound() {
			return r.Msg.GetBody(), true
		}
	}
	return nil, false
}

// RelayCancel forwards a cancel request to the host whose number is in the upper
// 16 bits of its process ID.
func (h *Host) RelayCancel(pid uint32, secret []byte) {
	for _, p := range h.fleet.Hosts()[1:] {
		if hostNumber(p.Host) == uint16(pid>>16) {
			ctx, stop := context.WithTimeout(context.Background(), stopTimeout)
			defer stop()
			_, _ = h.fleet.Client(p.Address).Cancel(ctx, connect.NewRequest(&wirepb.CancelKeyRequest{Pid: pid, Secret: secret}))
		}
	}
}

// hostNumber returns the number of a host in the cancel keys of its callers. The
// highest bit is set in every key and does not distinguish hosts.
func hostNumber(host string) uint16 {
	return uint16(xxhash.Sum64String(host)) | 1<<15
}

// Addresses returns the addresses for callers, other hosts and operators.
func (h *Host) Addresses() (callers, peers, operators string) {
	return h.listeners.callers.Addr().String(), h.listeners.peers.Addr().String(), h.listeners.operators.Addr().String()
}

// Drain stops the host gracefully: it leaves the fleet, hands its groups over,
// finishes the work in progress and disconnects idle callers. It returns the
// number of requests and callers that remained when the context ended.
func (h *Host) Drain(ctx context.Context) int {
	h.drainOnce.Do(func() {
		close(h.draining)
		h.trail.Record("Drain", "", "begun")
		h.fleet.AnnounceLeave()
		h.remained = h.front.Stop(ctx) + h.engine.Drain(ctx)
		h.trail.Record("Drain", "", "ended, remained "+formatUint(uint64(h.remained)))
	})
	return h.remained
}

// Close stops the host at once.
func (h *Host) Close() {
	close(h.stop)
	h.listeners.close()
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
	h.running.Wait()
}

// Kill stops the host like a crash: it notifies neither callers nor other hosts.
func (h *Host) Kill() {
	h.front.Abort()
	h.Close()
}

var publishOnce sync.Once

// publishFigures publishes the host's figures under /debug/vars. A process with
// several hosts publishes those of the first.
func (h *Host) publishFigures() {
	publishOnce.Do(func() { expvar.Publish("Pistachiotray", expvar.Func(func() any { return h.figures() })) })
}

// groupOptions returns the options of the groups from the settings. The jitter is
// derived from the host's name.
func groupOptions(s conf.Settings) []func(*group.Group) {
	const jitterRangeMs = 100
	jitter := time.Duration(xxhash.Sum64String(s.Host)%jitterRangeMs) * time.Millisecond
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

// Count returns the sum of a counter over the host's groups.
func (h *Host) Count(name string) int64 {
	var sum int64
	h.engine.Inspect(func(g *group.Group) { sum += g.Count(name) })
	return sum
}

// Switch starts a planned switchover of a group's primary. It returns false if
// this host does not own the group, or the group has no such member.
func (h *Host) Switch(name, to string) bool {
	return h.engine.StartSwitchover(name, to)
}

// TrimKeys removes the idempotency keys created before a time, for the groups
// that this host owns.
func (h *Host) TrimKeys(before time.Time) {
	h.engine.TrimKeys(before)
}
