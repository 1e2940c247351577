// Package allot enforces the customers' limits at one host. It claims this host's shares
// from the coordinator, and answers the claims of other hosts while it is the coordinator.
// The decisions are those of packages bucket and quota.
package allot

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/pistachiotray/pistachiotray/process/allow"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/bucket"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/quota"
	"github.com/pistachiotray/pistachiotray/version/cust"
	"github.com/pistachiotray/pistachiotray/version/plan"
)

const (
	// maxWait is how long an operation waits for a share where this host has none.
	maxWait = 250 * time.Millisecond
	// maxStartWait is the same for a process that has just started. All hosts may have
	// restarted, and callers that are refused would all come back at once.
	maxStartWait = time.Second
	// maxWaiting is how many operations may wait at a time. The others are refused, so
	// that most workers stay free while no coordinator answers.
	maxWaiting = 64
	// logRate is the maximum number of log lines per second, and logBurst how many may
	// come at once.
	logRate  = 1
	logBurst = 5
)

// asker asks other hosts.
type asker interface {
	// Quota claims this host's shares from another host.
	Quota(ctx context.Context, c claim.Claim, h gossip.HostInfo) (award.Award, error)
}

// Allotments are this host's shares of the customers' limits. No code holds both of its
// mutexes at a time.
type Allotments struct {
	log     *zap.Logger
	limiter *rate.Limiter
	asker   asker
	now     func() time.Duration
	self    string
	// wake has a value when a claim should be sent soon.
	wake chan struct{}
	// needed is closed once a customer has a limit.
	needed     chan struct{}
	neededOnce sync.Once

	// mu guards the fields below.
	mu         sync.Mutex
	buckets    *bucket.Buckets
	plan       plan.Plan
	limited    bool
	assignment assign.Assignment
	// leaving is set once this host is about to stop.
	leaving bool
	// changed is closed and replaced with each answer to a claim.
	changed chan struct{}
	waiting int
	counts  map[string]*counts

	// coordMu guards coordinator.
	coordMu     sync.Mutex
	coordinator *quota.Coordinator
}

// New returns the shares of a host that knows no plan and no other host. now returns the
// time since the machine booted, suspended time included.
func New(log *zap.Logger, self gossip.HostInfo, a asker, now func() time.Duration, options ...func(*quota.Coordinator)) *Allotments {
	return &Allotments{
		log: log, limiter: rate.NewLimiter(logRate, logBurst), asker: a, now: now, self: self.Host,
		wake: make(chan struct{}, 1), needed: make(chan struct{}), changed: make(chan struct{}), counts: map[string]*counts{},
		buckets: bucket.New(self.Host, rand.Uint64(), now()), coordinator: quota.New(rand.Uint64(), options...),
	}
}

// Adopting returns a function that calls adopt and Adopt.
func (al *Allotments) Adopting(adopt func(plan.Plan)) func(plan.Plan) {
	return func(p plan.Plan) {
		adopt(p)
		al.Adopt(p)
	}
}

// Adopt sets the plan in force, unless it is older than the known one.
func (al *Allotments) Adopt(p plan.Plan) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if p.Version <= al.plan.Version {
		return
	}
	al.plan, al.limited = p, false
	if !p.HasCustomers() {
		return
	}
	for _, c := range p.Customers() {
		al.limited = al.limited || c.Limited()
	}
	if al.limited {
		al.neededOnce.Do(func() { close(al.needed) })
		al.claimSoon()
	}
}

// SetAssignment sets the known hosts. Before the first call no share is claimed. Other hosts
// that are marked as unheard don't count. They may claim shares like any other host.
func (al *Allotments) SetAssignment(a assign.Assignment) {
	hosts := a.Live()
	names := make([]string, 0, len(hosts))
	var marked []string
	for _, h := range hosts {
		if h.Unheard && h.Host != al.self {
			marked = append(marked, h.Host)
			continue
		}
		names = append(names, h.Host)
	}
	al.mu.Lock()
	if al.leaving {
		names = slices.DeleteFunc(names, func(name string) bool { return name == al.self })
	}
	al.assignment = a
	al.buckets.SetHosts(names)
	if al.limited {
		al.claimSoon()
	}
	al.mu.Unlock()
	al.coordMu.Lock()
	defer al.coordMu.Unlock()
	al.coordinator.SetHosts(al.now(), names, marked...)
}

