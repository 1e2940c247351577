// Package engine runs the groups that this host owns and forwards requests
// for other groups to their owners. The entry host of a request is the host that
// its caller is connected to.
//
// Lock order: Hosts, Groups, Sessions, Slots, Requests. A worker acquires locks
// in this order only, and holds none while it waits. In this package, groupsMu
// and the mu of a groupRunner are locks of Groups, slotsMu and the mu of a
// slotRunner are locks of Slots, and requestsMu is the lock of Requests.
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

// The retry budget of a host. After the loss of an owner, it keeps the other hosts
// from overloading the group's next owner with retries.
const (
	retriesPerSecond = 2000
	retriesBurst     = 10_000
)

// links sends requests to other hosts.
type links interface {
	// Submit sends a call to a host and writes the result to the answer. It
	// reports a failure through Engine.Refused or Engine.OwnerLost.
	Submit(host string, c call.Call, a *answer.Answer)
	// Cancel asks a host to cancel a call.
	Cancel(host, id string)
	// Leave notifies a host that the caller ended a session.
	Leave(host, group, session string)
	// Detach notifies a host that a session lost its connection.
	Detach(host, group, session string)
	// Attach notifies a host that a session reconnected, and reports whether
	// the session has an open transaction there.
	Attach(ctx context.Context, host, group, session string) bool
	// CheckReach asks up to two hosts whether they reach a member, and calls
	// report for each host. A host that does not answer counts as one that does
	// not reach the member.
	CheckReach(ctx context.Context, group, member string, report func(reached bool))
}

// recorder records events for the operators.
type recorder interface {
	// Changed records a change of a group's primary.
	Changed(group, primary string, term uint64)
	// Note records one decision for the command explain.
	Note(group, id, session, text string)
}

// catalog looks up the members of each group.
type catalog interface {
	// Members returns the names and connection strings of a group's members, in
	// the same order, and the number of slots per member. ok is false if there is
	// no such group.
	Members(group string) (names, addresses []string, slots int, ok bool)
	// ControlDSNs returns the connection strings of the control connections,
	// in the order of Members.
	ControlDSNs(group string) []string
}

// Engine holds the groups that are used at this host and the requests in progress.
// The decisions about them run on the workers of its pool.
type Engine struct {
	host         string
	log          *zap.Logger
	pool         *pool.Pool
	now          func() time.Time
	links        links
	recorder     recorder
	catalog      catalog
	placement    atomic.Pointer[placement]
	groupOptions []func(*group.Group)
	limits       *limit.Limiter
	retryBudget  *rate.Limiter

	// groupsMu protects groups.
	groupsMu sync.RWMutex
	// groups holds the groups that were used at this host, by name.
	groups map[string]*groupRunner

	// requestsMu protects requests, and changes of the fields of each request.
	requestsMu sync.Mutex
	// requests holds the requests in progress, by call id.
	requests map[string]*request

	// wakeup makes the tick loop tick at once; see wake.
	wakeup chan struct{}
	// lastFullTick is the time when all groups were last ticked. Only the tick
	// loop uses it.
	lastFullTick time.Time

	stopping atomic.Bool
	stop     chan struct{}
	loops    sync.WaitGroup
}

// placement maps groups to owners for one set of live hosts and caches the
// owners it computed. A change of the live hosts replaces the whole placement.
type placement struct {
	ranking owner.Ranking
	cache   sync.Map
}

// ownerOf returns the owner of a group. Only the first lookup of a group takes
// time proportional to the number of hosts.
func (p *placement) ownerOf(name string) string {
	if host, ok := p.cache.Load(name); ok {
		return host.(string)
	}
	host := p.ranking.Owner(name)
	p.cache.Store(name, host)
	return host
}

// request is one call in progress at this host. This host is the entry host of the
// call, the owner of its group, or both.
type request struct {
	answer *answer.Answer
	retry  retry.Retry
	// atEntry is true at the request's entry host, which retries it.
	atEntry bool
	// host is the host that the request was last routed to.
	host string
	sent bool
}

