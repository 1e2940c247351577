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

	"github.com/pistachiotray/pistachiotray/connection/lane"
	"github.com/pistachiotray/pistachiotray/connection/parcel"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// slack is how much longer than the other host waits for a connection this
// one waits for its answer: some round trips between regions.
const slack = 200 * time.Millisecond

// unlimited is asked for where a context has no end; the other host has a limit.
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
	return &Remote{Host: host, conn: c, in: gob.NewDecoder(c), out: gob.NewEncoder(c)}
}

// Take asks for a connection to a target and waits at most for a time.
func (r *Remote) Take(ctx context.Context, group, target string, priority int, wait time.Duration) (*lane.Lane, error) {
	limited, stop := context.WithTimeout(ctx, wait+slack)
	defer stop()
	answer, err := r.ask(limited, parcel.Parcel{Verb: parcel.Take, Group: group, Target: target, Priority: priority}, wait)
	if err != nil {
		return nil, errors.Wrap(err, "Remote.Take")
	}
	if answer.Fault != "" {
		return nil, errors.Wrap(ErrRefused, answer.Fault)
	}
	return lane.New(target, r, lane.WithState(answer.Values, answer.Prepared)), nil
}

// Run sends statements together and returns a reply to each.
func (r *Remote) Run(ctx context.Context, batch []stmt.Stmt) ([]reply.Reply, error) {
	answer, err := r.ask(ctx, parcel.Parcel{Verb: parcel.Run, Batch: batch}, timeLeft(ctx))
	if err == nil && (answer.Fault != "" || len(answer.Replies) != len(batch)) {
		r.Close()
		err = errors.Errorf("Remote.Run: host %s: %s", r.Host, answer.Fault)
	}
	return answer.Replies, err
}

// Report runs a command and returns what the target tells of itself.
func (r *Remote) Report(ctx context.Context, s stmt.Stmt) (report.Report, error) {
	answer, err := r.ask(ctx, parcel.Parcel{Verb: parcel.Report, Batch: []stmt.Stmt{s}}, timeLeft(ctx))
	if err == nil && answer.Fault != "" {
		r.Close()
		err = errors.Errorf("Remote.Report: host %s: %s", r.Host, answer.Fault)
	}
	return answer.Report, err
}

// Put gives the connection to the target back in the state that its lane has.
func (r *Remote) Put(l *lane.Lane) error {
	values, prepared := l.State()
	if err := r.out.Encode(parcel.Parcel{Verb: parcel.Put, Values: values, Prepared: prepared}); err != nil {
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
func (r *Remote) ask(ctx context.Context, p parcel.Parcel, wait time.Duration) (parcel.Parcel, error) {
	p.WaitMs = wait.Milliseconds()
	stop := context.AfterFunc(ctx, r.Close)
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

// Close ends the connection; the other host drops its connection to the target.
func (r *Remote) Close() {
	r.broken.Store(true)
	r.once.Do(func() { _ = r.conn.Close() })
}
