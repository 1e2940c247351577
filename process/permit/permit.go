// Package permit decides until when a host may send commits to a leader that other hosts
// may be replacing.
package permit

import "time"

// Permit is how long a host may send commits without a confirmation that no host had
// announced to replace the leader. A host that replaces a leader that it could not demote
// announces that, and waits until the permits of all hosts have lapsed that may not have
// learned of it. A Permit is immutable. The zero Permit never lapses.
type Permit struct {
	// limit is the age at which a confirmation lapses, 0 if none does.
	limit time.Duration
	// confirmed is the time up to which other hosts confirmed that they knew of no
	// announcement, 0 if they never did.
	confirmed time.Duration
}

// New returns a Permit without a confirmation. Confirmations lapse after limit.
func New(limit time.Duration) Permit {
	return Permit{limit: limit}
}

// WithConfirmed returns the Permit after other hosts were asked at a time and confirmed that
// they knew of no announcement.
func (p Permit) WithConfirmed(at time.Duration) Permit {
	p.confirmed = max(p.confirmed, at)
	return p
}

// WithoutConfirmation returns the Permit without what other hosts confirmed, which they did for
// another leader.
func (p Permit) WithoutConfirmation() Permit {
	p.confirmed = 0
	return p
}

// Left returns for how long commits may still be sent, which is not positive once the permit
// has lapsed. The table of leases, in which hosts announce replacements, is known as it was
// at the time known, 0 if it is not known.
func (p Permit) Left(now, known time.Duration) time.Duration {
	if p.limit == 0 {
		return time.Hour
	}
	newest := max(p.confirmed, known)
	if newest == 0 {
		return 0
	}
	return newest + p.limit - now
}

// RenewalDue reports whether other hosts should be asked for a confirmation, given what Left
// returned.
func (p Permit) RenewalDue(left time.Duration) bool {
	return p.limit != 0 && left < p.limit/8
}

// Majority reports whether the hosts that confirmed are more than half of those that send
// commits to the leader. Any such majority has a host in common with those that answered the
// announcement of a replacement, since no more than half of the hosts may not have.
func Majority(confirmed, hosts int) bool {
	return 2*confirmed > hosts
}
