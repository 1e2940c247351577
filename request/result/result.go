// Package result defines the result of running one request in a slot.
package result

import "github.com/pistachiotray/pistachiotray/request/mark"

// The values of Result.Failure.
const (
	// Answered is a run whose answer is complete, even if it is an error of the
	// target.
	Answered = iota
	// Unsent is a run of which nothing was sent.
	Unsent
	// Lost is a run that was sent, wholly or in part, and not fully answered.
	Lost
	// Overflow is a run that was aborted because its caller did not read.
	Overflow
)

// The states of a slot's transaction, as encoded in ReadyForQuery.
const (
	// Idle is a slot outside a transaction.
	Idle byte = 'I'
	// Open is a slot inside a transaction.
	Open byte = 'T'
	// Failed is a slot inside a failed transaction.
	Failed byte = 'E'
)

// Result is the result of one run. A Result is immutable.
type Result struct {
	// Failure is Answered, Unsent, Lost or Overflow.
	Failure int
	// Status is the state of the slot's transaction after the run.
	Status byte
	// Term is the member's leadership term after the run.
	Term uint64
	// Primary means that the member was the primary of Term after the run.
	Primary bool
	// Mark is the last log position that the run could see or wrote; zero if
	// not known.
	Mark mark.Mark
	// Conflict means that the idempotency key was in the marker table before.
	Conflict bool
	// Withdrawn means that the key was found withdrawn: its request never ran.
	Withdrawn bool
	// Restored means that the answer of the first run was stored with its key
	// and was passed on.
	Restored bool
	// Refused means that the target answered with an error.
	Refused bool
}

// New returns the result of an answered run.
func New(status byte, m mark.Mark) Result {
	return Result{Status: status, Mark: m, Term: m.Term}
}

// WithFailure returns the result with another kind of failure.
func (r Result) WithFailure(failure int) Result {
	r.Failure = failure
	return r
}

// WithMember returns the result with the term and role of the member.
func (r Result) WithMember(term uint64, primary bool) Result {
	r.Term = term
	r.Primary = primary
	return r
}

// WithConflict returns the result marked as a conflict of idempotency keys.
func (r Result) WithConflict(conflict bool) Result {
	r.Conflict = conflict
	return r
}

// WithWithdrawn returns the result marked as one whose key was withdrawn.
func (r Result) WithWithdrawn(withdrawn bool) Result {
	r.Withdrawn = withdrawn
	return r
}

// WithRestored returns the result marked as the answer of the first run.
func (r Result) WithRestored(restored bool) Result {
	r.Restored = restored
	return r
}

// WithRefused returns the result marked as an error of the target.
func (r Result) WithRefused(refused bool) Result {
	r.Refused = refused
	return r
}
