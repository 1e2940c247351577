package link

import (
	"time"

	"connectrpc.com/connect"

	"github.com/pistachiotray/pistachiotray/connection/codec"
	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// receive handles the frames of the host until the stream breaks. It closes
// accepted after the first ones arrived.
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

// handleFail handles the failure of a request. Open means that its outcome is not
// known, so that the request may have run.
func (l *Link) handleFail(e *entry, f *wirepb.Frame) {
	if f.GetOpen() {
		l.outcomes.OwnerLost(e.call.ID, true, e.received > 0)
		return
	}
	l.outcomes.Refused(e.call.ID, codec.DecodeFault(f))
}

// handleChunk passes a chunk of an answer on and acknowledges it once the caller
// has read enough. If the caller left, the request is canceled.
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

// takePending removes a request and returns it, nil if it is not known.
func (l *Link) takePending(id string) *entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.pending[id]
	delete(l.pending, id)
	return e
}

// watch expires the requests of a host that stays unreachable. It polls only while
// requests wait without a stream.
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
		for l.requestsStranded() {
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

// requestsStranded reports whether requests wait while there is no stream.
func (l *Link) requestsStranded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.connected && len(l.pending) > 0
}

// signalWatch wakes watch.
func (l *Link) signalWatch() {
	select {
	case l.wakeWatch <- struct{}{}:
	default:
	}
}

// expirePending reports the owner as lost to the requests that have waited for a
// stream for too long.
func (l *Link) expirePending(now time.Time) {
	l.mu.Lock()
	var lost []*entry
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

// reportLost removes a request and reports that its owner was lost.
func (l *Link) reportLost(id string, sent bool) {
	e := l.takePending(id)
	if e == nil {
		return
	}
	l.outcomes.OwnerLost(id, sent, e.received > 0)
}

// Abandon reports the owner as lost to all requests at once. It is called when the
// host is known to be gone.
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
