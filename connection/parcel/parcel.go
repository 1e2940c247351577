// Package parcel holds what hosts say to each other when one uses another's
// connection to a target.
package parcel

import (
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// The verbs of a question.
const (
	// Take asks for a connection to a target.
	Take = iota + 1
	// Run sends statements on it, all together.
	Run
	// Report sends a command on it that a target answers with its standing.
	Report
	// Put gives it back, outside of a transaction. It has no answer.
	Put
)

// Parcel is one question or answer. It travels as encoding/gob writes it.
type Parcel struct {
	// Verb is that of a question.
	Verb int
	// Group and Target name the target of Take.
	Group  string
	Target string
	// Priority orders those that wait, as of a route.
	Priority int
	// WaitMs is how long the question's answer is waited for, in milliseconds.
	WaitMs int64
	// Batch are the statements of Run, or the one of Report.
	Batch []stmt.Stmt
	// Replies are the answers to Batch.
	Replies []reply.Reply
	// Report is the answer to a command.
	Report report.Report
	// Values and Prepared are what the connection carries: told with the
	// answer to Take, and given back with Put.
	Values   map[string]string
	Prepared map[string]bool
	// Fault is why the question failed, empty where it did not. After a fault
	// of Take nothing was sent; after one of Run it may have run.
	Fault string
}
