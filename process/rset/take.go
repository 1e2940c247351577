package rset

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/borrow"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// Take returns a connection to a target, its own or another host's.
func (c *ReplicaSet) Take(ctx context.Context, id string, b batch.Batch) (*conn.Conn, error) {
	b.Stages = nil
	_, l, err := c.Do(ctx, id, b.WithKeep())
	return l, err
}

// Do runs a batch at a target on a connection of this host or another one, and
// returns the replies up to the first that failed, and the lane where it is
// kept. It ends as soon as the target is found not to answer, so that another
// one can be asked in time. Unless the error is ErrAnswerLost, nothing was sent.
func (c *ReplicaSet) Do(ctx context.Context, id string, b batch.Batch) ([]reply.Reply, *conn.Conn, error) {
	c.mu.Lock()
	s, err := c.reachable(id)
	if err != nil {
		c.mu.Unlock()
		return nil, nil, err
	}
	t, own, hosts, first := s.target, s.own, s.hosts, s.first
	c.mu.Unlock()
	if !own {
		replies, l, err := c.doBorrowed(ctx, t, b, hosts, first)
		if err == nil || ctx.Err() != nil || errors.Is(err, remote.ErrRefused) || errors.Is(err, ErrAnswerLost) {
			return replies, l, err
		}
	}
	return c.doOwn(ctx, id, s.stock, b)
}

// doBorrowed runs a batch through another host. Errors but for those of hosts that
// could not be asked are ErrAnswerLost: something may have been sent.
func (c *ReplicaSet) doBorrowed(ctx context.Context, t target.Target, b batch.Batch, hosts []gossip.HostInfo, first int) ([]reply.Reply, *conn.Conn, error) {
	if len(b.Stages) == 0 {
		return c.away.Do(ctx, t, b, hosts, first)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer c.onFailure(t.ID, stop)()
	var l *conn.Conn
	began := c.now()
	replies, err := c.watched(t.ID, silentAfter+min(b.Wait, silentAfter), func() ([]reply.Reply, error) {
		replies, kept, err := c.away.Do(ctx, t, b, hosts, first)
		l = kept
		return replies, err
	})
	if err == nil {
		c.learn(b, replies, began)
		return replies, l, nil
	}
	if errors.Is(err, remote.ErrRefused) || errors.Is(err, borrow.ErrNoLender) || errors.Is(err, borrow.ErrUnreachable) {
		return nil, nil, err
	}
	return nil, nil, fmt.Errorf("%w: %w", ErrAnswerLost, err)
}

// DoOwn is Do on one of this host's own connections, for another host.
func (c *ReplicaSet) DoOwn(ctx context.Context, id string, b batch.Batch) ([]reply.Reply, *conn.Conn, error) {
	c.mu.Lock()
	s, err := c.reachable(id)
	c.mu.Unlock()
	if err != nil {
		return nil, nil, err
	}
	return c.doOwn(ctx, id, s.stock, b)
}

func (c *ReplicaSet) doOwn(ctx context.Context, id string, s *conns.Pool, b batch.Batch) ([]reply.Reply, *conn.Conn, error) {
	waiting, stop := context.WithTimeout(ctx, b.Wait)
	l, err := s.Take(waiting, b.Caller, b.Priority)
	stop()
	if err != nil {
		return nil, nil, err
	}
	ctx, stop = context.WithCancel(ctx)
	defer stop()
	defer c.onFailure(id, stop)()
	began := c.now()
	replies, err := c.runStages(ctx, l, b)
	if err != nil {
		c.Drop(l)
		return nil, nil, fmt.Errorf("%w: %w", ErrAnswerLost, err)
	}
	c.learn(b, replies, began)
	n := len(replies)
	switch {
	case b.Keep && (n == 0 || replies[n-1].OK()):
		return replies, l, nil
	case n > 0 && replies[n-1].Status != reply.Idle:
		c.Drop(l)
	default:
		c.Put(l)
	}
	return replies, nil, nil
}

// runStages runs the stages of a batch until one of their statements fails.
func (c *ReplicaSet) runStages(ctx context.Context, l *conn.Conn, b batch.Batch) ([]reply.Reply, error) {
	var all []reply.Reply
	for _, stage := range b.Stages {
		replies, err := c.Run(ctx, l, b.Caller, stage...)
		if err != nil {
			return nil, err
		}
		all = append(all, replies...)
		if slices.ContainsFunc(replies, func(r reply.Reply) bool { return !r.OK() }) {
			break
		}
	}
	return all, nil
}

// learn takes the proof of a transaction that was begun after a time and may
// write, which only the leader accepts.
func (c *ReplicaSet) learn(b batch.Batch, replies []reply.Reply, began time.Duration) {
	if len(replies) > 0 && b.Stages[0][0].Kind == stmt.Begin && replies[0].OK() {
		c.AddWatermark(replies[0].Mark, began)
	}
}

// reachable returns a target's seat; the caller holds the lock.
func (c *ReplicaSet) reachable(id string) (*seat, error) {
	s, ok := c.seats[id]
	if !ok {
		return nil, ErrNotRegistered
	}
	if s.failing != 0 {
		return nil, ErrUnavailable
	}
	return s, nil
}

// Put takes a connection back that is in no transaction.
func (c *ReplicaSet) Put(l *conn.Conn) {
	if l.Borrowed {
		c.away.Put(l)
		return
	}
	if s := c.seatOf(l); s != nil {
		s.stock.Put(l)
		return
	}
	l.Close()
}

// Drop closes a connection of no more use.
func (c *ReplicaSet) Drop(l *conn.Conn) {
	if l.Borrowed {
		c.away.Drop(l)
		return
	}
	if s := c.seatOf(l); s != nil {
		s.stock.Drop(l)
		return
	}
	l.Close()
}

func (c *ReplicaSet) seatOf(l *conn.Conn) *seat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seats[l.Target]
}

// Rank returns how many hosts are nearer to a target than this one.
func (c *ReplicaSet) Rank(t target.Target) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gates.Rank(t)
}

// ConnectsTo tells whether this host connects to a target by itself.
func (c *ReplicaSet) ConnectsTo(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.seats[id]
	return ok && s.own
}
