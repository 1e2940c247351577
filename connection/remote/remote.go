// Package remote holds a connection to another host through which targets are
// reached.
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
	"github.com/pistachiotray/pistachiotray/connection/parcel"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// unlimited is told where a context has no end; the other host has a limit.
const unlimited = time.Hour

// ErrRefused tells that the other host gave no connection; nothing was sent
// to the target.
var ErrRefused = errors.New("the other host gave no connection")

// Remote is a connection to another host. One goroutine at a time uses it.
type Remote struct {
	// Host is the name of the other host.
	Host   string
	conn   net.Conn
	in     *gob.Decoder
	out    *gob.Encoder
	broken atomic.Bool
	once   sync.Once
}

// New returns a remote over an open connection to the named host.
func New(host string, c net.Conn) *Remote {
	packed := huff.New(c)
	return &Remote{Host: host, conn: c, in: gob.NewDecoder(packed), out: gob.NewEncoder(packed)}
}

// Take asks for a connection to a target and runs a batch on it. It returns
// the replies, and the lane where it was kept. After ErrRefused nothing was
// sent to the target and the remote stays usable.
func (r *Remote) Take(ctx context.Context, t target.Target, b batch.Batch) ([]reply.Reply, *conn.Conn, error) {
	p := parcel.New(parcel.Take, b, timeLeft(ctx))
	p.Group, p.Target = t.Group, t.ID
	answer, err := r.ask(ctx, p)
	if err != nil {
		return nil, nil, errors.Wrap(err, "Remote.Take")
	}
	if err := refusal(answer); err != nil {
		return nil, nil, errors.Wrap(err, "Remote.Take")
	}
	if !answer.Kept {
		return answer.Replies, nil, nil
	}
	return answer.Replies, conn.New(t.ID, nil, conn.WithHost(r)), nil
}

// refusal returns the fault of an answer.
func refusal(answer parcel.Parcel) error {
	switch {
	case answer.Fault == "":
		return nil
	case answer.Sent:
		return errors.New(answer.Fault)
	}
	return errors.Wrap(ErrRefused, answer.Fault)
}

// Run sends statements together on the connection that was kept and returns a
// reply to each.
func (r *Remote) Run(ctx context.Context, c caller.Caller, stage []stmt.Stmt) ([]reply.Reply, error) {
	answer, err := r.ask(ctx, parcel.New(parcel.Run, batch.New(c, stage), timeLeft(ctx)))
	if err == nil && (answer.Fault != "" || len(answer.Replies) != len(stage)) {
		r.Close()
		err = errors.Errorf("Remote.Run: host %s: %s", r.Host, answer.Fault)
	}
	return answer.Replies, err
}

// Report sends a command to a target and returns what it tells of itself.
func (r *Remote) Report(ctx context.Context, t target.Target, s stmt.Stmt) (report.Report, error) {
	p := parcel.New(parcel.Report, batch.New(caller.Caller{}, []stmt.Stmt{s}), timeLeft(ctx))
	p.Group, p.Target = t.Group, t.ID
	answer, err := r.ask(ctx, p)
	if err != nil {
		return report.Report{}, errors.Wrap(err, "Remote.Report")
	}
	return answer.Report, refusal(answer)
}

// Put gives the connection that was kept back.
func (r *Remote) Put() error {
	if err := r.out.Encode(parcel.Parcel{Verb: parcel.Put}); err != nil {
		r.Close()
		return errors.Wrap(err, "Remote.Put")
	}
	return nil
}

// timeLeft returns how long the context goes on.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return unlimited
	}
	return max(time.Until(deadline), 0)
}

// ask sends a question and waits for its answer. After an error the
// connection is of no more use.
func (r *Remote) ask(ctx context.Context, p parcel.Parcel) (parcel.Parcel, error) {
	stop := context.AfterFunc(ctx, r.abort)
	defer stop()
	if err := r.out.Encode(p); err != nil {
		r.Close()
		return parcel.Parcel{}, errors.Wrap(err, "Remote.ask")
	}
	var answer parcel.Parcel
	if err := r.in.Decode(&answer); err != nil {
		r.Close()
		return parcel.Parcel{}, errors.Wrap(err, "Remote.ask")
	}
	return answer, nil
}

// Broken tells whether the connection is of no more use.
func (r *Remote) Broken() bool {
	return r.broken.Load()
}

// abort ends the connection and drops what has not reached the other host:
// behind a cut it would be done later.
func (r *Remote) abort() {
	if c, ok := r.conn.(*net.TCPConn); ok {
		// It fails only on a connection that is closed already.
		_ = c.SetLinger(0)
	}
	r.Close()
}

// Close ends the connection; the other host drops its connection to the target.
func (r *Remote) Close() {
	r.broken.Store(true)
	r.once.Do(func() { _ = r.conn.Close() })
}
