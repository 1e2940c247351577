// Package ledger decides which member leads each database group, keeps the members' logs
// and compares the log of each promoted member with the acknowledged commits. Member
// processes reach it on connections of their own, without faults.
package ledger

import (
	"fmt"
	"io"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/standin/ctlmsg"
)

// Service is the name of the ledger's method for net/rpc.
const Service = "Ledger.Call"

// errEnded is returned to a process that no longer runs by the ledger.
var errEnded = errors.New("the member's process has ended")

// errRefused is returned for an order with an old token or for a member that does not run.
var errRefused = errors.New("the order is refused")

// member is one member of a group.
type member struct {
	id      string
	started int64
	up      bool
	log     []string
}

// commit is an acknowledged commit.
type commit struct {
	entry          string
	leader, caller string
	at             time.Time
}

// group is a database group.
type group struct {
	name string
	term uint64
	// leader is the ID of the leader, or of the last one if that was demoted.
	leader  string
	demoted bool
	members map[string]*member
	// acked holds the acknowledged commits, oldest first.
	acked []commit
	// token is the highest fencing token of an accepted order, and ordered the member that
	// it names.
	token   uint64
	ordered string
	// orders is the number of accepted orders that replace the leader.
	orders int
	// delays holds the delays of the next orders, which get no answer.
	delays []time.Duration
}

// Ledger holds the state of all groups. It is safe for concurrent use.
type Ledger struct {
	promoteTime time.Duration
	// promoteLeast is described at WithLeastPromoted.
	promoteLeast bool
	events       io.Writer
	onOrder      func(group, id string)
	listener     net.Listener
	// mu guards the fields below.
	mu     sync.Mutex
	groups map[string]*group
	lost   []string
	acked  int
	// promotions is the number of promotions that took effect.
	promotions int
}

// WithLeastPromoted returns an option that promotes the running member with the shortest
// log instead of the ordered one, to verify that the loss is detected.
func WithLeastPromoted() func(*Ledger) {
	return func(l *Ledger) { l.promoteLeast = true }
}

// WithOrderHook returns an option that calls a function with each order that is accepted and
// replaces the leader.
func WithOrderHook(f func(group, id string)) func(*Ledger) {
	return func(l *Ledger) { l.onOrder = f }
}

// New returns a Ledger that serves member processes on loopback. A promotion takes effect
// promoteTime after its order. Events are written to events, one line each.
func New(promoteTime time.Duration, events io.Writer, options ...func(*Ledger)) (*Ledger, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Ledger{promoteTime: promoteTime, events: events, onOrder: func(string, string) {}, listener: listener, groups: map[string]*group{}}
	for _, o := range options {
		o(l)
	}
	s := rpc.NewServer()
	if err := s.RegisterName("Ledger", caller{l}); err != nil {
		return nil, err
	}
	go l.serve(s)
	return l, nil
}

// serve serves member processes until the listener is closed.
func (l *Ledger) serve(s *rpc.Server) {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go s.ServeConn(c)
	}
}

// Address returns the address on which the Ledger serves member processes.
func (l *Ledger) Address() string {
	return l.listener.Addr().String()
}

// Close stops serving new connections.
func (l *Ledger) Close() {
	_ = l.listener.Close()
}

// Log writes an event with its time.
func (l *Ledger) Log(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logf(format, arguments...)
}

func (l *Ledger) logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(l.events, "%s %s\n", time.Now().UTC().Format("15:04:05.000000"), fmt.Sprintf(format, arguments...))
}

// Started adds a process of a member. log is the ID of the member whose log it gets, which
// is no member any more if that is another one; "" stands for an empty log. The first
// member of a group leads.
func (l *Ledger) Started(name, id string, started int64, log string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[name]
	if g == nil {
		g = &group{name: name, term: 1, leader: id, members: map[string]*member{}}
		l.groups[name] = g
	}
	m := &member{id: id, started: started, up: true}
	if before := g.members[log]; before != nil {
		m.log = before.log
		delete(g.members, log)
		if g.leader == log {
			// A leader that starts again under another ID still leads.
			g.leader = id
		}
	}
	g.members[id] = m
	if g.leader == id {
		g.demoted = false
	}
	l.logf("START %s %s born %d log of %q, %d entries, leads %t", name, id, started, log, len(m.log), g.leads(m))
}

// Ended notes that the process of a member has ended.
func (l *Ledger) Ended(name, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[name]
	if m := g.members[id]; m != nil {
		m.up = false
		l.logf("END %s %s, %d entries, led %t", name, id, len(m.log), g.leads(m))
	}
}

// Leader returns the ID of the member that leads, or that was the last to lead.
func (l *Ledger) Leader(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups[name].leader
}

