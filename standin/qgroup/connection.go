package qgroup

import (
	"context"
	"maps"
	"math"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// errAnswerLost is returned for a statement whose answer was lost or whose
// connection is broken.
var errAnswerLost = errors.New("the answer was lost")

// connection is one connection to a member.
type connection struct {
	group  *Group
	member *member
	// host is the number of the host that opened the connection.
	host int
	// started is the target's Started when the connection was opened. A restart of
	// the member changes Started, which breaks the connection.
	started int64
	closed  atomic.Bool
	// values and prepared hold the session values and the prepared texts by name.
	values   map[string]string
	prepared map[string]string
	// tx is the open transaction, or nil.
	tx *transaction
}

type transaction struct {
	// read means that the transaction may not write.
	read   bool
	failed bool
	// term is the member's term at the start of a transaction that may write.
	term   uint64
	writes []write
}

// newConnection returns a connection from a host to a member; the caller holds
// the group's lock.
func newConnection(g *Group, m *member, host int) *connection {
	return &connection{group: g, member: m, host: host, started: m.target.Started, values: map[string]string{}, prepared: map[string]string{}}
}

// Broken reports whether the connection is closed, or its member stopped or was
// restarted.
func (c *connection) Broken() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.closed.Load() || !c.member.up || c.member.target.Started != c.started
}

// Close closes the connection. It may be called more than once.
func (c *connection) Close() {
	if c.closed.CompareAndSwap(false, true) {
		c.group.mu.Lock()
		c.member.connections--
		c.group.mu.Unlock()
	}
}

