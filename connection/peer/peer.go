// Package peer serves the streams and calls of other hosts.
//
// An entry host is a host to which callers are connected. It sends their requests to
// the host that owns the database group.
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
	// replayBytes is the maximum length of an answer that can be sent again from the
	// beginning.
	replayBytes = 256 << 10
	// replayPeriod is how long a finished exchange is kept.
	replayPeriod = 10 * time.Second
	// maxUnackedBytes is how many bytes of an answer may be sent to the entry host
	// without an acknowledgement.
	maxUnackedBytes = 1 << 20
	// stallTimeout bounds the wait for a slot to read COPY data, and the wait for the
	// entry host to acknowledge data.
	stallTimeout = 5 * time.Second
)

// engine runs the requests of the database groups that this host owns.
type engine interface {
	// Serve starts to run a request of another host's caller and returns its answer
	// at once. The answer is filled while the request runs.
	Serve(c call.Call) *answer.Answer
	// CancelOwned cancels a request that was sent to this host.
	CancelOwned(group, id string)
	// LeaveOwned ends a session that its caller closed.
	LeaveOwned(group, session string)
	// DetachOwned starts the grace period of the open transaction of a session whose
	// connection was lost.
	DetachOwned(group, session string)
	// AttachOwned ends the grace period of a session that its caller resumes. It
	// returns whether the session has an open transaction.
	AttachOwned(ctx context.Context, group, session string) bool
	// Reaches polls a member of the group and reports whether the member answered.
	Reaches(ctx context.Context, group, member string) bool
}

// gossip answers probes.
type gossip interface {
	// HandleProbe returns the answer to a probe of another host. If the probe names
	// a third host, HandleProbe first probes that host.
	HandleProbe(ctx context.Context, r *wirepb.ProbeRequest) *wirepb.ProbeReply
}

// versions looks up configuration versions.
type versions interface {
	// Body returns the body of a version. It reports false if the version is not
	// known.
	Body(version uint64) ([]byte, bool)
}

// callers are the callers that are connected to this host.
type callers interface {
	// CancelByKey cancels the request that runs for the caller with a cancel key, if
	// any. It reports whether the key belongs to a caller of this host.
	CancelByKey(pid uint32, secret []byte) bool
}

// groupList is the list of database groups that this host knows.
type groupList interface {
	// Export returns the encoded list of groups.
	Export() []byte
}

// exchange is a request of another host's caller, and its answer.
type exchange struct {
	// mu guards the fields from buffered to acked.
	mu     sync.Mutex
	id     string
	group  string
	answer *answer.Answer
	// buffered holds the chunks sent so far, so that they can be sent again. complete
	// is unset, and buffered empty, once they exceed replayBytes.
	buffered []byte
	complete bool
	// final is the frame that ended the answer, nil until then.
	final *wirepb.Frame
	// send sends a frame on the entry host's newest stream.
	send func(*wirepb.Frame) error
	// sent is the number of bytes sent in chunks, and acked how many of them the entry
	// host has acknowledged.
	sent  int64
	acked int64
	// ackArrived wakes awaitAck.
	ackArrived chan struct{}
}

// Server serves the streams and calls of other hosts.
type Server struct {
	engine    engine
	gossip    gossip
	versions  versions
	callers   callers
	groupList groupList

	// mu guards exchanges, a map by request id.
	mu        sync.Mutex
	exchanges map[string]*exchange
}

// New returns a Server that answers other hosts from the given parts of this host.
func New(e engine, g gossip, v versions, c callers, l groupList) *Server {
	return &Server{engine: e, gossip: g, versions: v, callers: c, groupList: l, exchanges: map[string]*exchange{}}
}

// stream is one stream of an entry host.
type stream struct {
	server *Server
	// mu guards sessions, queue and broken.
	mu sync.Mutex
	// sessions holds the group of each session that uses the stream, by session id.
	sessions map[string]string
	// queue holds the frames to send.
	queue []*wirepb.Frame
	// wake wakes sendLoop.
	wake   chan struct{}
	broken bool
}

// errBroken is returned for a frame that is written to a stream after its end.
var errBroken = errors.New("the stream has ended")

// Link serves one stream of an entry host until it breaks. Then it detaches the
// sessions that use the stream.
func (sr *Server) Link(ctx context.Context, s *connect.BidiStream[wirepb.Frames, wirepb.Frames]) error {
	st := &stream{server: sr, sessions: map[string]string{}, wake: make(chan struct{}, 1)}
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
			st.handleFrame(ctx, f)
		}
	}
	st.markBroken()
	stop()
	<-sent
	st.detachAll()
	return nil
}

// write queues a frame for the entry host. It never blocks.
func (s *stream) write(f *wirepb.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return errBroken
	}
	s.queue = append(s.queue, f)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// markBroken makes write return errBroken and discards the queued frames.
func (s *stream) markBroken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = true
	s.queue = nil
}

// sendLoop sends the queued frames until the stream breaks. Each message contains all
// frames that are queued at that time.
func (s *stream) sendLoop(ctx context.Context, conn *connect.BidiStream[wirepb.Frames, wirepb.Frames]) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.mu.Lock()
		frames := s.queue
		s.queue = nil
		s.mu.Unlock()
		if len(frames) > 0 && conn.Send(&wirepb.Frames{Frames: frames}) != nil {
			s.markBroken()
			return
		}
	}
}

