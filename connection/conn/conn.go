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
	// maxNameBytes is the longest shape that is used as a name, in bytes.
	maxNameBytes = 40
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

// remoteHost is another host that keeps a connection to a target.
type remoteHost interface {
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
	host     remoteHost
	values   map[string]string
	prepared map[string]bool
}

// New returns the Conn of a fresh connection.
func New(target string, l link, options ...func(*Conn)) *Conn {
	cn := &Conn{Target: target, link: l, values: map[string]string{}, prepared: map[string]bool{}}
	for _, o := range options {
		o(cn)
	}
	return cn
}

// WithHost returns an option for a connection of another host, which brings it
// to the callers' values itself.
func WithHost(h remoteHost) func(*Conn) {
	return func(cn *Conn) {
		cn.Borrowed = true
		cn.host = h
	}
}

// Run brings the connection to the caller's values and prepared statements
// and runs the batch, all sent together. It returns the replies to the batch
// alone. After an error the connection must be closed; what was sent may have run.
func (cn *Conn) Run(ctx context.Context, c caller.Caller, batch ...stmt.Stmt) ([]reply.Reply, error) {
	if cn.host != nil {
		replies, err := cn.host.Run(ctx, c, batch)
		return replies, wrap.If(err, "Lane.Run")
	}
	steps := cn.setup(c, batch)
	n := len(steps)
	for _, s := range batch {
		steps = append(steps, cn.withTargetName(c, s))
	}
	replies, err := cn.link.Run(ctx, steps)
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
func (cn *Conn) SetupSteps(c caller.Caller) int {
	matching, total := 0, 0
	c.Values(func(name, text string) {
		total++
		if cn.values[name] == text {
			matching++
		}
	})
	if len(cn.values) > matching {
		return total + 1
	}
	return total - matching
}

// setup returns the statements that come before the batch, and takes them as
// done: where one is not, the connection is closed.
func (cn *Conn) setup(c caller.Caller, batch []stmt.Stmt) []stmt.Stmt {
	var steps []stmt.Stmt
	if cn.hasExtraValues(c) || len(cn.prepared) > preparedLimit {
		steps = append(steps, stmt.New(stmt.ProxyID, stmt.Reset, ""))
		clear(cn.values)
		clear(cn.prepared)
	}
	c.Values(func(name, text string) {
		if known, ok := cn.values[name]; !ok || known != text {
			steps = append(steps, stmt.New(stmt.ProxyID, stmt.Set, "").WithName(name, text))
			cn.values[name] = text
		}
	})
	for _, s := range batch {
		if s.Kind != stmt.Execute {
			continue
		}
		shape, writes, ok := c.Prepared(s.Name)
		name := preparedName(shape, writes)
		if ok && !cn.prepared[name] {
			steps = append(steps, stmt.New(stmt.ProxyID, stmt.Prepare, "").WithName(name, shape).WithWrites(writes))
			cn.prepared[name] = true
		}
	}
	return steps
}

// hasExtraValues tells whether the connection has a value that the caller has not.
func (cn *Conn) hasExtraValues(c caller.Caller) bool {
	for name := range cn.values {
		if _, ok := c.Value(name); !ok {
			return true
		}
	}
	return false
}

func (cn *Conn) withTargetName(c caller.Caller, s stmt.Stmt) stmt.Stmt {
	if s.Kind != stmt.Execute {
		return s
	}
	shape, writes, ok := c.Prepared(s.Name)
	if !ok {
		return s
	}
	return s.WithName(preparedName(shape, writes), s.Rest)
}

// preparedName returns the name of a prepared statement at targets. Sessions share
// it: the name follows from what the statement does.
func preparedName(shape string, writes bool) string {
	prefix := "r-"
	if writes {
		prefix = "w-"
	}
	if len(shape) > maxNameBytes || strings.ContainsAny(shape, " \t") {
		return prefix + strconv.FormatUint(xxhash.Sum64String(shape), 36)
	}
	return prefix + shape
}

// Report runs a command and returns what the target tells of itself.
func (cn *Conn) Report(ctx context.Context, s stmt.Stmt) (report.Report, error) {
	r, err := cn.link.Report(ctx, s)
	return r.WithMember(cn.Target), wrap.If(err, "Lane.Report")
}

// Broken tells whether the connection is of no more use.
func (cn *Conn) Broken() bool {
	if cn.host != nil {
		return cn.host.Broken()
	}
	return cn.link.Broken()
}

// Close ends the connection.
func (cn *Conn) Close() {
	if cn.host != nil {
		cn.host.Close()
		return
	}
	cn.link.Close()
}

// Rollback ends a transaction without touching the connection's values.
func (cn *Conn) Rollback(ctx context.Context) (reply.Reply, error) {
	rollback := []stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Rollback, "")}
	var replies []reply.Reply
	var err error
	if cn.host != nil {
		replies, err = cn.host.Run(ctx, caller.Caller{}, rollback)
	} else {
		replies, err = cn.link.Run(ctx, rollback)
	}
	if err != nil {
		return reply.Reply{}, errors.Wrap(err, "Lane.Rollback")
	}
	return replies[0], nil
}
