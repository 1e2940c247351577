// Package relay lends this host's connections to targets to other hosts.
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
	// maxRequestTime bounds the time limit that another host may set for a request.
	maxRequestTime = 30 * time.Second
)

// tables are the process's shared tables.
type tables interface {
	// ReplicaSet returns a database group.
	ReplicaSet(group string) (*rset.ReplicaSet, bool)
}

// Relay serves the hosts that borrow connections.
type Relay struct {
	log      *zap.Logger
	tables   tables
	lent     atomic.Int64
	stopping atomic.Bool
}

// New returns a relay over the process's tables.
func New(log *zap.Logger, t tables) *Relay {
	return &Relay{log: log, tables: t}
}

// Serve accepts connections of other hosts until the listener is closed.
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

// Stop makes the relay refuse to lend more connections.
func (r *Relay) Stop() {
	r.stopping.Store(true)
}

// Lent returns how many connections are in use by other hosts.
func (r *Relay) Lent() int64 {
	return r.lent.Load()
}

// loan is the state of one borrowing host's connection to the relay: the
// connection to a target that it has borrowed, nil if none.
type loan struct {
	relay *Relay
	group *rset.ReplicaSet
	conn  *conn.Conn
}

func (r *Relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	l := &loan{relay: r}
	defer l.drop()
	compressed := huff.New(c)
	in, out := gob.NewDecoder(compressed), gob.NewEncoder(compressed)
	for {
		var p parcel.Parcel
		if err := in.Decode(&p); err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				r.log.Debug("relay: connection to host failed", zap.String("Error", err.Error()))
			}
			return
		}
		if p.Verb == parcel.Put {
			l.put()
			continue
		}
		if err := out.Encode(l.handle(p)); err != nil {
			return
		}
	}
}

// handle answers one request. Run needs a borrowed connection; Take and Report
// must not have one.
func (l *loan) handle(p parcel.Parcel) parcel.Parcel {
	ctx, stop := requestContext(p)
	defer stop()
	switch {
	case p.Verb == parcel.Run && l.conn != nil && len(p.Stages) == 1:
		return l.run(ctx, p)
	case p.Verb == parcel.Take && l.conn == nil:
		return l.take(ctx, p)
	case p.Verb == parcel.Report && l.conn == nil && len(p.Stages) == 1 && len(p.Stages[0]) == 1:
		return l.report(ctx, p)
	}
	return parcel.Parcel{Fault: "question out of turn"}
}

// requestContext returns a context that ends with the time limit of the other
// host's statement. Nobody waits for an answer after that.
func requestContext(p parcel.Parcel) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), min(time.Duration(p.TimeMs)*time.Millisecond, maxRequestTime))
}

func faultText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// lendableGroup returns a group whose connections this host may lend. It reports
// false if the group is unknown or the relay was stopped.
func (r *Relay) lendableGroup(group string) (*rset.ReplicaSet, bool) {
	set, ok := r.tables.ReplicaSet(group)
	return set, ok && !r.stopping.Load()
}

// notServed returns the answer for a group whose connections can't be lent.
func notServed() parcel.Parcel {
	return parcel.Parcel{Fault: "the host does not serve the group"}
}

// take runs the other host's batch on one of this host's own connections, which
// is lent to it afterwards if the batch asks for that.
func (l *loan) take(ctx context.Context, p parcel.Parcel) parcel.Parcel {
	group, ok := l.relay.lendableGroup(p.Group)
	if !ok {
		return notServed()
	}
	l.relay.lent.Add(1)
	replies, cn, err := group.DoOwn(ctx, p.Target, p.Batch())
	if cn == nil {
		l.relay.lent.Add(-1)
	}
	l.group, l.conn = group, cn
	return parcel.Parcel{Replies: replies, Kept: cn != nil, Sent: errors.Is(err, rset.ErrAnswerLost), Fault: faultText(err)}
}

// run runs a stage on the connection that the other host has borrowed.
func (l *loan) run(ctx context.Context, p parcel.Parcel) parcel.Parcel {
	stage := p.Stages[0]
	if len(stage) == 1 && stage[0].Kind == stmt.Rollback {
		one, err := l.conn.Rollback(ctx)
		return parcel.Parcel{Replies: []reply.Reply{one}, Sent: true, Fault: faultText(err)}
	}
	replies, err := l.group.Run(ctx, l.conn, p.Batch().Caller, stage...)
	return parcel.Parcel{Replies: replies, Sent: true, Fault: faultText(err)}
}

// report runs a command at a target and returns the target's report.
func (l *loan) report(ctx context.Context, p parcel.Parcel) parcel.Parcel {
	group, ok := l.relay.lendableGroup(p.Group)
	if !ok {
		return notServed()
	}
	found, err := group.ReportOwn(ctx, p.Target, p.Stages[0][0])
	return parcel.Parcel{Report: found, Sent: err != nil, Fault: faultText(err)}
}

// put returns the borrowed connection to its pool.
func (l *loan) put() {
	if l.conn == nil {
		return
	}
	l.group.Put(l.conn)
	l.clear()
}

// drop closes a connection that was not given back. The target rolls back an open
// transaction.
func (l *loan) drop() {
	if l.conn == nil {
		return
	}
	l.group.Drop(l.conn)
	l.clear()
}

func (l *loan) clear() {
	l.conn = nil
	l.relay.lent.Add(-1)
}
