// Package host builds one host from its components and runs it.
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
	"github.com/pistachiotray/pistachiotray/process/sleep"
)

const (
	// isolationTimeout is how long a host stays ready without hearing from any
	// other host while the platform is down.
	isolationTimeout = 3 * time.Second
	// loadInterval is the time between two reloads of the list of groups.
	loadInterval = 10 * time.Second
	// loadTimeout is the time limit of one load of the list of groups. It also
	// limits the total time of the loads in Start.
	loadTimeout = 5 * time.Second
	// callTimeout is the time limit of two calls: the last write of the audit
	// trail when the host is closed, and the relay of a cancel request to
	// another host.
	callTimeout = 2 * time.Second
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
	peer      *peer.Server
	trail     *audit.Trail
	decisions *recent.Decisions
	secrets   *secrets

	listeners *listeners
	servers   []*http.Server
	// Close closes stop to end loadLoop. running counts this loop and the
	// servers.
	stop    chan struct{}
	running sync.WaitGroup
	// draining is closed when Drain begins. remained is the result of Drain.
	drainOnce sync.Once
	remained  int
	draining  chan struct{}
}

// Start loads the groups and the list of hosts and starts to serve callers,
// other hosts and operators on the addresses that New has opened. The context
// limits only the loading.
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

// serveHTTP starts the servers for other hosts and for operators.
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

// serve starts a server with a handler on a listener, with TLS if t is not nil.
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

// Ready reports whether the host should receive new callers. If not, it also
// returns the reason.
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

// activateGroups activates the groups that this host owns, so that connections
// to their members are open before the first request.
func (h *Host) activateGroups() {
	for _, name := range h.groups.Names() {
		h.engine.Activate(name)
	}
}

// loadLoop periodically reloads the list of groups and activates the groups
// that this host owns. If the platform fails and this host has no list yet,
// loadLoop imports the list of another host.
func (h *Host) loadLoop() {
	sleep.Every(h.stop, loadInterval, func() {
		ctx, stop := context.WithTimeout(context.Background(), loadTimeout)
		defer stop()
		if h.groups.Load(ctx) != nil {
			h.importGroups(ctx)
		}
		h.activateGroups()
	})
}

// importGroups gets the list of groups from another host if this one has none,
// for example because it started while the platform was down.
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
				h.log.Warn("list of groups from another host is invalid", zap.String("Peer", p.Host), zap.Error(err))
			}
		}
	}
}

// fetchBody gets the body of a configuration version from another host. It asks
// up to maxHosts live hosts, one after the other, and returns false if none has
// it.
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

// RelayCancel forwards a cancel request to the host whose number is in the
// upper 16 bits of pid, which is the process ID in the cancel request.
func (h *Host) RelayCancel(pid uint32, secret []byte) {
	for _, p := range h.fleet.Hosts()[1:] {
		if hostNumber(p.Host) == uint16(pid>>16) {
			ctx, stop := context.WithTimeout(context.Background(), callTimeout)
			defer stop()
			_, _ = h.fleet.Client(p.Address).Cancel(ctx, connect.NewRequest(&wirepb.CancelKeyRequest{Pid: pid, Secret: secret}))
		}
	}
}

// hostNumber returns the number of a host in the cancel keys of its callers, a
// hash of the host's name. The highest bit is set for every host.
func hostNumber(host string) uint16 {
	return uint16(xxhash.Sum64String(host)) | 1<<15
}

// Addresses returns the addresses on which the host listens for callers, other
// hosts and operators.
func (h *Host) Addresses() (callers, peers, operators string) {
	return h.listeners.callers.Addr().String(), h.listeners.peers.Addr().String(), h.listeners.operators.Addr().String()
}

// Drain stops the host gracefully: it leaves the fleet, hands its groups over,
// finishes the work in progress and disconnects idle callers. It returns the
// number of requests and callers that remained when the context ended. Further
// calls wait for the first one and return its result.
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

// Close stops the host without waiting for requests in progress. It must be
// called only once.
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
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	h.trail.Close(ctx)
	h.running.Wait()
}

// Kill simulates a crash: it closes the connections of callers and stops the
// host without notifying callers or other hosts.
func (h *Host) Kill() {
	h.front.Abort()
	h.Close()
}

// publishOnce lets one host of the process publish its metrics, since expvar
// rejects a second variable of the same name.
var publishOnce sync.Once

// publishMetrics publishes the host's metrics under /debug/vars. A process with
// several hosts publishes only those of the first one.
func (h *Host) publishMetrics() {
	publishOnce.Do(func() { expvar.Publish("Pistachiotray", expvar.Func(func() any { return h.metrics() })) })
}

// groupOptions returns the options of all groups, as derived from the settings.
// The jitter depends on the host's name, so that hosts retry elections at
// different times.
func groupOptions(s conf.Settings) []func(*group.Group) {
	const jitterRangeMs = 100
	jitter := time.Duration(xxhash.Sum64String(s.Host)%jitterRangeMs) * time.Millisecond
	return []func(*group.Group){
		group.WithGrace(s.Grace), group.WithIdleLimit(s.IdleLimit), group.WithJitter(jitter),
		group.WithHeartbeat(s.Heartbeat), group.WithLongWork(s.LongAfter, s.Aging),
	}
}

// Owner returns the host that owns a group according to this host's view of the
// fleet.
func (h *Host) Owner(name string) string {
	return h.engine.Owner(name)
}

// Version returns the configuration version in force.
func (h *Host) Version() uint64 {
	return h.config.Policy().Version()
}

// Count returns the sum of the named counter over all groups that this host
// knows.
func (h *Host) Count(name string) int64 {
	var sum int64
	h.engine.Inspect(func(g *group.Group) { sum += g.Count(name) })
	return sum
}

// StartSwitchover starts a planned switchover of a group's primary to a member.
// It returns false if this host does not own the group, if the member is
// unknown or already the primary, or if a switchover is in progress.
func (h *Host) StartSwitchover(name, to string) bool {
	return h.engine.StartSwitchover(name, to)
}

// TrimKeys starts the removal of the idempotency keys created before a time, in
// the groups that this host owns.
func (h *Host) TrimKeys(before time.Time) {
	h.engine.TrimKeys(before)
}
