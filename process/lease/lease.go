// Package lease defines the lease under which a host may replace a group's
// primary.
package lease

import "time"

// Lease is the right to order the replacement of one group's primary. A Lease
// is immutable. A change is stored only if the stored lease has not changed
// since it was read, so each token belongs to a single claim of one host.
type Lease struct {
	// Group is the name of the database group.
	Group string
	// Holder is the host that last claimed the lease.
	Holder string
	// Token is the fencing token, which increases with each claim. The platform
	// refuses orders with a lower token than it has seen.
	Token uint64
	// Target is the target that the holder ordered to lead, empty before there
	// is an order. After a claim in advance it is the target that led at that
	// time.
	Target string
	// Done is set once the order was carried out, and after a claim in advance.
	Done bool
	// At is when the lease was last claimed other than in advance, by the
	// store's clock.
	At time.Duration
	// Reserve is set if the last claim was made in advance, for an outage of
	// the store. Reserves counts the claims in advance while Target leads.
	Reserve  bool
	Reserves int
	// Version is the version of the stored row, 0 if the lease was never
	// stored.
	Version uint64
}

// New returns the lease of a group that was never claimed.
func New(group string) Lease {
	return Lease{Group: group}
}

// WithClaim returns the lease claimed by a host at a time. If an order may
// still be carried out, its target is kept.
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

// WithReserve returns the lease claimed in advance by a host while the given
// target leads. Such a claim does not keep other hosts from claiming the lease.
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

// Free reports whether the lease was never claimed, or the replacement under
// its last claim is done.
func (l Lease) Free() bool {
	return l.Token == 0 || l.Done
}

// OrderPending reports whether the lease names an order that may still be
// carried out.
func (l Lease) OrderPending() bool {
	return l.Target != "" && !l.Done
}

// ReserveCount returns how often the lease was claimed in advance since the
// given target leads, 0 if the last claim was under another leader.
func (l Lease) ReserveCount(leader string) int {
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

// WithVersion returns the lease with the version of its stored row.
func (l Lease) WithVersion(version uint64) Lease {
	l.Version = version
	return l
}

// HeldByOther reports whether a host other than the given one claimed the lease
// less than hold ago and its replacement is not done.
func (l Lease) HeldByOther(host string, now, hold time.Duration) bool {
	return l.Token > 0 && l.Holder != host && !l.Done && now-l.At < hold
}
