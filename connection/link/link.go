// Package link sends the requests of callers over a stream to the host that owns
// their database groups, and receives the answers.
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
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

const (
	// maxQueuedFrames is how many frames may wait to be sent.
	maxQueuedFrames = 4096
	// minRedialPause and maxRedialPause bound the pause between the end of a stream
	// and the opening of the next.
	minRedialPause = 10 * time.Millisecond
	maxRedialPause = time.Second
	// fetchTimeout is how long a request that was sent may wait for a new stream, on
	// which its answer can be fetched, before the host counts as lost.
	fetchTimeout = 400 * time.Millisecond
	// submitTimeout is how long a request that was not sent may wait for a stream
	// before the host counts as lost.
	submitTimeout = 250 * time.Millisecond
)

// outcomes receives the outcomes of requests.
type outcomes interface {
	// Refused reports that the owner refused a request.
	Refused(id string, f *fault.Fault)
	// OwnerLost reports that the owner of a request was lost. sent means that the
	// owner may have received the request. begun means that a chunk of the answer
	// arrived from the owner.
	OwnerLost(id string, sent, begun bool)
	// Forget reports that the whole answer to a request has arrived.
	Forget(id string)
}

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
	call   call.Call
	answer *answer.Answer
	// runNumber is the number of the run that Answer.Begin returned.
	runNumber int
	// received is the number of bytes of the answer that were received.
	received int64
	// sent means that the request may have been sent.
	sent bool
	// waitingSince is when the request was submitted, or when the stream last
	// connected or broke, whichever was later.
	waitingSince time.Time
}

// Link is one multiplexed stream to a host. It is opened again whenever it
// breaks, until Close.
type Link struct {
	host     string
	log      *zap.Logger
	client   wirepbconnect.PeerClient
	outcomes outcomes

	// mu guards pending, the requests in it, attaching and connected.
	mu sync.Mutex
	// pending holds the requests that wait for their answers, by id.
	pending map[string]*pendingRequest
	// attaching holds the channels on which Attach waits for an answer, by session.
	attaching map[string]chan bool
	connected bool
	// frames is the queue of frames to send.
	frames    chan *wirepb.Frame
	wakeWatch chan struct{}
	stop      context.CancelFunc
	ctx       context.Context
	done      sync.WaitGroup
}

// New returns a link to a host and starts to connect it.
func New(host, url string, client connect.HTTPClient, log *zap.Logger, o outcomes, options ...connect.ClientOption) *Link {
	ctx, stop := context.WithCancel(context.Background())
	l := &Link{
		host: host, log: log, outcomes: o,
		client:  wirepbconnect.NewPeerClient(client, url, options...),
		pending: map[string]*pendingRequest{}, attaching: map[string]chan bool{},
		frames: make(chan *wirepb.Frame, maxQueuedFrames), wakeWatch: make(chan struct{}, 1), ctx: ctx, stop: stop,
	}
	l.done.Go(l.run)
	l.done.Go(l.watch)
	return l
}

// Up reports whether the stream is connected.
func (l *Link) Up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connected
}

// Submit sends a request to the host. It never blocks. The answer is added to a as
// it arrives. A refusal or the loss of the host is reported to outcomes.
func (l *Link) Submit(c call.Call, a *answer.Answer) {
	e := &pendingRequest{call: c, answer: a, runNumber: a.Begin(), waitingSince: time.Now()}
	l.mu.Lock()
	l.pending[c.ID] = e
	connected := l.connected
	l.mu.Unlock()
	if !connected {
		l.signalWatch()
	}
	l.enqueue(&wirepb.Frame{Kind: wirepb.Frame_KIND_SUBMIT, Id: c.ID, Call: codec.Encode(c, time.Now())})
	if c.Copy {
		go l.sendInput(e)
	}
}

// sendInput sends the caller's COPY data to the host until the request ends or the
// link is closed.
func (l *Link) sendInput(e *pendingRequest) {
	for {
		p, end, err := e.answer.TakeInput(l.ctx)
		if err != nil {
			return
		}
		l.enqueue(&wirepb.Frame{Kind: wirepb.Frame_KIND_INPUT, Id: e.call.ID, Data: p, End: end})
	}
}