// Award answers a host's claim to its shares.
func (al *Allotments) Award(c claim.Claim) award.Award {
	al.mu.Lock()
	p, follows := al.plan, al.buckets.Follows()
	al.mu.Unlock()
	if c.Host == al.self {
		follows = ""
	}
	al.coordMu.Lock()
	defer al.coordMu.Unlock()
	return al.coordinator.Award(al.now(), c, p, follows)
}

// Leave makes another host the coordinator, because this one is about to stop.
func (al *Allotments) Leave() {
	al.mu.Lock()
	al.leaving = true
	a := al.assignment
	al.mu.Unlock()
	al.SetAssignment(a)
}

// takeOver makes this host's coordinator go on with the accounts in the answer to a claim that was
// sent at a time. It reports false if there are none, or this host has followers.
func (al *Allotments) takeOver(sent time.Duration, answer award.Award) bool {
	if answer.Books == nil {
		return false
	}
	al.mu.Lock()
	p := al.plan
	al.mu.Unlock()
	al.coordMu.Lock()
	taken := al.coordinator.Take(al.now(), sent, *answer.Books, p)
	al.coordMu.Unlock()
	al.log.Info("accounts of the limits received", zap.Bool("Taken", taken), zap.Int("Followers", len(answer.Books.Claims)), zap.Uint64("Plan", p.Version))
	return taken
}

// Silent returns a host that this host has not heard, as the coordinator, for so long that it
// should be marked as unheard. It reports false if there is none. Until a customer has a limit
// for the first time, it waits.
func (al *Allotments) Silent(ctx context.Context) (host string, ok bool) {
	select {
	case <-al.needed:
	case <-ctx.Done():
		return "", false
	}
	al.mu.Lock()
	limited := al.limited
	al.mu.Unlock()
	if !limited {
		return "", false
	}
	al.coordMu.Lock()
	defer al.coordMu.Unlock()
	return al.coordinator.Silent(al.now())
}

// claimSoon wakes Run to send a claim.
func (al *Allotments) claimSoon() {
	select {
	case al.wake <- struct{}{}:
	default:
	}
}

// Admit decides whether an operation of a customer may run now. If not, it returns when to
// try again. It waits for up to maxWait if this host has no share of the customer's limit
// and may get one.
func (al *Allotments) Admit(ctx context.Context, c cust.Customer) (ok bool, after time.Duration) {
	if c.Name == "" || !c.Limited() {
		return true, 0
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	ok, wait, ask, after := al.buckets.Try(al.now(), c.Name, false)
	if ask {
		al.claimSoon()
	}
	if wait && al.waiting < maxWaiting {
		ok, after = al.await(ctx, c.Name, after)
	}
	al.count(c.Name, ok)
	if !ok {
		al.logRefusal(c.Name)
	}
	return ok, after
}

// Peek returns what this host has of a customer's limit, and what Admit would decide about an
// operation now, without waiting. It counts nothing and sends no claim.
func (al *Allotments) Peek(customer string) allow.Allowance {
	al.mu.Lock()
	defer al.mu.Unlock()
	return al.buckets.Peek(al.now(), customer)
}

// await tries again with each answer to a claim, until there is a token or it is clear that
// there is none. The caller holds mu, which is released while await waits.
func (al *Allotments) await(ctx context.Context, customer string, after time.Duration) (bool, time.Duration) {
	limit := maxWait
	if al.buckets.Starting(al.now()) {
		limit = maxStartWait
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	al.waiting++
	defer func() { al.waiting-- }()
	for {
		changed := al.changed
		al.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		al.mu.Lock()
		if ctx.Err() != nil {
			return false, after
		}
		ok, wait, ask, next := al.buckets.Try(al.now(), customer, true)
		if ask {
			al.claimSoon()
		}
		if ok || !wait {
			return ok, next
		}
	}
}

// logRefusal logs that a customer's limit was reached, with how long ago its share was renewed,
// unless there were many log lines lately. The caller holds mu.
func (al *Allotments) logRefusal(customer string) {
	if !al.limiter.Allow() {
		return
	}
	fields := []zap.Field{zap.String("Customer", customer), zap.Uint64("Plan", al.plan.Version), zap.String("Coordinator", al.buckets.Coordinator())}
	if age, ok := al.buckets.Age(al.now(), customer); ok {
		al.log.Info("limit of customer reached", append(fields, zap.Duration("Age", age))...)
		return
	}
	al.log.Warn("no share of the customer's limit", fields...)
}
