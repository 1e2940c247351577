// Package result defines the result of one run of a request in a slot.
package result

import "github.com/pistachiotray/pistachiotray/request/mark"

// The values of Result.Failure.
const (
	// Answered means that the answer is complete; the answer may be an error of the
	// target.
	Answered = iota
	// Unsent means that the run failed before any of the request was sent.
	Unsent
	// Lost means that the run failed after at least a part of the request was sent
	// and before the answer was complete.
	Lost
	// Overflow means that the run was aborted because its caller left or did not
	// read the answer.
	Overflow
)

// The states of a slot's transaction, as encoded in ReadyForQuery.
const (
	// Idle means that the slot is outside a transaction.
	Idle byte = 'I'
	// Open means that the slot is inside a transaction.
	Open byte = 'T'
	// Failed means that the slot is inside a failed transaction.
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
	// Mark is the last log position that the run wrote or could read. It is zero
	// if the position is not known.
	Mark mark.Mark
	// Conflict means that the idempotency key was found in the marker table: an
	// earlier run or another request used the key first.
	Conflict bool
	// Withdrawn means that the marker table marks the idempotency key as
	// withdrawn: its request never ran.
	Withdrawn bool
	// Restored means that the earlier run's answer was restored from the marker
	// table and passed on to the caller.
	Restored bool
	// TargetError means that the target's answer is an error.
	TargetError bool
}

// New returns the result of an answered run with the slot's transaction state
// and the log position.
func New(status byte, m mark.Mark) Result {
	return Result{Status: status, Mark: m, Term: m.Term}
}

// WithFailure returns the result with Failure set to failure.
func (r Result) WithFailure(failure int) Result {
	r.Failure = failure
	return r
}

// WithMember returns the result with the member's term and whether the member is
// the primary of that term.
func (r Result) WithMember(term uint64, primary bool) Result {
	r.Term = term
	r.Primary = primary
	return r
}

// WithConflict returns the result with Conflict set to conflict.
func (r Result) WithConflict(conflict bool) Result {
	r.Conflict = conflict
	return r
}

// WithWithdrawn returns the result with Withdrawn set to withdrawn.
func (r Result) WithWithdrawn(withdrawn bool) Result {
	r.Withdrawn = withdrawn
	return r
}

// WithRestored returns the result with Restored set to restored.
func (r Result) WithRestored(restored bool) Result {
	r.Restored = restored
	return r
}

// WithTargetError returns the result with TargetError set to targetError.
func (r Result) WithTargetError(targetError bool) Result {
	r.TargetError = targetError
	return r
}
