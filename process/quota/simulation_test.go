package quota_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/bucket"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/quota"
	"github.com/pistachiotray/pistachiotray/version/cust"
	"github.com/pistachiotray/pistachiotray/version/plan"
)

const (
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20

	// The times of package allot.
	claimGap     = 100 * time.Millisecond
	claimTimeout = 300 * time.Millisecond
	admitWait    = 250 * time.Millisecond

	// lateClaims is the part of the claims lost in a partition that arrive late, after
	// the host that sent them has given them up.
	lateClaims = 0.3
)

// event is a function that runs at a time of the simulation. Events of equal times run in
// the order in which they were added.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simHost is a simulated host. Its clock differs from that of the simulation by offset.
type simHost struct {
	name        string
	offset      time.Duration
	life        int
	up          bool
	frozenUntil time.Duration
	buckets     *bucket.Buckets
	coordinator *quota.Coordinator
	plan        plan.Plan
	busy        bool
	asked       bool
	turns       int
	lastAsk     time.Duration
	waiting     []*operation
}

// operation is one operation that waits for a share.
type operation struct {
	customer string
	end      time.Duration
}

// fleet simulates hosts that share the limits of customers.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	queue  events
	seq    int
	hosts  []*simHost
	index  map[string]*simHost
	side   []int
	// left are the hosts that are about to stop, and marked those that are marked as unheard.
	left   []string
	marked map[string]bool
	// wholeLimit makes every coordinator hand out the whole limit to every host.
	wholeLimit bool
	ran        map[string][]time.Duration
	refused    map[string]int
	offered    map[string]int
	claims     int
}

func newFleet(n int, seed uint64, customers ...cust.Customer) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)), index: map[string]*simHost{}, marked: map[string]bool{}, side: make([]int, n),
		ran: map[string][]time.Duration{}, refused: map[string]int{}, offered: map[string]int{},
	}
	for i := range n {
		h := &simHost{name: fmt.Sprintf("host-%03d", i), plan: plan.New(1).WithCustomers(customers...), offset: time.Duration(f.random.Int64N(int64(time.Hour)))}
		f.hosts = append(f.hosts, h)
		f.index[h.name] = h
	}
	for _, h := range f.hosts {
		f.start(h)
	}
	f.after(time.Second, f.mark)
	return f
}

// mark lets each coordinator mark a silent host, and hosts that run remove their own mark,
// unless they are cut off from the others and so from the store. It does so each second.
func (f *fleet) mark() {
	f.after(time.Second, f.mark)
	for i, h := range f.hosts {
		if !h.up || f.now < h.frozenUntil || f.side[i] != 0 {
			continue
		}
		changed := f.marked[h.name]
		delete(f.marked, h.name)
		if silent, ok := h.coordinator.Silent(f.now + h.offset); ok {
			changed, f.marked[silent] = true, true
		}
		if changed {
			f.announceChanges()
		}
	}
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, run})
}

func (f *fleet) runUntil(end time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) uniform(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// start starts a host's process, which knows nothing of an earlier one.
func (f *fleet) start(h *simHost) {
	h.life++
	h.up, h.busy, h.asked, h.waiting, h.frozenUntil = true, false, false, nil, 0
	clock := f.now + h.offset
	h.buckets = bucket.New(h.name, f.random.Uint64(), clock)
	h.coordinator = quota.New(f.random.Uint64(), quota.WithBound(window, overage, slack))
	life := h.life
	f.after(f.uniform(300*time.Millisecond), func() { f.list(h, life, f.names(), f.marks(h)) })
	f.after(f.uniform(500*time.Millisecond), func() { f.tick(h, life) })
}

func (f *fleet) names() []string {
	names := make([]string, len(f.hosts))
	for i, h := range f.hosts {
		names[i] = h.name
	}
	return names
}

// marks returns the names of the marked hosts for a host, which always counts itself.
func (f *fleet) marks(h *simHost) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(f.marked)), func(n string) bool { return n == h.name })
}

// list tells a host the names of the live hosts, and those that are marked.
func (f *fleet) list(h *simHost, life int, live, marked []string) {
	if h.life != life || !h.up {
		return
	}
	if f.wakeLater(h, func() { f.list(h, life, live, marked) }) {
		return
	}
	counted := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return slices.Contains(marked, n) })
	h.buckets.SetHosts(counted)
	h.coordinator.SetHosts(f.now+h.offset, counted, marked...)
}

// announce changes the list of live hosts, which each host learns a little later.
func (f *fleet) announce(without ...string) {
	f.left = without
	f.announceChanges()
}

func (f *fleet) announceChanges() {
	live := slices.DeleteFunc(f.names(), func(n string) bool { return slices.Contains(f.left, n) })
	for i, h := range f.hosts {
		life, marked := h.life, f.marks(h)
		if f.side[i] == 0 {
			f.after(f.uniform(1500*time.Millisecond), func() { f.list(h, life, live, marked) })
		}
	}
}

// wakeLater postpones what a frozen host does until it runs again.
func (f *fleet) wakeLater(h *simHost, run func()) bool {
	if f.now >= h.frozenUntil {
		return false
	}
	f.after(h.frozenUntil-f.now, run)
	return true
}

// tick sends the host's claims at its interval.
func (f *fleet) tick(h *simHost, life int) {
	if h.life != life || !h.up {
		return
	}
	if f.wakeLater(h, func() { f.tick(h, life) }) {
		return
	}
	f.claim(h, true)
	f.after(h.buckets.Interval()*19/20, func() { f.tick(h, life) })
}

