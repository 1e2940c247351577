// Package engine runs the groups that this host owns and sends other groups'
// requests to their owners.
//
// Lock order: Hosts, Groups, Sessions, Slots, Requests. A worker takes locks
// in this order only, and holds none while it waits.
package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/process/limit"
	"github.com/pistachiotray/pistachiotray/process/owner"
	"github.com/pistachiotray/pistachiotray/process/pool"
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/retry"
)

// A host's budget of retries, so that a fleet that lost an owner does not
// drown the next one.
const (
	retriesPerSecond = 2000
	retriesBurst     = 10_000
)

// links carry requests to other hosts.
type links interface {
	// Submit sends a call to a host; what comes of it reaches the answer and,
	// where it fails, the engine's Refused or Lost.
	Submit(host string, c call.Call, a *answer.Answer)
	// Cancel asks a host to cancel a call.
	Cancel(host, id string)
	// Leave tells a host that a session ended on purpose.
	Leave(host, group, session string)
	// Detach tells a host that a session lost its connection.
	Detach(host, group, session string)
	// Attach asks a host whether a session has an open transaction there.
	Attach(ctx context.Context, host, group, session string) bool
	// CheckReach asks up to two hosts whether they reach a member, and tells each
	// answer; a host that does not answer counts as one that does not reach it.
	CheckReach(ctx context.Context, group, member string, tell func(reached bool))
}

// recorder keeps what happened for the operators.
type recorder interface {
	// Changed records a change of a group's primary.
	Changed(group, primary string, term uint64)
	// Note keeps one decision for an explanation.
	Note(group, id, session, text string)
}

// catalog knows the members of each group.
type catalog interface {
	// Members returns the names and connection strings of a group's members,
	// in order, and false where there is no such group.
	Members(group string) (names, addresses []string, slots int, ok bool)
	// ControlDSNs returns the connection strings for orders, in the same order.
	ControlDSNs(group string) []string
}

// Engine is the host's table of groups and requests, and its workers.
type Engine struct {
	host     string
	log      *zap.Logger
	pool     *pool.Pool
	now      func() time.Time
	links    links
	recorder recorder
	catalog  catalog
	ranking  atomic.Pointer[ranking]
	options  []func(*group.Group)
	limits   *limit.Limiter
	retries  *rate.Limiter

	groupsMu sync.RWMutex
	groups   map[string]*owned

	requestsMu sync.Mutex
	requests   map[string]*request

	awake  chan struct{}
	ticked time.Time

	stopping atomic.Bool
	stop     chan struct{}
	done     sync.WaitGroup
}

// ranking is the order of the live hosts, with the owners that were found. A
// change of the live hosts makes a new one.
type ranking struct {
	order owner.Owner
	found sync.Map
}

// of returns the owner of a group. Only the first question about a group costs
// time in proportion to the number of hosts.
func (r *ranking) of(name string) string {
	if host, ok := r.found.Load(name); ok {
		return host.(string)
	}
	host := r.order.Of(name)
	r.found.Store(name, host)
	return host
}

// request is one call at this host.
type request struct {
	answer *answer.Answer
	retry  retry.Retry
	entry  bool
	host   string
	sent   bool
}

// New returns an engine for the host. Connect must be called before the first
// request.
func New(host string, log *zap.Logger, p *pool.Pool, c catalog, r recorder, options ...func(*Engine)) *Engine {
	e := &Engine{
		host: host, log: log, pool: p, now: time.Now, catalog: c, recorder: r,
		groups: map[string]*owned{}, requests: map[string]*request{}, stop: make(chan struct{}), awake: make(chan struct{}, 1),
		limits:  limit.New(time.Now),
		retries: rate.NewLimiter(retriesPerSecond, retriesBurst),
	}
	for _, o := range options {
		o(e)
	}
	e.SetHosts([]string{host})
	return e
}

// WithGroupOptions returns an option that passes options to each group.
func WithGroupOptions(options ...func(*group.Group)) func(*Engine) {
	return func(e *Engine) { e.options = options }
}

// Connect gives the engine its links to other hosts and starts its clock.
func (e *Engine) Connect(l links) {
	e.links = l
	e.done.Go(e.tick)
	e.done.Go(e.trimLoop)
}

// SetHosts takes the hosts that are believed live, this one among them.
func (e *Engine) SetHosts(hosts []string) {
	e.ranking.Store(&ranking{order: owner.New(hosts)})
	e.pool.Submit(e.settleOwnership)
}

// Owner returns the host that owns a group, as far as this host knows.
func (e *Engine) Owner(name string) string {
	return e.ranking.Load().of(name)
}

// settleOwnership activates and deactivates the known groups.
func (e *Engine) settleOwnership() {
	for _, o := range e.known() {
		mine := e.Owner(o.name) == e.host && !e.stopping.Load()
		o.with(func(g *group.Group, now time.Time) {
			if mine {
				g.Activate(now)
				return
			}
			g.Deactivate(now)
		})
	}
}

