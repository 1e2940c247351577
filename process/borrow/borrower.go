// Package borrow runs statements on other hosts' connections to a target.
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
	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/skips"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// maxIdlePerHost is how many idle connections to each other host are kept.
	maxIdlePerHost = 4
	// maxLenderWait bounds the time for which one lending host may wait for a
	// connection to the target.
	maxLenderWait = 2 * time.Second
	// customerRefusals is after how many refusals no further host is asked for a
	// connection of a customer. Each host that gave one would have to open it first.
	customerRefusals = 2
	// answerMargin is the part of the time left that is reserved for the
	// lending host's answer: a round trip between regions and a little more.
	answerMargin = 80 * time.Millisecond
)

// ErrNoLender is returned when there is no other host to ask for a connection,
// or all such hosts are being skipped.
var ErrNoLender = errors.New("no other host gave a connection")

// ErrUnreachable is returned when a lending host could not be reached, so that
// nothing was sent to the target.
var ErrUnreachable = errors.New("the host can't be reached")

// dialer opens connections to other hosts.
type dialer interface {
	// Host opens a connection to a host.
	Host(ctx context.Context, h gossip.HostInfo) (*remote.Remote, error)
}

// Borrower manages connections to other hosts and runs statements through them.
// Lock order: the mutex of a ReplicaSet, then of the Borrower.
type Borrower struct {
	mu     sync.Mutex
	dialer dialer
	now    func() time.Duration
	// idle and peers are maps by host name: idle connections to the host, and its
	// unanswered requests. skipped holds the hosts that could not be reached.
	idle    map[string][]*remote.Remote
	skipped *skips.Skips
	// inUse maps each borrowed connection to the Remote, the connection to its
	// lender.
	inUse map[*conn.Conn]*remote.Remote
	peers map[string]*peerState
}

// New returns a Borrower without connections.
func New(d dialer, now func() time.Duration) *Borrower {
	return &Borrower{dialer: d, now: now, idle: map[string][]*remote.Remote{}, skipped: skips.New(), inUse: map[*conn.Conn]*remote.Remote{}, peers: map[string]*peerState{}}
}

// Do runs a batch at a target through one of the given hosts. It asks the host
// at index first before the others. It returns the target connection if the
// batch keeps it. If it returns remote.ErrRefused, ErrNoLender or
// ErrUnreachable, nothing was sent to the target. It calls heard with the load of the target as
// each host that answered states it, unless that says nothing.
func (br *Borrower) Do(ctx context.Context, t target.Target, b batch.Batch, hosts []gossip.HostInfo, first int, heard func(host string, outstanding, free int)) ([]reply.Reply, *conn.Conn, error) {
	var replies []reply.Reply
	var cn *conn.Conn
	// b.Wait bounds the total time for which the hosts wait for a connection.
	// Time lost on a host that does not answer does not count towards it.
	waited := time.Duration(0)
	refusals := len(hosts)
	if b.Caller.Customer != "" {
		refusals = customerRefusals
	}
	err := br.tryEach(ctx, hosts, first, refusals, func(r *remote.Remote) (bool, error) {
		if waited >= b.Wait {
			return false, errors.Wrap(remote.ErrRefused, "no time left")
		}
		began := br.now()
		var err error
		replies, cn, err = r.Take(ctx, t, b.WithWait(lenderWait(ctx, b.Wait-waited)))
		if errors.Is(err, remote.ErrRefused) {
			waited += br.now() - began
		}
		if outstanding, free := r.Load(); outstanding > 0 && (err == nil || errors.Is(err, remote.ErrRefused)) {
			heard(r.Host, outstanding, free)
		}
		if cn != nil {
			br.mu.Lock()
			br.inUse[cn] = r
			br.mu.Unlock()
		}
		return cn != nil, err
	})
	return replies, cn, err
}

// Report sends a command to a target through one of the given hosts and returns
// the target's report.
func (br *Borrower) Report(ctx context.Context, t target.Target, s stmt.Stmt, hosts []gossip.HostInfo, first int) (report.Report, error) {
	var result report.Report
	err := br.tryEach(ctx, hosts, first, len(hosts), func(r *remote.Remote) (bool, error) {
		var err error
		result, err = r.Report(ctx, t, s)
		return false, err
	})
	return result, err
}

// Acknowledged asks a host which commits of a group it knows to be acknowledged. It returns
// the positions between which the newest of them is. If leader is not empty, it also announces
// that this host is about to replace that target.
// The host is asked even if it could not be reached lately.
func (br *Borrower) Acknowledged(ctx context.Context, group, leader string, h gossip.HostInfo) (floor, ceiling mark.Mark, err error) {
	err = br.tryHost(ctx, h, func(r *remote.Remote) (bool, error) {
		var err error
		floor, ceiling, err = r.Acknowledged(ctx, group, leader)
		return false, err
	})
	return floor, ceiling, err
}

// Confirm asks a host whether it confirms to this host, self, that a target leads a group, and
// knows of no replacement of it. It returns nil if the host confirms both. The host is asked
// even if it could not be reached lately.
func (br *Borrower) Confirm(ctx context.Context, group, leader, self string, h gossip.HostInfo) error {
	return br.tryHost(ctx, h, func(r *remote.Remote) (bool, error) {
		return false, r.Confirm(ctx, group, leader, self)
	})
}