// Send queues a frame that needs no answer. It drops the frame if the queue is full.
func (l *Link) Send(f *wirepb.Frame) {
	l.enqueue(f)
}

// enqueue adds a frame to the queue. It never blocks: if the queue is full, the
// frame is dropped.
func (l *Link) enqueue(f *wirepb.Frame) {
	select {
	case l.frames <- f:
	default:
		l.onDropped(f)
	}
}

// onDropped handles a frame that was dropped. If the frame submits a request, it
// reports that the owner was lost before the request was sent.
func (l *Link) onDropped(f *wirepb.Frame) {
	if f.GetKind() == wirepb.Frame_KIND_SUBMIT {
		l.reportLost(f.GetId(), false)
	}
}

// Attach reports to the host that a caller resumes its session, and returns whether
// the session has an open transaction there. It returns false if no answer arrives
// before the context ends.
func (l *Link) Attach(ctx context.Context, group, session string) bool {
	reply := make(chan bool, 1)
	l.mu.Lock()
	l.attaching[session] = reply
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.attaching, session)
		l.mu.Unlock()
	}()
	l.enqueue(&wirepb.Frame{Kind: wirepb.Frame_KIND_ATTACH, Id: session, Group: group})
	select {
	case open := <-reply:
		return open
	case <-ctx.Done():
		return false
	}
}

// run keeps a stream to the host open until the link is closed.
func (l *Link) run() {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minRedialPause
	pause.MaxInterval = maxRedialPause
	for l.ctx.Err() == nil {
		began := time.Now()
		l.stream()
		if time.Since(began) > maxRedialPause {
			pause.Reset()
		}
		sleep.For(l.ctx, pause.NextBackOff())
	}
}

// stream opens a stream and sends frames on it until it breaks. It first sends an
// empty message, and then waits for the host's first message, which accepts the
// stream, before it sends any frame.
func (l *Link) stream() {
	ctx, stop := context.WithCancel(l.ctx)
	defer stop()
	s := l.client.Link(ctx)
	if err := s.Send(&wirepb.Frames{}); err != nil {
		return
	}
	accepted := make(chan struct{})
	go func() {
		defer stop()
		l.receive(s, accepted)
	}()
	select {
	case <-accepted:
	case <-ctx.Done():
		return
	}
	l.setConnected(true)
	defer l.setConnected(false)
	l.fetchPending()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.frames:
			if s.Send(l.collectFrames(f)) != nil {
				return
			}
		}
	}
}

// maxFramesPerMessage bounds the number of frames that are sent in one message.
const maxFramesPerMessage = 64

// collectFrames returns a message with a frame and the frames that are queued behind
// it, up to maxFramesPerMessage.
func (l *Link) collectFrames(f *wirepb.Frame) *wirepb.Frames {
	batch := &wirepb.Frames{}
	for {
		l.markSent(f)
		batch.Frames = append(batch.Frames, f)
		if len(batch.Frames) == maxFramesPerMessage {
			return batch
		}
		select {
		case f = <-l.frames:
		default:
			return batch
		}
	}
}

// markSent marks the request that a frame submits as sent.
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

// setConnected records whether the stream is connected, and restarts the time limits
// of all requests.
func (l *Link) setConnected(connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected = connected
	for _, e := range l.pending {
		e.waitingSince = time.Now()
	}
	if !connected {
		l.signalWatch()
	}
}

// fetchPending asks the host for the answers to requests that were sent on an earlier
// stream.
func (l *Link) fetchPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.pending {
		if e.sent {
			l.enqueue(&wirepb.Frame{Kind: wirepb.Frame_KIND_FETCH, Id: id, Offset: e.received})
		}
	}
}

// Close closes the link. It reports the owner of all pending requests as lost.
func (l *Link) Close() {
	l.stop()
	l.done.Wait()
	l.Abandon()
}
