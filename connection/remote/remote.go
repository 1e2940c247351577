// Package remote borrows connections to targets from another host, and asks it for
// changes of the platform's tables.
package remote

import (
	"context"
	"encoding/gob"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/connection/huff"
	"github.com/pistachiotray/pistachiotray/connection/pack"
	"github.com/pistachiotray/pistachiotray/connection/parcel"
	"github.com/pistachiotray/pistachiotray/process/award"
	"github.com/pistachiotray/pistachiotray/process/claim"
	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// defaultTimeLimit is the time limit that is sent if the context has no deadline.
// The other host reduces it to its own limit.
const defaultTimeLimit = time.Hour

// maxMovedBytes is the length of a request and its answer up to which the connection is used
// again. The encoder and the decoder keep buffers of the longest message.
const maxMovedBytes = 64 << 10

// ErrRefused is returned when the other host did not lend a connection, so that
// nothing was sent to the target.
var ErrRefused = errors.New("the other host gave no connection")

// Remote is a connection to another host. It is used by one goroutine at a time.
type Remote struct {
	// Host is the name of the other host.
	Host    string
	conn    *steadyConn
	decoder *gob.Decoder
	encoder *gob.Encoder
	broken  atomic.Bool
	// outstanding and free are described at Load.
	outstanding, free int
	closeOnce         sync.Once
}

// New returns a Remote over an open connection to the named host.
func New(host string, c net.Conn) *Remote {
	steady := &steadyConn{Conn: c}
	compressed := huff.New(steady)
	return &Remote{Host: host, conn: steady, decoder: gob.NewDecoder(compressed), encoder: gob.NewEncoder(compressed)}
}

// Take borrows a connection to a target and runs a batch on it. It returns the
// replies. It also returns the connection if the batch has Keep set and all its
// statements succeeded, and otherwise nil. After ErrRefused nothing was sent to the
// target, and the Remote can still be used.
func (r *Remote) Take(ctx context.Context, t target.Target, b batch.Batch) ([]reply.Reply, *conn.Conn, error) {
	verb := parcel.Take
	if b.Fresh {
		verb = parcel.TakeFresh
	}
	p := parcel.New(verb, b, timeLeft(ctx))
	p.Group, p.Target = t.Group, t.ID
	answer, err := r.ask(ctx, p)
	if err != nil {
		return nil, nil, errors.Wrap(err, "Remote.Take")
	}
	r.outstanding, r.free = answer.Outstanding, answer.FreeConns
	if err := refusal(answer); err != nil {
		return nil, nil, errors.Wrap(err, "Remote.Take")
	}
	if !answer.Kept {
		if r.conn.moved > maxMovedBytes {
			r.Close()
		}
		return answer.Replies, nil, nil
	}
	return answer.Replies, conn.New(t.ID, nil, conn.WithHost(r), conn.WithCustomer(b.Caller.Customer)), nil
}

// Load returns the load of the target as the other host stated it in the last answer to Take:
// the statements outstanding on its connections, with those that were answered, and its idle
// connections. Both are 0 if the host did not say.
func (r *Remote) Load() (outstanding, free int) {
	return r.outstanding, r.free
}

// refusal returns the fault in an answer as an error, or nil if there is none. The
// error wraps ErrRefused if nothing was sent to the target.
func refusal(answer parcel.Parcel) error {
	switch {
	case answer.Fault == "":
		return nil
	case answer.Sent:
		return errors.New(answer.Fault)
	}
	return errors.Wrap(ErrRefused, answer.Fault)
}

// Run sends statements together on the borrowed connection and returns a reply to
// each. After an error the Remote can't be used any more. After ErrRefused no statement of the
// caller was sent to the target.
func (r *Remote) Run(ctx context.Context, c caller.Caller, stage []stmt.Stmt) ([]reply.Reply, error) {
	answer, err := r.ask(ctx, parcel.New(parcel.Run, batch.New(c, stage), timeLeft(ctx)))
	if err == nil && (answer.Fault != "" || len(answer.Replies) != len(stage)) {
		r.Close()
		if err = refusal(answer); err == nil {
			err = errors.Errorf("%d replies to %d statements", len(answer.Replies), len(stage))
		}
		err = errors.Wrap(err, "Remote.Run: host "+r.Host)
	}
	return answer.Replies, err
}

// Report sends a command to a target, on a connection that is borrowed only for this,
// and returns the target's report.
func (r *Remote) Report(ctx context.Context, t target.Target, s stmt.Stmt) (report.Report, error) {
	p := parcel.New(parcel.Report, batch.New(caller.Caller{}, []stmt.Stmt{s}), timeLeft(ctx))
	p.Group, p.Target = t.Group, t.ID
	answer, err := r.ask(ctx, p)
	if err != nil {
		return report.Report{}, errors.Wrap(err, "Remote.Report")
	}
	return answer.Report, refusal(answer)
}

// Acknowledged asks which commits of a group the other host knows to be acknowledged. It
// returns the positions between which the newest of them is. If leader is not empty, it also
// announces that this host is about to replace that target.
func (r *Remote) Acknowledged(ctx context.Context, group, leader string) (floor, ceiling mark.Mark, err error) {
	answer, err := r.ask(ctx, parcel.Parcel{Verb: parcel.Acknowledged, Group: group, Target: leader, TimeMs: timeLeft(ctx).Milliseconds()})
	if err != nil {
		return mark.Mark{}, mark.Mark{}, errors.Wrap(err, "Remote.Acknowledged")
	}
	return answer.Report.Applied, answer.Report.Received, refusal(answer)
}

// Confirm asks whether the other host confirms to this host, self, that a target leads a group,
// and knows of no replacement of it. It returns nil if the host confirms both, and an error
// that wraps ErrRefused if it does not.
func (r *Remote) Confirm(ctx context.Context, group, leader, self string) error {
	answer, err := r.ask(ctx, parcel.Parcel{Verb: parcel.Confirm, Group: group, Target: leader, Host: self, TimeMs: timeLeft(ctx).Milliseconds()})
	if err != nil {
		return errors.Wrap(err, "Remote.Confirm")
	}
	return refusal(answer)
}

// Quota claims this host's shares of the customers' limits from the other host.
func (r *Remote) Quota(ctx context.Context, c claim.Claim) (award.Award, error) {
	answer, err := r.ask(ctx, parcel.Parcel{Verb: parcel.Quota, Claim: &c, TimeMs: timeLeft(ctx).Milliseconds()})
	if err != nil {
		return award.Award{}, errors.Wrap(err, "Remote.Quota")
	}
	if err := refusal(answer); err != nil {
		return award.Award{}, errors.Wrap(err, "Remote.Quota")
	}
	if answer.Award == nil {
		return award.Award{}, errors.New("Remote.Quota: the answer holds no award")
	}
	return *answer.Award, nil
}

// steadyConn is a connection whose deadline for reads moves with each read, by extend unless
// that is 0.
type steadyConn struct {
	net.Conn
	extend time.Duration
	// moved is the number of bytes sent and received for the present request.
	moved int
}

func (c *steadyConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.moved += n
	return n, err
}

func (c *steadyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.moved += n
	if n > 0 && err == nil && c.extend > 0 {
		err = c.SetReadDeadline(time.Now().Add(c.extend))
	}
	return n, err
}

// Follow asks the other host for the changes of the platform's tables after the known
// positions, and waits for a change for up to wait. It gives the other host up when nothing
// arrives for margin, so that an answer that takes long on the way is not asked for anew.
// The age of the changes counts the time on the way in both directions.
func (r *Remote) Follow(ctx context.Context, known map[string]stamp.Stamp, wait, margin time.Duration) ([]delta.Delta, error) {
	began := time.Now()
	if err := r.conn.SetReadDeadline(began.Add(wait + margin)); err != nil {
		return nil, errors.Wrap(err, "Remote.Follow")
	}
	r.conn.extend = margin
	defer func() {
		r.conn.extend = 0
		// This fails only if the connection is already closed.
		_ = r.conn.SetReadDeadline(time.Time{})
	}()
	answer, err := r.ask(ctx, parcel.NewFollow(known, wait))
	if err != nil {
		return nil, errors.Wrap(err, "Remote.Follow")
	}
	if err := refusal(answer); err != nil {
		return nil, errors.Wrap(err, "Remote.Follow")
	}
	transit := max(time.Since(began)-time.Duration(answer.HeldMs)*time.Millisecond, 0)
	news, err := pack.Unpack(answer.News, answer.Packed)
	if err != nil {
		return nil, errors.Wrap(err, "Remote.Follow")
	}
	aged := make([]delta.Delta, len(news))
	for i, d := range news {
		aged[i] = d.WithAge(d.Age + transit)
	}
	return aged, nil
}

// Put gives the borrowed connection back to the other host, which does not answer.
func (r *Remote) Put() error {
	if err := r.encoder.Encode(parcel.Parcel{Verb: parcel.Put}); err != nil {
		r.Close()
		return errors.Wrap(err, "Remote.Put")
	}
	return nil
}

// timeLeft returns the time until the context's deadline, or defaultTimeLimit.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeLimit
	}
	return max(time.Until(deadline), 0)
}

