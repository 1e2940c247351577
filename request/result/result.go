// Package result holds what came of running one request in a slot.
package result

import "github.com/pistachiotray/pistachiotray/request/mark"

// The ways in which a run can fail.
const (
	// Answered is a run whose answer is complete, be it an error of the target.
	Answered = iota
	// Unsent is a run of which nothing was sent.
	Unsent
	// Lost is a run that was sent, wholly or in part, and not fully answered.
	Lost
	// Overflow is a run that was given up since its caller did not read.
	Overflow
)

// The states of a slot's transaction, as ReadyForQuery gives them.
const (
	// Idle is a slot outside a transaction.
	Idle byte = 'I'
	// Open is a slot inside a transaction.
	Open byte = 'T'
	// Failed is a slot inside a failed transaction.
	Failed byte = 'E'
)

// Result says what came of one run. A Result is immutable.
type Result struct {
	// Failure is Answered, Unsent, Lost or Overflow.
	Failure int
	// Status is the state of the slot's transaction after the run.
	Status byte
	// Term is the term that the member followed after the run.
	Term uint64
	// Primary tells that the member was the primary of Term after the run.
	Primary bool
	// Mark is the end of what the run could see or wrote; zero if not known.
	Mark mark.Mark
	// Conflict tells that the idempotency key was in the marker table before.
	Conflict bool
	// Withdrawn tells that the key found was withdrawn: its request never ran.
	Withdrawn bool
	// Restored tells that the answer of the run that came first was found with
	// its key and passed on.
	Restored bool
	// Refused tells that the target answered with an error.
	Refused bool
}

// New returns the result of an answered run.
func New(status byte, m mark.Mark) Result {
	return Result{Status: status, Mark: m, Term: m.Term}
}

// WithFailure returns the result with another way of failing.
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

// WithConflict returns the result marked as a conflict of its key.
func (r Result) WithConflict(conflict bool) Result {
	r.Conflict = conflict
	return r
}

// WithWithdrawn returns the result marked as finding a withdrawn key.
func (r Result) WithWithdrawn(withdrawn bool) Result {
	r.Withdrawn = withdrawn
	return r
}

// WithRestored returns the result marked as passing on an earlier answer.
func (r Result) WithRestored(restored bool) Result {
	r.Restored = restored
	return r
}

// WithRefused returns the result marked as an error of the target.
func (r Result) WithRefused(refused bool) Result {
	r.Refused = refused
	return r
}
