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

// errLost tells that an answer did not come.
var errLost = errors.New("the answer was lost")

// link is one connection to a member.
type link struct {
	band     *Group
	member   *member
	host     int
	started  int64
	broken   atomic.Bool
	values   map[string]string
	prepared map[string]string
	tx       *tx
}

// tx is an open transaction.
type tx struct {
	read   bool
	failed bool
	term   uint64
	writes []write
}

func newLink(b *Group, m *member, host int) *link {
	return &link{band: b, member: m, host: host, started: m.target.Started, values: map[string]string{}, prepared: map[string]string{}}
}

// Broken tells whether the connection is closed.
func (l *link) Broken() bool {
	l.band.mu.Lock()
	defer l.band.mu.Unlock()
	return l.broken.Load() || !l.member.up || l.member.target.Started != l.started
}

// Close ends the connection.
func (l *link) Close() {
	if l.broken.CompareAndSwap(false, true) {
		l.band.mu.Lock()
		l.member.links--
		l.band.mu.Unlock()
	}
}

// Report runs a command and returns what the member tells of itself.
func (l *link) Report(ctx context.Context, s stmt.Stmt) (report.Report, error) {
	if err := l.reach(ctx); err != nil {
		return report.Report{}, err
	}
	l.band.mu.Lock()
	defer l.band.mu.Unlock()
	m := l.member
	switch s.Kind {
	case stmt.Pause:
		term, err := strconv.ParseUint(s.Rest, 10, 64)
		if err != nil {
			return report.Report{}, err
		}
		if !m.leads && term > m.term {
			m.held = term
		}
	case stmt.Resume:
		m.held = 0
		l.band.ship()
	}
	return report.Report{Term: m.term, Primary: m.leads, Received: m.end(), Held: m.held}, nil
}

