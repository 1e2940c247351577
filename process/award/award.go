// Package award defines the coordinator's answer to a claim.
package award

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/books"
	"github.com/pistachiotray/pistachiotray/process/share"
)

// Award is the coordinator's answer to a claim. It is encoded by encoding/gob, so that the
// names of its fields can't change. An Award is immutable.
type Award struct {
	// Era identifies the coordinator's process, and At is the time of the answer on its
	// clock. No two answers have the same At.
	Era uint64
	At  time.Duration
	// Coordinator is the host that should coordinate, as far as the answering host knows.
	Coordinator string
	// Confirmed means that the claim had the coordinator's Era, so that Shares is valid.
	Confirmed bool
	// Keep means that the coordinator does not control the whole limit yet. A share that
	// the host has from another coordinator then stays valid until it expires.
	Keep bool
	// IntervalMs is the time between two claims. Shares expire LifetimeMs after the claim
	// was sent, and the coordinator no longer counts the host AccountMs after it.
	IntervalMs int64
	LifetimeMs int64
	AccountMs  int64
	// Books are the coordinator's accounts, if it gives them to the host, which coordinates
	// from then on.
	Books *books.Books
	// Shares replaces the shares of the host.
	Shares []share.Share
}

// New returns an award without shares.
func New(era uint64, at time.Duration, coordinator string) Award {
	return Award{Era: era, At: at, Coordinator: coordinator}
}

// WithTimes returns the award with its interval, lifetime and account time.
func (a Award) WithTimes(interval, lifetime, account time.Duration) Award {
	a.IntervalMs, a.LifetimeMs, a.AccountMs = interval.Milliseconds(), lifetime.Milliseconds(), account.Milliseconds()
	return a
}

// WithShares returns the award with shares.
func (a Award) WithShares(keep bool, shares ...share.Share) Award {
	a.Confirmed, a.Keep, a.Shares = true, keep, shares
	return a
}

// WithBooks returns the award with the coordinator's accounts.
func (a Award) WithBooks(b books.Books) Award {
	a.Books = &b
	return a
}
