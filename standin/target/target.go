// Package target implements a stand-in for one member of a database group. It
// serves PostgreSQL's protocol from tables in memory, replicates the log of its
// group's primary, and can be fenced and promoted.
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

// statement is one write statement of a committed transaction, translated for
// SQLite.
type statement struct {
	text string
	args []any
}

// entry is one committed transaction in the log. An entry without statements
// marks the start of a term.
type entry struct {
	term       uint64
	statements []statement
}

// Target is one member of a group. Its methods may be called by several
// goroutines at once, after Join has returned. Lock order: writeMu, mu, connMu. A
// goroutine holds the mu of only one member at a time.
type Target struct {
	name  string
	slots int

	// connectDelay, shipLag and applyLag are durations in nanoseconds.
	connectDelay atomic.Int64
	shipLag      atomic.Int64
	applyLag     atomic.Int64
	leaving      atomic.Bool
	partition    *partition

	// writeMu serializes commits to the tables.
	writeMu sync.Mutex
	// mu guards the fields from term to logGrown, except peers and applyWake. The
	// caller of a function whose name ends in Locked must hold mu.
	mu   sync.Mutex
	term uint64
	// promisedTo is the host to which Fence promised the current term. It is
	// empty if the member learned the term from another primary.
	promisedTo string
	primary    bool
	// base is the log position at which the log ended when this member was last
	// promoted.
	base mark.Mark
	log  []entry
	// applied is the number of log entries that were applied to the tables.
	applied int
	db      *sqldb.DB
	// epoch counts the rebuilds of the tables. A session that began in an
	// earlier epoch can't commit.
	epoch int
	// peers are the other members of the group. Only Join changes them.
	peers []*Target
	// applyWake wakes applyLoop when entries were received.
	applyWake chan struct{}
	// logGrown is closed and replaced when this member, as primary, appends to
	// its log.
	logGrown   chan struct{}
	stop       chan struct{}
	goroutines sync.WaitGroup

	// refuseEvery is described at RefuseSettings, and settingChanges counts the changes.
	refuseEvery, settingChanges atomic.Int64

	listener net.Listener
	// connMu guards the fields below.
	connMu sync.Mutex
	// conns maps process IDs to connections. A cancel request names a connection
	// by its process ID.
	conns     map[uint32]*conn
	nextPID   uint32
	usedSlots int
	closed    bool
}

// WithSlots returns an option that sets the number of slots, which is the number
// of connections that the member accepts in addition to control connections.
func WithSlots(n int) func(*Target) {
	return func(t *Target) { t.slots = n }
}

// WithConnectDelay returns an option that sets how long the member takes to
// accept a connection that uses a slot.
func WithConnectDelay(d time.Duration) func(*Target) {
	return func(t *Target) { t.connectDelay.Store(int64(d)) }
}

// defaultSlots is the number of slots without WithSlots.
const defaultSlots = 5

// New starts a member that listens on address, an IP address and port. It doesn't
// replicate before Join.
func New(name, address string, options ...func(*Target)) (*Target, error) {
	db, err := sqldb.New()
	if err != nil {
		return nil, err
	}
	t := &Target{
		name: name, slots: defaultSlots, db: db, partition: newPartition(),
		conns: map[uint32]*conn{}, applyWake: make(chan struct{}, 1),
		logGrown: make(chan struct{}), stop: make(chan struct{}),
	}
	for _, o := range options {
		o(t)
	}
	t.listener, err = net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "start stand-in member")
	}
	t.goroutines.Go(t.accept)
	return t, nil
}

// Name returns the member's name.
func (t *Target) Name() string {
	return t.name
}

// Address returns the address that the member listens on.
func (t *Target) Address() string {
	return t.listener.Addr().String()
}

// Join sets the member's peers, which are the given members other than itself,
// and starts to replicate from the primary among them. It must be called once.
func (t *Target) Join(peers []*Target) {
	t.mu.Lock()
	for _, p := range peers {
		if p != t {
			t.peers = append(t.peers, p)
		}
	}
	t.mu.Unlock()
	t.goroutines.Go(t.followLoop)
	t.goroutines.Go(t.applyLoop)
}

// SetLag sets how long a log entry takes to reach this member (ship), and then to
// be applied to its tables (apply).
func (t *Target) SetLag(ship, apply time.Duration) {
	t.shipLag.Store(int64(ship))
	t.applyLag.Store(int64(apply))
}

// SetLeaving sets the leaving flag, which the member shows in its report. A
// leaving member asks for no new work.
func (t *Target) SetLeaving(leaving bool) {
	t.leaving.Store(leaving)
}

// SetPartitioned starts or ends a network partition that separates the member
// from its clients and peers. Connections stay open. Their reads and writes block
// until the partition ends.
func (t *Target) SetPartitioned(partitioned bool) {
	t.partition.set(partitioned)
}

// Report returns the member's term, role, log positions, leaving flag and slots.
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

// markLocked returns the log position of entry n, counted from 1, or the zero
// position for n = 0.
func (t *Target) markLocked(n int) mark.Mark {
	if n == 0 {
		return mark.Mark{}
	}
	return mark.New(t.log[n-1].term, uint64(n))
}

// Fence promises a term to a host, and the member stops being primary. It returns
// false, without effect, if the member already has a higher term, if it has this
// term without having promised it to this host, or if it is primary in this term.
func (t *Target) Fence(term uint64, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term == t.term && host == t.promisedTo && !t.primary {
		return true
	}
	if term <= t.term {
		return false
	}
	t.term = term
	t.promisedTo = host
	t.primary = false
	return true
}

// Promote makes the member the primary of a term that it promised to a host. It
// applies all received entries and appends the entry that starts the term. It
// returns false if the member's term is another one or was not promised to this
// host. A second promotion in the same term has no effect and returns true.
func (t *Target) Promote(term uint64, host string) bool {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if term != t.term || host != t.promisedTo {
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

// catchUpLocked applies the log entries that have not been applied yet. The
// caller must also hold writeMu.
func (t *Target) catchUpLocked() {
	for t.applied < len(t.log) {
		apply(t.db, t.log[t.applied])
		t.applied++
	}
}

// appendLocked appends an entry to a primary's log and wakes the peers that wait
// for the log to grow.
func (t *Target) appendLocked(e entry) {
	t.log = append(t.log, e)
	close(t.logGrown)
	t.logGrown = make(chan struct{})
}

// Kill stops the member as a crash would: it closes all connections at once. It
// waits for the member's goroutines. Further calls have no effect.
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
	// Reads and writes that wait for the partition to end must return.
	t.partition.set(false)
	t.goroutines.Wait()
	t.db.Close()
}
