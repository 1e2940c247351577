package rset

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// proveTimeout bounds one proof: it takes no slot, so only round trips
	// and the wait for a connection count.
	proveTimeout = time.Second
	// searchPause is the pause between two rounds of asking who leads.
	searchPause = 100 * time.Millisecond
	// searchLimit bounds a search; the next statement that needs a leader
	// begins another.
	searchLimit = 10 * time.Second
)

// proving is a proof under way that several statements wait for.
type proving struct {
	done  chan struct{}
	began time.Duration
	err   error
}

// AwaitWatermark asks the leader for a proof that was begun after a time, together
// with others that need one.
func (c *ReplicaSet) AwaitWatermark(ctx context.Context, after time.Duration) error {
	for {
		p := c.renew()
		select {
		case <-p.done:
		case <-ctx.Done():
			return errors.Wrap(ErrNotSent, "no proof of the newest position")
		}
		if p.began >= after || p.err != nil {
			return p.err
		}
	}
}

// RenewWatermark begins a proof, unless one is under way, and doesn't wait for it.
func (c *ReplicaSet) RenewWatermark() {
	c.renew()
}

func (c *ReplicaSet) renew() *proving {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proving == nil {
		c.proving = &proving{done: make(chan struct{}), began: c.now()}
		go c.prove(c.proving)
	}
	return c.proving
}

func (c *ReplicaSet) prove(p *proving) {
	ctx, stop := context.WithTimeout(context.Background(), proveTimeout)
	defer stop()
	p.err = c.proof(ctx)
	c.mu.Lock()
	c.proving = nil
	c.mu.Unlock()
	close(p.done)
}

func (c *ReplicaSet) proof(ctx context.Context) error {
	t, err := c.AwaitLeader(ctx)
	if err != nil {
		return err
	}
	r, err := c.ask(ctx, t)
	if err != nil {
		return err
	}
	if !r.OK() {
		c.ClearLeader(t.ID)
		return errors.Errorf("the leader did not prove to lead: %s", r.Code.Name())
	}
	return nil
}

// Report runs a command at a target.
func (c *ReplicaSet) Report(ctx context.Context, t target.Target, s stmt.Stmt) (report.Report, error) {
	c.mu.Lock()
	seat, err := c.reachable(t.ID)
	if err != nil {
		c.mu.Unlock()
		return report.Report{}, err
	}
	own, hosts, first := seat.own, seat.hosts, seat.first
	c.mu.Unlock()
	if !own {
		r, err := c.away.Report(ctx, t, s, hosts, first)
		if err == nil || ctx.Err() != nil || errors.Is(err, remote.ErrRefused) {
			return r.WithMember(t.ID).WithLeaving(t.Leaving), err
		}
	}
	r, err := c.ReportOwn(ctx, t.ID, s)
	return r.WithLeaving(t.Leaving), err
}

// ReportOwn is Report on one of this host's own connections, for another host.
func (c *ReplicaSet) ReportOwn(ctx context.Context, id string, s stmt.Stmt) (report.Report, error) {
	_, l, err := c.DoOwn(ctx, id, batch.New(caller.Caller{}).WithKeep())
	if err != nil {
		return report.Report{}, err
	}
	r, err := l.Report(ctx, s)
	if err != nil {
		c.Drop(l)
		return r, err
	}
	c.Put(l)
	return r, nil
}

// AcceptsWrites tells whether a target accepts a transaction that may write, as only
// the leader does.
func (c *ReplicaSet) AcceptsWrites(ctx context.Context, t target.Target) (bool, error) {
	r, err := c.ask(ctx, t)
	return err == nil && r.OK(), err
}

// ask begins and rolls back a transaction that may write, which only the
// leader accepts and which takes no slot.
func (c *ReplicaSet) ask(ctx context.Context, t target.Target) (reply.Reply, error) {
	replies, _, err := c.Do(ctx, t.ID, batch.New(caller.Caller{},
		[]stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Begin, "")}, []stmt.Stmt{stmt.New(stmt.ProxyID, stmt.Rollback, "")}))
	if err != nil {
		return reply.Reply{}, err
	}
	return replies[0], nil
}

// search asks all targets who leads until one does.
func (c *ReplicaSet) search() {
	if c.searching {
		return
	}
	c.searching = true
	go c.searchLoop()
}

func (c *ReplicaSet) searchLoop() {
	ctx, stop := context.WithTimeout(context.Background(), searchLimit)
	defer stop()
	for ctx.Err() == nil && !c.led() {
		c.searchRound(ctx)
		if !c.led() {
			time.Sleep(searchPause)
		}
	}
	c.mu.Lock()
	c.searching = false
	c.mu.Unlock()
}

// led tells whether there is a leader that answers.
func (c *ReplicaSet) led() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.seats[c.leader]
	return ok && c.usable(s)
}

func (c *ReplicaSet) searchRound(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, proveTimeout)
	defer stop()
	targets := slices.DeleteFunc(c.Targets(), func(t target.Target) bool {
		_, down := c.Down(t.ID)
		return down
	})
	done := make(chan struct{}, len(targets))
	for _, t := range targets {
		go func() {
			defer func() { done <- struct{}{} }()
			r, err := c.ask(ctx, t)
			if err == nil && r.Code == code.Done {
				c.SetLeader(t.ID, "accepted a transaction")
			}
		}()
	}
	for range targets {
		<-done
	}
}
