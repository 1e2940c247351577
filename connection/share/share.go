// Package share accounts for the memory that one connection holds of a process's budget.
package share

import "github.com/pistachiotray/pistachiotray/process/budget"

// Share is what one connection holds of a budget. A nil Share has no limits. The methods may be
// called concurrently.
type Share struct {
	budget *budget.Budget
	id     uint64
	// progress is called before the connection waits for more of a long message.
	progress func()
}

// WithProgress returns an option that sets a function that is called before each wait for more
// of a long message.
func WithProgress(f func()) func(*Share) {
	return func(s *Share) { s.progress = f }
}

// New returns the share of a connection. The function end closes the connection when the budget
// is used up; it must not block. With nil the connection is never closed for that. Without a
// budget New returns nil.
func New(b *budget.Budget, end func(), options ...func(*Share)) *Share {
	if b == nil {
		return nil
	}
	s := &Share{budget: b, id: b.Join(end), progress: func() {}}
	for _, o := range options {
		o(s)
	}
	return s
}

// Begin notes that a long message begins, which arrives or is sent.
func (s *Share) Begin() {
	if s != nil {
		s.budget.Begin(s.id)
	}
}

// Progress notes that the connection is about to wait for more of a long message.
func (s *Share) Progress() {
	if s != nil {
		s.progress()
	}
}

// Finish notes that a long message is complete, or was given up.
func (s *Share) Finish() {
	if s != nil {
		s.budget.Finish(s.id)
	}
}

// Draw draws n bytes before they are used, and may wait. It returns an error if there are none.
func (s *Share) Draw(n int) error {
	if s == nil {
		return nil
	}
	return s.budget.Draw(s.id, n)
}

// Charge draws n bytes that are used already, without waiting.
func (s *Share) Charge(n int) {
	if s != nil {
		s.budget.Charge(s.id, n)
	}
}

// Return gives back n bytes.
func (s *Share) Return(n int) {
	if s != nil {
		s.budget.Return(s.id, n)
	}
}

// SetWorking notes whether a statement of the connection runs.
func (s *Share) SetWorking(working bool) {
	if s != nil {
		s.budget.SetWorking(s.id, working)
	}
}

// Leave gives back all that the connection holds. The Share can't be used any more.
func (s *Share) Leave() {
	if s != nil {
		s.budget.Leave(s.id)
	}
}
