package host

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/wire"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/cloud"
	"github.com/pistachiotray/pistachiotray/connection/front"
	"github.com/pistachiotray/pistachiotray/connection/peer"
	"github.com/pistachiotray/pistachiotray/process/audit"
	"github.com/pistachiotray/pistachiotray/process/budget"
	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/process/config"
	"github.com/pistachiotray/pistachiotray/process/engine"
	"github.com/pistachiotray/pistachiotray/process/fleet"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/groups"
	"github.com/pistachiotray/pistachiotray/process/guard"
	"github.com/pistachiotray/pistachiotray/process/pool"
	"github.com/pistachiotray/pistachiotray/process/recent"
	"github.com/pistachiotray/pistachiotray/process/wrap"
)

// providers is the set of constructors from which google/wire generates New.
var providers = wire.NewSet(
	provideSecrets, provideListeners, provideBreaker, provideGroups, providePool, provideTrail, recent.New,
	provideEngine, provideConfig, provideFleet, provideFront, providePeer, provideHost,
)

// provideSecrets validates the settings before it reads the files that they
// name.
func provideSecrets(s conf.Settings) (*secrets, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return newSecrets(s)
}

// provideListeners depends on the secrets so that no address is opened if the
// settings or the files are invalid.
func provideListeners(s conf.Settings, _ *secrets) (*listeners, error) {
	return newListeners(s)
}

func provideBreaker(s conf.Settings) *guard.Breaker {
	return guard.New(cloud.New(s.Platform, &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute,
	}}))
}

func provideGroups(b *guard.Breaker, s conf.Settings, sec *secrets) *groups.Groups {
	return groups.New(b, s.TargetUser, sec.targetPassword)
}

func providePool(s conf.Settings, log *zap.Logger) *pool.Pool {
	return pool.New(log, s.Workers)
}

func provideTrail(s conf.Settings, log *zap.Logger, b *guard.Breaker) *audit.Trail {
	return audit.New(s.Host, log, b)
}

// recorder passes the events of groups to the audit trail and to the recent
// decisions.
type recorder struct {
	trail     *audit.Trail
	decisions *recent.Decisions
}

// Changed records a change of a group's primary.
func (r recorder) Changed(group, primary string, term uint64) {
	r.trail.Record("Replacement", group, "primary "+primary+", term "+formatUint(term))
}

// Note records one decision for the operator command explain.
func (r recorder) Note(group, id, session, text string) {
	r.decisions.Note(group, id, session, text)
}

func provideEngine(s conf.Settings, log *zap.Logger, p *pool.Pool, g *groups.Groups, t *audit.Trail, r *recent.Decisions) *engine.Engine {
	return engine.New(s.Host, log, p, g, recorder{t, r}, engine.WithGroupOptions(groupOptions(s)...))
}

func provideConfig(s conf.Settings, log *zap.Logger, b *guard.Breaker, t *audit.Trail) *config.Config {
	return config.New(log, b, config.WithPoll(s.ConfigPoll), config.WithOnChange(func(from, to uint64) {
		t.Record("Configuration", "", "version "+formatUint(from)+" to "+formatUint(to))
	}))
}

// provideFleet uses the address of the peer listener if no peer address is set,
// and the start time in milliseconds as the host's incarnation.
func provideFleet(s conf.Settings, log *zap.Logger, e *engine.Engine, c *config.Config, b *guard.Breaker, sec *secrets, l *listeners) *fleet.Fleet {
	address := s.PeerAddress
	if address == "" {
		address = l.peers.Addr().String()
	}
	scheme := "http://"
	if sec.clientTLS != nil {
		scheme = "https://"
	}
	self := gossip.New(s.Host, scheme+address, s.Zone, uint64(time.Now().UnixMilli()))
	return fleet.New(self, log, e, c, b, peerClient(sec.clientTLS),
		fleet.WithInterval(s.ProbeInterval), fleet.WithSeeds(scheme, s.Seeds),
		fleet.WithClientOptions(connect.WithInterceptors(sec.interceptor()), connect.WithGRPC(),
			connect.WithAcceptCompression("gzip", nil, nil)))
}

// peerClient returns an HTTP/2 client for calls to other hosts, with TLS if t
// is not nil. It detects broken connections by pings.
func peerClient(t *tls.Config) *http.Client {
	const (
		dialTimeout = 500 * time.Millisecond
		pingAfter   = 15 * time.Second
		idleTimeout = 10 * time.Second
		pingTimeout = time.Second
	)
	protocols := new(http.Protocols)
	protocols.SetHTTP2(t != nil)
	protocols.SetUnencryptedHTTP2(t == nil)
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: t,
		Protocols:       protocols,
		IdleConnTimeout: idleTimeout,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			d := net.Dialer{Timeout: dialTimeout}
			c, err := d.DialContext(ctx, network, address)
			return c, wrap.If(err, "dial another host")
		},
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

func provideFront(s conf.Settings, log *zap.Logger, e *engine.Engine, c *config.Config, g *groups.Groups, sec *secrets) *front.Front {
	options := []func(*front.Front){
		front.WithUsers(sec.users), front.WithKeys(sec.tokenKeys, sec.signingKeyName), front.WithTLS(sec.callerTLS),
		front.WithMessageLimit(s.MessageLimit), front.WithCallerLimit(s.CallerLimit),
		front.WithBudget(budget.New(log, s.CallerMemory)), front.WithSessionLimits(s.SessionValues, s.SessionMemory),
	}
	return front.New(s.Host, log, e, c, g, options...)
}

func providePeer(e *engine.Engine, f *fleet.Fleet, c *config.Config, fr *front.Front, g *groups.Groups) *peer.Server {
	return peer.New(e, f, c, fr, g)
}

func provideHost(s conf.Settings, log *zap.Logger, p *pool.Pool, b *guard.Breaker, g *groups.Groups, e *engine.Engine, c *config.Config,
	f *fleet.Fleet, fr *front.Front, pe *peer.Server, t *audit.Trail, r *recent.Decisions, sec *secrets, l *listeners,
) *Host {
	h := &Host{
		settings: s, log: log, pool: p, platform: b, groups: g, engine: e, config: c,
		fleet: f, front: fr, peer: pe, trail: t, decisions: r, secrets: sec, listeners: l,
		stop: make(chan struct{}), draining: make(chan struct{}),
	}
	fr.SetRelay(h, hostNumber(s.Host))
	h.publishMetrics()
	return h
}
