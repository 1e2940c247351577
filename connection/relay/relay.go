// Package relay lends this host's connections to targets to other hosts, and passes on
// the changes of the platform's tables.
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
	"github.com/pistachiotray/pistachiotray/connection/draw"
	"github.com/pistachiotray/pistachiotray/connection/huff"
	"github.com/pistachiotray/pistachiotray/connection/intake"
	"github.com/pistachiotray/pistachiotray/connection/pack"
	"github.com/pistachiotray/pistachiotray/connection/parcel"
	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/budget"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/rescue"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

const (
	// maxRequestTime is the maximum time limit that another host may set for a request.
	maxRequestTime = 30 * time.Second
	// progressTimeout bounds the wait for the next part of a long message. Hosts are near each
	// other and send a message at once.
	progressTimeout = 5 * time.Second
)

// groups looks up database groups.
type groups interface {
	// ReplicaSet returns a database group.
	ReplicaSet(group string) (*rset.ReplicaSet, bool)
}

// news is this host's copy of the platform's tables.
type news interface {
	// Next waits until a table has changes after the known position, or until the
	// context ends, and returns the changes of every table.
	Next(ctx context.Context, known map[string]stamp.Stamp) []delta.Delta
}

// quota divides the customers' limits among the hosts.
type quota interface {
	// Award answers a host's claim to its shares of the limits.
	Award(c claim.Claim) award.Award
}

// Relay serves the hosts that borrow connections or follow the platform's tables.
type Relay struct {
	log    *zap.Logger
	groups groups
	news   news
	// quota is nil if this host divides no limits.
	quota quota
	// lent counts the connections in use by other hosts.
	lent     atomic.Int64
	stopping atomic.Bool
	packer   pack.Packer
	// budget pays for long messages of other hosts, nil if their memory is not limited.
	budget *budget.Budget
}

// WithBudget returns an option that sets what pays for long messages of other hosts.
func WithBudget(b *budget.Budget) func(*Relay) {
	return func(r *Relay) { r.budget = b }
}

// New returns a relay that lends the connections of the groups and passes on the
// changes of the platform's tables.
func New(log *zap.Logger, g groups, n news, options ...func(*Relay)) *Relay {
	r := &Relay{log: log, groups: g, news: n}
	for _, o := range options {
		o(r)
	}
	return r
}

// WithQuota returns an option that makes the relay answer claims to shares of the customers'
// limits.
func WithQuota(q quota) func(*Relay) {
	return func(r *Relay) { r.quota = q }
}

// Serve accepts connections of other hosts until the listener is closed.
func (r *Relay) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.log.Warn("relay: accepting a connection failed", zap.String("Error", err.Error()))
			time.Sleep(time.Millisecond)
			continue
		}
		go rescue.Run(r.log, func() { r.serve(c) })
	}
}

// Stop makes the relay refuse to lend more connections. Connections that are lent
// already remain usable.
func (r *Relay) Stop() {
	r.stopping.Store(true)
}

// Lent returns how many connections are in use by other hosts.
func (r *Relay) Lent() int64 {
	return r.lent.Load()
}

// borrower is the state of one connection of another host to the relay. conn is the
// connection to a target that is lent to the other host, nil if there is none, and
// group is the group of that target.
type borrower struct {
	relay *Relay
	group *rset.ReplicaSet
	conn  *conn.Conn
}

// serve answers the requests on one connection of another host until it ends. It then
// closes a connection to a target that is still lent.
func (r *Relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := &borrower{relay: r}
	defer b.drop()
	sh := draw.New(r.budget, func() { _ = c.Close() }, draw.WithProgress(func() { _ = c.SetReadDeadline(time.Now().Add(progressTimeout)) }))
	defer sh.Leave()
	compressed := huff.New(c, huff.WithIntake(intake.New(sh)))
	incoming := &guard{reader: compressed}
	decoder, encoder := gob.NewDecoder(incoming), gob.NewEncoder(compressed)
	for {
		var p parcel.Parcel
		incoming.next()
		if err := decoder.Decode(&p); err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				r.log.Debug("relay: connection to host failed", zap.String("Error", err.Error()))
			}
			return
		}
		drawn := compressed.Drawn()
		if drawn > 0 {
			_ = c.SetReadDeadline(time.Time{})
		}
		if guarded, ok := c.(interface{ Prove() }); ok {
			guarded.Prove()
		}
		if p.Verb == parcel.Put {
			b.put()
			continue
		}
		answer := b.handle(p)
		sh.Return(drawn)
		if err := encoder.Encode(answer); err != nil {
			return
		}
	}
}

// handle answers one request. Run requires that a connection is lent; Take, TakeFresh
// and Report require that none is. Follow requires the era of each version. Any other
// request is answered with a fault.
func (b *borrower) handle(p parcel.Parcel) parcel.Parcel {
	if p.Verb == parcel.Follow && len(p.Eras) == len(p.Known) {
		return b.relay.follow(p)
	}
	ctx, stop := requestContext(p)
	defer stop()
	switch {
	case p.Verb == parcel.Run && b.conn != nil && len(p.Stages) == 1:
		return b.run(ctx, p)
	case (p.Verb == parcel.Take || p.Verb == parcel.TakeFresh && p.MaxAgeMs >= 0) && b.conn == nil:
		return b.take(ctx, p)
	case p.Verb == parcel.Acknowledged:
		return b.relay.acknowledged(p)
	case p.Verb == parcel.Confirm:
		return b.relay.confirm(p)
	case p.Verb == parcel.Quota && p.Claim != nil && b.relay.quota != nil:
		answer := b.relay.quota.Award(*p.Claim)
		return parcel.Parcel{Award: &answer}
	case p.Verb == parcel.Report && b.conn == nil && len(p.Stages) == 1 && len(p.Stages[0]) == 1:
		return b.report(ctx, p)
	}
	return parcel.Parcel{Fault: "question out of turn"}
}