// Quota claims this host's shares of the customers' limits from a host. The host is asked even
// if it could not be reached lately.
func (br *Borrower) Quota(ctx context.Context, c claim.Claim, h gossip.HostInfo) (award.Award, error) {
	var answer award.Award
	err := br.tryHost(ctx, h, func(r *remote.Remote) (bool, error) {
		var err error
		answer, err = r.Quota(ctx, c)
		return false, err
	})
	return answer, err
}

// lenderWait returns how long a lending host may wait for a connection: at most
// limit, and short enough for its answer to arrive before the context ends.
func lenderWait(ctx context.Context, limit time.Duration) time.Duration {
	wait := min(limit, maxLenderWait)
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		wait = min(wait, left-min(left/4, answerMargin))
	}
	return wait
}

// tryEach calls ask with a connection to one host after another, starting at
// index first, until a call succeeds or a number of hosts have refused. The function ask also returns whether the
// connection stays in use. The request must be safe to repeat, since the next
// host is asked after an answer was lost. If no host succeeds, the error of the
// first lost answer has precedence over refusals.
func (br *Borrower) tryEach(ctx context.Context, hosts []gossip.HostInfo, first, refusals int, ask func(*remote.Remote) (bool, error)) error {
	err := ErrNoLender
	var lost error
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		if br.Skipped(h.Host) {
			continue
		}
		failed := br.tryHost(ctx, h, ask)
		if failed == nil {
			return nil
		}
		err = failed
		if lost == nil && !notSent(failed) {
			lost = failed
		}
		if errors.Is(failed, remote.ErrRefused) {
			refusals--
		}
		if ctx.Err() != nil || refusals == 0 {
			break
		}
	}
	if lost != nil {
		return lost
	}
	return err
}

// notSent reports whether an error means that nothing was sent to the target:
// the host was not reached, or refused to lend a connection.
func notSent(err error) bool {
	return errors.Is(err, remote.ErrRefused) || errors.Is(err, ErrUnreachable)
}

// Skipped reports whether a host is currently skipped because it could not be
// reached.
func (br *Borrower) Skipped(host string) bool {
	br.mu.Lock()
	defer br.mu.Unlock()
	return br.now() < br.skipped.End(host)
}

// tryHost asks one host. Idle connections to the host may be dead, so tryHost
// tries one after another until one works, and then a new connection.
func (br *Borrower) tryHost(ctx context.Context, h gossip.HostInfo, ask func(*remote.Remote) (bool, error)) error {
	var lost error
	for {
		r, reused, err := br.connect(ctx, h)
		if err != nil {
			br.skipHost(h.Host)
			return cmp.Or(lost, fmt.Errorf("%w: %w", ErrUnreachable, err))
		}
		used, err := br.askMonitored(h, r, ask)
		switch {
		case err == nil:
			if !used {
				br.putIdle(r)
			}
			return nil
		case errors.Is(err, remote.ErrRefused):
			br.putIdle(r)
			return cmp.Or(lost, err)
		}
		lost = cmp.Or(lost, err)
		if !reused || ctx.Err() != nil || br.Skipped(h.Host) {
			return lost
		}
	}
}

// connect returns a connection to a host. The result reused is true if the
// connection was idle, and false if it is new.
func (br *Borrower) connect(ctx context.Context, h gossip.HostInfo) (r *remote.Remote, reused bool, err error) {
	br.mu.Lock()
	if n := len(br.idle[h.Host]); n > 0 {
		r = br.idle[h.Host][n-1]
		br.idle[h.Host] = br.idle[h.Host][:n-1]
	}
	br.mu.Unlock()
	if r != nil {
		return r, true, nil
	}
	r, err = br.dialer.Host(ctx, h)
	return r, false, err
}

// skipHost skips a host for a while, and for longer with each failure in a row.
func (br *Borrower) skipHost(host string) {
	br.mu.Lock()
	defer br.mu.Unlock()
	br.skipped.Unreachable(host, br.now())
}

// putIdle keeps an idle connection to a host, or closes it if it is broken or
// enough are idle.
func (br *Borrower) putIdle(r *remote.Remote) {
	br.mu.Lock()
	defer br.mu.Unlock()
	if r.Broken() || len(br.idle[r.Host]) >= maxIdlePerHost {
		r.Close()
		return
	}
	br.idle[r.Host] = append(br.idle[r.Host], r)
}

// Put returns a borrowed connection to its lender. The connection must not be
// in a transaction.
func (br *Borrower) Put(cn *conn.Conn) {
	if r := br.removeInUse(cn); r != nil && r.Put() == nil {
		br.putIdle(r)
	}
}

// Drop closes a borrowed connection that can't be used again, and removes it
// from inUse.
func (br *Borrower) Drop(cn *conn.Conn) {
	br.removeInUse(cn)
	cn.Close()
}

// release removes a borrowed connection from inUse. It returns the Remote
// through which the connection was lent, or nil if it was not in inUse.
func (br *Borrower) removeInUse(cn *conn.Conn) *remote.Remote {
	br.mu.Lock()
	defer br.mu.Unlock()
	r := br.inUse[cn]
	delete(br.inUse, cn)
	return r
}

// Abort closes all borrowed connections to a target, which ends the statements
// running on them. The connections remain in inUse until Put or Drop.
func (br *Borrower) Abort(id string) {
	br.mu.Lock()
	defer br.mu.Unlock()
	for cn := range br.inUse {
		if cn.Target == id {
			cn.Close()
		}
	}
}
