// Package stmt holds one statement of a caller, decoded from its protocol.
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
	// Commit ends a transaction and keeps what it wrote.
	Commit
	// Rollback ends a transaction and drops what it wrote.
	Rollback
	// Read returns rows of one item.
	Read
	// Write changes one item.
	Write
	// Set gives a session value.
	Set
	// Prepare names a statement.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate forgets a prepared statement.
	Deallocate
	// Reset clears the values and prepared statements of a connection.
	Reset
	// Pause stops a target from receiving in terms below Rest.
	Pause
	// Resume lets a target receive again.
	Resume
	// Status asks a target how it stands; it takes a slot.
	Status
)

// Own is the id of statements that the proxy issues itself.
const ProxyID = "-"

// Stmt is one statement. A Stmt is immutable.
type Stmt struct {
	// ID is the caller's id of the statement, or Own.
	ID string
	// Kind is one of the constants above.
	Kind int
	// Text is the whole text as the caller sent it.
	Text string
	// Name is the session value or prepared statement that it names.
	Name string
	// Rest is the text after the name: a value, a shape, or an item with data.
	Rest string
	// Writes tells of Prepare and Execute whether the statement writes.
	Writes bool
	// After is the log position that the target must hold; zero asks for none.
	After mark.Mark
	// Arrived is when it was read, as time since the machine started. It
	// counts suspended time.
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

// WithAfter returns the statement asking for a log that holds m.
func (s Stmt) WithAfter(m mark.Mark) Stmt {
	s.After = m
	return s
}

// WithArrived returns the statement with its time of arrival.
func (s Stmt) WithArrived(at time.Duration) Stmt {
	s.Arrived = at
	return s
}

// Changes tells whether the statement writes data.
func (s Stmt) WritesData() bool {
	return s.Kind == Write || s.Kind == Execute && s.Writes
}
