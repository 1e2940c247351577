// Package parcel defines the messages between a host that borrows a connection to a
// target and the host that lends it.
package parcel

import (
	"time"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// The verbs of a request.
const (
	// Take borrows a connection to a target and runs stages on it.
	Take = iota + 1
	// Run runs one stage on the borrowed connection.
	Run
	// Report sends a command to a target, which answers with its report.
	Report
	// Put gives back the borrowed connection, on which no transaction may be open. It
	// has no answer.
	Put
	// Follow asks for the changes of the platform's tables that the other host knows.
	// It waits for a change for up to WaitMs.
	Follow
	// TakeFresh is like Take, but the other host determines the log position that the
	// target must have reached, by MaxAgeMs.
	TakeFresh
	// Acknowledged asks which commits of Group the other host knows to be acknowledged, and
	// announces that the asking host is about to replace Target, unless that is empty.
	Acknowledged
	// Confirm asks whether the other host confirms to Host that Target leads Group, and knows
	// of no replacement of it. The answer has a Fault if it does not.
	Confirm
	// Quota claims the asking host's shares of the customers' limits.
	Quota
)

// Parcel is a request or an answer. It is encoded by encoding/gob, which writes
// the names of the type and of its fields, so that these names can't change.
type Parcel struct {
	// Verb is the verb of a request, 0 in an answer.
	Verb int
	// Group and Target identify the target of Take, TakeFresh and Report.
	Group  string
	Target string
	// Host is the name of the asking host, in a request with the verb Confirm.
	Host string
	// Customer is the name of the customer for which Take and TakeFresh need a connection,
	// empty if any connection serves.
	Customer string
	// Priority is the route's priority. Batches with a lower number get a connection
	// first.
	Priority int
	// WaitMs bounds the wait for a connection, and TimeMs the whole request, in
	// milliseconds.
	WaitMs int64
	TimeMs int64
	// MaxAgeMs is the maximum age of the data that the first statement of TakeFresh
	// reads, in milliseconds.
	MaxAgeMs int64
	// Keep asks to lend the connection beyond the batch if all its statements
	// succeeded.
	Keep bool
	// Stages holds the stages of a batch. For the verb Report, it holds one stage
	// with one statement, the command.
	Stages [][]stmt.Stmt
	// Values and Prepared are the session values and the prepared statements that
	// the stages need on the connection.
	Values   map[string]string
	Prepared []stmt.Stmt
	// Replies are the replies to the stages, up to the first that failed.
	Replies []reply.Reply
	// Report is the target's report, in the answer to the verb Report. In the answer to
	// Acknowledged, the newest acknowledged commit is between its Applied and its Received.
	Report report.Report
	// Sent matters only with a Fault: if it is unset, nothing was sent to the target.
	Sent bool
	// Kept means that the connection remains lent after the batch.
	Kept bool
	// Known holds, in a request with the verb Follow, the version of each table that
	// the asking host knows, 0 if it knows nothing of the table. Eras holds the era of
	// the store to which each version belongs.
	Known map[string]uint64
	Eras  map[string]uint64
	// News is the answer to the verb Follow, and HeldMs the time for which the
	// question waited, in milliseconds. If Packed is not empty, it holds the rows of News,
	// as package pack encodes them.
	News   []delta.Delta
	Packed []byte
	HeldMs int64
	// Claim is the claim in a request with the verb Quota, and Award the answer to it.
	Claim *claim.Claim
	Award *award.Award
	// Fault is the reason why the request failed, or empty.
	Fault string
	// Outstanding is, in the answer to Take and TakeFresh, how many statements were at the
	// target or waiting for it on the lender's connections, the answered ones included. It is
	// 0 if the lender does not say. FreeConns is how many of its connections were idle.
	Outstanding int
	FreeConns   int
}

// WithLoad returns the answer with the load of the target as the lender knows it.
func (p Parcel) WithLoad(outstanding, free int) Parcel {
	p.Outstanding, p.FreeConns = outstanding, free
	return p
}

// NewFollow returns a request with the verb Follow. known holds the position of each
// table that the asking host knows.
func NewFollow(known map[string]stamp.Stamp, wait time.Duration) Parcel {
	p := Parcel{Verb: Follow, Known: map[string]uint64{}, Eras: map[string]uint64{}, WaitMs: wait.Milliseconds()}
	for table, at := range known {
		p.Known[table], p.Eras[table] = at.Version, at.Era
	}
	return p
}

// Positions returns the position of each table that the asking host knows.
func (p Parcel) Positions() map[string]stamp.Stamp {
	known := map[string]stamp.Stamp{}
	for table, version := range p.Known {
		known[table] = stamp.New(p.Eras[table], version)
	}
	return known
}

// New returns a request with the given verb for a batch. limit bounds the time of
// the whole request.
func New(verb int, b batch.Batch, limit time.Duration) Parcel {
	p := Parcel{
		Verb: verb, Customer: b.Caller.Customer, Priority: b.Priority, Keep: b.Keep, Stages: b.Stages, Prepared: b.Prepared(),
		WaitMs: b.Wait.Milliseconds(), TimeMs: limit.Milliseconds(), MaxAgeMs: b.MaxAge.Milliseconds(),
	}
	b.Caller.Values(func(name, value string) {
		if p.Values == nil {
			p.Values = map[string]string{}
		}
		p.Values[name] = value
	})
	return p
}

// Batch returns the batch in a request. Its Caller has only the values and the
// prepared statements that the batch needs.
func (p Parcel) Batch() batch.Batch {
	c := caller.Caller{}.WithCustomer(p.Customer)
	for name, value := range p.Values {
		c = c.WithValue(name, value)
	}
	for _, s := range p.Prepared {
		c = c.WithPrepared(s.Name, s.Rest, s.Writes)
	}
	b := batch.New(c, p.Stages...).WithPriority(p.Priority).WithWait(time.Duration(p.WaitMs) * time.Millisecond)
	if p.Verb == TakeFresh {
		b = b.WithMaxAge(time.Duration(p.MaxAgeMs) * time.Millisecond)
	}
	b.Keep = p.Keep
	return b
}
