// Package target holds the stand-in for one member of a database group: a
// server of PostgreSQL's protocol with a term, a log and a role.
package target

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/standin/sqldb"
)

// statement is one statement of a committed transaction.
type statement struct {
	text string
	args []any
}

// entry is one committed transaction in the log.
type entry struct {
	term       uint64
	statements []statement
}

// Target is one member. Its switches may be set at any time by any goroutine.
type Target struct {
	name  string
	slots int

	connectDelay atomic.Int64
	shipLag      atomic.Int64
	applyLag     atomic.Int64
	leaving      atomic.Bool
	gate         *gate

	// write orders what changes the tables; it is taken before mu.
	write    sync.Mutex
	mu       sync.Mutex
	term     uint64
	promised string
	primary  bool
	base     mark.Mark
	log      []entry
	applied  int
	db       *sqldb.DB
	epoch    int
	peers    []*Target
	wake     chan struct{}
	grown    chan struct{}
	stop     chan struct{}
	done     sync.WaitGroup

	listener net.Listener
	connMu   sync.Mutex
	conns    map[uint32]*conn
	nextPID  uint32
	used     int
	closed   bool
}

// WithSlots returns an option that sets how many slots the member grants.
func WithSlots(n int) func(*Target) {
	return func(t *Target) { t.slots = n }
}

// WithConnectDelay returns an option that sets how long a new slot takes.
func WithConnectDelay(d time.Duration) func(*Target) {
	return func(t *Target) { t.connectDelay.Store(int64(d)) }
}

// defaultSlots is how many slots a member grants where it is not told.
const defaultSlots = 5

// New returns a member that listens at address, a host and port.
func New(name, address string, options ...func(*Target)) (*Target, error) {
	db, err := sqldb.New()
	if err != nil {
		return nil, err
	}
	t := &Target{
		name: name, slots: defaultSlots, db: db, gate: newGate(),
		conns: map[uint32]*conn{}, wake: make(chan struct{}, 1),
		grown: make(chan struct{}), stop: make(chan struct{}),
	}
	for _, o := range options {
		o(t)
	}
	t.listener, err = net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "New")
	}
	t.done.Go(t.accept)
	return t, nil
}

// Name returns the member's name.
func (t *Target) Name() string {
	return t.name
}

// Address returns the address that the member listens at.
func (t *Target) Address() string {
	return t.listener.Addr().String()
}

// Join tells the member its peers and starts to follow their primary.
func (t *Target) Join(peers []*Target) {
	t.mu.Lock()
	for _, p := range peers {
		if p != t {
			t.peers = append(t.peers, p)
		}
	}
	t.mu.Unlock()
	t.done.Go(t.followLoop)
	t.done.Go(t.applyLoop)
}

// SetLag sets how long an entry takes to reach this member and then to be
// seen by its reads.
func (t *Target) SetLag(ship, apply time.Duration) {
	t.shipLag.Store(int64(ship))
	t.applyLag.Store(int64(apply))
}

// SetLeaving makes the member wish to get no new work.
func (t *Target) SetLeaving(leaving bool) {
	t.leaving.Store(leaving)
}

// SetPartitioned cuts the member off from everybody, or ends that. Connections stay
// open and silent, and go on where they stopped.
func (t *Target) SetPartitioned(cut bool) {
	t.gate.set(cut)
}

// Report returns what the member says of itself.
func (t *Target) Report() report.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reportLocked()
}

func (t *Target) reportLocked() report.Report {
	return report.Report{
		Member:   t.name,
		Term:     t.term,
		Primary:  t.primary,
		Received: t.markLocked(len(t.log)),
		Applied:  t.markLocked(t.applied),
		Base:     t.base,
		Leaving:  t.leaving.Load(),
		Slots:    t.slots,
	}
}

func (t *Target) markLocked(n int) mark.Mark {
	if n == 0 {
		return mark.Mark{}
	}
	return mark.New(t.log[n-1].term, uint64(n))
}

// Fence promises the term to the host by. It returns false where a higher
// term, or this one to another host, was promised before.
func (t *Target) Fence(term uint64, by string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term == t.term && by == t.promised && !t.primary {
		return true
	}
	if term <= t.term {
		return false
	}
	t.term = term
	t.promised = by
	t.primary = false
	return true
}

// Promote makes the member the primary of a term that it promised to by.
func (t *Target) Promote(term uint64, by string) bool {
	t.write.Lock()
	defer t.write.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if term != t.term || by != t.promised {
		return false
	}
	if t.primary {
		return true
	}
	t.base = t.markLocked(len(t.log))
	t.primary = true
	t.catchUpLocked()
	t.appendLocked(entry{term: term})
	t.applied = len(t.log)
	return true
}

// catchUpLocked applies what a new primary has received and not yet applied.
func (t *Target) catchUpLocked() {
	for t.applied < len(t.log) {
		apply(t.db, t.log[t.applied])
		t.applied++
	}
}

func (t *Target) appendLocked(e entry) {
	t.log = append(t.log, e)
	close(t.grown)
	t.grown = make(chan struct{})
}

// Kill closes the member as a crash would.
func (t *Target) Kill() {
	t.connMu.Lock()
	if t.closed {
		t.connMu.Unlock()
		return
	}
	t.closed = true
	_ = t.listener.Close()
	for _, c := range t.conns {
		_ = c.net.Close()
	}
	t.connMu.Unlock()
	close(t.stop)
	t.gate.set(false)
	t.done.Wait()
	t.db.Close()
}
