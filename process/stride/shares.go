// Package stride divides work among parties by weight (stride scheduling).
package stride

import "time"

// share is the state of one party.
type share struct {
	weight int
	// pass is the time that the party has used, in nanoseconds, divided by its weight. The
	// party with the lowest pass comes first.
	pass float64
	// waiting counts the party's waiting calls, and work sums their expected times.
	waiting int
	work    time.Duration
}

// Shares holds the shares of all parties by name. It has no lock and no clock.
type Shares struct {
	shares map[string]*share
	// pass is the highest pass at which a party was granted time.
	pass float64
}

// New returns Shares without parties.
func New() *Shares {
	return &Shares{shares: map[string]*share{}}
}

// Weigh sets the weight of a party, which it adds if needed. A weight below 1 counts as 1.
func (s *Shares) Weigh(name string, weight int) {
	s.of(name).weight = max(weight, 1)
}

// of returns the share of a party, which it adds with a weight of 1 if needed.
func (s *Shares) of(name string) *share {
	sh, ok := s.shares[name]
	if !ok {
		sh = &share{weight: 1}
		s.shares[name] = sh
	}
	return sh
}

// Retain removes the parties that are not to be kept and have no waiting calls.
func (s *Shares) Retain(keep func(name string) bool) {
	for name, sh := range s.shares {
		if sh.waiting == 0 && !keep(name) {
			delete(s.shares, name)
		}
	}
}

// Enter adds a waiting call. A party without waiting calls is moved up to the current pass,
// so that it gets no credit for the time in which it was idle.
func (s *Shares) Enter(name string, expected time.Duration) {
	sh := s.of(name)
	if sh.waiting == 0 {
		sh.pass = max(sh.pass, s.pass)
	}
	sh.waiting++
	sh.work += expected
}

// Leave removes a waiting call.
func (s *Shares) Leave(name string, expected time.Duration) {
	sh := s.of(name)
	sh.waiting--
	sh.work -= expected
}

// Charge increases the pass of a party that is granted time by the expected time divided by
// its weight.
func (s *Shares) Charge(name string, expected time.Duration) {
	sh := s.of(name)
	s.pass = max(s.pass, sh.pass)
	sh.pass += float64(expected) / float64(sh.weight)
}

// Correct corrects the pass of a party by the difference of the time that a call took to the
// expected time. It ignores a party that is not known.
func (s *Shares) Correct(name string, took, expected time.Duration) {
	if sh, ok := s.shares[name]; ok {
		sh.pass += float64(took-expected) / float64(sh.weight)
	}
}

// Pass returns the pass of a party. The party with the lowest pass comes first.
func (s *Shares) Pass(name string) float64 {
	return s.of(name).pass
}

// Weight returns the weight of a party.
func (s *Shares) Weight(name string) int {
	return s.of(name).weight
}

// Work returns the expected time of a party's waiting calls, its weight, and the sum of its
// weight and the weights of all other parties that have waiting calls. It returns false if the
// party is not known.
func (s *Shares) Work(name string) (work time.Duration, weight, sum int, ok bool) {
	own, ok := s.shares[name]
	if !ok {
		return 0, 0, 0, false
	}
	sum = own.weight
	for _, sh := range s.shares {
		if sh != own && sh.waiting > 0 {
			sum += sh.weight
		}
	}
	return own.work, own.weight, sum, true
}
