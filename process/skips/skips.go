// Package skips decides for how long a host that could not be reached is not asked.
package skips

import "time"

const (
	// minLength is how long a host is skipped after it could not be reached. The time
	// doubles with each failure in a row, up to MaxLength.
	minLength = time.Second
	// MaxLength bounds the time, since a host that never returns may stay registered.
	MaxLength = time.Minute
)

// Skips holds the hosts that are skipped. Its times are those of the caller's clock. It
// is not safe for concurrent use.
type Skips struct {
	periods map[string]period
}

// period is the time for which a host is skipped: its end, and its length if the host
// could not be reached.
type period struct {
	until  time.Duration
	length time.Duration
}

// New returns a Skips without hosts.
func New() *Skips {
	return &Skips{periods: map[string]period{}}
}

// Unreachable skips a host that could not be reached, for longer with each failure in a
// row, and returns for how long.
func (s *Skips) Unreachable(host string, now time.Duration) time.Duration {
	length := min(max(2*s.periods[host].length, minLength), MaxLength)
	s.periods[host] = period{now + length, length}
	return length
}

// Until skips a host until a time, and forgets its failures.
func (s *Skips) Until(host string, until time.Duration) {
	s.periods[host] = period{until: until}
}

// Clear ends the skipping of a host, and forgets its failures.
func (s *Skips) Clear(host string) {
	delete(s.periods, host)
}

// End returns until when a host is skipped, or 0 if it never was.
func (s *Skips) End(host string) time.Duration {
	return s.periods[host].until
}
