// Package conn wraps one open connection to a target together with the session
// state that is set on it.
package conn

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/wrap"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// preparedLimit is how many prepared statements a connection keeps before it is
	// reset. The limit bounds the memory that is used at the target.
	preparedLimit = 200
	// maxSetupBatch is how many statements are sent together to bring a connection to a
	// caller's state. It is less than the number of replies that a connection keeps.
	maxSetupBatch = 24
)

// ErrNotPrepared is returned by Run if the connection could not be brought to the caller's state.
// No statement of the caller was sent, and the connection is closed.
var ErrNotPrepared = errors.New("the connection could not be prepared")

// targetConn is an open connection to a target.
type targetConn interface {
	// Run sends statements together and returns a reply to each. After an error the
	// connection can't be used any more.
	Run(ctx context.Context, batch []stmt.Stmt) ([]reply.Reply, error)
	// Report runs a command and returns the target's report.
	Report(ctx context.Context, s stmt.Stmt) (report.Report, error)
	// Broken reports whether the connection was closed by either end.
	Broken() bool
	// Close closes the connection. The target rolls back an open transaction.
	Close()
}

// remoteHost is another host that lends one of its connections to a target.
type remoteHost interface {
	// Run sets a caller's values on the lent connection and runs statements on it.
	Run(ctx context.Context, c caller.Caller, stage []stmt.Stmt) ([]reply.Reply, error)
	// Broken reports whether the connection to the host was lost.
	Broken() bool
	// Close closes the connection to the host. The target rolls back an open
	// transaction.
	Close()
}

// Conn is one connection to a target. It is used by one goroutine at a time.
type Conn struct {
	// Target is the id of the target.
	Target string
	// Customer is the name of the customer for which the connection was opened, empty if
	// it serves callers that are not told apart.
	Customer string
	// LastUsed is when the connection was last returned to its pool, as time since
	// the machine started.
	LastUsed time.Duration
	// Wrote is set while a statement on the connection may write, or a transaction that
	// has written is open.
	Wrote bool
	// Borrowed is set if the connection belongs to another host.
	Borrowed bool
	// direct is this host's own connection to the target, nil if the connection is
	// borrowed.
	direct targetConn
	// host is the host that lends the connection, nil if the connection is not
	// borrowed.
	host remoteHost
	// values are the fingerprints of the session values that are set on the connection, by those of
	// their names. The session that set them may have ended, and they don't keep its messages.
	values map[string]string
	// prepared holds the numbers of the statements that are prepared on it, which are their names
	// at the target.
	prepared map[preparedText]int
}

// New returns the Conn of a newly opened connection.
func New(target string, tc targetConn, options ...func(*Conn)) *Conn {
	cn := &Conn{Target: target, direct: tc, values: map[string]string{}, prepared: map[preparedText]int{}}
	for _, o := range options {
		o(cn)
	}
	return cn
}

// WithCustomer returns an option that sets the customer for which the connection was
// opened.
func WithCustomer(name string) func(*Conn) {
	return func(cn *Conn) { cn.Customer = name }
}

// WithHost returns an option for a connection that is borrowed from a host. The host
// sets the callers' values on the connection.
func WithHost(h remoteHost) func(*Conn) {
	return func(cn *Conn) {
		cn.Borrowed = true
		cn.host = h
	}
}

// Run sets the caller's values and prepared statements on the connection and runs
// the batch. It returns the replies to the statements of the batch. Where something has to be
// set or prepared, the caller's statements are sent once that has succeeded: a target runs them
// also if what was sent before was refused. After ErrNotPrepared none of them was sent; after
// any other error they may have run, and the connection must be closed.
//
// The errors of this package begin with Lane, a former name of Conn. The prefix can't
// change, since the errors are sent to other hosts.
func (cn *Conn) Run(ctx context.Context, c caller.Caller, batch ...stmt.Stmt) ([]reply.Reply, error) {
	if cn.host != nil {
		replies, err := cn.host.Run(ctx, c, batch)
		return replies, wrap.If(err, "Lane.Run")
	}
	if c.Customer != "" && c.Customer != cn.Customer {
		return nil, errors.Errorf("Lane.Run: the connection belongs to customer %q, not %q", cn.Customer, c.Customer)
	}
	steps := cn.setup(c, batch)
	if !onlyOfProxy(batch) || len(steps) > maxSetupBatch {
		if err := cn.prepare(ctx, steps); err != nil {
			return nil, errors.Wrap(err, "Lane.Run")
		}
		steps = nil
	}
	n := len(steps)
	for _, s := range batch {
		steps = append(steps, cn.withTargetName(c, s))
	}
	replies, err := cn.direct.Run(ctx, steps)
	if err != nil {
		return nil, errors.Wrap(err, "Lane.Run")
	}
	if err := cn.checkPrepared(replies[:n]); err != nil {
		return nil, errors.Wrap(err, "Lane.Run")
	}
	return replies[n:], nil
}

// onlyOfProxy reports whether all statements of a batch are the proxy's own, such as the beginning
// of a transaction. They don't depend on the caller's state, and closing the connection undoes
// them.
func onlyOfProxy(batch []stmt.Stmt) bool {
	return !slices.ContainsFunc(batch, func(s stmt.Stmt) bool { return s.ID != stmt.ProxyID })
}

// prepare runs the statements that bring the connection to a caller's state.
func (cn *Conn) prepare(ctx context.Context, steps []stmt.Stmt) error {
	for part := range slices.Chunk(steps, maxSetupBatch) {
		replies, err := cn.direct.Run(ctx, part)
		if err != nil {
			cn.Close()
			return fmt.Errorf("%w: %w", ErrNotPrepared, err)
		}
		if err := cn.checkPrepared(replies); err != nil {
			return err
		}
	}
	return nil
}

