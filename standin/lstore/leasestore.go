// Package lstore is a stand-in for the place where hosts keep a group's lease and
// order promotions.
package lstore

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/promo"
)

// errDown tells that the place can't be reached.
var errDown = errors.New("the store is down")

// group takes the orders.
type group interface {
	// Order has a member lead after a while.
	Order(ctx context.Context, id string, token uint64) error
}

// LeaseStore keeps the lease of one group.
type LeaseStore struct {
	mu    sync.Mutex
	group group
	now   func() time.Duration
	lease lease.Lease
	down  bool
}

// New returns the store of the named group's lease.
func New(name string, g group, now func() time.Duration) *LeaseStore {
	return &LeaseStore{group: g, now: now, lease: lease.New(name)}
}

// SetDown makes the place refuse reads and writes, or serve again.
func (d *LeaseStore) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

// Read returns the lease and the clock.
func (d *LeaseStore) Read(_ context.Context, _ string) (lease.Lease, time.Duration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return lease.Lease{}, 0, errDown
	}
	return d.lease, d.now(), nil
}

// Write stores the lease where it was not changed.
func (d *LeaseStore) Write(_ context.Context, l lease.Lease) (lease.Lease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.down:
		return l, errDown
	case l.Version != d.lease.Version:
		return l, promo.ErrTaken
	}
	d.lease = l.WithVersion(l.Version + 1)
	return d.lease, nil
}

// Promote orders the lease's target to lead.
func (d *LeaseStore) Promote(ctx context.Context, l lease.Lease) error {
	const answerTime = 800 * time.Millisecond
	ctx, stop := context.WithTimeout(ctx, answerTime)
	defer stop()
	return d.group.Order(ctx, l.Target, l.Token)
}
