package band

import (
	"context"
	"time"

	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/process/promo"
)

// registry is where the hosts of one test keep leases and order promotions.
// It is made by Band.Registry.
type registry struct {
	band  *Band
	now   func() time.Duration
	lease lease.Lease
	down  bool
}

// Registry returns the place of the group's lease.
func (b *Band) Registry(now func() time.Duration) *registry {
	return &registry{band: b, now: now, lease: lease.New(b.name)}
}

// Down makes the place refuse reads and writes, or serve again.
func (r *registry) Down(down bool) {
	r.band.mu.Lock()
	defer r.band.mu.Unlock()
	r.down = down
}

// Read returns the lease and the clock.
func (r *registry) Read(_ context.Context, _ string) (lease.Lease, time.Duration, error) {
	r.band.mu.Lock()
	defer r.band.mu.Unlock()
	if r.down {
		return lease.Lease{}, 0, errLost
	}
	return r.lease, r.now(), nil
}

// Write stores the lease where it was not changed.
func (r *registry) Write(_ context.Context, l lease.Lease) (lease.Lease, error) {
	r.band.mu.Lock()
	defer r.band.mu.Unlock()
	switch {
	case r.down:
		return l, errLost
	case l.Version != r.lease.Version:
		return l, promo.ErrTaken
	}
	r.lease = l.WithVersion(l.Version + 1)
	return r.lease, nil
}

// Promote orders the lease's target to lead.
func (r *registry) Promote(ctx context.Context, l lease.Lease) error {
	const answerTime = 800 * time.Millisecond
	ctx, stop := context.WithTimeout(ctx, answerTime)
	defer stop()
	return r.band.Order(ctx, l.Target, l.Token)
}