// checkPrepared returns ErrNotPrepared, and closes the connection, if one of the statements that
// bring it to a caller's state was refused.
func (cn *Conn) checkPrepared(replies []reply.Reply) error {
	for i, r := range replies {
		if !r.OK() {
			cn.Close()
			return errors.Wrapf(ErrNotPrepared, "setup statement %d of %d was refused: %s", i+1, len(replies), r.Code.Name())
		}
	}
	return nil
}

// SetupSteps estimates how many statements it takes to set the caller's values on
// the connection. If other values are set on the connection, or values that differ
// from the caller's, the estimate includes a Reset, after which all values of the
// caller are set. A pool prefers the connection with the lowest estimate.
func (cn *Conn) SetupSteps(c caller.Caller) int {
	matching, total := 0, 0
	c.Values(func(name, text string) {
		total++
		if cn.values[fingerprint(name)] == fingerprint(text) {
			matching++
		}
	})
	if len(cn.values) > matching {
		return total + 1
	}
	return total - matching
}

// setup returns the statements to send before the batch. It records their effects at
// once, since the connection is closed if one of them fails.
func (cn *Conn) setup(c caller.Caller, batch []stmt.Stmt) []stmt.Stmt {
	var steps []stmt.Stmt
	if cn.hasExtraValues(c) || len(cn.prepared) > preparedLimit {
		steps = append(steps, stmt.New(stmt.ProxyID, stmt.Reset, ""))
		clear(cn.values)
		clear(cn.prepared)
	}
	c.Values(func(name, text string) {
		if current, ok := cn.values[fingerprint(name)]; !ok || current != fingerprint(text) {
			steps = append(steps, stmt.New(stmt.ProxyID, stmt.Set, "").WithName(name, text))
			cn.values[strings.Clone(fingerprint(name))] = strings.Clone(fingerprint(text))
		}
	})
	for _, s := range batch {
		if s.Kind != stmt.Execute {
			continue
		}
		statement, writes, ok := c.Prepared(s.Name)
		if _, known := cn.targetName(statement, writes); ok && !known {
			name := cn.addPrepared(statement, writes)
			steps = append(steps, stmt.New(stmt.ProxyID, stmt.Prepare, "").WithName(name, statement).WithWrites(writes))
		}
	}
	return steps
}

// fingerprint returns a short text that no other text has: the text itself if it is short, or
// else its SHA-256, which is longer than any short text. A short text may still be a part of a
// message, which it keeps in memory.
func fingerprint(text string) string {
	const maxShortBytes = 31
	if len(text) <= maxShortBytes {
		return text
	}
	sum := sha256.Sum256([]byte(text))
	return string(sum[:])
}

// hasExtraValues reports whether a value is set on the connection that the caller
// does not have.
func (cn *Conn) hasExtraValues(c caller.Caller) bool {
	known := 0
	c.Values(func(name, _ string) {
		if _, ok := cn.values[fingerprint(name)]; ok {
			known++
		}
	})
	return known < len(cn.values)
}

// withTargetName returns a statement with the caller's name of a prepared statement
// replaced by its name at targets.
func (cn *Conn) withTargetName(c caller.Caller, s stmt.Stmt) stmt.Stmt {
	if s.Kind != stmt.Execute {
		return s
	}
	statement, writes, ok := c.Prepared(s.Name)
	if !ok {
		return s
	}
	name, _ := cn.targetName(statement, writes)
	return s.WithName(name, s.Rest)
}

// preparedText is a fingerprint of a prepared statement's text, and whether it writes.
type preparedText struct {
	text   string
	writes bool
}

// targetName returns the name of a statement that is prepared on the connection, and false if it
// is not.
func (cn *Conn) targetName(statement string, writes bool) (string, bool) {
	n, ok := cn.prepared[preparedText{fingerprint(statement), writes}]
	return "s" + strconv.Itoa(n), ok
}

// addPrepared records a statement as prepared on the connection and returns its name there. Names
// are counted: one that depends on the text could be that of another text, by a caller's choice.
func (cn *Conn) addPrepared(statement string, writes bool) string {
	n := len(cn.prepared) + 1
	cn.prepared[preparedText{strings.Clone(fingerprint(statement)), writes}] = n
	return "s" + strconv.Itoa(n)
}

// Report runs a command and returns the target's report. The connection must not be
// borrowed.
func (cn *Conn) Report(ctx context.Context, s stmt.Stmt) (report.Report, error) {
	r, err := cn.direct.Report(ctx, s)
	return r.WithMember(cn.Target), wrap.If(err, "Lane.Report")
}

// Broken reports whether the connection can't be used any more.
func (cn *Conn) Broken() bool {
	if cn.host != nil {
		return cn.host.Broken()
	}
	return cn.direct.Broken()
}

// Close closes the connection.
func (cn *Conn) Close() {
	if cn.host != nil {
		cn.host.Close()
		return
	}
	cn.direct.Close()
}

// Rollback rolls back the open transaction and returns the target's reply. It does not
// change the values that are set on the connection.
func (cn *Conn) Rollback(ctx context.Context) (reply.Reply, error) {
	rollback := []stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Rollback, "")}
	var replies []reply.Reply
	var err error
	if cn.host != nil {
		replies, err = cn.host.Run(ctx, caller.Caller{}, rollback)
	} else {
		replies, err = cn.direct.Run(ctx, rollback)
	}
	if err != nil {
		return reply.Reply{}, errors.Wrap(err, "Lane.Rollback")
	}
	return replies[0], nil
}