// reach waits while the member is dark and fails where it is down.
func (l *link) reach(ctx context.Context) error {
	for {
		l.band.mu.Lock()
		up := l.member.up && l.member.target.Started == l.started && !l.broken.Load()
		dark, changed := l.member.silent(l.host), l.member.changed
		l.band.mu.Unlock()
		if !up {
			return errLost
		}
		if !dark {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Run runs statements in order.
func (l *link) Run(ctx context.Context, batch []stmt.Stmt) ([]reply.Reply, error) {
	var replies []reply.Reply
	for _, s := range batch {
		if err := l.reach(ctx); err != nil {
			return nil, err
		}
		r, err := l.one(ctx, s)
		if err != nil {
			return nil, err
		}
		if err := l.reach(ctx); err != nil {
			return nil, err
		}
		replies = append(replies, r)
	}
	return replies, nil
}

// one runs a statement and loses its answer where that was set.
func (l *link) one(ctx context.Context, s stmt.Stmt) (reply.Reply, error) {
	works := s.Kind == stmt.Read || s.Kind == stmt.Write || s.Kind == stmt.Execute || s.Kind == stmt.Commit
	if works {
		l.band.mu.Lock()
		work := l.band.work
		l.band.mu.Unlock()
		if err := sleep(ctx, work); err != nil {
			return reply.Reply{}, err
		}
	}
	if works && l.fails() {
		return reply.Refuse(code.TargetFailed, "").WithStatus(l.status()), nil
	}
	r, at := l.apply(s)
	if !at.IsZero() {
		if err := l.confirm(ctx, at); err != nil {
			return reply.Reply{}, err
		}
	}
	l.band.mu.Lock()
	defer l.band.mu.Unlock()
	if works && s.ID != stmt.ProxyID && l.band.lose > 0 {
		l.band.lose--
		return reply.Reply{}, errLost
	}
	if l.band.lie == BreakRefusals && s.WritesData() && l.tx == nil && len(l.member.log)%7 == 0 {
		r = reply.Refuse(code.NotRunBusy, "")
	}
	r.Mark = l.member.position()
	r.Status = l.status()
	return r, nil
}

// fails tells whether the member fails the next statement: the same share of
// each run of them.
func (l *link) fails() bool {
	l.band.mu.Lock()
	defer l.band.mu.Unlock()
	before := l.band.failed
	l.band.failed += l.member.faulty
	return math.Floor(l.band.failed) > math.Floor(before)
}

func (l *link) status() byte {
	switch {
	case l.tx == nil:
		return reply.Idle
	case l.tx.failed:
		return reply.Failed
	}
	return reply.Open
}

// confirm waits until a replica holds an entry. Where the member loses the
// lead before, nobody knows whether the entry stays.
func (l *link) confirm(ctx context.Context, at mark.Mark) error {
	for {
		l.band.mu.Lock()
		acknowledged := l.band.acknowledged(l.member, at)
		leads, changed := l.member.leads && l.member.up && l.member.term == at.Term, l.member.changed
		l.band.mu.Unlock()
		if !leads {
			return errLost
		}
		if acknowledged {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// apply runs a statement against the member's log. It returns the mark of
// the entry that must be confirmed before the answer.
func (l *link) apply(s stmt.Stmt) (reply.Reply, mark.Mark) {
	l.band.mu.Lock()
	defer l.band.mu.Unlock()
	m := l.member
	if !s.After.IsZero() && !holds(m.applied(), s.After) && l.band.lie != BreakFreshReads {
		return reply.Refuse(code.NotRunNoFresh, ""), mark.Mark{}
	}
	if l.tx != nil && !l.tx.read && l.band.lie != BreakReadOnly && (!m.leads || m.term != l.tx.term) && s.Kind != stmt.Rollback && (s.Kind != stmt.Commit || len(l.tx.writes) > 0) {
		l.tx.failed = true
		return reply.Refuse(code.NotRunNoPrimary, ""), mark.Mark{}
	}
	switch s.Kind {
	case stmt.Begin:
		if !m.leads && l.band.lie != BreakReadOnly {
			return reply.Refuse(code.NotRunNoPrimary, ""), mark.Mark{}
		}
		l.tx = &tx{term: m.term}
	case stmt.BeginRead:
		l.tx = &tx{read: true}
	case stmt.Rollback:
		l.tx = nil
	case stmt.Commit:
		return l.commit(s)
	case stmt.Reset:
		if l.band.lie == BreakReset {
			break
		}
		clear(l.values)
		clear(l.prepared)
	case stmt.Set:
		l.values[s.Name] = s.Rest
	case stmt.Prepare:
		l.prepared[s.Name] = s.Rest
	case stmt.Execute:
		shape, ok := l.prepared[s.Name]
		if !ok {
			return reply.Refuse(code.NotRunUnprepared, ""), mark.Mark{}
		}
		return l.data(s, s.Rest, shape)
	case stmt.Read, stmt.Write:
		return l.data(s, strings.TrimSpace(s.Name+" "+s.Rest), "")
	}
	return reply.Done(0), mark.Mark{}
}

// data runs a read or a write; text is the item and, of a write, the data.
func (l *link) data(s stmt.Stmt, text, shape string) (reply.Reply, mark.Mark) {
	l.band.OnStatement(s.ID, maps.Clone(l.values), shape)
	item, data, _ := strings.Cut(text, " ")
	signed := reply.Reply{Signature: l.member.target.ID + " " + s.ID}
	if !s.WritesData() {
		signed.Rows = []string{l.read(item)}
		return signed, mark.Mark{}
	}
	if !l.member.leads || l.tx != nil && l.tx.read {
		if l.tx != nil {
			l.tx.failed = true
		}
		return reply.Refuse(code.NotRunNoPrimary, ""), mark.Mark{}
	}
	if l.tx != nil {
		l.tx.writes = append(l.tx.writes, write{item, data})
		return signed, mark.Mark{}
	}
	return signed, l.append([]write{{item, data}})
}

func (l *link) read(item string) string {
	found := ""
	for _, e := range l.member.applied() {
		for _, w := range e.writes {
			if w.item == item {
				found = w.data
			}
		}
	}
	return found
}

func (l *link) commit(s stmt.Stmt) (reply.Reply, mark.Mark) {
	t := l.tx
	l.tx = nil
	if t == nil || t.failed {
		return reply.Refuse(code.TransactionLost, ""), mark.Mark{}
	}
	signed := reply.Reply{Signature: l.member.target.ID + " " + s.ID}
	if len(t.writes) == 0 {
		return signed, mark.Mark{}
	}
	return signed, l.append(t.writes)
}

func (l *link) append(writes []write) mark.Mark {
	m := l.member
	at := mark.New(m.term, uint64(len(m.log)+1))
	m.log = append(m.log, entry{mark: at, writes: writes})
	l.band.ship()
	return at
}
