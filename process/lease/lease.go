// Package lease defines the lease that a host needs to replace a group's
// leader.
package lease

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/stamp"
)

// eraShift is the number of bits of a fencing token that hold the version of the store;
// those above hold the era. At 3,200 writes a second, 44 bits last for 170 years.
const eraShift = 44

// Lease is the right to order the replacement of one group's leader. A Lease is
// immutable. A new value is stored only if the stored lease has not changed
// since it was read. The token of a claim is the position at which the claim was
// stored, so that no other claim ever has it, even if the store loses the claim.
type Lease struct {
	// Group is the name of the database group.
	Group string
	// Holder is the host that last claimed the lease, in advance or not.
	Holder string
	// Token is the fencing token, which increases with each claim. It is 0 until the
	// claim is stored. The platform refuses an order if it has seen a higher token.
	Token uint64
	// Target is the target that was ordered to lead, empty if there is no
	// order. After a claim in advance, it is the target that was leader at that
	// time.
	Target string
	// Former is the target that the order replaces, and FormerTerm the term that it led.
	// They are kept with Target while the order may still be carried out.
	Former     string
	FormerTerm uint64
	// Replaces is the leader that the holder is about to replace and could not demote. Hosts
	// that read it send that leader no commits. It is empty if the holder did not announce
	// that.
	Replaces string
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
	// Stored is the position of the stored row. Its version is 0 if the lease was
	// never stored.
	Stored stamp.Stamp
}

// New returns the lease of a group that was never claimed.
func New(group string) Lease {
	return Lease{Group: group}
}

// WithClaim returns the lease as claimed by a host at the given time. The claim gets
// its fencing token when it is stored. It keeps Target if the order to promote that
// target may still be carried out.
func (l Lease) WithClaim(host string, at time.Duration) Lease {
	l.Holder = host
	l.Token = 0
	if l.Done {
		l.Target, l.Former, l.FormerTerm = "", "", 0
	}
	l.Done = false
	l.Reserve = false
	l.Reserves = 0
	l.Replaces = ""
	l.At = at
	return l
}

// WithReplaces returns the lease with the leader that its holder announces to replace, and
// its claim renewed at the given time.
func (l Lease) WithReplaces(leader string, at time.Duration) Lease {
	l.Replaces = leader
	l.At = at
	return l
}

// WithReserve returns the lease as claimed in advance by a host while the given
// target leads. The claim gets its fencing token when it is stored. Such a claim does
// not prevent other hosts from claiming the lease.
func (l Lease) WithReserve(host, leader string) Lease {
	if l.Target != leader {
		l.Reserves = 0
	}
	l.Holder = host
	l.Token = 0
	l.Target, l.Former, l.FormerTerm, l.Replaces = leader, "", 0, ""
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

// WithFormer returns the lease with the target that the order replaces and the term that
// this target led.
func (l Lease) WithFormer(former string, term uint64) Lease {
	l.Former, l.FormerTerm = former, term
	return l
}

// WithDone returns the lease with its order marked as carried out.
func (l Lease) WithDone() Lease {
	l.Done = true
	return l
}

// WithStored returns the lease as stored at a position. A claim gets its fencing token.
func (l Lease) WithStored(at stamp.Stamp) Lease {
	l.Stored = at
	if l.Token == 0 && at.Version > 0 {
		l.Token = at.Era<<eraShift | at.Version
	}
	return l
}

// HeldByOther reports whether another host made the last claim less than the
// duration hold ago, not in advance, and its order was not carried out yet.
func (l Lease) HeldByOther(host string, now, hold time.Duration) bool {
	return l.Token > 0 && l.Holder != host && !l.Done && now-l.At < hold
}
