// Package batch defines a group of statements that run on one connection to a target.
package batch

import (
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// defaultWait bounds the wait of a batch for a connection if WithWait is not used.
// In practice the context ends earlier.
const defaultWait = time.Hour

// Batch is a group of statements for one connection to a target. It must be safe to
// run twice, for example because it only reads or only begins a transaction. A Batch
// is immutable; Stages must not be written to.
type Batch struct {
	// Caller is the session whose values and prepared statements must be set on the
	// connection.
	Caller caller.Caller
	// Priority is the route's priority. Batches with a lower number get a connection
	// first.
	Priority int
	// Kind names the kind of work, within which times can be compared. It is empty if
	// nothing is known.
	Kind string
	// Wait bounds the wait for a connection.
	Wait time.Duration
	// Keep means that the connection is handed to the requester if all statements
	// succeeded. Otherwise it is returned to its pool after the batch.
	Keep bool
	// Fresh makes the host that runs the batch choose the log position that the target
	// must have reached for the first statement, so that the data is at most MaxAge old
	// when the batch reaches the host. MaxAge may be 0: the data then includes all commits
	// that were acknowledged until then.
	Fresh  bool
	MaxAge time.Duration
	// Stages are sent one after another. The statements of one stage are sent together.
	// After a failed statement no further stage is sent.
	Stages [][]stmt.Stmt
}

// New returns a batch of stages for a caller.
func New(c caller.Caller, stages ...[]stmt.Stmt) Batch {
	return Batch{Caller: c, Wait: defaultWait, Stages: stages}
}

// WithPriority returns the batch with another priority.
func (b Batch) WithPriority(priority int) Batch {
	b.Priority = priority
	return b
}

// WithKind returns the batch with another kind of work.
func (b Batch) WithKind(kind string) Batch {
	b.Kind = kind
	return b
}

// WithWait returns the batch with another maximum wait for a connection.
func (b Batch) WithWait(d time.Duration) Batch {
	b.Wait = d
	return b
}

// WithMaxAge returns the batch with Fresh set, and a maximum age of the data that it reads.
func (b Batch) WithMaxAge(d time.Duration) Batch {
	b.Fresh, b.MaxAge = true, d
	return b
}

// WithPosition returns the batch with a log position that the target must have reached
// for the first statement, unless that statement requires a later one, and Fresh unset.
func (b Batch) WithPosition(m mark.Mark) Batch {
	first := slices.Clone(b.Stages[0])
	first[0] = first[0].WithAfter(m.Max(first[0].After))
	b.Stages = slices.Clone(b.Stages)
	b.Stages[0] = first
	b.Fresh, b.MaxAge = false, 0
	return b
}

// WithKeep returns the batch with Keep set.
func (b Batch) WithKeep() Batch {
	b.Keep = true
	return b
}

// Prepared returns a Prepare statement for each execution of a prepared statement in
// the batch.
func (b Batch) Prepared() []stmt.Stmt {
	var prepares []stmt.Stmt
	for _, stage := range b.Stages {
		for _, s := range stage {
			if statement, writes, ok := b.Caller.Prepared(s.Name); ok && s.Kind == stmt.Execute {
				prepares = append(prepares, stmt.New(stmt.ProxyID, stmt.Prepare, "").WithName(s.Name, statement).WithWrites(writes))
			}
		}
	}
	return prepares
}
