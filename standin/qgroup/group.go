// Package qgroup is a stand-in for a database group whose members queue for
// themselves and are promoted by an order: it keeps their logs in memory and
// has switches for faults.
package qgroup

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// defaultDelay is the time in which a commit reaches a replica.
	defaultDelay = 20 * time.Millisecond
	// defaultPromote is the time from an order to the new lead.
	defaultPromote = 300 * time.Millisecond
	// defaultWork is the time of one read, write or commit.
	defaultWork = 5 * time.Millisecond
	// defaultConnections is how many connections a member takes.
	defaultConnections = 32
	// connectLimit is how long a host waits for a machine to accept.
	connectLimit = 400 * time.Millisecond
	// AllHosts stands for all hosts.
	AllHosts = -1
	// defaultConnect is the time of a new connection.
	defaultConnect = 12 * time.Millisecond
)

// The ways in which members can break what they promise, to see that a check
// notices.
const (
	// BreakFreshReads ignores the position that a read asks for.
	BreakFreshReads = "holds"
	// BreakPause has one member report to have stopped receiving and go on.
	BreakPause = "pause"
	// BreakReset answers a reset and keeps the values.
	BreakReset = "reset"
	// BreakRefusals answers that a write did not run although it did.
	BreakRefusals = "busy"
	// BreakDurability acknowledges a commit that no replica holds.
	BreakDurability = "acks"
	// BreakReadOnly accepts transactions that may write at replicas.
	BreakReadOnly = "lead"
)

// entry is one commit in a log.
type entry struct {
	mark   mark.Mark
	writes []write
	// received is when it came to the member.
	received time.Time
}

type write struct {
	item, data string
}

// member is one member of the group.
type member struct {
	target target.Target
	log    []entry
	term   uint64
	held   uint64
	leads  bool
	up     bool
	dark   bool
	deaf   bool
	// faulty is the share of the reads, writes and commits that fail.
	faulty float64
	// lag is how long after it was received an entry is seen by reads at a
	// replica; settled is how many were seen at once since the member led.
	lag     time.Duration
	settled int
	// hidden are the hosts that don't reach the member, all where it holds
	// everyone.
	hidden  map[int]bool
	links   int
	changed chan struct{}
}

// Group is a database group, the first of which leads at the start.
type Group struct {
	// OnStatement is called for each statement that a member runs, with the values
	// and the owner of the transaction of its connection.
	OnStatement func(id string, values map[string]string, shape string)

	mu      sync.Mutex
	name    string
	members []*member
	term    uint64
	delay   time.Duration
	promote time.Duration
	work    time.Duration
	connect time.Duration
	most    int
	fence   uint64
	// lose is how many of the next answers are lost after their statement ran.
	lose int
	// failed adds up the shares of statements that fail.
	failed float64
	// late delays the next orders and leaves them without an answer.
	late   []time.Duration
	orders []string
	lie    string
}

// WithBrokenPromise returns an option that has the members break one promise.
func WithBrokenPromise(lie string) func(*Group) {
	return func(b *Group) { b.lie = lie }
}

// New returns a group of n members.
func New(name string, n int, options ...func(*Group)) *Group {
	b := &Group{
		OnStatement: func(string, map[string]string, string) {}, name: name, term: 1,
		delay: defaultDelay, promote: defaultPromote, work: defaultWork, connect: defaultConnect, most: defaultConnections,
	}
	for _, o := range options {
		o(b)
	}
	for i := range n {
		t := target.New(fmt.Sprintf("%s-%d", name, i), name, fmt.Sprintf("10.0.0.%d:1", i+1), fmt.Sprintf("zone-%d", i)).
			WithSlots(5).WithRole(i == 0).WithStarted(1)
		b.members = append(b.members, &member{target: t, term: 1, leads: i == 0, up: true, changed: make(chan struct{})})
	}
	return b
}

// WithConnectionLimit returns an option that sets how many connections a member takes.
func WithConnectionLimit(n int) func(*Group) {
	return func(b *Group) { b.most = n }
}

// Targets returns what the members registered, those that are up.
func (b *Group) Targets() []target.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []target.Target
	for _, m := range b.members {
		if m.up {
			found = append(found, m.target.WithRole(m.leads))
		}
	}
	return found
}

// Leader returns the index of the member that leads.
func (b *Group) Leader() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, m := range b.members {
		if m.leads {
			return i
		}
	}
	return -1
}

func (b *Group) member(id string) *member {
	for _, m := range b.members {
		if m.target.ID == id {
			return m
		}
	}
	return nil
}

