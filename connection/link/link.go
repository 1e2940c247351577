// Package link holds this host's end of the stream to another host.
package link

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/codec"
	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/connection/wirepb/wirepbconnect"
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

const (
	// queueLength is how many frames may wait for the stream.
	queueLength = 4096
	// redialLeast and redialMost bound the pause before a stream is made anew.
	redialLeast = 10 * time.Millisecond
	redialMost  = time.Second
	// fetchTimeout is how long the answers of a broken stream are asked for at
	// the same host before the host counts as gone.
	fetchTimeout = 400 * time.Millisecond
	// submitTimeout is how long a request waits for a stream to come about.
	submitTimeout = 250 * time.Millisecond
)

// outcomes takes what became of requests that got no answer.
type outcomes interface {
	// Refused tells that the owner refused a request.
	Refused(id string, f *fault.Fault)
	// OwnerLost tells that the owner is gone; sent that it may have the request,
	// begun that a part of the answer reached the caller.
	OwnerLost(id string, sent, begun bool)
	// Forget tells that a request was answered.
	Forget(id string)
}

// entry is one request on the link.
type entry struct {
	call     call.Call
	answer   *answer.Answer
	run      int
	received int64
	sent     bool
	since    time.Time
}

// Link is one multiplexed stream to a host. It is made anew whenever it
// breaks, until Close.
type Link struct {
	host     string
	log      *zap.Logger
	client   wirepbconnect.PeerClient
	outcomes outcomes

	mu        sync.Mutex
	pending   map[string]*entry
	attaching map[string]chan bool
	up        bool
	frames    chan *wirepb.Frame
	worry     chan struct{}
	stop      context.CancelFunc
	ctx       context.Context
	done      sync.WaitGroup
}

// New returns a link to a host and begins to connect it.
func New(host, url string, client connect.HTTPClient, log *zap.Logger, o outcomes, options ...connect.ClientOption) *Link {
	ctx, stop := context.WithCancel(context.Background())
	l := &Link{
		host: host, log: log, outcomes: o,
		client:  wirepbconnect.NewPeerClient(client, url, options...),
		pending: map[string]*entry{}, attaching: map[string]chan bool{},
		frames: make(chan *wirepb.Frame, queueLength), worry: make(chan struct{}, 1), ctx: ctx, stop: stop,
	}
	l.done.Go(l.run)
	l.done.Go(l.watch)
	return l
}

// Up tells whether the stream stands.
func (l *Link) Up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// Submit sends a request to the host.
func (l *Link) Submit(c call.Call, a *answer.Answer) {
	e := &entry{call: c, answer: a, run: a.Begin(), since: time.Now()}
	l.mu.Lock()
	l.pending[c.ID] = e
	up := l.up
	l.mu.Unlock()
	if !up {
		l.beWorried()
	}
	l.push(&wirepb.Frame{Kind: wirepb.Frame_KIND_SUBMIT, Id: c.ID, Call: codec.Encode(c, time.Now())})
	if c.Copy {
		go l.pump(e)
	}
}

// pump sends the caller's COPY data to the host.
func (l *Link) pump(e *entry) {
	for {
		p, end, err := e.answer.TakeInput(l.ctx)
		if err != nil {
			return
		}
		l.push(&wirepb.Frame{Kind: wirepb.Frame_KIND_INPUT, Id: e.call.ID, Data: p, End: end})
	}
}

// Send sends a frame that needs no answer. It is dropped where too much waits.
func (l *Link) Send(f *wirepb.Frame) {
	l.push(f)
}

// push queues a frame; it never waits.
func (l *Link) push(f *wirepb.Frame) {
	select {
	case l.frames <- f:
	default:
		l.dropped(f)
	}
}

func (l *Link) dropped(f *wirepb.Frame) {
	if f.GetKind() == wirepb.Frame_KIND_SUBMIT {
		l.lose(f.GetId(), false)
	}
}

// Attach asks whether a session has an open transaction at the host.
func (l *Link) Attach(ctx context.Context, group, session string) bool {
	found := make(chan bool, 1)
	l.mu.Lock()
	l.attaching[session] = found
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.attaching, session)
		l.mu.Unlock()
	}()
	l.push(&wirepb.Frame{Kind: wirepb.Frame_KIND_ATTACH, Id: session, Group: group})
	select {
	case open := <-found:
		return open
	case <-ctx.Done():
		return false
	}
}

// run keeps a stream to the host.
func (l *Link) run() {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = redialLeast
	pause.MaxInterval = redialMost
	for l.ctx.Err() == nil {
		began := time.Now()
		l.stream()
		if time.Since(began) > redialMost {
			pause.Reset()
		}
		timer := time.NewTimer(pause.NextBackOff())
		select {
		case <-l.ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

// stream carries frames until the stream breaks.
func (l *Link) stream() {
	ctx, stop := context.WithCancel(l.ctx)
	defer stop()
	s := l.client.Link(ctx)
	if err := s.Send(&wirepb.Frames{}); err != nil {
		return
	}
	greeted := make(chan struct{})
	go func() {
		defer stop()
		l.receive(s, greeted)
	}()
	select {
	case <-greeted:
	case <-ctx.Done():
		return
	}
	l.setUp(true)
	defer l.setUp(false)
	l.refetch()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.frames:
			if s.Send(l.gather(f)) != nil {
				return
			}
		}
	}
}

// gatherMost bounds the frames that travel together.
const gatherMost = 64

// gather adds to a frame those that wait behind it.
func (l *Link) gather(f *wirepb.Frame) *wirepb.Frames {
	out := &wirepb.Frames{}
	for {
		l.markSent(f)
		out.Frames = append(out.Frames, f)
		if len(out.Frames) == gatherMost {
			return out
		}
		select {
		case f = <-l.frames:
		default:
			return out
		}
	}
}

func (l *Link) markSent(f *wirepb.Frame) {
	if f.GetKind() != wirepb.Frame_KIND_SUBMIT {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.pending[f.GetId()]; e != nil {
		e.sent = true
	}
}

func (l *Link) setUp(up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up = up
	for _, e := range l.pending {
		e.since = time.Now()
	}
	if !up {
		l.beWorried()
	}
}

// refetch asks for the answers of requests that an earlier stream carried.
func (l *Link) refetch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.pending {
		if e.sent {
			l.push(&wirepb.Frame{Kind: wirepb.Frame_KIND_FETCH, Id: id, Offset: e.received})
		}
	}
}

// Close ends the link and gives up what it carries.
func (l *Link) Close() {
	l.stop()
	l.done.Wait()
	l.Abandon()
}