// Leads reports whether a member leads and was not demoted.
func (l *Ledger) Leads(name, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[name]
	m := g.members[id]
	return m != nil && g.leads(m)
}

// Ordered returns the ID of the member that the last accepted order names, or "" if there
// was none.
func (l *Ledger) Ordered(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups[name].ordered
}

// Orders returns the number of accepted orders that replace the leader of a group.
func (l *Ledger) Orders(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups[name].orders
}

// Lost returns a description of each acknowledged commit that a promoted member lacked.
func (l *Ledger) Lost() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lost)
}

// Counts returns how many commits were acknowledged and how many promotions took effect.
func (l *Ledger) Counts() (acked, promotions int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked, l.promotions
}

// WriteCounts returns how often each write occurs in the log of the member that leads a
// group, or led it last. The keys have the form "ITEM VALUE". The result is nil if the group
// has no leader.
func (l *Ledger) WriteCounts(name string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.groups[name].members[l.groups[name].leader]
	if m == nil {
		return nil
	}
	counts := map[string]int{}
	for _, e := range m.log {
		for _, w := range strings.Split(e, "\n")[1:] {
			counts[w]++
		}
	}
	return counts
}

func (g *group) leads(m *member) bool {
	return g.leader == m.id && !g.demoted
}

// caller serves the requests of member processes.
type caller struct{ ledger *Ledger }

// Call carries out the request of a member.
func (c caller) Call(request ctlmsg.Message, answer *ctlmsg.Message) error {
	l := c.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[request.Group]
	if g == nil {
		return errEnded
	}
	m := g.members[request.Member]
	if m == nil || !m.up || m.started != request.Started {
		return errEnded
	}
	answer.OK = l.apply(g, m, request)
	if request.Kind == ctlmsg.Start {
		answer.Entries = m.log
	}
	answer.Term, answer.Leads, answer.Length = g.term, g.leads(m), len(m.log)
	answer.Demoted = g.leader == m.id && g.demoted
	return nil
}

// apply carries out a request and reports whether it did; the caller holds the lock.
func (l *Ledger) apply(g *group, m *member, r ctlmsg.Message) bool {
	current := r.Term == g.term
	switch r.Kind {
	case ctlmsg.Append:
		if !g.leads(m) || !current {
			return false
		}
		m.log = append(slices.Clip(m.log), r.Entries...)
	case ctlmsg.Receive:
		if g.leads(m) || !current || r.From > len(m.log) {
			return false
		}
		if have := len(m.log) - r.From; have < len(r.Entries) {
			m.log = append(slices.Clip(m.log), r.Entries[have:]...)
		}
	case ctlmsg.Ack:
		// Whether a demoted leader acknowledges what it accepted before is up to the member.
		if g.leader != m.id || !current {
			return false
		}
		l.acked++
		g.acked = append(g.acked, commit{m.log[r.From], m.id, r.Caller, time.Now()})
	case ctlmsg.Demote:
		if !g.leads(m) || r.Term <= g.term {
			return false
		}
		g.demoted = true
		l.logf("DEMOTE %s %s in term %d by %s, %d entries", g.name, m.id, g.term, r.Caller, len(m.log))
	}
	return true
}

// DelayOrder makes the next order for a group get no answer, and be carried out after d.
func (l *Ledger) DelayOrder(name string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups[name].delays = append(l.groups[name].delays, d)
}

// Order orders the promotion of a member. It returns false for answered if the order gets
// no answer.
func (l *Ledger) Order(name, id, holder string, token uint64) (answered bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[name]
	if g == nil {
		return true, errRefused
	}
	if len(g.delays) > 0 {
		d := g.delays[0]
		g.delays = g.delays[1:]
		l.logf("ORDER %s %s by %s token %d: late by %v, without an answer", name, id, holder, token, d)
		time.AfterFunc(d, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			// The caller gets no answer, so a refusal is not reported.
			_ = l.accept(g, id, holder, token)
		})
		return false, nil
	}
	return true, l.accept(g, id, holder, token)
}

// accept checks an order and schedules its promotion; the caller holds the lock.
func (l *Ledger) accept(g *group, id, holder string, token uint64) error {
	m := g.members[id]
	if token < g.token || m == nil || !m.up {
		l.logf("ORDER %s %s by %s token %d: refused, highest %d", g.name, id, holder, token, g.token)
		return errRefused
	}
	g.token, g.ordered = token, id
	l.logf("ORDER %s %s by %s token %d: accepted, leads %t, %d entries", g.name, id, holder, token, g.leads(m), len(m.log))
	if !g.leads(m) {
		g.orders++
		go l.onOrder(g.name, id)
		time.AfterFunc(l.promoteTime, func() { l.promote(g, id, holder, token) })
	}
	return nil
}
