// Package lstore is an in-memory stand-in for the store where hosts keep a
// group's lease and for the platform's call that orders promotions.
package lstore

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/promo"
)

// errStoreDown is returned while the store is down.
var errStoreDown = errors.New("the store is down")

// group executes promotion orders.
type group interface {
	// Order orders the promotion of the member with the target ID id. It fails
	// if the fencing token is lower than that of an accepted order.
	Order(ctx context.Context, id string, token uint64) error
}

// LeaseStore stores the lease of one group.
type LeaseStore struct {
	mu    sync.Mutex
	group group
	now   func() time.Duration
	lease lease.Lease
	down  bool
	reads int
}

// New returns the store of the named group's lease. Read returns the time of the
// clock now.
func New(name string, group group, now func() time.Duration) *LeaseStore {
	return &LeaseStore{group: group, now: now, lease: lease.New(name)}
}

// SetDown sets whether the store refuses reads and writes.
func (s *LeaseStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Reads returns the number of calls of Read.
func (s *LeaseStore) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Read returns the lease and the time of the store's clock.
func (s *LeaseStore) Read(_ context.Context, _ string) (lease.Lease, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return lease.Lease{}, 0, errStoreDown
	}
	return s.lease, s.now(), nil
}

// Write stores the lease and returns it with its new version. It returns
// promo.ErrTaken if the stored lease has another version than l.
func (s *LeaseStore) Write(_ context.Context, l lease.Lease) (lease.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return l, errStoreDown
	case l.Version != s.lease.Version:
		return l, promo.ErrTaken
	}
	s.lease = l.WithVersion(l.Version + 1)
	return s.lease, nil
}

// Promote orders the promotion of the lease's target. It fails if the order gets
// no answer within the timeout; the order may still be carried out then.
func (s *LeaseStore) Promote(ctx context.Context, l lease.Lease) error {
	const answerTimeout = 800 * time.Millisecond
	ctx, stop := context.WithTimeout(ctx, answerTimeout)
	defer stop()
	return s.group.Order(ctx, l.Target, l.Token)
}
