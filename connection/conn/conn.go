// Package conn holds one open connection to a target and the session state
// that it carries.
package conn

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/wrap"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// preparedLimit is how many statements a connection keeps prepared before
	// it is reset; it bounds the target's memory.
	preparedLimit = 200
	// nameLimit is the longest shape that is used as a name, in bytes.
	nameLimit = 40
)

// link is an open connection to a target.
type link interface {
	// Run sends statements together and returns a reply to each. After an
	// error the connection is of no more use.
	Run(ctx context.Context, batch []stmt.Stmt) ([]reply.Reply, error)
	// Report runs a command and returns what the target tells of itself.
	Report(ctx context.Context, s stmt.Stmt) (report.Report, error)
	// Broken tells whether the connection was closed from either end.
	Broken() bool
	// Close ends the connection; the target rolls back what is open.
	Close()
}

// host is another host that keeps a connection to a target.
type host interface {
	// Run brings the connection to a caller's values and runs statements.
	Run(ctx context.Context, c caller.Caller, stage []stmt.Stmt) ([]reply.Reply, error)
	// Broken tells whether the host can't be reached any more.
	Broken() bool
	// Close gives the connection up; the target rolls back what is open.
	Close()
}

// Conn is one connection to a target. One goroutine at a time uses it.
type Conn struct {
	// Target is the id of the target that it leads to.
	Target string
	// LastUsed is when it was last put back, as time since the machine started.
	LastUsed time.Duration
	// Borrowed tells that it leads through another host.
	Borrowed bool
	link     link
	host     host
	values   map[string]string
	prepared map[string]bool
}

// New returns the Conn of a fresh connection.
func New(target string, l link, options ...func(*Conn)) *Conn {
	made := &Conn{Target: target, link: l, values: map[string]string{}, prepared: map[string]bool{}}
	for _, o := range options {
		o(made)
	}
	return made
}

// WithHost returns an option for a connection of another host, which brings it
// to the callers' values itself.
func WithHost(h host) func(*Conn) {
	return func(l *Conn) {
		l.Borrowed = true
		l.host = h
	}
}

// Run brings the connection to the caller's values and prepared statements
// and runs the batch, all sent together. It returns the replies to the batch
// alone. After an error the connection must be closed; what was sent may have run.
func (l *Conn) Run(ctx context.Context, c caller.Caller, batch ...stmt.Stmt) ([]reply.Reply, error) {
	if l.host != nil {
		replies, err := l.host.Run(ctx, c, batch)
		return replies, wrap.If(err, "Lane.Run")
	}
	steps := l.setup(c, batch)
	n := len(steps)
	for _, s := range batch {
		steps = append(steps, l.rename(c, s))
	}
	replies, err := l.link.Run(ctx, steps)
	if err != nil {
		return nil, errors.Wrap(err, "Lane.Run")
	}
	for i, r := range replies[:n] {
		if !r.OK() {
			return nil, errors.Errorf("Lane.Run: setup statement %d of %d was refused: %s", i+1, n, r.Code.Name())
		}
	}
	return replies[n:], nil
}

// SetupSteps returns how many statements bring the connection to the caller's values.
func (l *Conn) SetupSteps(c caller.Caller) int {
	same, n := 0, 0
	c.Values(func(name, text string) {
		n++
		if l.values[name] == text {
			same++
		}
	})
	if len(l.values) > same {
		return n + 1
	}
	return n - same
}

// setup returns the statements that come before the batch, and takes them as
// done: where one is not, the connection is closed.
func (l *Conn) setup(c caller.Caller, batch []stmt.Stmt) []stmt.Stmt {
	var steps []stmt.Stmt
	if l.foreign(c) || len(l.prepared) > preparedLimit {
		steps = append(steps, stmt.New(stmt.ProxyID, stmt.Reset, ""))
		clear(l.values)
		clear(l.prepared)
	}
	c.Values(func(name, text string) {
		if known, ok := l.values[name]; !ok || known != text {
			steps = append(steps, stmt.New(stmt.ProxyID, stmt.Set, "").WithName(name, text))
			l.values[name] = text
		}
	})
	for _, s := range batch {
		if s.Kind != stmt.Execute {
			continue
		}
		shape, writes, ok := c.Prepared(s.Name)
		name := nameOf(shape, writes)
		if ok && !l.prepared[name] {
			steps = append(steps, stmt.New(stmt.ProxyID, stmt.Prepare, "").WithName(name, shape).WithWrites(writes))
			l.prepared[name] = true
		}
	}
	return steps
}

// foreign tells whether the connection has a value that the caller has not.
func (l *Conn) foreign(c caller.Caller) bool {
	for name := range l.values {
		if _, ok := c.Value(name); !ok {
			return true
		}
	}
	return false
}

func (l *Conn) rename(c caller.Caller, s stmt.Stmt) stmt.Stmt {
	if s.Kind != stmt.Execute {
		return s
	}
	shape, writes, ok := c.Prepared(s.Name)
	if !ok {
		return s
	}
	return s.WithName(nameOf(shape, writes), s.Rest)
}

// nameOf returns the name of a prepared statement at targets. Sessions share
// it: the name follows from what the statement does.
func nameOf(shape string, writes bool) string {
	prefix := "r-"
	if writes {
		prefix = "w-"
	}
	if len(shape) > nameLimit || strings.ContainsAny(shape, " \t") {
		return prefix + strconv.FormatUint(xxhash.Sum64String(shape), 36)
	}
	return prefix + shape
}

// Report runs a command and returns what the target tells of itself.
func (l *Conn) Report(ctx context.Context, s stmt.Stmt) (report.Report, error) {
	r, err := l.link.Report(ctx, s)
	return r.WithMember(l.Target), wrap.If(err, "Lane.Report")
}

// Broken tells whether the connection is of no more use.
func (l *Conn) Broken() bool {
	if l.host != nil {
		return l.host.Broken()
	}
	return l.link.Broken()
}

// Close ends the connection.
func (l *Conn) Close() {
	if l.host != nil {
		l.host.Close()
		return
	}
	l.link.Close()
}

// Rollback ends a transaction without touching the connection's values.
func (l *Conn) Rollback(ctx context.Context) (reply.Reply, error) {
	rollback := []stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Rollback, "")}
	var replies []reply.Reply
	var err error
	if l.host != nil {
		replies, err = l.host.Run(ctx, caller.Caller{}, rollback)
	} else {
		replies, err = l.link.Run(ctx, rollback)
	}
	if err != nil {
		return reply.Reply{}, errors.Wrap(err, "Lane.Rollback")
	}
	return replies[0], nil
}
