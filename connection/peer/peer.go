// Package peer serves the streams of other hosts.
package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/codec"
	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

const (
	// keptBytes is how much of an answer is kept to be fetched again.
	keptBytes = 256 << 10
	// keptFor is how long a finished answer is kept.
	keptFor = 10 * time.Second
	// unreadBytes is how much may be on its way to the entry host unread.
	unreadBytes = 1 << 20
	// inputTimeout bounds the wait for a slot to take COPY data.
	inputTimeout = 5 * time.Second
)

// engine runs requests as their owner.
type engine interface {
	// Serve takes a request of another host's caller.
	Serve(c call.Call) *answer.Answer
	// CancelOwned cancels a request.
	CancelOwned(group, id string)
	// LeaveOwned ends a session.
	LeaveOwned(group, session string)
	// DetachOwned tells that a session lost its connection.
	DetachOwned(group, session string)
	// AttachOwned tells that a session came back.
	AttachOwned(ctx context.Context, group, session string) bool
	// Reaches asks a member itself.
	Reaches(ctx context.Context, group, member string) bool
}

// gossip answers probes.
type gossip interface {
	// HandleProbe takes a probe and returns the answer.
	HandleProbe(ctx context.Context, r *wirepb.ProbeRequest) *wirepb.ProbeReply
}

// bodies keeps configuration versions.
type bodies interface {
	// Body returns the body of a version, and false where it is not known.
	Body(version uint64) ([]byte, bool)
}

// callers are the connections of this host's front.
type callers interface {
	// CancelKey cancels what the caller with a key runs.
	CancelKey(pid uint32, secret []byte) bool
}

// lists are the lists that this host knows.
type lists interface {
	// Export returns the list of groups.
	Export() []byte
}

// exchange is one request of another host's caller.
type exchange struct {
	mu     sync.Mutex
	id     string
	group  string
	answer *answer.Answer
	kept   []byte
	whole  bool
	final  *wirepb.Frame
	out    func(*wirepb.Frame) error
	sent   int64
	taken  int64
	moved  chan struct{}
}

// Peer is the handler of the other hosts' streams and questions.
type Peer struct {
	engine engine
	gossip gossip
	bodies bodies
	caller callers
	lists  lists

	mu        sync.Mutex
	exchanges map[string]*exchange
}

// New returns the handler.
func New(e engine, g gossip, b bodies, c callers, l lists) *Peer {
	return &Peer{engine: e, gossip: g, bodies: b, caller: c, lists: l, exchanges: map[string]*exchange{}}
}

// stream is one stream of an entry host.
type stream struct {
	peer     *Peer
	mu       sync.Mutex
	sessions map[string]string
	waiting  []*wirepb.Frame
	wake     chan struct{}
	broken   bool
}

// errBroken tells that a stream has ended.
var errBroken = errors.New("the stream has ended")

// Link serves one stream until it breaks.
func (p *Peer) Link(ctx context.Context, s *connect.BidiStream[wirepb.Frames, wirepb.Frames]) error {
	st := &stream{peer: p, sessions: map[string]string{}, wake: make(chan struct{}, 1)}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	_ = st.write(&wirepb.Frame{Kind: wirepb.Frame_KIND_ACCEPTED})
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		st.sendLoop(ctx, s)
	}()
	for {
		frames, err := s.Receive()
		if err != nil {
			break
		}
		for _, f := range frames.GetFrames() {
			st.take(ctx, f)
		}
	}
	st.end()
	stop()
	<-sent
	st.detachAll()
	return nil
}

// write queues a frame for the entry host.
func (s *stream) write(f *wirepb.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return errBroken
	}
	s.waiting = append(s.waiting, f)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = true
	s.waiting = nil
}

// sendLoop sends what waits, all of it together.
func (s *stream) sendLoop(ctx context.Context, to *connect.BidiStream[wirepb.Frames, wirepb.Frames]) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.mu.Lock()
		frames := s.waiting
		s.waiting = nil
		s.mu.Unlock()
		if len(frames) > 0 && to.Send(&wirepb.Frames{Frames: frames}) != nil {
			s.end()
			return
		}
	}
}

// detachAll begins the grace period of all sessions of the entry host.
func (s *stream) detachAll() {
	s.mu.Lock()
	sessions := s.sessions
	s.sessions = nil
	s.mu.Unlock()
	for session, group := range sessions {
		s.peer.engine.DetachOwned(group, session)
	}
}