// Report returns the member's report, after running s if s is a Pause, a Resume
// or a Demote. A Pause has an effect only at a replica, and a Demote only at the
// leader, and only if its term is later than the member's.
func (c *connection) Report(ctx context.Context, s stmt.Stmt) (report.Report, error) {
	if err := c.awaitReachable(ctx); err != nil {
		return report.Report{}, err
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	m := c.member
	var term uint64
	if s.Kind == stmt.Pause || s.Kind == stmt.Demote {
		var err error
		if term, err = strconv.ParseUint(s.Rest, 10, 64); err != nil {
			return report.Report{}, err
		}
	}
	switch s.Kind {
	case stmt.Pause:
		if !m.leads && term > m.term {
			m.pauseTerm = term
		}
	case stmt.Demote:
		if m.leads && term > m.term {
			m.leads, m.demoted = false, true
			m.minApplied = len(m.log)
			m.notify()
		}
	case stmt.Resume:
		m.pauseTerm = 0
		c.group.scheduleShipping()
	}
	return report.Report{Term: m.term, Primary: m.leads, Received: c.group.reportedMark(m), Held: m.pauseTerm}, nil
}

// awaitReachable waits until the connection's host can reach the member. It fails
// if the connection is broken or the context ends.
func (c *connection) awaitReachable(ctx context.Context) error {
	for {
		c.group.mu.Lock()
		up := c.member.up && c.member.target.Started == c.started && !c.closed.Load()
		unreachable, changed := c.member.unreachableFrom(c.host), c.member.changed
		c.group.mu.Unlock()
		if !up {
			return errAnswerLost
		}
		if !unreachable {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Run runs statements in order. If one of them gets no answer, Run returns an
// error and no replies; the statements before it have run.
func (c *connection) Run(ctx context.Context, batch []stmt.Stmt) ([]reply.Reply, error) {
	var replies []reply.Reply
	for _, s := range batch {
		if err := c.awaitReachable(ctx); err != nil {
			return nil, err
		}
		r, err := c.runStatement(ctx, s)
		if err != nil {
			return nil, err
		}
		if err := c.awaitReachable(ctx); err != nil {
			return nil, err
		}
		replies = append(replies, r)
	}
	return replies, nil
}

// runStatement runs one statement and applies the faults that were injected into
// the group.
func (c *connection) runStatement(ctx context.Context, s stmt.Stmt) (reply.Reply, error) {
	usesData := s.Kind == stmt.Read || s.Kind == stmt.Write || s.Kind == stmt.Execute || s.Kind == stmt.Commit
	if usesData {
		c.group.mu.Lock()
		statementTime := c.group.statementTime
		c.group.mu.Unlock()
		if err := sleep(ctx, statementTime); err != nil {
			return reply.Reply{}, err
		}
	}
	prepares := s.Kind == stmt.Set || s.Kind == stmt.Reset || s.Kind == stmt.Prepare
	if usesData && c.nextFails() || prepares && c.nextRefuses() {
		return reply.Refuse(code.TargetFailed, "").WithStatus(c.status()), nil
	}
	r, at := c.apply(s)
	if !at.IsZero() {
		if err := c.awaitReplica(ctx, at); err != nil {
			return reply.Reply{}, err
		}
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if usesData && s.ID != stmt.ProxyID && c.group.answersToLose > 0 {
		c.group.answersToLose--
		return reply.Reply{}, errAnswerLost
	}
	// Only some writes are refused: those after which the length of the log is a
	// multiple of 7.
	if c.group.brokenPromise == BreakRefusals && s.WritesData() && c.tx == nil && len(c.member.log)%7 == 0 {
		r = reply.Refuse(code.NotRunBusy, "")
	}
	r.Mark = c.member.appliedMark()
	r.Status = c.status()
	return r, nil
}

// nextFails counts one statement and reports whether it must fail. Failures are
// spread evenly, so that every series of statements has the same share of them.
func (c *connection) nextFails() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return addRate(&c.group.failureSum, c.member.failureRate)
}

// nextRefuses does the same for a statement that changes the state of the connection.
func (c *connection) nextRefuses() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return addRate(&c.group.refusalSum, c.member.refusalRate)
}

// addRate adds a rate to a sum and reports whether the sum passed a whole number.
func addRate(sum *float64, rate float64) bool {
	before := *sum
	*sum += rate
	return math.Floor(*sum) > math.Floor(before)
}

// status returns the transaction status for a reply.
func (c *connection) status() byte {
	switch {
	case c.tx == nil:
		return reply.Idle
	case c.tx.failed:
		return reply.Failed
	}
	return reply.Open
}

// awaitReplica waits until a replica has received an entry. It fails if the
// member stops leading the entry's term first: the outcome is unknown then, as
// the next leader may or may not have the entry.
func (c *connection) awaitReplica(ctx context.Context, at mark.Mark) error {
	for {
		c.group.mu.Lock()
		onReplica := c.group.onReplica(c.member, at)
		leads, changed := c.group.acknowledges(c.member) && c.member.term == at.Term, c.member.changed
		c.group.mu.Unlock()
		if !leads {
			return errAnswerLost
		}
		if onReplica {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// apply runs a statement against the member's log. It returns the reply and the
// log position of the entry that a replica must receive before the reply is sent,
// or zero if the statement appended no entry.
func (c *connection) apply(s stmt.Stmt) (reply.Reply, mark.Mark) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	m := c.member
	if !s.After.IsZero() && !contains(m.applied(), s.After) && c.group.brokenPromise != BreakFreshReads {
		return reply.Refuse(code.NotRunNoFresh, ""), mark.Mark{}
	}
	// A transaction that may write fails when its member no longer leads the
	// term in which it began. A rollback is still accepted, and so is the commit
	// of a transaction that wrote nothing.
	if c.tx != nil && !c.tx.read && c.group.brokenPromise != BreakReadOnly && (!m.leads || m.term != c.tx.term) && s.Kind != stmt.Rollback && (s.Kind != stmt.Commit || len(c.tx.writes) > 0) {
		c.tx.failed = true
		return reply.Refuse(code.NotRunNoPrimary, ""), mark.Mark{}
	}
	switch s.Kind {
	case stmt.Begin:
		if !m.leads && c.group.brokenPromise != BreakReadOnly {
			return reply.Refuse(code.NotRunNoPrimary, ""), mark.Mark{}
		}
		c.tx = &transaction{term: m.term}
	case stmt.BeginRead:
		c.tx = &transaction{read: true}
	case stmt.Rollback:
		c.tx = nil
	case stmt.Commit:
		return c.commit(s)
	case stmt.Reset:
		if c.group.brokenPromise == BreakReset {
			break
		}
		clear(c.values)
		clear(c.prepared)
	case stmt.Set:
		c.values[s.Name] = s.Rest
	case stmt.Prepare:
		c.prepared[s.Name] = s.Rest
	case stmt.Execute:
		preparedText, ok := c.prepared[s.Name]
		if !ok {
			return reply.Refuse(code.NotRunUnprepared, ""), mark.Mark{}
		}
		return c.runData(s, s.Rest, preparedText)
	case stmt.Read, stmt.Write:
		return c.runData(s, strings.TrimSpace(s.Name+" "+s.Rest), "")
	}
	return reply.Done(0), mark.Mark{}
}

// runData runs a read or a write; the caller holds the lock. arguments is the item,
// followed for a write by a space and the value.
func (c *connection) runData(s stmt.Stmt, arguments, preparedText string) (reply.Reply, mark.Mark) {
	c.group.OnStatement(s.ID, maps.Clone(c.values), preparedText)
	item, value, _ := strings.Cut(arguments, " ")
	signed := reply.Reply{Signature: c.member.target.ID + " " + s.ID}
	if !s.WritesData() {
		signed.Rows = []string{c.lastValue(item)}
		return signed, mark.Mark{}
	}
	if !c.member.leads || c.tx != nil && c.tx.read {
		if c.tx != nil {
			c.tx.failed = true
		}
		return reply.Refuse(code.NotRunNoPrimary, ""), mark.Mark{}
	}
	if c.tx != nil {
		c.tx.writes = append(c.tx.writes, write{item, value})
		return signed, mark.Mark{}
	}
	return signed, c.appendEntry([]write{{item, value}})
}

// lastValue returns the newest value of an item that reads see, or "" if they see
// none; the caller holds the lock.
func (c *connection) lastValue(item string) string {
	value := ""
	for _, e := range c.member.applied() {
		for _, w := range e.writes {
			if w.item == item {
				value = w.value
			}
		}
	}
	return value
}

// commit ends the open transaction and appends its writes as one entry; the caller
// holds the lock. It refuses if no transaction is open or the open one has failed.
func (c *connection) commit(s stmt.Stmt) (reply.Reply, mark.Mark) {
	tx := c.tx
	c.tx = nil
	if tx == nil || tx.failed {
		return reply.Refuse(code.TransactionLost, ""), mark.Mark{}
	}
	signed := reply.Reply{Signature: c.member.target.ID + " " + s.ID}
	if len(tx.writes) == 0 {
		return signed, mark.Mark{}
	}
	return signed, c.appendEntry(tx.writes)
}

// appendEntry appends an entry to the member's log, schedules its shipping and
// returns its log position; the caller holds the lock.
func (c *connection) appendEntry(writes []write) mark.Mark {
	m := c.member
	at := mark.New(m.term, uint64(len(m.log)+1))
	m.log = append(m.log, entry{mark: at, writes: writes})
	c.group.scheduleShipping()
	return at
}
