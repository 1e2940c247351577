// Package reply defines the answer to one statement.
package reply

import (
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// The transaction states of a session after a reply.
const (
	// Idle means outside of a transaction.
	Idle byte = 'I'
	// Open means inside a transaction.
	Open byte = 'T'
	// Failed means inside a transaction that can only be rolled back.
	Failed byte = 'E'
)

// NoSignature is the signature in replies to statements that the proxy answers
// itself.
const NoSignature = "-"

// Reply is the answer to one statement. A Reply is immutable; Rows must not
// be written to.
type Reply struct {
	// Rows holds the rows of the result, each as one text.
	Rows []string
	// Signature is the target's confirmation that it ran the statement. It is
	// passed on to the caller unchanged.
	Signature string
	// Code is code.Done if the statement succeeded, otherwise the kind of
	// failure.
	Code code.Code
	// Reason describes the failure; it is sent to the caller.
	Reason string
	// Status is the session's transaction state after the statement: Idle, Open
	// or Failed.
	Status byte
	// Mark is the position of the last entry in the target's log. It is zero if
	// the target did not report the position, or if the proxy made the reply.
	Mark mark.Mark
}

// Done returns the reply without rows to a statement that the proxy answers
// itself. status is the session's transaction state.
func Done(status byte) Reply {
	return Reply{Signature: NoSignature, Status: status}
}

// Refuse returns a reply with an error and the transaction state Idle.
func Refuse(c code.Code, reason string) Reply {
	return Reply{Code: c, Reason: reason, Status: Idle}
}

// WithStatus returns the reply with another transaction state.
func (r Reply) WithStatus(status byte) Reply {
	r.Status = status
	return r
}

// OK reports whether the statement succeeded.
func (r Reply) OK() bool {
	return r.Code == code.Done
}
