// Package batch holds what is to be run on one connection to a target.
package batch

import (
	"time"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// unlimited is how long a connection is waited for where nothing is told: the
// context ends before.
const unlimited = time.Hour

// Batch is work for one connection to a target. It must be safe to run twice:
// reads, and the beginning of a transaction. A Batch is immutable; Stages must
// not be written to.
type Batch struct {
	// Caller is whose values and prepared statements the connection must carry.
	Caller caller.Caller
	// Priority orders those that wait for a connection, as of a route.
	Priority int
	// Wait bounds the wait for a connection.
	Wait time.Duration
	// Keep leaves the connection to whoever asked where all statements
	// succeeded. Otherwise it is free again afterwards.
	Keep bool
	// Stages are sent one after another, the statements of each together. A
	// statement that fails ends the batch with its stage.
	Stages [][]stmt.Stmt
}

// New returns the stages for a caller.
func New(c caller.Caller, stages ...[]stmt.Stmt) Batch {
	return Batch{Caller: c, Wait: unlimited, Stages: stages}
}

// WithPriority returns the batch with another priority.
func (b Batch) WithPriority(priority int) Batch {
	b.Priority = priority
	return b
}

// WithWait returns the batch with another bound of the wait for a connection.
func (b Batch) WithWait(d time.Duration) Batch {
	b.Wait = d
	return b
}

// WithKeep returns the batch with its connection kept.
func (b Batch) WithKeep() Batch {
	b.Keep = true
	return b
}

// Prepared returns the statements that prepare what the batch executes.
func (b Batch) Prepared() []stmt.Stmt {
	var found []stmt.Stmt
	for _, stage := range b.Stages {
		for _, s := range stage {
			if shape, writes, ok := b.Caller.Prepared(s.Name); ok && s.Kind == stmt.Execute {
				found = append(found, stmt.New(stmt.ProxyID, stmt.Prepare, "").WithName(s.Name, shape).WithWrites(writes))
			}
		}
	}
	return found
}
