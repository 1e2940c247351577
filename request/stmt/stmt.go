// Package stmt defines one statement of a caller, decoded from the line
// protocol.
package stmt

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

// The kinds of statement.
const (
	// Unknown is a statement that could not be decoded.
	Unknown = iota
	// Begin opens a transaction that may write.
	Begin
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and discards its writes.
	Rollback
	// Read returns the rows of one item.
	Read
	// Write changes one item.
	Write
	// Set assigns a session value.
	Set
	// Prepare defines a prepared statement.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
	// Reset clears the values and prepared statements of a connection.
	Reset
	// Pause makes a target stop replicating from leaders whose term is below
	// Rest.
	Pause
	// Resume lets a target replicate again.
	Resume
	// Status asks a target for its replication state and load; it takes a slot.
	Status
)

// ProxyID is the id of statements that the proxy issues itself.
const ProxyID = "-"

// Stmt is one statement. A Stmt is immutable.
type Stmt struct {
	// ID is the caller's id of the statement, or ProxyID.
	ID string
	// Kind is one of the kinds above, Unknown to Status.
	Kind int
	// Text is the complete text as the caller sent it.
	Text string
	// Name is the item, session value or prepared statement that it refers to.
	Name string
	// Rest is the text after the name: data, a value, the shape of a prepared
	// statement, or the item and data of an execution.
	Rest string
	// Writes means that the prepared statement of a Prepare or Execute writes.
	Writes bool
	// After is the log position that the target must have; zero means any.
	After mark.Mark
	// Arrived is when the statement was read, as time since the boot of the
	// host's machine, suspended time included.
	Arrived time.Duration
}

// New returns a statement of a kind.
func New(id string, kind int, text string) Stmt {
	return Stmt{ID: id, Kind: kind, Text: text}
}

// WithName returns the statement with a name and the text after it.
func (s Stmt) WithName(name, rest string) Stmt {
	s.Name = name
	s.Rest = rest
	return s
}

// WithWrites returns the statement marked as a write or a read.
func (s Stmt) WithWrites(writes bool) Stmt {
	s.Writes = writes
	return s
}

// WithAfter returns the statement with m as the log position that the target
// must have.
func (s Stmt) WithAfter(m mark.Mark) Stmt {
	s.After = m
	return s
}

// WithArrived returns the statement with its time of arrival.
func (s Stmt) WithArrived(at time.Duration) Stmt {
	s.Arrived = at
	return s
}

// WritesData reports whether the statement writes data.
func (s Stmt) WritesData() bool {
	return s.Kind == Write || s.Kind == Execute && s.Writes
}
