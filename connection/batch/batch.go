// Package batch defines the work that is run on one connection to a target.
package batch

import (
	"time"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// defaultWait bounds the wait for a connection if no other bound is set. In
// practice the context ends before.
const defaultWait = time.Hour

// Batch is work for one connection to a target. It must be safe to run twice,
// such as reads or the begin of a transaction. A Batch is immutable; Stages must
// not be written to.
type Batch struct {
	// Caller is the session whose values and prepared statements must be set on the
	// connection.
	Caller caller.Caller
	// Priority orders the batches that wait for a connection; it is that of a route.
	Priority int
	// Wait bounds the wait for a connection.
	Wait time.Duration
	// Keep leaves the connection with the requester if all statements succeeded.
	// Otherwise the connection is returned to its pool after the batch.
	Keep bool
	// Stages are sent one after another, the statements of a stage together. After a
	// statement that fails, no further stage is sent.
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

// WithWait returns the batch with another bound on the wait for a connection.
func (b Batch) WithWait(d time.Duration) Batch {
	b.Wait = d
	return b
}

// WithKeep returns the batch with its connection kept.
func (b Batch) WithKeep() Batch {
	b.Keep = true
	return b
}

// Prepared returns the statements that prepare those that the batch executes.
func (b Batch) Prepared() []stmt.Stmt {
	var found []stmt.Stmt
	for _, stage := range b.Stages {
		for _, s := range stage {
			if text, writes, ok := b.Caller.Prepared(s.Name); ok && s.Kind == stmt.Execute {
				found = append(found, stmt.New(stmt.ProxyID, stmt.Prepare, "").WithName(s.Name, text).WithWrites(writes))
			}
		}
	}
	return found
}