// ask sends a request and waits for its answer. If that fails or the context ends, it
// closes the connection and returns an error.
func (r *Remote) ask(ctx context.Context, p parcel.Parcel) (parcel.Parcel, error) {
	stop := context.AfterFunc(ctx, r.abort)
	defer stop()
	r.conn.moved = 0
	if err := r.encoder.Encode(p); err != nil {
		r.Close()
		return parcel.Parcel{}, errors.Wrap(err, "Remote.ask")
	}
	var answer parcel.Parcel
	if err := r.decoder.Decode(&answer); err != nil {
		r.Close()
		return parcel.Parcel{}, errors.Wrap(err, "Remote.ask")
	}
	return answer, nil
}

// Broken reports whether the connection can't be used any more.
func (r *Remote) Broken() bool {
	return r.broken.Load()
}

// abort closes the connection and discards data that has not reached the other host.
// Without that, the data could be delivered after a network failure, and its
// statements run late.
func (r *Remote) abort() {
	if c, ok := r.conn.Conn.(*net.TCPConn); ok {
		// This fails only if the connection is already closed.
		_ = c.SetLinger(0)
	}
	r.Close()
}

// Close closes the connection. The other host then closes the borrowed connection, if
// there is one.
func (r *Remote) Close() {
	r.broken.Store(true)
	r.closeOnce.Do(func() { _ = r.conn.Close() })
}