func (s *stream) take(ctx context.Context, f *wirepb.Frame) {
	e := s.peer.engine
	switch f.GetKind() {
	case wirepb.Frame_KIND_SUBMIT:
		s.submit(f)
	case wirepb.Frame_KIND_FETCH:
		s.fetch(f)
	case wirepb.Frame_KIND_CANCEL:
		s.cancel(f)
	case wirepb.Frame_KIND_INPUT:
		s.input(ctx, f)
	case wirepb.Frame_KIND_TAKEN:
		if x := s.peer.exchange(f.GetId()); x != nil {
			x.tookUpTo(f.GetOffset())
		}
	case wirepb.Frame_KIND_LEAVE:
		s.forget(f.GetId())
		e.LeaveOwned(f.GetGroup(), f.GetId())
	case wirepb.Frame_KIND_DETACH:
		s.forget(f.GetId())
		e.DetachOwned(f.GetGroup(), f.GetId())
	case wirepb.Frame_KIND_ATTACH:
		s.remember(f.GetId(), f.GetGroup())
		go func() {
			open := e.AttachOwned(ctx, f.GetGroup(), f.GetId())
			_ = s.write(&wirepb.Frame{Kind: wirepb.Frame_KIND_ATTACHED, Id: f.GetId(), Open: open})
		}()
	}
}

func (s *stream) remember(session, group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions != nil {
		s.sessions[session] = group
	}
}

func (s *stream) forget(session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// submit runs a request, unless its id is known: then its answer goes to this
// stream.
func (s *stream) submit(f *wirepb.Frame) {
	c := codec.Decode(f.GetCall(), time.Now())
	s.remember(c.Session, c.Group)
	x, fresh := s.peer.open(c, s.write)
	if !fresh {
		x.resume(s.write, f.GetOffset())
		return
	}
	go s.peer.carry(x)
}

// fetch sends the answer of a request that was submitted on another stream.
func (s *stream) fetch(f *wirepb.Frame) {
	x := s.peer.exchange(f.GetId())
	if x == nil || !x.resume(s.write, f.GetOffset()) {
		unknown := codec.EncodeFault(f.GetId(), fault.New(code.OutcomeUnknown, "the owner does not know the request any more"))
		unknown.Open = true
		_ = s.write(unknown)
	}
}

func (s *stream) cancel(f *wirepb.Frame) {
	x := s.peer.exchange(f.GetId())
	if x == nil {
		return
	}
	if f.GetEnd() {
		x.answer.Abandon()
	}
	s.peer.engine.CancelOwned(x.group, f.GetId())
}

func (s *stream) input(ctx context.Context, f *wirepb.Frame) {
	x := s.peer.exchange(f.GetId())
	if x == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, inputTimeout)
	defer stop()
	if x.answer.AddInput(ctx, f.GetData(), f.GetEnd()) != nil {
		x.answer.Abandon()
	}
}

func (p *Peer) exchange(id string) *exchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exchanges[id]
}

// Sight tells whether this host reaches a member.
func (p *Peer) Sight(ctx context.Context, r *connect.Request[wirepb.SightRequest]) (*connect.Response[wirepb.SightReply], error) {
	reached := p.engine.Reaches(ctx, r.Msg.GetGroup(), r.Msg.GetMember())
	return connect.NewResponse(&wirepb.SightReply{Reached: reached}), nil
}

// Probe answers a probe.
func (p *Peer) Probe(ctx context.Context, r *connect.Request[wirepb.ProbeRequest]) (*connect.Response[wirepb.ProbeReply], error) {
	return connect.NewResponse(p.gossip.HandleProbe(ctx, r.Msg)), nil
}

// Body returns the body of a configuration version.
func (p *Peer) Body(_ context.Context, r *connect.Request[wirepb.BodyRequest]) (*connect.Response[wirepb.BodyReply], error) {
	body, ok := p.bodies.Body(r.Msg.GetVersion())
	return connect.NewResponse(&wirepb.BodyReply{Found: ok, Body: body}), nil
}

// Cancel cancels what the caller with a key runs at this host.
func (p *Peer) Cancel(_ context.Context, r *connect.Request[wirepb.CancelKeyRequest]) (*connect.Response[wirepb.CancelKeyReply], error) {
	found := p.caller.CancelKey(r.Msg.GetPid(), r.Msg.GetSecret())
	return connect.NewResponse(&wirepb.CancelKeyReply{Found: found}), nil
}

// Groups returns the list of groups that this host knows.
func (p *Peer) Groups(context.Context, *connect.Request[wirepb.GroupsRequest]) (*connect.Response[wirepb.GroupsReply], error) {
	return connect.NewResponse(&wirepb.GroupsReply{Rows: p.lists.Export()}), nil
}
