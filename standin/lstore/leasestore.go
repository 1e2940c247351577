// Package lstore is an in-memory stand-in for the store where hosts keep a
// group's lease and for the platform's call that orders promotions.
package lstore

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/promo"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
)

// errStoreDown is returned while the store is down.
var errStoreDown = errors.New("the store is down")

// group executes promotion orders.
type group interface {
	// Order orders the promotion of the member with the target ID id. It fails
	// if the fencing token is lower than that of an accepted order.
	Order(ctx context.Context, id string, token uint64) error
}

// LeaseStore stores the lease of one group, and rows of other tables.
type LeaseStore struct {
	mu    sync.Mutex
	group group
	now   func() time.Duration
	lease lease.Lease
	// version is the version of the last write, and era that of the store. The copy
	// is what Restore returns to.
	version uint64
	era     uint64
	copy    lease.Lease
	down    bool
	// rows holds the rows of other tables by table and key, and copiedRows their copy.
	rows, copiedRows map[[2]string]record.Row
	reads            int
	readTime         time.Duration
	// holders holds the holder that sent each fencing token, and shared the tokens
	// that two holders sent.
	holders map[uint64]string
	shared  []uint64
	// heldAnswer is closed to release the answer that HoldAnswer holds back, nil if the
	// next claim is answered at once.
	heldAnswer chan struct{}
}

// New returns the store of the named group's lease. Read returns the time of the
// clock now.
func New(name string, group group, now func() time.Duration) *LeaseStore {
	return &LeaseStore{group: group, now: now, lease: lease.New(name), copy: lease.New(name), era: 1, holders: map[uint64]string{}, rows: map[[2]string]record.Row{}, copiedRows: map[[2]string]record.Row{}}
}

// SetDown sets whether the store refuses reads and writes.
func (s *LeaseStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Down reports whether the store refuses reads and writes.
func (s *LeaseStore) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Lease returns the lease as stored, also while the store is down.
func (s *LeaseStore) Lease() lease.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

// SetReadTime sets the time that Read and Get take.
func (s *LeaseStore) SetReadTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readTime = d
}

// Copy makes the copy of the lease to which Restore returns.
func (s *LeaseStore) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy, s.copiedRows = s.lease, maps.Clone(s.rows)
}

// HoldAnswer holds back the answer to the next claim that is not made in advance, until
// release is called. The claim is stored at once.
func (s *LeaseStore) HoldAnswer() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(chan struct{})
	s.heldAnswer = held
	return sync.OnceFunc(func() { close(held) })
}

// Restore starts a new era with the lease as it was at the last call of Copy. Versions
// are given out again.
func (s *LeaseStore) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.lease, s.version = s.copy, s.copy.Stored.Version
	s.rows = maps.Clone(s.copiedRows)
}

// Era returns the store's era.
func (s *LeaseStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// SharedTokens returns the fencing tokens that were sent by two holders.
func (s *LeaseStore) SharedTokens() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shared
}

// noteHolder records who sent a fencing token.
func (s *LeaseStore) noteHolder(l lease.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if holder, ok := s.holders[l.Token]; ok && holder != l.Holder {
		s.shared = append(s.shared, l.Token)
	}
	s.holders[l.Token] = l.Holder
}

// Reads returns the number of calls of Read.
func (s *LeaseStore) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// awaitRead waits for the time that a read takes.
func (s *LeaseStore) awaitRead() {
	s.mu.Lock()
	d := s.readTime
	s.mu.Unlock()
	time.Sleep(d)
}

// Read returns the lease and the time of the store's clock.
func (s *LeaseStore) Read(_ context.Context, _ string) (lease.Lease, time.Duration, error) {
	s.awaitRead()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return lease.Lease{}, 0, errStoreDown
	}
	return s.lease.WithStored(stamp.New(s.era, s.lease.Stored.Version)), s.now(), nil
}

// Write stores the lease and returns it as stored. It returns promo.ErrTaken if the
// stored lease has another version than l, or was restored since l was read.
func (s *LeaseStore) Write(_ context.Context, l lease.Lease) (lease.Lease, error) {
	isClaim := l.Token == 0 && !l.Done
	written, err := s.write(l)
	if isClaim && err == nil {
		s.mu.Lock()
		held := s.heldAnswer
		s.heldAnswer = nil
		s.mu.Unlock()
		if held != nil {
			<-held
		}
	}
	return written, err
}

// write stores the lease and returns it as stored.
func (s *LeaseStore) write(l lease.Lease) (lease.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return l, errStoreDown
	case l.Stored.Version != s.lease.Stored.Version:
		return l, promo.ErrTaken
	}
	s.version++
	s.lease = l.WithStored(stamp.New(s.era, s.version))
	if l.Stored.Era != s.era {
		return l, promo.ErrTaken
	}
	return s.lease, nil
}

// Get returns a row of another table and the time of the store's clock.
func (s *LeaseStore) Get(_ context.Context, table, key string) (record.Row, time.Duration, error) {
	s.awaitRead()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return record.Row{}, 0, errStoreDown
	}
	r, ok := s.rows[[2]string{table, key}]
	if !ok {
		r = record.New(key, nil)
	}
	return r.WithEra(s.era), s.now(), nil
}

// CompareAndSwap writes a row of another table if the stored one still has the row's
// version, and returns the position of the write.
func (s *LeaseStore) CompareAndSwap(_ context.Context, table string, r record.Row) (stamp.Stamp, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := [2]string{table, r.Key}
	switch {
	case s.down:
		return stamp.Stamp{}, errStoreDown
	case r.Version != s.rows[id].Version:
		return stamp.Stamp{}, promo.ErrTaken
	}
	s.version++
	s.rows[id] = r.WithVersion(s.version)
	return stamp.New(s.era, s.version), nil
}

// Promote orders the promotion of the lease's target. It fails if the order gets
// no answer within the timeout; the order may still be carried out then.
func (s *LeaseStore) Promote(ctx context.Context, l lease.Lease) error {
	const answerTimeout = 800 * time.Millisecond
	ctx, stop := context.WithTimeout(ctx, answerTimeout)
	defer stop()
	s.noteHolder(l)
	return s.group.Order(ctx, l.Target, l.Token)
}
