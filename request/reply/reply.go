// Package reply holds what a statement is answered with.
package reply

import (
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// The states of a session after a reply.
const (
	// Idle is outside of a transaction.
	Idle byte = 'I'
	// Open is inside a transaction.
	Open byte = 'T'
	// Failed is inside a transaction that can only be rolled back.
	Failed byte = 'E'
)

// NoSignature is the signature of statements that the proxy answers itself.
const NoSignature = "-"

// Reply is the answer to one statement. A Reply is immutable; Rows must not
// be written to.
type Reply struct {
	// Rows are the rows, in order.
	Rows []string
	// Signature is the target's proof that it ran the statement.
	Signature string
	// Code is code.Done or what went wrong.
	Code code.Code
	// Reason says in words what went wrong.
	Reason string
	// Status is the session's state after it: Idle, Open or Failed.
	Status byte
	// Mark is the end of the target's log, zero where it is not told.
	Mark mark.Mark
}

// Done returns the reply to a statement that needed no target.
func Done(status byte) Reply {
	return Reply{Signature: NoSignature, Status: status}
}

// Refuse returns a reply that carries an error.
func Refuse(c code.Code, reason string) Reply {
	return Reply{Code: c, Reason: reason, Status: Idle}
}

// WithStatus returns the reply with another state of the session.
func (r Reply) WithStatus(status byte) Reply {
	r.Status = status
	return r
}

// OK tells whether the statement succeeded.
func (r Reply) OK() bool {
	return r.Code == code.Done
}
