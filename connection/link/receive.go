package link

import (
	"time"

	"connectrpc.com/connect"

	"github.com/pistachiotray/pistachiotray/connection/codec"
	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// receive handles the frames of the host until the stream breaks. It closes accepted
// when the first message arrives.
func (l *Link) receive(s *connect.BidiStreamForClient[wirepb.Frames, wirepb.Frames], accepted chan struct{}) {
	first := true
	for {
		frames, err := s.Receive()
		if err != nil {
			return
		}
		if first {
			close(accepted)
			first = false
		}
		for _, f := range frames.GetFrames() {
			l.handleFrame(f)
		}
	}
}

func (l *Link) handleFrame(f *wirepb.Frame) {
	switch f.GetKind() {
	case wirepb.Frame_KIND_PART:
		l.handleChunk(f)
	case wirepb.Frame_KIND_DONE:
		if e := l.takePending(f.GetId()); e != nil {
			e.answer.Append(e.runNumber, f.GetData())
			l.outcomes.Forget(f.GetId())
			e.answer.Finish(mark.New(f.GetTerm(), f.GetPosition()), byte(f.GetStatus()), false)
		}
	case wirepb.Frame_KIND_FAIL:
		if e := l.takePending(f.GetId()); e != nil {
			l.handleFail(e, f)
		}
	case wirepb.Frame_KIND_ATTACHED:
		l.mu.Lock()
		reply := l.attaching[f.GetId()]
		l.mu.Unlock()
		if reply != nil {
			reply <- f.GetOpen()
		}
	}
}

// handleFail handles the failure of a request. If Open is set in the frame, the host
// no longer knows the request, which may have run.
func (l *Link) handleFail(e *pendingRequest, f *wirepb.Frame) {
	if f.GetOpen() {
		l.outcomes.OwnerLost(e.call.ID, true, e.received > 0)
		return
	}
	l.outcomes.Refused(e.call.ID, codec.DecodeFault(f))
}

// handleChunk passes a chunk of an answer to the caller, and acknowledges the chunk to
// the host once the caller has read enough. If the caller left, it cancels the request.
func (l *Link) handleChunk(f *wirepb.Frame) {
	l.mu.Lock()
	e := l.pending[f.GetId()]
	var received int64
	if e != nil {
		e.received += int64(len(f.GetData()))
		received = e.received
	}
	l.mu.Unlock()
	if e == nil {
		return
	}
	e.answer.Append(e.runNumber, f.GetData())
	e.answer.Release()
	go func() {
		if e.answer.AwaitRoom(l.ctx) == nil {
			l.enqueue(&wirepb.Frame{Kind: wirepb.Frame_KIND_TAKEN, Id: f.GetId(), Offset: received})
			return
		}
		if e.answer.Abandoned() {
			l.enqueue(&wirepb.Frame{Kind: wirepb.Frame_KIND_CANCEL, Id: f.GetId(), End: true})
		}
	}()
}

// takePending removes a pending request and returns it, or nil if there is none.
func (l *Link) takePending(id string) *pendingRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.pending[id]
	delete(l.pending, id)
	return e
}

// watch reports the owner as lost for requests that wait too long for a stream. It
// polls only while requests wait and there is no stream.
func (l *Link) watch() {
	const interval = 50 * time.Millisecond
	t := time.NewTimer(interval)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wakeWatch:
		}
		for l.waitingForStream() {
			t.Reset(interval)
			select {
			case <-l.ctx.Done():
				return
			case <-t.C:
				l.expirePending(time.Now())
			}
		}
	}
}

// waitingForStream reports whether requests are pending and there is no stream.
func (l *Link) waitingForStream() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.connected && len(l.pending) > 0
}

// signalWatch wakes watch. It never blocks.
func (l *Link) signalWatch() {
	select {
	case l.wakeWatch <- struct{}{}:
	default:
	}
}

// expirePending reports the owner as lost for the requests that have waited too long
// for a stream.
func (l *Link) expirePending(now time.Time) {
	l.mu.Lock()
	var lost []*pendingRequest
	for _, e := range l.pending {
		limit := submitTimeout
		if e.sent {
			limit = fetchTimeout
		}
		if !l.connected && now.Sub(e.waitingSince) > limit {
			lost = append(lost, e)
		}
	}
	l.mu.Unlock()
	for _, e := range lost {
		l.reportLost(e.call.ID, e.sent)
	}
}

// reportLost removes a pending request and reports that its owner was lost. sent means
// that the owner may have received the request.
func (l *Link) reportLost(id string, sent bool) {
	e := l.takePending(id)
	if e == nil {
		return
	}
	l.outcomes.OwnerLost(id, sent, e.received > 0)
}

// Abandon reports the owner as lost for all pending requests. It is called when the
// host is known to be lost.
func (l *Link) Abandon() {
	l.mu.Lock()
	ids := map[string]bool{}
	for id, e := range l.pending {
		ids[id] = e.sent
	}
	l.mu.Unlock()
	for id, sent := range ids {
		l.reportLost(id, sent)
	}
}