// New returns an engine for the host, which considers only itself live until
// SetHosts is called. Connect must be called before the first request.
func New(host string, log *zap.Logger, p *pool.Pool, c catalog, r recorder, options ...func(*Engine)) *Engine {
	e := &Engine{
		host: host, log: log, pool: p, now: time.Now, catalog: c, recorder: r,
		groups: map[string]*groupRunner{}, requests: map[string]*request{}, stop: make(chan struct{}), wakeup: make(chan struct{}, 1),
		limits:      limit.New(time.Now),
		retryBudget: rate.NewLimiter(retriesPerSecond, retriesBurst),
	}
	for _, o := range options {
		o(e)
	}
	e.SetHosts([]string{host})
	return e
}

// WithGroupOptions returns an option that passes the given options to each group
// that the engine creates.
func WithGroupOptions(options ...func(*group.Group)) func(*Engine) {
	return func(e *Engine) { e.groupOptions = options }
}

// Connect sets the engine's links to other hosts, and starts the loops that tick
// the groups and remove old idempotency keys.
func (e *Engine) Connect(l links) {
	e.links = l
	e.loops.Go(e.tickLoop)
	e.loops.Go(e.trimLoop)
}

// SetHosts sets the hosts that are considered live, including this one.
func (e *Engine) SetHosts(hosts []string) {
	e.placement.Store(&placement{ranking: owner.New(hosts)})
	e.pool.Submit(e.updateOwnership)
}

// Owner returns the host that owns a group, as far as this host knows.
func (e *Engine) Owner(name string) string {
	return e.placement.Load().ownerOf(name)
}

// updateOwnership activates the known groups that this host owns and
// deactivates the others. A stopping host owns none.
func (e *Engine) updateOwnership() {
	for _, gr := range e.allGroups() {
		own := e.Owner(gr.name) == e.host && !e.stopping.Load()
		gr.withGroup(func(g *group.Group, now time.Time) {
			if own {
				g.Activate(now)
				return
			}
			g.Deactivate(now)
		})
	}
}

// allGroups returns the runners of the groups that were used at this host.
func (e *Engine) allGroups() []*groupRunner {
	e.groupsMu.RLock()
	defer e.groupsMu.RUnlock()
	all := make([]*groupRunner, 0, len(e.groups))
	for _, gr := range e.groups {
		all = append(all, gr)
	}
	return all
}

// runner returns the runner of a group, which it creates on first use. It
// returns nil if there is no such group.
func (e *Engine) runner(name string) *groupRunner {
	e.groupsMu.RLock()
	gr := e.groups[name]
	e.groupsMu.RUnlock()
	if gr != nil {
		return gr
	}
	names, addresses, slots, ok := e.catalog.Members(name)
	if !ok {
		return nil
	}
	e.groupsMu.Lock()
	defer e.groupsMu.Unlock()
	if gr := e.groups[name]; gr != nil {
		return gr
	}
	gr = newGroupRunner(e, name, names, addresses, e.catalog.ControlDSNs(name), slots)
	e.groups[name] = gr
	return gr
}

// Activate makes this host act as the owner of a group, if the host owns the group
// and is not stopping.
func (e *Engine) Activate(name string) {
	if e.Owner(name) != e.host || e.stopping.Load() {
		return
	}
	if gr := e.runner(name); gr != nil {
		gr.withGroup(func(g *group.Group, now time.Time) { g.Activate(now) })
	}
}

// Submit accepts a request at its entry host, which is this one, and returns its
// answer at once. The answer is filled while the request runs.
func (e *Engine) Submit(c call.Call) *answer.Answer {
	a := answer.New()
	r := &request{answer: a, retry: retry.New(c), atEntry: true}
	e.requestsMu.Lock()
	e.requests[c.ID] = r
	e.requestsMu.Unlock()
	if !e.pool.Submit(func() { e.route(r) }) {
		a.Fail(fault.New(code.NotRunStopping, "the host has stopped"))
	}
	return a
}

