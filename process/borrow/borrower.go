// Package borrow takes connections to a target from other hosts.
package borrow

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// idleKept is how many idle connections to a host are kept.
	idleKept = 4
	// badTime is how long a host that could not be reached is passed over; it
	// doubles with each further failure up to badLongest, since a host that is
	// gone for good may stay registered.
	badTime    = time.Second
	badLongest = time.Minute
	// waitLimit bounds the wait for one host's connection.
	waitLimit = 2 * time.Second
	// answerTime is left of the time for the other host's answer: a round trip
	// between regions, and a little.
	answerTime = 80 * time.Millisecond
)

// ErrNoLender tells that no other host gave a connection.
var ErrNoLender = errors.New("no other host gave a connection")

// ErrUnreachable tells that a host could not be asked.
var ErrUnreachable = errors.New("the host can't be reached")

// dialer opens connections to other hosts.
type dialer interface {
	// Host opens a connection to a host.
	Host(ctx context.Context, n gossip.HostInfo) (*remote.Remote, error)
}

// bad is what is held against a host that could not be reached.
type bad struct {
	until time.Duration
	span  time.Duration
}

// Borrower keeps connections to other hosts. Its lock is taken after that of a
// group.
type Borrower struct {
	mu     sync.Mutex
	dialer dialer
	now    func() time.Duration
	idle   map[string][]*remote.Remote
	bad    map[string]bad
	out    map[*conn.Conn]*remote.Remote
	peers  map[string]*peer
}

// New returns an empty set.
func New(d dialer, now func() time.Duration) *Borrower {
	return &Borrower{dialer: d, now: now, idle: map[string][]*remote.Remote{}, bad: map[string]bad{}, out: map[*conn.Conn]*remote.Remote{}, peers: map[string]*peer{}}
}

// Do runs a batch at a target through one of the hosts, the one at first first,
// and returns the lane where it was kept. After remote.ErrRefused, ErrNoLender and
// ErrUnreachable nothing was sent to the target.
func (a *Borrower) Do(ctx context.Context, t target.Target, b batch.Batch, hosts []gossip.HostInfo, first int) ([]reply.Reply, *conn.Conn, error) {
	var replies []reply.Reply
	var l *conn.Conn
	// The wait is for all hosts together; time lost on one that is silent is no
	// part of it.
	waited := time.Duration(0)
	err := a.each(ctx, hosts, first, func(r *remote.Remote) (bool, error) {
		if waited >= b.Wait {
			return false, errors.Wrap(remote.ErrRefused, "no time left")
		}
		began := a.now()
		var err error
		replies, l, err = r.Take(ctx, t, b.WithWait(waitOf(ctx, b.Wait-waited)))
		if errors.Is(err, remote.ErrRefused) {
			waited += a.now() - began
		}
		if l != nil {
			a.mu.Lock()
			a.out[l] = r
			a.mu.Unlock()
		}
		return l != nil, err
	})
	return replies, l, err
}

// Report sends a command to a target through one of the hosts.
func (a *Borrower) Report(ctx context.Context, t target.Target, s stmt.Stmt, hosts []gossip.HostInfo, first int) (report.Report, error) {
	var found report.Report
	err := a.each(ctx, hosts, first, func(r *remote.Remote) (bool, error) {
		var err error
		found, err = r.Report(ctx, t, s)
		return false, err
	})
	return found, err
}

// waitOf returns how long the other host may wait for a connection, within a
// limit and so that its answer comes in time.
func waitOf(ctx context.Context, limit time.Duration) time.Duration {
	wait := min(limit, waitLimit)
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		wait = min(wait, left-min(left/4, answerTime))
	}
	return wait
}

// each asks one host after another until one does what is asked. The question
// must be safe to ask twice. Ask tells whether the remote stays in use. Where a
// host was asked and its answer lost, that is the error whatever others say.
func (a *Borrower) each(ctx context.Context, hosts []gossip.HostInfo, first int, ask func(*remote.Remote) (bool, error)) error {
	err := ErrNoLender
	var lost error
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		if a.isBad(h.Host) {
			continue
		}
		failed := a.from(ctx, h, ask)
		if failed == nil {
			return nil
		}
		err = failed
		if lost == nil && !unsent(failed) {
			lost = failed
		}
		if ctx.Err() != nil {
			break
		}
	}
	if lost != nil {
		return lost
	}
	return err
}

// unsent tells that a host was not asked, or gave no connection.
func unsent(err error) bool {
	return errors.Is(err, remote.ErrRefused) || errors.Is(err, ErrUnreachable)
}

func (a *Borrower) isBad(host string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now() < a.bad[host].until
}

// from asks one host. An idle connection to it may be dead, so a new one is
// tried after it.
func (a *Borrower) from(ctx context.Context, h gossip.HostInfo, ask func(*remote.Remote) (bool, error)) error {
	var lost error
	for {
		r, kept, err := a.remote(ctx, h)
		if err != nil {
			a.mark(h.Host)
			return cmp.Or(lost, fmt.Errorf("%w: %w", ErrUnreachable, err))
		}
		used, err := a.watched(h, r, ask)
		switch {
		case err == nil:
			if !used {
				a.keep(r)
			}
			return nil
		case errors.Is(err, remote.ErrRefused):
			a.keep(r)
			return cmp.Or(lost, err)
		}
		lost = cmp.Or(lost, err)
		if !kept || ctx.Err() != nil || a.isBad(h.Host) {
			return lost
		}
	}
}

func (a *Borrower) remote(ctx context.Context, h gossip.HostInfo) (r *remote.Remote, kept bool, err error) {
	a.mu.Lock()
	if n := len(a.idle[h.Host]); n > 0 {
		r = a.idle[h.Host][n-1]
		a.idle[h.Host] = a.idle[h.Host][:n-1]
	}
	a.mu.Unlock()
	if r != nil {
		return r, true, nil
	}
	r, err = a.dialer.Host(ctx, h)
	return r, false, err
}

func (a *Borrower) mark(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	span := min(max(2*a.bad[host].span, badTime), badLongest)
	a.bad[host] = bad{a.now() + span, span}
}

func (a *Borrower) keep(r *remote.Remote) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Broken() || len(a.idle[r.Host]) >= idleKept {
		r.Close()
		return
	}
	a.idle[r.Host] = append(a.idle[r.Host], r)
}

// Put gives a connection back that is in no transaction.
func (a *Borrower) Put(l *conn.Conn) {
	if r := a.forget(l); r != nil && r.Put() == nil {
		a.keep(r)
	}
}

// Drop closes a connection of no more use.
func (a *Borrower) Drop(l *conn.Conn) {
	a.forget(l)
	l.Close()
}

func (a *Borrower) forget(l *conn.Conn) *remote.Remote {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.out[l]
	delete(a.out, l)
	return r
}

// Abort closes the connections in use to a target.
func (a *Borrower) Abort(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for l := range a.out {
		if l.Target == id {
			l.Close()
		}
	}
}