func (m *member) end() mark.Mark {
	if len(m.log) == 0 {
		return mark.Mark{}
	}
	return m.log[len(m.log)-1].mark
}

func (m *member) holds(at mark.Mark) bool {
	return holds(m.log, at)
}

func holds(log []entry, at mark.Mark) bool {
	for i := len(log) - 1; i >= 0; i-- {
		if log[i].mark == at {
			return true
		}
	}
	return at.IsZero()
}

// applied returns the part of the log that reads see.
func (m *member) applied() []entry {
	if m.leads {
		return m.log
	}
	n := min(m.settled, len(m.log))
	for n < len(m.log) && time.Since(m.log[n].received) >= m.lag {
		n++
	}
	return m.log[:n]
}

// position returns the end of what reads see.
func (m *member) position() mark.Mark {
	log := m.applied()
	if len(log) == 0 {
		return mark.Mark{}
	}
	return log[len(log)-1].mark
}

// notify wakes those that wait for a change of the member.
func (m *member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Orders returns whom orders named, in the order in which they were accepted.
func (b *Group) Orders() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.orders...)
}

// WriteCounts returns what the members' logs say of an item, by member: how often
// each data was written.
func (b *Group) WriteCounts(i int) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := map[string]int{}
	for _, e := range b.members[i].log {
		for _, w := range e.writes {
			found[w.item+" "+w.data]++
		}
	}
	return found
}

// ErrFenced tells that an order came with a lower token than one before.
var ErrFenced = errors.New("the order's token is too low")

// Order has a member lead after a while. The answer comes at once, or never
// where a delay was set.
func (b *Group) Order(ctx context.Context, id string, token uint64) error {
	b.mu.Lock()
	if len(b.late) > 0 {
		d := b.late[0]
		b.late = b.late[1:]
		b.mu.Unlock()
		time.AfterFunc(d, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			// Nobody hears whether a late order was refused.
			_ = b.accept(id, token)
		})
		<-ctx.Done()
		return ctx.Err()
	}
	defer b.mu.Unlock()
	return b.accept(id, token)
}

func (b *Group) accept(id string, token uint64) error {
	m := b.member(id)
	if token < b.fence || m == nil || !m.up {
		return ErrFenced
	}
	b.fence = token
	b.orders = append(b.orders, id)
	if !m.leads {
		time.AfterFunc(b.promote, func() { b.lead(m) })
	}
	return nil
}

// lead makes a member lead the next term with what it received. Others that
// were ahead are cut back.
func (b *Group) lead(m *member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !m.up || m.leads {
		return
	}
	b.term++
	for _, o := range b.members {
		if o.leads || o == m {
			o.settled = len(o.log)
		}
		o.leads = o == m
		o.held = 0
		o.term = b.term
		if o != m && !isPrefix(o.log, m.log) {
			o.log = append([]entry(nil), m.log[:min(len(m.log), common(o.log, m.log))]...)
		}
		o.notify()
	}
	b.ship()
}

func common(a, b []entry) int {
	n := 0
	for n < len(a) && n < len(b) && a[n].mark == b[n].mark {
		n++
	}
	return n
}

func isPrefix(a, b []entry) bool {
	return common(a, b) == len(a)
}

// ship sends the leader's log to the replicas; the caller holds the lock.
func (b *Group) ship() {
	for _, m := range b.members {
		if term := m.term; m.leads {
			time.AfterFunc(b.delay, func() { b.receive(m, term) })
		}
	}
}

func (b *Group) receive(leader *member, term uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !leader.leads || leader.term != term || !leader.up || leader.dark {
		return
	}
	for _, m := range b.members {
		if m == leader || !m.up || m.dark || m.deaf || m.held > term && !b.lies(m) {
			continue
		}
		if n := common(m.log, leader.log); n < len(leader.log) {
			m.log = append(m.log[:n:n], leader.log[n:]...)
			for i := range m.log[n:] {
				m.log[n+i].received = time.Now()
			}
		}
	}
	leader.notify()
}

// lies tells whether a member goes on receiving although it said to stop. One
// does: where all did, the next leader would miss nothing.
func (b *Group) lies(m *member) bool {
	return b.lie == BreakPause && m == b.members[len(b.members)-1]
}

// acknowledged tells whether a replica holds an entry; the caller holds the lock.
func (b *Group) acknowledged(leader *member, at mark.Mark) bool {
	if b.lie == BreakDurability {
		return true
	}
	for _, m := range b.members {
		if m != leader && m.holds(at) {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
