// Package parcel holds what hosts say to each other when one uses another's
// connection to a target.
package parcel

import (
	"time"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// The verbs of a question.
const (
	// Take asks for a connection to a target and to run stages on it.
	Take = iota + 1
	// Run sends one stage on the connection that was kept.
	Run
	// Report sends a command to a target, which answers with its standing.
	Report
	// Put gives the connection that was kept back, outside of a transaction.
	// It has no answer.
	Put
)

// Parcel is one question or answer. It travels as encoding/gob writes it.
type Parcel struct {
	// Verb is that of a question.
	Verb int
	// Group and Target name the target of Take and Report.
	Group  string
	Target string
	// Priority orders those that wait, as of a route.
	Priority int
	// WaitMs bounds the wait for a connection, TimeMs all of the question, in
	// milliseconds.
	WaitMs int64
	TimeMs int64
	// Keep is that of a batch.
	Keep bool
	// Stages are those of a batch, or the one command of Report.
	Stages [][]stmt.Stmt
	// Values and Prepared are what the connection must carry for the stages.
	Values   map[string]string
	Prepared []stmt.Stmt
	// Replies are the answers to the stages, to fewer where one failed.
	Replies []reply.Reply
	// Report is the answer to a command.
	Report report.Report
	// Sent tells that something was sent to the target, Kept that the
	// connection is kept.
	Sent bool
	Kept bool
	// Fault is why the question failed, empty where it did not.
	Fault string
}

// New returns the question with a batch and the time for it.
func New(verb int, b batch.Batch, limit time.Duration) Parcel {
	p := Parcel{
		Verb: verb, Priority: b.Priority, Keep: b.Keep, Stages: b.Stages, Prepared: b.Prepared(),
		WaitMs: b.Wait.Milliseconds(), TimeMs: limit.Milliseconds(),
	}
	b.Caller.Values(func(name, text string) {
		if p.Values == nil {
			p.Values = map[string]string{}
		}
		p.Values[name] = text
	})
	return p
}

// Batch returns the batch of a question.
func (p Parcel) Batch() batch.Batch {
	var c caller.Caller
	for name, text := range p.Values {
		c = c.WithValue(name, text)
	}
	for _, s := range p.Prepared {
		c = c.WithPrepared(s.Name, s.Rest, s.Writes)
	}
	b := batch.New(c, p.Stages...).WithPriority(p.Priority).WithWait(time.Duration(p.WaitMs) * time.Millisecond)
	b.Keep = p.Keep
	return b
}
