// Package simul simulates one database group on a virtual clock. It runs the
// decision code of the group's owners against simulated members, and submits
// requests from sessions that check every answer.
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

// event is a function that is due at a virtual time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// eventQueue is a heap of events, ordered by time and then by insertion.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	n := len(*q) - 1
	e := (*q)[n]
	*q = (*q)[:n]
	return e
}

// Simulation is one group with its hosts, members and sessions. It is not safe for
// concurrent use. The same options, seed and method calls give the same run.
type Simulation struct {
	now      time.Time
	events   eventQueue
	sequence int
	random   *rand.Rand

	// zoneDelay and clientDelay are the one-way delays between hosts and members,
	// and between callers and hosts.
	zoneDelay   time.Duration
	clientDelay time.Duration
	// connectTime is the time that it takes to open a slot.
	connectTime time.Duration
	// shipLag is the time until an entry reaches a replica, and applyLag the time
	// from then until the replica's reads see it.
	shipLag  time.Duration
	applyLag time.Duration
	// slots is the number of slots of each member.
	slots        int
	memberCount  int
	hostCount    int
	groupOptions []func(*group.Group)
	defect       string

	members []*member
	hosts   []*host
	// owner is the number of the host that acts as the owner.
	owner int
	// partitions holds each isolated node, and each separated pair of nodes in the
	// form "a|b".
	partitions map[string]bool
	sessions   map[string]*session
	// requests holds all requests by ID. finished holds the requests that ended, with
	// an answer or a fault, in the order in which they ended.
	requests   map[string]*request
	finished   []*request
	violations []string
	crashed    map[int]bool
	ticking    bool
}

// WithSlots returns an option that sets the number of slots of each member and the
// time that it takes to open a slot.
func WithSlots(n int, connect time.Duration) func(*Simulation) {
	return func(sm *Simulation) { sm.slots, sm.connectTime = n, connect }
}

// WithDelays returns an option that sets the one-way delays between hosts and
// members, and between callers and hosts.
func WithDelays(zone, client time.Duration) func(*Simulation) {
	return func(sm *Simulation) { sm.zoneDelay, sm.clientDelay = zone, client }
}

// WithLag returns an option that sets the time until an entry reaches a replica
// and the time from then until the replica's reads see it.
func WithLag(ship, apply time.Duration) func(*Simulation) {
	return func(sm *Simulation) { sm.shipLag, sm.applyLag = ship, apply }
}

// WithOwners returns an option that sets the number of hosts that can own the
// group.
func WithOwners(n int) func(*Simulation) {
	return func(sm *Simulation) { sm.hostCount = n }
}

// WithGroup returns an option that passes options to each owner's group.
func WithGroup(options ...func(*group.Group)) func(*Simulation) {
	return func(sm *Simulation) { sm.groupOptions = append(sm.groupOptions, options...) }
}

// WithDefect returns an option that gives all members one defect; the Defect
// constants list the defects.
func WithDefect(defect string) func(*Simulation) {
	return func(sm *Simulation) { sm.defect = defect }
}

// New returns a simulation whose first member is the primary of term 1 and whose
// first host owns the group.
func New(seed uint64, options ...func(*Simulation)) *Simulation {
	sm := &Simulation{
		now: start, random: rand.New(rand.NewPCG(seed, seed)),
		zoneDelay: 500 * time.Microsecond, clientDelay: time.Millisecond,
		connectTime: 10 * time.Millisecond, slots: 5, memberCount: 3, hostCount: 2,
		partitions: map[string]bool{}, sessions: map[string]*session{}, requests: map[string]*request{}, crashed: map[int]bool{},
	}
	for _, o := range options {
		o(sm)
	}
	sm.addMembers()
	for i := range sm.hostCount {
		sm.hosts = append(sm.hosts, newHost(sm, i))
	}
	sm.Own(0)
	sm.tickHosts()
	return sm
}

// addMembers creates the members, with the first as the primary of term 1 and the
// others as replicas without lag.
func (sm *Simulation) addMembers() {
	for i := range sm.memberCount {
		sm.members = append(sm.members, newMember(sm, fmt.Sprintf("m%d", i)))
	}
	first := sm.members[0]
	first.fence(1, "first")
	first.promote(1, "first")
	for _, m := range sm.members[1:] {
		m.copyFrom(first, len(first.log))
		m.applied = len(m.log)
	}
}

// tickInterval is the time between two ticks of each host's group.
const tickInterval = 20 * time.Millisecond

// tickHosts runs a tick of each host's group and schedules the next one.
func (sm *Simulation) tickHosts() {
	for _, h := range sm.hosts {
		h.post(func() { h.group.Tick(sm.now) })
	}
	sm.after(tickInterval, sm.tickHosts)
}

// after schedules f after the duration d. Events that are due at the same time run
// in the order in which they were scheduled.
func (sm *Simulation) after(d time.Duration, f func()) {
	sm.sequence++
	heap.Push(&sm.events, event{sm.now.Add(d), sm.sequence, f})
}

// At schedules f at an offset from the start of the simulation.
func (sm *Simulation) At(offset time.Duration, f func()) {
	sm.after(start.Add(offset).Sub(sm.now), f)
}

// Run advances the virtual time to an offset from the start and runs all events
// that are due by then.
func (sm *Simulation) Run(until time.Duration) {
	end := start.Add(until)
	for len(sm.events) > 0 && !sm.events[0].at.After(end) {
		e := heap.Pop(&sm.events).(event)
		sm.now = e.at
		e.do()
	}
	sm.now = end
}

