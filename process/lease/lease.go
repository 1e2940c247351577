// Package lease defines the lease that a host needs to replace a group's
// leader.
package lease

import "time"

// Lease is the right to order the replacement of one group's leader. A Lease is
// immutable. A new value is stored only if the stored lease has not changed
// since it was read, so each token belongs to a single claim of one host.
type Lease struct {
	// Group is the name of the database group.
	Group string
	// Holder is the host that last claimed the lease, in advance or not.
	Holder string
	// Token is the fencing token, which increases with each claim. The platform
	// refuses an order if it has seen a higher token.
	Token uint64
	// Target is the target that was ordered to lead, empty if there is no
	// order. After a claim in advance, it is the target that was leader at that
	// time.
	Target string
	// Done is set when the order was carried out, and by a claim in advance.
	Done bool
	// At is the time of the last claim that was not made in advance, by the
	// store's clock.
	At time.Duration
	// Reserve is set if the last claim was made in advance, to be used in an
	// outage of the store. Reserves counts the claims in advance since Target
	// became leader.
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

// WithClaim returns the lease as claimed by a host at the given time, with the
// next fencing token. It keeps Target if the order to promote that target may
// still be carried out.
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

// WithReserve returns the lease as claimed in advance by a host while the given
// target leads, with the next fencing token. Such a claim does not prevent
// other hosts from claiming the lease.
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

// Free reports whether the lease was never claimed, or its last claim needs no
// further work: it was made in advance or its order was carried out.
func (l Lease) Free() bool {
	return l.Token == 0 || l.Done
}

// OrderPending reports whether the lease has an order that may still be carried
// out.
func (l Lease) OrderPending() bool {
	return l.Target != "" && !l.Done
}

// ReserveCount returns how often the lease was claimed in advance under the
// given leader. It returns 0 if the lease has another Target.
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

// WithDone returns the lease with its order marked as carried out.
func (l Lease) WithDone() Lease {
	l.Done = true
	return l
}

// WithVersion returns the lease with the version of its stored row.
func (l Lease) WithVersion(version uint64) Lease {
	l.Version = version
	return l
}

// HeldByOther reports whether another host made the last claim less than the
// duration hold ago, not in advance, and its order was not carried out yet.
func (l Lease) HeldByOther(host string, now, hold time.Duration) bool {
	return l.Token > 0 && l.Holder != host && !l.Done && now-l.At < hold
}
