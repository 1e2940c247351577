// Package simul drives the decisions about one database group on a virtual
// clock: small fakes of its members, the owners under test, and sessions that
// check what they are told.
package simul

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/request/call"
)

// start is the virtual time at which every simulation begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// happening is something that is due at a virtual time.
type happening struct {
	at       time.Time
	sequence int
	do       func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].sequence < a[j].sequence
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }

func (a *agenda) Pop() any {
	n := len(*a) - 1
	h := (*a)[n]
	*a = (*a)[:n]
	return h
}

// Simulation is one group with its owners and sessions. It is used by one
// goroutine. The same options, seed and orders give the same course.
type Simulation struct {
	now      time.Time
	agenda   agenda
	sequence int
	random   *rand.Rand

	zoneDelay    time.Duration
	clientDelay  time.Duration
	connect      time.Duration
	ship         time.Duration
	apply        time.Duration
	slots        int
	size         int
	ownerCount   int
	groupOptions []func(*group.Group)
	lie          string

	members  []*fake
	owners   []*keeper
	current  int
	cut      map[string]bool
	sessions map[string]*session
	calls    map[string]*pending
	done     []*pending
	faults   []string
	stopped  map[int]bool
	ticking  bool
}

// WithSlots returns an option that sets the slots of each member and how long
// one takes to open.
func WithSlots(n int, connect time.Duration) func(*Simulation) {
	return func(w *Simulation) { w.slots, w.connect = n, connect }
}

// WithDelays returns an option that sets the one-way delays between hosts and
// members, and between callers and hosts.
func WithDelays(zone, client time.Duration) func(*Simulation) {
	return func(w *Simulation) { w.zoneDelay, w.clientDelay = zone, client }
}

// WithLag returns an option that sets how long an entry takes to reach a
// replica and then to be seen by its reads.
func WithLag(ship, apply time.Duration) func(*Simulation) {
	return func(w *Simulation) { w.ship, w.apply = ship, apply }
}

// WithOwners returns an option that sets how many hosts there are that can own
// the group.
func WithOwners(n int) func(*Simulation) {
	return func(w *Simulation) { w.ownerCount = n }
}

// WithGroup returns an option that passes options to each owner's group.
func WithGroup(options ...func(*group.Group)) func(*Simulation) {
	return func(w *Simulation) { w.groupOptions = append(w.groupOptions, options...) }
}

// WithDefect returns an option that has the members break one promise.
func WithDefect(lie string) func(*Simulation) {
	return func(w *Simulation) { w.lie = lie }
}

// New returns a simulation whose first member leads term 1 and whose first host
// owns the group.
func New(seed uint64, options ...func(*Simulation)) *Simulation {
	w := &Simulation{
		now: start, random: rand.New(rand.NewPCG(seed, seed)),
		zoneDelay: 500 * time.Microsecond, clientDelay: time.Millisecond,
		connect: 10 * time.Millisecond, slots: 5, size: 3, ownerCount: 2,
		cut: map[string]bool{}, sessions: map[string]*session{}, calls: map[string]*pending{}, stopped: map[int]bool{},
	}
	for _, o := range options {
		o(w)
	}
	w.makeMembers()
	for i := range w.ownerCount {
		w.owners = append(w.owners, newKeeper(w, i))
	}
	w.Own(0)
	w.tick()
	return w
}

func (w *Simulation) makeMembers() {
	for i := range w.size {
		w.members = append(w.members, newFake(w, fmt.Sprintf("m%d", i)))
	}
	first := w.members[0]
	first.fence(1, "first")
	first.promote(1, "first")
	for _, m := range w.members[1:] {
		m.copyFrom(first, len(first.log))
		m.applied = len(m.log)
	}
}

// tickEvery is how often the owners are told the time.
const tickEvery = 20 * time.Millisecond

func (w *Simulation) tick() {
	for _, k := range w.owners {
		k.post(func() { k.group.Tick(w.now) })
	}
	w.after(tickEvery, w.tick)
}

// after has f run once the virtual time has moved on by d.
func (w *Simulation) after(d time.Duration, f func()) {
	w.sequence++
	heap.Push(&w.agenda, happening{w.now.Add(d), w.sequence, f})
}

// At has f run at the offset from the simulation's beginning.
func (w *Simulation) At(offset time.Duration, f func()) {
	w.after(start.Add(offset).Sub(w.now), f)
}

