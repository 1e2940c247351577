// Package relay lets other hosts use this host's connections to targets.
package relay

import (
	"context"
	"encoding/gob"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/connection/huff"
	"github.com/pistachiotray/pistachiotray/connection/parcel"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// longest bounds the time that another host may ask for.
	longest = 30 * time.Second
)

// tables are what the process knows.
type tables interface {
	// ReplicaSet returns a database group.
	ReplicaSet(group string) (*rset.ReplicaSet, bool)
}

// Relay serves other hosts.
type Relay struct {
	log      *zap.Logger
	tables   tables
	taken    atomic.Int64
	stopping atomic.Bool
}

// New returns a relay over the process's tables.
func New(log *zap.Logger, t tables) *Relay {
	return &Relay{log: log, tables: t}
}

// Serve accepts hosts until the listener is closed.
func (r *Relay) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.log.Warn("relay: accept failed", zap.String("Error", err.Error()))
			time.Sleep(time.Millisecond)
			continue
		}
		go r.serve(c)
	}
}

// Stop refuses to give out more connections.
func (r *Relay) Stop() {
	r.stopping.Store(true)
}

// Lent returns how many connections other hosts use.
func (r *Relay) Lent() int64 {
	return r.taken.Load()
}

// loan is a connection to a target that the host at the other end keeps.
type loan struct {
	relay *Relay
	crew  *rset.ReplicaSet
	lane  *conn.Conn
}

func (r *Relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	k := &loan{relay: r}
	defer k.drop()
	packed := huff.New(c)
	in, out := gob.NewDecoder(packed), gob.NewEncoder(packed)
	for {
		var p parcel.Parcel
		if err := in.Decode(&p); err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				r.log.Debug("relay: host left", zap.String("Error", err.Error()))
			}
			return
		}
		if p.Verb == parcel.Put {
			k.put()
			continue
		}
		if err := out.Encode(k.answer(p)); err != nil {
			return
		}
	}
}

func (k *loan) answer(p parcel.Parcel) parcel.Parcel {
	ctx, stop := within(p)
	defer stop()
	switch {
	case p.Verb == parcel.Run && k.lane != nil && len(p.Stages) == 1:
		return k.run(ctx, p)
	case p.Verb == parcel.Take && k.lane == nil:
		return k.take(ctx, p)
	case p.Verb == parcel.Report && k.lane == nil && len(p.Stages) == 1 && len(p.Stages[0]) == 1:
		return k.report(ctx, p)
	}
	return parcel.Parcel{Fault: "question out of turn"}
}

// within returns a context that ends with the time of the other host's
// statement: nobody waits for an answer after it.
func within(p parcel.Parcel) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), min(time.Duration(p.TimeMs)*time.Millisecond, longest))
}

func faultOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// crewOf returns a group that this host lends connections of.
func (r *Relay) crewOf(group string) (*rset.ReplicaSet, bool) {
	c, ok := r.tables.ReplicaSet(group)
	return c, ok && !r.stopping.Load()
}

// notServed is the answer where this host has no connection to lend.
func notServed() parcel.Parcel {
	return parcel.Parcel{Fault: "the host does not serve the group"}
}

// take runs the other host's batch on a connection of this host's own.
func (k *loan) take(ctx context.Context, p parcel.Parcel) parcel.Parcel {
	c, ok := k.relay.crewOf(p.Group)
	if !ok {
		return notServed()
	}
	k.relay.taken.Add(1)
	replies, l, err := c.DoOwn(ctx, p.Target, p.Batch())
	if l == nil {
		k.relay.taken.Add(-1)
	}
	k.crew, k.lane = c, l
	return parcel.Parcel{Replies: replies, Kept: l != nil, Sent: errors.Is(err, rset.ErrAnswerLost), Fault: faultOf(err)}
}

// run sends a stage on the connection that the other host keeps.
func (k *loan) run(ctx context.Context, p parcel.Parcel) parcel.Parcel {
	stage := p.Stages[0]
	if len(stage) == 1 && stage[0].Kind == stmt.Rollback {
		one, err := k.lane.Rollback(ctx)
		return parcel.Parcel{Replies: []reply.Reply{one}, Sent: true, Fault: faultOf(err)}
	}
	replies, err := k.crew.Run(ctx, k.lane, p.Batch().Caller, stage...)
	return parcel.Parcel{Replies: replies, Sent: true, Fault: faultOf(err)}
}

// report passes a target's standing on.
func (k *loan) report(ctx context.Context, p parcel.Parcel) parcel.Parcel {
	c, ok := k.relay.crewOf(p.Group)
	if !ok {
		return notServed()
	}
	found, err := c.ReportOwn(ctx, p.Target, p.Stages[0][0])
	return parcel.Parcel{Report: found, Sent: err != nil, Fault: faultOf(err)}
}

// put takes back the connection that the other host kept.
func (k *loan) put() {
	if k.lane == nil {
		return
	}
	k.crew.Put(k.lane)
	k.end()
}

// drop closes a connection that was not given back: its transaction is rolled
// back by the target.
func (k *loan) drop() {
	if k.lane == nil {
		return
	}
	k.crew.Drop(k.lane)
	k.end()
}

func (k *loan) end() {
	k.lane = nil
	k.relay.taken.Add(-1)
}