func (e *Engine) known() []*owned {
	e.groupsMu.RLock()
	defer e.groupsMu.RUnlock()
	all := make([]*owned, 0, len(e.groups))
	for _, o := range e.groups {
		all = append(all, o)
	}
	return all
}

// group returns the runtime of a group, made on first use; nil where there is
// no such group.
func (e *Engine) group(name string) *owned {
	e.groupsMu.RLock()
	o := e.groups[name]
	e.groupsMu.RUnlock()
	if o != nil {
		return o
	}
	names, addresses, slots, ok := e.catalog.Members(name)
	if !ok {
		return nil
	}
	e.groupsMu.Lock()
	defer e.groupsMu.Unlock()
	if o := e.groups[name]; o != nil {
		return o
	}
	o = newOwned(e, name, names, addresses, e.catalog.ControlDSNs(name), slots)
	e.groups[name] = o
	return o
}

// Activate makes this host act as owner of the group where it is the group's owner.
func (e *Engine) Activate(name string) {
	if e.Owner(name) != e.host || e.stopping.Load() {
		return
	}
	if o := e.group(name); o != nil {
		o.with(func(g *group.Group, now time.Time) { g.Activate(now) })
	}
}

// Submit takes a caller's request at its entry host and returns its answer.
func (e *Engine) Submit(c call.Call) *answer.Answer {
	a := answer.New()
	r := &request{answer: a, retry: retry.New(c), entry: true}
	e.requestsMu.Lock()
	e.requests[c.ID] = r
	e.requestsMu.Unlock()
	if !e.pool.Submit(func() { e.route(r) }) {
		a.Fail(fault.New(code.NotRunStopping, "the host has stopped"))
	}
	return a
}

// Serve takes a request of another host's caller.
func (e *Engine) Serve(c call.Call) *answer.Answer {
	a := answer.New()
	e.requestsMu.Lock()
	e.requests[c.ID] = &request{answer: a, retry: retry.New(c), host: e.host}
	e.requestsMu.Unlock()
	if !e.pool.Submit(func() { e.arrive(c) }) {
		a.Fail(fault.New(code.NotRunStopping, "the host has stopped"))
	}
	return a
}

// route sends a request to its owner, which may be this host.
func (e *Engine) route(r *request) {
	c := r.retry.Call()
	host := e.Owner(c.Group)
	e.requestsMu.Lock()
	r.host = host
	e.requestsMu.Unlock()
	if host == e.host {
		e.arrive(c)
		return
	}
	e.links.Submit(host, c, r.answer)
}

func (e *Engine) arrive(c call.Call) {
	o := e.group(c.Group)
	if o == nil {
		e.end(c.ID, fault.New(code.UnknownDatabase, c.Group))
		return
	}
	mine := e.Owner(c.Group) == e.host && !e.stopping.Load()
	o.with(func(g *group.Group, now time.Time) {
		if mine {
			g.Activate(now)
		}
		if o.idle.Swap(false) {
			e.wake()
		}
		g.Submit(now, c)
	})
}

func (e *Engine) request(id string) *request {
	e.requestsMu.Lock()
	defer e.requestsMu.Unlock()
	return e.requests[id]
}

// Admit tells whether a service may send one more request through this host
// now, and if not, after how long.
func (e *Engine) Admit(service string, perSecond float64) (time.Duration, bool) {
	return e.limits.Admit(service, perSecond)
}

// Requests returns how many requests are in progress at this host.
func (e *Engine) Requests() int {
	e.requestsMu.Lock()
	defer e.requestsMu.Unlock()
	return len(e.requests)
}

// Forget removes a finished request of this entry host.
func (e *Engine) Forget(id string) {
	e.requestsMu.Lock()
	defer e.requestsMu.Unlock()
	delete(e.requests, id)
}

func (e *Engine) end(id string, f *fault.Fault) {
	if r := e.take(id); r != nil {
		r.answer.Fail(f)
	}
}

// Cancel cancels a request of this entry host, wherever it is.
func (e *Engine) Cancel(id string) {
	r := e.request(id)
	if r == nil {
		return
	}
	e.requestsMu.Lock()
	host := r.host
	e.requestsMu.Unlock()
	if host != e.host && host != "" {
		e.links.Cancel(host, id)
		return
	}
	e.CancelOwned(r.retry.Call().Group, id)
}

// CancelOwned cancels a request at this host as its owner.
func (e *Engine) CancelOwned(name, id string) {
	e.do(name, func(g *group.Group, now time.Time) { g.Cancel(now, id) })
}

// do has a worker run f on a known group.
func (e *Engine) do(name string, f func(*group.Group, time.Time)) {
	e.groupsMu.RLock()
	o := e.groups[name]
	e.groupsMu.RUnlock()
	if o != nil {
		e.pool.Submit(func() { o.with(f) })
	}
}

// take removes a finished request and returns it.
func (e *Engine) take(id string) *request {
	e.requestsMu.Lock()
	defer e.requestsMu.Unlock()
	r := e.requests[id]
	delete(e.requests, id)
	return r
}
