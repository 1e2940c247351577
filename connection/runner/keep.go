package runner

import (
	"strings"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// freeBytes is the memory of values and prepared statements that is not accounted for. Most
// sessions keep less.
const freeBytes = 4 << 10

// account accounts for the memory that a session keeps.
type account interface {
	// Charge notes that n more bytes are used.
	Charge(n int)
	// Return notes that n bytes are not used any more.
	Return(n int)
}

// limits bound what a session keeps.
type limits struct {
	account account
	// values is the most values and prepared statements, and size the most memory that they
	// may take, in bytes.
	values, size int
}

// WithLimits returns an option that bounds the number of the session's values and prepared
// statements and the memory that they take, in bytes, and accounts for that memory. Without it
// there is no limit.
func WithLimits(a account, values, size int) func(*Runner) {
	return func(r *Runner) { r.limits = &limits{a, values, size} }
}

// keptTexts returns the name and the rest of a statement for being kept. They are parts of the
// message, and are copied if much of it would be kept with them.
func keptTexts(s stmt.Stmt) (name, rest string) {
	const maxIDBytes = 64
	if len(s.ID) <= maxIDBytes {
		return s.Name, s.Rest
	}
	return strings.Clone(s.Name), strings.Clone(s.Rest)
}

// keep replaces the session's state by one with other values or prepared statements, unless
// they pass the limits.
func (r *Runner) keep(next caller.Caller) reply.Reply {
	if r.limits == nil {
		r.caller = next
		return reply.Done(r.caller.Status)
	}
	_, before := r.caller.Kept()
	count, size := next.Kept()
	if size > before && (count > r.limits.values || size > r.limits.size) {
		return reply.Refuse(code.MessageTooLarge, "the session keeps too many values and prepared statements")
	}
	r.caller = next
	if change := max(size, freeBytes) - max(before, freeBytes); change > 0 {
		r.limits.account.Charge(change)
	} else if change < 0 {
		r.limits.account.Return(-change)
	}
	return reply.Done(r.caller.Status)
}
