// Package draw accounts for the memory that one connection holds of a process's budget.
package draw

import (
	"math"
	"sync/atomic"

	"github.com/pistachiotray/pistachiotray/process/budget"
)

// left is the ID of a Draw that left its budget, which no taker has.
const left = math.MaxUint64

// Draw is what one connection holds of a budget. It joins the budget with the first bytes that
// it draws, so that connections with small messages cost little. A nil Draw has no limits. The
// methods may be called concurrently.
type Draw struct {
	budget *budget.Budget
	end    func()
	// id is the ID of the taker, 0 before it joined the budget.
	id atomic.Uint64
	// progress is called before the connection waits for more of a long message, unless it is
	// nil.
	progress func()
}

// WithProgress returns an option that sets a function that is called before each wait for more
// of a long message.
func WithProgress(f func()) func(*Draw) {
	return func(s *Draw) { s.progress = f }
}

// New returns the Draw of a connection. The function end closes the connection when the budget
// is used up; it must not block. With nil the connection is never closed for that. Without a
// budget New returns nil.
func New(b *budget.Budget, end func(), options ...func(*Draw)) *Draw {
	if b == nil {
		return nil
	}
	s := &Draw{budget: b, end: end}
	for _, o := range options {
		o(s)
	}
	return s
}

// join returns the ID of the taker, which joins the budget unless it has or has left.
func (s *Draw) join() uint64 {
	if id := s.id.Load(); id != 0 {
		return id
	}
	id := s.budget.Join(s.end)
	if !s.id.CompareAndSwap(0, id) {
		s.budget.Leave(id)
	}
	return s.id.Load()
}

// Begin notes that a long message begins, which arrives or is sent.
func (s *Draw) Begin() {
	if s != nil {
		s.budget.Begin(s.join())
	}
}

// Progress notes that the connection is about to wait for more of a long message.
func (s *Draw) Progress() {
	if s != nil && s.progress != nil {
		s.progress()
	}
}

// Finish notes that a long message is complete, or was given up.
func (s *Draw) Finish() {
	if s != nil {
		s.budget.Finish(s.join())
	}
}

// Draw draws n bytes before they are used, and may wait. It returns an error if there are none.
func (s *Draw) Draw(n int) error {
	if s == nil {
		return nil
	}
	return s.budget.Draw(s.join(), n)
}

// DrawSlab draws n bytes and returns the memory, whose content is undefined. It may wait, and
// returns an error if there are no bytes.
func (s *Draw) DrawSlab(n int) ([]byte, error) {
	if s == nil {
		return make([]byte, n), nil
	}
	return s.budget.DrawSlab(s.join(), n)
}

// ReturnSlab gives back memory of DrawSlab for reuse.
func (s *Draw) ReturnSlab(slab []byte) {
	if s != nil {
		s.budget.ReturnSlab(s.join(), slab)
	}
}

// Charge draws n bytes that are used already, without waiting.
func (s *Draw) Charge(n int) {
	if s != nil && n > 0 {
		s.budget.Charge(s.join(), n)
	}
}

// Return gives back n bytes, which are not used again.
func (s *Draw) Return(n int) {
	if s != nil && n > 0 {
		s.budget.Return(s.join(), n)
	}
}

// SetWorking notes whether a statement of the connection runs.
func (s *Draw) SetWorking(working bool) {
	if s == nil {
		return
	}
	if id := s.id.Load(); id != 0 {
		s.budget.SetWorking(id, working)
	}
}

// Leave gives back all that the connection holds. The Draw can't be used any more.
func (s *Draw) Leave() {
	if s != nil {
		s.budget.Leave(s.id.Swap(left))
	}
}
