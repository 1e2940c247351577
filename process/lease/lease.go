// Package lease defines the lease under which a host may replace a group's
// primary.
package lease

import "time"

// Lease is the right to order the replacement of one group's primary. A Lease
// is immutable. Each change is stored only if nobody else changed the lease
// meanwhile, so that a token belongs to one claim of one host forever.
type Lease struct {
	// Group is the database group.
	Group string
	// Holder is the host that claimed the lease last.
	Holder string
	// Token is the fencing token, which increases with each claim. The platform
	// refuses orders with a lower token than it has seen.
	Token uint64
	// Target is the target that the holder ordered to lead, empty before it
	// did.
	Target string
	// Done is set once the order was carried out.
	Done bool
	// At is when the lease was claimed, by the store's clock.
	At time.Duration
	// Reserve is set if the lease was claimed in advance, for an outage of the
	// store. Reserves counts such claims since Target leads.
	Reserve  bool
	Reserves int
	// Version is the version of the stored row, 0 if there is none.
	Version uint64
}

// New returns the lease of a group that was never claimed.
func New(group string) Lease {
	return Lease{Group: group}
}

// WithClaim returns the lease claimed by a host at a time. A stored order that
// is not done is kept, since it may still be carried out.
func (l Lease) WithClaim(host string, at time.Duration) Lease {
	l.Holder = host
	l.Token++
	if l.Done {
		l.Target = ""
	}
	l.Done = false
	l.Reserve = false
	l.Reserves = 0
	l.At = at
	return l
}

// WithReserve returns the lease claimed in advance by a host while leader
// leads. Other hosts do not wait for such a claim.
func (l Lease) WithReserve(host, leader string) Lease {
	if l.Target != leader {
		l.Reserves = 0
	}
	l.Holder = host
	l.Token++
	l.Target = leader
	l.Done = true
	l.Reserve = true
	l.Reserves++
	return l
}

// Free reports whether no replacement is in progress.
func (l Lease) Free() bool {
	return l.Token == 0 || l.Done
}

// OrderPending reports whether an order was stored that may still be carried
// out.
func (l Lease) OrderPending() bool {
	return l.Target != "" && !l.Done
}

// Reserved returns how many hosts claimed the lease in advance while leader
// leads.
func (l Lease) Reserved(leader string) int {
	if l.Target != leader {
		return 0
	}
	return l.Reserves
}

// WithOrder returns the lease with the target that its holder is about to order
// to lead.
func (l Lease) WithOrder(target string) Lease {
	l.Target = target
	return l
}

// WithDone returns the lease after its order was carried out.
func (l Lease) WithDone() Lease {
	l.Done = true
	return l
}

// WithVersion returns the lease as stored with a version.
func (l Lease) WithVersion(version uint64) Lease {
	l.Version = version
	return l
}

// HeldByOther reports whether a host other than the given one claimed the lease
// less than hold ago and is not done.
func (l Lease) HeldByOther(host string, now, hold time.Duration) bool {
	return l.Token > 0 && l.Holder != host && !l.Done && now-l.At < hold
}