// claim sends a claim unless one is on its way.
func (f *fleet) claim(h *simHost, regular bool) {
	if h.busy {
		h.asked = true
		return
	}
	if since := f.now - h.lastAsk; !regular && since < claimGap {
		if !h.asked {
			h.asked = true
			life := h.life
			f.after(claimGap-since, func() {
				if h.life == life && h.up && h.asked && f.now >= h.frozenUntil {
					h.asked = false
					f.claim(h, true)
				}
			})
		}
		return
	}
	h.asked, h.turns = false, 0
	f.send(h)
}

// reaches reports whether messages pass between two hosts.
func (f *fleet) reaches(a, b *simHost) bool {
	return f.side[slices.Index(f.hosts, a)] == f.side[slices.Index(f.hosts, b)]
}

func (f *fleet) send(h *simHost) {
	sent := f.now + h.offset
	to, c, ok := h.buckets.Claim(sent, h.coordinator.Ready(sent))
	if !ok {
		return
	}
	f.claims++
	h.busy, h.lastAsk = true, f.now
	life, done := h.life, false
	finish := func(a award.Award, err bool) {
		if done || h.life != life || !h.up {
			return
		}
		done, h.busy = true, false
		if err {
			h.buckets.Fail(f.now+h.offset, to)
		} else {
			taken := a.Books != nil && h.coordinator.Take(f.now+h.offset, sent, *a.Books, h.plan)
			h.buckets.Accept(f.now+h.offset, sent, to, a)
			if taken {
				h.buckets.TakeOver()
			}
		}
		f.retry(h)
		h.turns++
		if h.turns < 4 && (err || !a.Confirmed || !h.buckets.Settled(f.now+h.offset)) {
			f.send(h)
		} else if h.asked {
			h.asked = false
			f.claim(h, false)
		}
	}
	var timeout func()
	timeout = func() {
		if !f.wakeLater(h, timeout) {
			finish(award.Award{}, true)
		}
	}
	target := f.index[to]
	if target == h {
		f.deliver(h, h.life, c, func(a award.Award) { finish(a, false) })
		return
	}
	f.after(claimTimeout, timeout)
	targetLife := target.life
	f.after(f.latency(), func() {
		f.deliver(target, targetLife, c, func(a award.Award) {
			if !f.reaches(h, target) {
				return
			}
			var receive func()
			receive = func() {
				if !f.wakeLater(h, receive) {
					finish(a, false)
				}
			}
			f.after(f.latency(), receive)
		})
	})
}

func (f *fleet) latency() time.Duration {
	return time.Millisecond + f.uniform(20*time.Millisecond)
}

// deliver hands a claim to a coordinator, which gets it late if it is frozen.
func (f *fleet) deliver(h *simHost, life int, c claim.Claim, answer func(award.Award)) {
	if h.life != life || !h.up {
		return
	}
	if !f.reaches(h, f.index[c.Host]) {
		if f.random.Float64() < lateClaims {
			f.after(f.uniform(4*time.Second), func() { f.deliver(h, life, c, answer) })
		}
		return
	}
	if f.wakeLater(h, func() { f.deliver(h, life, c, answer) }) {
		return
	}
	follows := h.buckets.Follows()
	if c.Host == h.name {
		follows = ""
	}
	a := h.coordinator.Award(f.now+h.offset, c, h.plan, follows)
	if f.wholeLimit {
		for i, s := range a.Shares {
			limit, _ := h.plan.CustomerNamed(s.Customer)
			a.Shares[i] = s.WithBucket(limit.Rate, limit.Burst, limit.Burst)
		}
	}
	answer(a)
}

// offer begins one operation of a customer at a host.
func (f *fleet) offer(h *simHost, customer string) {
	if !h.up || f.now < h.frozenUntil {
		return
	}
	f.offered[customer]++
	ok, wait, ask, _ := h.buckets.Try(f.now+h.offset, customer, false)
	if ask {
		f.claim(h, false)
	}
	switch {
	case ok:
		f.ran[customer] = append(f.ran[customer], f.now)
	case wait:
		h.waiting = append(h.waiting, &operation{customer, f.now + admitWait})
	default:
		f.refused[customer]++
	}
}

// retry tries the waiting operations again.
func (f *fleet) retry(h *simHost) {
	still := h.waiting[:0]
	for _, o := range h.waiting {
		if f.now > o.end {
			f.refused[o.customer]++
			continue
		}
		ok, wait, ask, _ := h.buckets.Try(f.now+h.offset, o.customer, true)
		if ask {
			h.asked = true
		}
		switch {
		case ok:
			f.ran[o.customer] = append(f.ran[o.customer], f.now)
		case wait:
			still = append(still, o)
		default:
			f.refused[o.customer]++
		}
	}
	h.waiting = still
}

// demand offers a customer's operations at the hosts until end. rate returns operations per
// second, and pick the host of one.
func (f *fleet) demand(customer string, end time.Duration, rate func(at time.Duration) float64, pick func() *simHost) {
	var next func()
	next = func() {
		if f.now >= end {
			return
		}
		f.offer(pick(), customer)
		f.after(time.Duration(f.random.ExpFloat64()/rate(f.now)*float64(time.Second)), next)
	}
	f.after(0, next)
}

// excess returns by how much the operations of a customer exceed the bound in the worst
// window that ends after from, at most 0 if none does.
func (f *fleet) excess(limit cust.Customer, from time.Duration) float64 {
	bound := (limit.Rate*window.Seconds()+limit.Burst)*(1+overage) + slack
	worst, first := math.Inf(-1), 0
	ran := f.ran[limit.Name]
	for i, at := range ran {
		for ran[first] < at-window {
			first++
		}
		if at >= from {
			worst = max(worst, float64(i-first+1)-bound)
		}
	}
	return worst
}

// served returns how many operations of a customer ran in a time.
func (f *fleet) served(customer string, from, to time.Duration) int {
	n := 0
	for _, at := range f.ran[customer] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}