// detachAll detaches all sessions that use the stream, which starts their grace
// period.
func (s *stream) detachAll() {
	s.mu.Lock()
	sessions := s.sessions
	s.sessions = nil
	s.mu.Unlock()
	for session, group := range sessions {
		s.server.engine.DetachOwned(group, session)
	}
}

func (s *stream) handleFrame(ctx context.Context, f *wirepb.Frame) {
	e := s.server.engine
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
		if x := s.server.exchange(f.GetId()); x != nil {
			x.ack(f.GetOffset())
		}
	case wirepb.Frame_KIND_LEAVE:
		s.removeSession(f.GetId())
		e.LeaveOwned(f.GetGroup(), f.GetId())
	case wirepb.Frame_KIND_DETACH:
		s.removeSession(f.GetId())
		e.DetachOwned(f.GetGroup(), f.GetId())
	case wirepb.Frame_KIND_ATTACH:
		s.addSession(f.GetId(), f.GetGroup())
		go func() {
			open := e.AttachOwned(ctx, f.GetGroup(), f.GetId())
			_ = s.write(&wirepb.Frame{Kind: wirepb.Frame_KIND_ATTACHED, Id: f.GetId(), Open: open})
		}()
	}
}

func (s *stream) addSession(session, group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions != nil {
		s.sessions[session] = group
	}
}

func (s *stream) removeSession(session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// submit runs a request. If a request with this id was submitted before, and was not
// refused without being run, submit does not run it again, but sends its answer on this
// stream.
func (s *stream) submit(f *wirepb.Frame) {
	c := codec.Decode(f.GetCall(), time.Now())
	s.addSession(c.Session, c.Group)
	x, fresh := s.server.openExchange(c, s.write)
	if !fresh {
		x.resume(s.write, f.GetOffset())
		return
	}
	go s.server.forwardAnswer(x)
}

// fetch sends the answer of a request that was submitted on an earlier stream. If the
// answer is no longer kept, it sends a fault with an unknown outcome.
func (s *stream) fetch(f *wirepb.Frame) {
	x := s.server.exchange(f.GetId())
	if x == nil || !x.resume(s.write, f.GetOffset()) {
		unknown := codec.EncodeFault(f.GetId(), fault.New(code.OutcomeUnknown, "the owner does not know the request any more"))
		unknown.Open = true
		_ = s.write(unknown)
	}
}

// cancel cancels a request. If End is set in the frame, it also abandons the answer.
func (s *stream) cancel(f *wirepb.Frame) {
	x := s.server.exchange(f.GetId())
	if x == nil {
		return
	}
	if f.GetEnd() {
		x.answer.Abandon()
	}
	s.server.engine.CancelOwned(x.group, f.GetId())
}

// input passes COPY data to a request. If no slot reads the data in time, the answer is
// abandoned.
func (s *stream) input(ctx context.Context, f *wirepb.Frame) {
	x := s.server.exchange(f.GetId())
	if x == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, stallTimeout)
	defer stop()
	if x.answer.AddInput(ctx, f.GetData(), f.GetEnd()) != nil {
		x.answer.Abandon()
	}
}

// exchange returns the exchange of a request, nil if there is none.
func (sr *Server) exchange(id string) *exchange {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.exchanges[id]
}

// Sight polls a member for another host, and returns whether the member answered.
func (sr *Server) Sight(ctx context.Context, r *connect.Request[wirepb.SightRequest]) (*connect.Response[wirepb.SightReply], error) {
	reached := sr.engine.Reaches(ctx, r.Msg.GetGroup(), r.Msg.GetMember())
	return connect.NewResponse(&wirepb.SightReply{Reached: reached}), nil
}

// Probe answers a probe of another host. The probe may ask this host to probe a third
// host.
func (sr *Server) Probe(ctx context.Context, r *connect.Request[wirepb.ProbeRequest]) (*connect.Response[wirepb.ProbeReply], error) {
	return connect.NewResponse(sr.gossip.HandleProbe(ctx, r.Msg)), nil
}

// Body returns the body of a configuration version, if this host knows the version.
func (sr *Server) Body(_ context.Context, r *connect.Request[wirepb.BodyRequest]) (*connect.Response[wirepb.BodyReply], error) {
	body, ok := sr.versions.Body(r.Msg.GetVersion())
	return connect.NewResponse(&wirepb.BodyReply{Found: ok, Body: body}), nil
}

// Cancel cancels the request that runs for the caller with a cancel key, and returns
// whether the key belongs to a caller of this host.
func (sr *Server) Cancel(_ context.Context, r *connect.Request[wirepb.CancelKeyRequest]) (*connect.Response[wirepb.CancelKeyReply], error) {
	found := sr.callers.CancelByKey(r.Msg.GetPid(), r.Msg.GetSecret())
	return connect.NewResponse(&wirepb.CancelKeyReply{Found: found}), nil
}

// Groups returns the list of groups that this host knows.
func (sr *Server) Groups(context.Context, *connect.Request[wirepb.GroupsRequest]) (*connect.Response[wirepb.GroupsReply], error) {
	return connect.NewResponse(&wirepb.GroupsReply{Rows: sr.groupList.Export()}), nil
}
