package link

import (
	"time"

	"connectrpc.com/connect"

	"github.com/pistachiotray/pistachiotray/connection/codec"
	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// receive takes frames until the stream breaks.
func (l *Link) receive(s *connect.BidiStreamForClient[wirepb.Frames, wirepb.Frames], greeted chan struct{}) {
	first := true
	for {
		frames, err := s.Receive()
		if err != nil {
			return
		}
		if first {
			close(greeted)
			first = false
		}
		for _, f := range frames.GetFrames() {
			l.take(f)
		}
	}
}

func (l *Link) take(f *wirepb.Frame) {
	switch f.GetKind() {
	case wirepb.Frame_KIND_PART:
		l.part(f)
	case wirepb.Frame_KIND_DONE:
		if e := l.remove(f.GetId()); e != nil {
			e.answer.Append(e.run, f.GetData())
			l.outcomes.Forget(f.GetId())
			e.answer.Finish(mark.New(f.GetTerm(), f.GetPosition()), byte(f.GetStatus()), false)
		}
	case wirepb.Frame_KIND_FAIL:
		if e := l.remove(f.GetId()); e != nil {
			l.failed(e, f)
		}
	case wirepb.Frame_KIND_ATTACHED:
		l.mu.Lock()
		found := l.attaching[f.GetId()]
		l.mu.Unlock()
		if found != nil {
			found <- f.GetOpen()
		}
	}
}

func (l *Link) failed(e *entry, f *wirepb.Frame) {
	if f.GetOpen() {
		l.outcomes.OwnerLost(e.call.ID, true, e.received > 0)
		return
	}
	l.outcomes.Refused(e.call.ID, codec.DecodeFault(f))
}

func (l *Link) part(f *wirepb.Frame) {
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
	e.answer.Append(e.run, f.GetData())
	e.answer.Release()
	go func() {
		if e.answer.AwaitRoom(l.ctx) == nil {
			l.push(&wirepb.Frame{Kind: wirepb.Frame_KIND_TAKEN, Id: f.GetId(), Offset: received})
			return
		}
		if e.answer.Abandoned() {
			l.push(&wirepb.Frame{Kind: wirepb.Frame_KIND_CANCEL, Id: f.GetId(), End: true})
		}
	}()
}

func (l *Link) remove(id string) *entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.pending[id]
	delete(l.pending, id)
	return e
}

// watch gives up the requests of a host that stays unreachable.
func (l *Link) watch() {
	const every = 50 * time.Millisecond
	t := time.NewTimer(every)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.worry:
		}
		for l.worried() {
			t.Reset(every)
			select {
			case <-l.ctx.Done():
				return
			case <-t.C:
				l.giveUp(time.Now())
			}
		}
	}
}

// worried tells whether requests wait for a stream that does not stand.
func (l *Link) worried() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.up && len(l.pending) > 0
}

// beWorried wakes the watch.
func (l *Link) beWorried() {
	select {
	case l.worry <- struct{}{}:
	default:
	}
}

func (l *Link) giveUp(now time.Time) {
	l.mu.Lock()
	var lost []*entry
	for _, e := range l.pending {
		limit := submitTimeout
		if e.sent {
			limit = fetchTimeout
		}
		if !l.up && now.Sub(e.since) > limit {
			lost = append(lost, e)
		}
	}
	l.mu.Unlock()
	for _, e := range lost {
		l.lose(e.call.ID, e.sent)
	}
}

func (l *Link) lose(id string, sent bool) {
	e := l.remove(id)
	if e == nil {
		return
	}
	l.outcomes.OwnerLost(id, sent, e.received > 0)
}

// Abandon gives up all requests at once, since the host is known to be gone.
func (l *Link) Abandon() {
	l.mu.Lock()
	ids := map[string]bool{}
	for id, e := range l.pending {
		ids[id] = e.sent
	}
	l.mu.Unlock()
	for id, sent := range ids {
		l.lose(id, sent)
	}
}