// Run lets the virtual time pass until the offset from the beginning.
func (w *Simulation) Run(until time.Duration) {
	end := start.Add(until)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		h := heap.Pop(&w.agenda).(happening)
		w.now = h.at
		h.do()
	}
	w.now = end
}

// Now returns the offset from the simulation's beginning.
func (w *Simulation) Now() time.Duration {
	return w.now.Sub(start)
}

// delay returns a one-way delay between a host and a member, with a little
// variation.
func (w *Simulation) delay() time.Duration {
	return w.zoneDelay + time.Duration(w.random.Int64N(int64(w.zoneDelay)/4+1))
}

// apart tells whether two nodes can't reach each other.
func (w *Simulation) apart(a, b string) bool {
	return w.cut[a] || w.cut[b] || w.cut[a+"|"+b] || w.cut[b+"|"+a]
}

// Cut separates a node from everybody, or two nodes given as a|b from each
// other.
func (w *Simulation) Cut(node string) {
	w.cut[node] = true
}

// Heal ends a Cut.
func (w *Simulation) Heal(node string) {
	delete(w.cut, node)
	for _, m := range w.members {
		m.deliver()
		m.follow()
	}
	for _, k := range w.owners {
		k.wakeUp()
	}
}

// Pause stops a host or a member as a frozen process, until Resume.
func (w *Simulation) Pause(node string) {
	w.cut[node] = true
	for _, k := range w.owners {
		if k.name == node {
			k.paused = true
		}
	}
}

// Resume ends a Pause: what came meanwhile is taken then.
func (w *Simulation) Resume(node string) {
	for _, k := range w.owners {
		if k.name == node {
			k.paused = false
		}
	}
	w.Heal(node)
}

// Own makes host i act as the owner; hosts that acted so before go on unless
// they are told to Disown.
func (w *Simulation) Own(i int) {
	w.current = i
	k := w.owners[i]
	k.post(func() { k.group.Activate(w.now) })
}

// Disown makes host i stop acting as the owner.
func (w *Simulation) Disown(i int) {
	k := w.owners[i]
	k.post(func() { k.group.Deactivate(w.now) })
}

// Crash ends host i for good: nothing more comes from it, and what its callers
// had under way there is lost.
func (w *Simulation) Crash(i int) {
	w.stopped[i] = true
	k := w.owners[i]
	k.dead = true
	for _, m := range w.members {
		m.dropOwner(k)
	}
	for _, p := range w.inFlight(i) {
		w.lost(p)
	}
}

// Group returns the group at host i, for counters and questions.
func (w *Simulation) Group(i int) *group.Group {
	return w.owners[i].group
}

// Switch begins a planned change of primary at the acting owner.
func (w *Simulation) Switch(to string) {
	k := w.owners[w.current]
	k.post(func() { k.group.Switch(w.now, to) })
}

// SetLag changes the lag of one member.
func (w *Simulation) SetLag(name string, ship, apply time.Duration) {
	for _, m := range w.members {
		if m.name == name {
			m.ship, m.apply = ship, apply
		}
	}
}

// SetLeaving makes a member wish for no new work.
func (w *Simulation) SetLeaving(name string, leaving bool) {
	for _, m := range w.members {
		if m.name == name {
			m.leaving = leaving
		}
	}
}

// Violations returns every broken promise that was seen, in order.
func (w *Simulation) Violations() []string {
	return w.faults
}

func (w *Simulation) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%s: ", w.Now())+fmt.Sprintf(format, args...))
}

// Primary returns the member that leads the highest term.
func (w *Simulation) Primary() string {
	if p := w.leader(); p != nil {
		return p.name
	}
	return ""
}

func (w *Simulation) leader() *fake {
	var best *fake
	for _, m := range w.members {
		if m.primary && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// Submit lets a session send a request that takes a while in its slot. Via is
// the number of the owner that its entry host believes in, from 1; 0 stands for
// the one that acts.
func (w *Simulation) Submit(name, id string, c call.Call, takes time.Duration, via int) {
	w.submit(w.session(name), id, c, takes, via)
}

// EndSession ends a session on purpose.
func (w *Simulation) EndSession(name string) {
	k := w.owners[w.current]
	k.post(func() { k.group.EndSession(w.now, name) })
}

// Detach takes a session's connection away.
func (w *Simulation) Detach(name string) {
	k := w.owners[w.current]
	k.post(func() { k.group.Detach(w.now, name) })
}

// Cancel cancels a request.
func (w *Simulation) Cancel(id string) {
	k := w.owners[w.current]
	k.post(func() { k.group.Cancel(w.now, id) })
}