// Now returns the virtual time as an offset from the start.
func (sm *Simulation) Now() time.Duration {
	return sm.now.Sub(start)
}

// delay returns a one-way network delay between a host and a member, with a random
// variation of up to a quarter.
func (sm *Simulation) delay() time.Duration {
	return sm.zoneDelay + time.Duration(sm.random.Int64N(int64(sm.zoneDelay)/4+1))
}

// partitioned reports whether two nodes can't reach each other.
func (sm *Simulation) partitioned(a, b string) bool {
	return sm.partitions[a] || sm.partitions[b] || sm.partitions[a+"|"+b] || sm.partitions[b+"|"+a]
}

// Cut isolates a node, or separates two nodes that are given as "a|b".
func (sm *Simulation) Cut(node string) {
	sm.partitions[node] = true
}

// Heal ends a Cut. It delivers the messages to members that the partition held back.
func (sm *Simulation) Heal(node string) {
	delete(sm.partitions, node)
	for _, m := range sm.members {
		m.deliverHeld()
		m.follow()
	}
	for _, h := range sm.hosts {
		h.wakeUp()
	}
}

// Pause freezes a host until Resume. A paused member is only isolated.
func (sm *Simulation) Pause(node string) {
	sm.partitions[node] = true
	for _, h := range sm.hosts {
		if h.name == node {
			h.paused = true
		}
	}
}

// Resume ends a Pause. The node then handles the messages that arrived meanwhile.
func (sm *Simulation) Resume(node string) {
	for _, h := range sm.hosts {
		if h.name == node {
			h.paused = false
		}
	}
	sm.Heal(node)
}

// Own makes host i act as the owner. The previous owner continues to act as the
// owner until Disown.
func (sm *Simulation) Own(i int) {
	sm.owner = i
	h := sm.hosts[i]
	h.post(func() { h.group.Activate(sm.now) })
}

// Disown makes host i stop acting as the owner.
func (sm *Simulation) Disown(i int) {
	h := sm.hosts[i]
	h.post(func() { h.group.Deactivate(sm.now) })
}

// Crash stops host i permanently. Requests that were in progress there are sent
// again if that is safe, and end with a fault otherwise.
func (sm *Simulation) Crash(i int) {
	sm.crashed[i] = true
	h := sm.hosts[i]
	h.crashed = true
	for _, m := range sm.members {
		m.closeSlotsOf(h)
	}
	for _, p := range sm.inFlight(i) {
		sm.hostLost(p)
	}
}

// Group returns the group at host i, for reading its counters and state.
func (sm *Simulation) Group(i int) *group.Group {
	return sm.hosts[i].group
}

// Switch starts a planned switchover to a member, at the current owner.
func (sm *Simulation) Switch(to string) {
	h := sm.hosts[sm.owner]
	h.post(func() { h.group.StartSwitchover(sm.now, to) })
}

// SetLag changes the ship and apply lag of one member.
func (sm *Simulation) SetLag(name string, ship, apply time.Duration) {
	for _, m := range sm.members {
		if m.name == name {
			m.shipLag, m.applyLag = ship, apply
		}
	}
}

// SetLeaving sets a member's leaving flag; a leaving member wants no new work.
func (sm *Simulation) SetLeaving(name string, leaving bool) {
	for _, m := range sm.members {
		if m.name == name {
			m.leaving = leaving
		}
	}
}

// Violations returns a text for each broken promise that was detected, in order of
// time.
func (sm *Simulation) Violations() []string {
	return sm.violations
}

// addViolation records a broken promise with the current virtual time.
func (sm *Simulation) addViolation(format string, args ...any) {
	sm.violations = append(sm.violations, fmt.Sprintf("%s: ", sm.Now())+fmt.Sprintf(format, args...))
}

// Primary returns the name of the primary with the highest term, or empty if no
// member is a primary.
func (sm *Simulation) Primary() string {
	if p := sm.primaryMember(); p != nil {
		return p.name
	}
	return ""
}

// primaryMember returns the primary with the highest term, or nil.
func (sm *Simulation) primaryMember() *member {
	var best *member
	for _, m := range sm.members {
		if m.primary && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// Submit sends a request in the named session. The request occupies its slot for
// runTime. via selects the host to which the session's entry host sends it: 0 for
// the current owner, or n for host n-1, as if the entry host believed that host to
// be the owner.
func (sm *Simulation) Submit(name, id string, c call.Call, runTime time.Duration, via int) {
	sm.sendRequest(sm.sessionNamed(name), id, c, runTime, via)
}

// EndSession ends a session at the current owner, as when its caller closes the
// connection.
func (sm *Simulation) EndSession(name string) {
	h := sm.hosts[sm.owner]
	h.post(func() { h.group.EndSession(sm.now, name) })
}

// Detach makes the current owner lose a session's connection without ending the
// session.
func (sm *Simulation) Detach(name string) {
	h := sm.hosts[sm.owner]
	h.post(func() { h.group.Detach(sm.now, name) })
}

// Cancel cancels a request at the current owner.
func (sm *Simulation) Cancel(id string) {
	h := sm.hosts[sm.owner]
	h.post(func() { h.group.Cancel(sm.now, id) })
}