// follow answers a host that follows the platform's tables.
func (r *Relay) follow(p parcel.Parcel) parcel.Parcel {
	ctx, stop := context.WithTimeout(context.Background(), min(time.Duration(p.WaitMs)*time.Millisecond, maxRequestTime))
	defer stop()
	began := time.Now()
	changes := r.news.Next(ctx, p.Positions())
	held := time.Since(began).Milliseconds()
	changes, packed, err := r.packer.Pack(changes)
	if err != nil {
		r.log.Error("changes of tables not packed", zap.String("Error", err.Error()))
		return parcel.Parcel{Fault: err.Error()}
	}
	return parcel.Parcel{News: changes, Packed: packed, HeldMs: held}
}

// requestContext returns a context that ends when the time limit of the request has
// passed, or after maxRequestTime if that is shorter. The time limit is how long the
// other host waits for the answer.
func requestContext(p parcel.Parcel) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), min(time.Duration(p.TimeMs)*time.Millisecond, maxRequestTime))
}

// faultText returns the text of an error for Parcel.Fault, empty for nil.
func faultText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// lendableGroup returns a group whose connections this host may lend. It reports
// false if the group is unknown or the relay was stopped.
func (r *Relay) lendableGroup(group string) (*rset.ReplicaSet, bool) {
	set, ok := r.groups.ReplicaSet(group)
	return set, ok && !r.stopping.Load()
}

// notServed returns the answer for a group whose connections can't be lent.
func notServed() parcel.Parcel {
	return parcel.Parcel{Fault: "the host does not serve the group"}
}

// take runs the other host's batch on one of this host's own connections. If the
// batch has Keep set and succeeds, the connection is then lent to the other host.
func (b *borrower) take(ctx context.Context, p parcel.Parcel) parcel.Parcel {
	group, ok := b.relay.lendableGroup(p.Group)
	if !ok {
		return notServed()
	}
	b.relay.lent.Add(1)
	replies, cn, err := group.DoOwn(ctx, p.Target, p.Batch())
	if cn == nil {
		b.relay.lent.Add(-1)
	}
	b.group, b.conn = group, cn
	answer := parcel.Parcel{Replies: replies, Kept: cn != nil, Sent: errors.Is(err, rset.ErrAnswerLost), Fault: faultText(err)}
	outstanding, free := group.OwnLoad(p.Target)
	if cn == nil {
		outstanding++
	}
	return answer.WithLoad(outstanding, free)
}

// run runs a stage on the connection that is lent to the other host.
func (b *borrower) run(ctx context.Context, p parcel.Parcel) parcel.Parcel {
	stage := p.Stages[0]
	if len(stage) == 1 && stage[0].Kind == stmt.Rollback {
		answer, err := b.conn.Rollback(ctx)
		return parcel.Parcel{Replies: []reply.Reply{answer}, Sent: true, Fault: faultText(err)}
	}
	replies, err := b.group.Run(ctx, b.conn, p.Batch().Caller, stage...)
	notSent := errors.Is(err, conn.ErrNotPrepared) || errors.Is(err, rset.ErrNotSent)
	return parcel.Parcel{Replies: replies, Sent: !notSent, Fault: faultText(err)}
}

// report runs a command at a target and returns the target's report. If the command
// fails, it sets Sent, even if nothing was sent. The other host then treats the
// error as a failure of the command, not as a refusal to lend a connection.
func (b *borrower) report(ctx context.Context, p parcel.Parcel) parcel.Parcel {
	group, ok := b.relay.lendableGroup(p.Group)
	if !ok {
		return notServed()
	}
	rep, err := group.ReportOwn(ctx, p.Target, p.Stages[0][0])
	return parcel.Parcel{Report: rep, Sent: err != nil, Fault: faultText(err)}
}

// acknowledged tells another host which commits of a group this host knows to be
// acknowledged, also while this host stops.
func (r *Relay) acknowledged(p parcel.Parcel) parcel.Parcel {
	group, ok := r.groups.ReplicaSet(p.Group)
	if !ok {
		return notServed()
	}
	group.AnnounceReplacement(p.Target)
	known := group.Acknowledged()
	return parcel.Parcel{Report: report.Report{Applied: known.Floor, Received: known.Ceiling}}
}

// confirm tells another host whether this host knows that a target leads and of no
// replacement of it.
func (r *Relay) confirm(p parcel.Parcel) parcel.Parcel {
	group, ok := r.groups.ReplicaSet(p.Group)
	if !ok {
		return notServed()
	}
	if !group.Confirms(p.Target, p.Host) {
		return parcel.Parcel{Fault: "the target may not lead"}
	}
	return parcel.Parcel{}
}

// put returns the lent connection, if there is one, to its pool.
func (b *borrower) put() {
	if b.conn == nil {
		return
	}
	b.group.Put(b.conn)
	b.clear()
}

// drop closes the lent connection, if there is one. The target rolls back an open
// transaction.
func (b *borrower) drop() {
	if b.conn == nil {
		return
	}
	b.group.Drop(b.conn)
	b.clear()
}

// clear records that no connection is lent to the other host any more.
func (b *borrower) clear() {
	b.conn = nil
	b.relay.lent.Add(-1)
}
