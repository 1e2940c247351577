// Package lease holds who may order the replacement of a group's primary.
package lease

import "time"

// Lease is the right to order replacements in one group. A Lease is immutable.
// Each change is written under the condition that nobody else changed it, so
// a token belongs to one claim of one host for good.
type Lease struct {
	// Group is the database group.
	Group string
	// Holder is the host that claimed it last.
	Holder string
	// Token rises with each claim; the platform refuses orders of a lower one
	// than it has seen.
	Token uint64
	// Target is whom the holder ordered to lead, empty before it did.
	Target string
	// Done tells that the order was carried out.
	Done bool
	// At is when it was claimed, by the store's clock.
	At time.Duration
	// Reserve tells that it was claimed ahead, for an outage of the store;
	// Reserves counts those since Target leads.
	Reserve  bool
	Reserves int
	// Version is that of the stored row, 0 where there is none.
	Version uint64
}

// New returns the lease of a group that nobody claimed.
func New(group string) Lease {
	return Lease{Group: group}
}

// WithClaim returns the lease claimed by a host at a time. An order that was
// noted and not done stays noted: it may still be carried out.
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

// WithReserve returns the lease claimed ahead by a host while a leader leads.
// Nobody waits for it.
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

// Free tells whether no order is under way.
func (l Lease) Free() bool {
	return l.Token == 0 || l.Done
}

// OrderPending tells whether an order was noted that may still be carried out.
func (l Lease) OrderPending() bool {
	return l.Target != "" && !l.Done
}

// Reserved returns how many hosts claimed it ahead while a leader leads.
func (l Lease) Reserved(leader string) int {
	if l.Target != leader {
		return 0
	}
	return l.Reserves
}

// WithOrder returns the lease with the target that its holder will order to
// lead.
func (l Lease) WithOrder(target string) Lease {
	l.Target = target
	return l
}

// WithDone returns the lease after its order was carried out.
func (l Lease) WithDone() Lease {
	l.Done = true
	return l
}

// WithVersion returns the lease as stored at a version.
func (l Lease) WithVersion(version uint64) Lease {
	l.Version = version
	return l
}

// HeldByOther tells whether another host than the given one claimed it less than a
// time ago and is not done.
func (l Lease) HeldByOther(host string, now, hold time.Duration) bool {
	return l.Token > 0 && l.Holder != host && !l.Done && now-l.At < hold
}
