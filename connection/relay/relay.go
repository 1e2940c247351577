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

	"github.com/pistachiotray/pistachiotray/connection/lane"
	"github.com/pistachiotray/pistachiotray/connection/parcel"
	"github.com/pistachiotray/pistachiotray/process/crew"
)

const (
	// longest bounds the time that another host may ask for.
	longest = 30 * time.Second
)

// tables are what the process knows.
type tables interface {
	// Crew returns a database group.
	Crew(group string) (*crew.Crew, bool)
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

// Taken returns how many connections other hosts use.
func (r *Relay) Taken() int64 {
	return r.taken.Load()
}

// loan is a connection to a target that the host at the other end uses.
type loan struct {
	relay *Relay
	crew  *crew.Crew
	lane  *lane.Lane
	// used tells that something was sent on it.
	used bool
}

func (r *Relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	k := &loan{relay: r}
	defer k.drop()
	in, out := gob.NewDecoder(c), gob.NewEncoder(c)
	for {
		var p parcel.Parcel
		if err := in.Decode(&p); err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				r.log.Debug("relay: host left", zap.String("Error", err.Error()))
			}
			return
		}
		if p.Verb == parcel.Put {
			k.put(p)
			continue
		}
		if err := out.Encode(k.answer(p)); err != nil {
			return
		}
	}
}

func (k *loan) answer(p parcel.Parcel) parcel.Parcel {
	switch {
	case p.Verb == parcel.Take && k.lane == nil:
		return k.take(p)
	case p.Verb == parcel.Run && k.lane != nil:
		k.used = true
		ctx, stop := within(p)
		defer stop()
		replies, err := k.crew.Pass(ctx, k.lane, p.Batch)
		return parcel.Parcel{Replies: replies, Fault: faultOf(err)}
	case p.Verb == parcel.Report && k.lane != nil && len(p.Batch) == 1:
		k.used = true
		ctx, stop := within(p)
		defer stop()
		found, err := k.lane.Report(ctx, p.Batch[0])
		return parcel.Parcel{Report: found, Fault: faultOf(err)}
	}
	return parcel.Parcel{Fault: "question out of turn"}
}

// within returns a context that ends with the time of the other host's
// statement: nobody waits for an answer after it.
func within(p parcel.Parcel) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), min(time.Duration(p.WaitMs)*time.Millisecond, longest))
}

func faultOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// take gives the other host a connection of this host's own.
func (k *loan) take(p parcel.Parcel) parcel.Parcel {
	c, ok := k.relay.tables.Crew(p.Group)
	if !ok || k.relay.stopping.Load() {
		return parcel.Parcel{Fault: "the host does not serve the group"}
	}
	ctx, stop := within(p)
	defer stop()
	l, err := c.TakeOwn(ctx, p.Target, p.Priority)
	if err != nil {
		return parcel.Parcel{Fault: err.Error()}
	}
	k.relay.taken.Add(1)
	k.crew, k.lane, k.used = c, l, false
	values, prepared := l.State()
	return parcel.Parcel{Values: values, Prepared: prepared}
}

// put takes the connection back in the state that the other host left it in.
func (k *loan) put(p parcel.Parcel) {
	if k.lane == nil {
		return
	}
	k.lane.SetState(p.Values, p.Prepared)
	k.crew.Put(k.lane)
	k.end()
}

// drop closes a connection that was not given back: its transaction is rolled
// back by the target. One that the other host no longer waited for is kept.
func (k *loan) drop() {
	switch {
	case k.lane == nil:
		return
	case k.used:
		k.crew.Drop(k.lane)
	default:
		k.crew.Put(k.lane)
	}
	k.end()
}

func (k *loan) end() {
	k.lane = nil
	k.relay.taken.Add(-1)
}
