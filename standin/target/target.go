// Package target implements a stand-in for one member of a database group: a
// server that speaks PostgreSQL's protocol over tables in memory and has a
// term, a replicated log and a role.
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

// Target is one member. Its lags, its leaving flag and its partition may be set
// at any time by any goroutine. Lock order: writeMu, mu, connMu; a goroutine
// holds mu of one member at a time.
type Target struct {
	name  string
	slots int

	// connectDelay, shipLag and applyLag are durations in nanoseconds.
	connectDelay atomic.Int64
	shipLag      atomic.Int64
	applyLag     atomic.Int64
	leaving      atomic.Bool
	partition    *partition

	// writeMu serializes changes to the tables.
	writeMu sync.Mutex
	mu      sync.Mutex
	term    uint64
	// promisedTo is the host to which Fence promised the current term.
	promisedTo string
	primary    bool
	// base is the end of the log when this member was last promoted.
	base mark.Mark
	log  []entry
	// applied is the number of log entries that the tables contain.
	applied int
	db      *sqldb.DB
	// epoch counts the rebuilds of the tables. A session that began in an
	// earlier epoch can't commit.
	epoch int
	peers []*Target
	// applyWake wakes applyLoop when entries were received.
	applyWake chan struct{}
	// logGrown is closed and replaced when this member, as primary, appends to
	// its log.
	logGrown   chan struct{}
	stop       chan struct{}
	goroutines sync.WaitGroup

	listener net.Listener
	connMu   sync.Mutex
	// conns maps process IDs, as PostgreSQL calls them, to connections.
	conns     map[uint32]*conn
	nextPID   uint32
	usedSlots int
	closed    bool
}

// WithSlots returns an option that sets how many slots the member grants.
func WithSlots(n int) func(*Target) {
	return func(t *Target) { t.slots = n }
}

// WithConnectDelay returns an option that sets how long opening a slot takes.
func WithConnectDelay(d time.Duration) func(*Target) {
	return func(t *Target) { t.connectDelay.Store(int64(d)) }
}

// defaultSlots is how many slots a member grants by default.
const defaultSlots = 5

// New returns a member that listens on address, a host and port.
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
		return nil, errors.Wrap(err, "New")
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

// Join sets the member's peers and starts to replicate from their primary.
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

// SetLag sets how long an entry takes to reach this member (ship) and then to
// become visible to its reads (apply).
func (t *Target) SetLag(ship, apply time.Duration) {
	t.shipLag.Store(int64(ship))
	t.applyLag.Store(int64(apply))
}

// SetLeaving sets the leaving flag, with which the member asks to be given no
// new work.
func (t *Target) SetLeaving(leaving bool) {
	t.leaving.Store(leaving)
}

// SetPartitioned cuts the member off from callers, hosts and peers, or ends
// that. Connections stay open but silent, and continue where they stopped.
func (t *Target) SetPartitioned(partitioned bool) {
	t.partition.set(partitioned)
}

// Report returns the member's report of its own state.
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

// Fence promises the term to the host by; the member stops being primary. It
// reports false if a higher term, or this one to another host, was promised
// before, or if the member is already primary in this term.
func (t *Target) Fence(term uint64, by string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term == t.term && by == t.promisedTo && !t.primary {
		return true
	}
	if term <= t.term {
		return false
	}
	t.term = term
	t.promisedTo = by
	t.primary = false
	return true
}

// Promote makes the member the primary of a term that it promised to the host
// by. It reports false if it didn't promise that term to by, or has promised a
// higher one since. Promoting it again in the same term has no effect.
func (t *Target) Promote(term uint64, by string) bool {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if term != t.term || by != t.promisedTo {
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

// catchUpLocked applies the entries that are in the log but not yet in the
// tables.
func (t *Target) catchUpLocked() {
	for t.applied < len(t.log) {
		apply(t.db, t.log[t.applied])
		t.applied++
	}
}

// appendLocked appends an entry and wakes the peers that wait for one.
func (t *Target) appendLocked(e entry) {
	t.log = append(t.log, e)
	close(t.logGrown)
	t.logGrown = make(chan struct{})
}

// Kill stops the member as a crash would, and waits for its goroutines.
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