// Serve accepts a request that its entry host forwards to this host as the owner
// of the group, and returns its answer at once. The answer is filled while the
// request runs.
func (e *Engine) Serve(c call.Call) *answer.Answer {
	a := answer.New()
	e.requestsMu.Lock()
	e.requests[c.ID] = &request{answer: a, retry: retry.New(c), host: e.host}
	e.requestsMu.Unlock()
	if !e.pool.Submit(func() { e.enqueue(c) }) {
		a.Fail(fault.New(code.NotRunStopping, "the host has stopped"))
	}
	return a
}

// route sends a request to the owner of its group, which may be this host.
func (e *Engine) route(r *request) {
	c := r.retry.Call()
	host := e.Owner(c.Group)
	e.requestsMu.Lock()
	r.host = host
	e.requestsMu.Unlock()
	if host == e.host {
		e.enqueue(c)
		return
	}
	e.links.Submit(host, c, r.answer)
}

// enqueue passes a call to its group at this host. If this host is not the
// owner, the group accepts only calls of transactions that are open here.
func (e *Engine) enqueue(c call.Call) {
	gr := e.runner(c.Group)
	if gr == nil {
		e.fail(c.ID, fault.New(code.UnknownDatabase, c.Group))
		return
	}
	own := e.Owner(c.Group) == e.host && !e.stopping.Load()
	gr.withGroup(func(g *group.Group, now time.Time) {
		if own {
			g.Activate(now)
		}
		if gr.idle.Swap(false) {
			e.wake()
		}
		g.Submit(now, c)
	})
}

// request returns the request in progress with this id, or nil.
func (e *Engine) request(id string) *request {
	e.requestsMu.Lock()
	defer e.requestsMu.Unlock()
	return e.requests[id]
}

// Admit reports whether a service, limited to this many requests per second, may
// send one more request through this host now. If not, it also returns how long to
// wait. A rate of 0 means no limit.
func (e *Engine) Admit(service string, perSecond float64) (time.Duration, bool) {
	return e.limits.Admit(service, perSecond)
}

// Requests returns the number of requests in progress at this host.
func (e *Engine) Requests() int {
	e.requestsMu.Lock()
	defer e.requestsMu.Unlock()
	return len(e.requests)
}

// Forget removes a request from the requests in progress, if it is still there.
func (e *Engine) Forget(id string) {
	e.requestsMu.Lock()
	defer e.requestsMu.Unlock()
	delete(e.requests, id)
}

// fail removes a request and ends its answer with a fault.
func (e *Engine) fail(id string, f *fault.Fault) {
	if r := e.removeRequest(id); r != nil {
		r.answer.Fail(f)
	}
}

// Cancel cancels a request that entered at this host. It does so at the host that
// the request was last routed to.
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

// CancelOwned cancels a request that was sent to this host as the group's owner.
func (e *Engine) CancelOwned(name, id string) {
	e.onKnownGroup(name, func(g *group.Group, now time.Time) { g.Cancel(now, id) })
}

// onKnownGroup runs f on a worker for a group that already has a runner; it does
// nothing for other groups.
func (e *Engine) onKnownGroup(name string, f func(*group.Group, time.Time)) {
	e.groupsMu.RLock()
	gr := e.groups[name]
	e.groupsMu.RUnlock()
	if gr != nil {
		e.pool.Submit(func() { gr.withGroup(f) })
	}
}

// removeRequest removes a request from the requests in progress and returns it, or
// nil if it is not there.
func (e *Engine) removeRequest(id string) *request {
	e.requestsMu.Lock()
	defer e.requestsMu.Unlock()
	r := e.requests[id]
	delete(e.requests, id)
	return r
}
