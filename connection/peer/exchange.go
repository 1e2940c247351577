package peer

import (
	"context"
	"time"

	"github.com/pistachiotray/pistachiotray/connection/codec"
	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
)

// open returns the exchange of a request and whether it is new. A request
// that was refused as not run may be submitted again under its id.
func (p *Peer) open(c call.Call, out func(*wirepb.Frame) error) (*exchange, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x, ok := p.exchanges[c.ID]; ok && !x.notRun() {
		return x, false
	}
	x := &exchange{id: c.ID, group: c.Group, whole: true, out: out, moved: make(chan struct{}, 1)}
	x.answer = p.engine.Serve(c)
	p.exchanges[c.ID] = x
	return x, true
}

func (x *exchange) notRun() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.final != nil && x.final.GetKind() == wirepb.Frame_KIND_FAIL && code.Code(x.final.GetCode()).NotRun()
}

// carry sends an answer on as it comes and keeps it for a while.
func (p *Peer) carry(x *exchange) {
	for {
		data, done, err := x.answer.Take(context.Background())
		if err != nil {
			return
		}
		if done {
			x.finish(data)
			break
		}
		x.part(data)
		x.awaitTaken()
	}
	time.AfterFunc(keptFor, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.exchanges[x.id] == x {
			delete(p.exchanges, x.id)
		}
	})
}

func (x *exchange) keep(data []byte) {
	if len(x.kept)+len(data) > keptBytes {
		x.whole = false
		x.kept = nil
	}
	if x.whole {
		x.kept = append(x.kept, data...)
	}
}

func (x *exchange) part(data []byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.keep(data)
	x.sent += int64(len(data))
	_ = x.out(&wirepb.Frame{Kind: wirepb.Frame_KIND_PART, Id: x.id, Data: data})
}

// finish sends the end of an answer. The last data travels with it.
func (x *exchange) finish(data []byte) {
	seen, status, f := x.answer.Outcome()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.final = &wirepb.Frame{
		Kind: wirepb.Frame_KIND_DONE, Id: x.id, Data: data,
		Term: seen.Term, Position: seen.Position, Status: uint32(status),
	}
	if f != nil {
		x.final = codec.EncodeFault(x.id, f)
	}
	if !x.whole && len(data) > keptBytes {
		x.final.Data = data
	}
	_ = x.out(x.final)
}

// resume sends what an entry host lacks on its new stream. It reports false
// where that is not kept.
func (x *exchange) resume(out func(*wirepb.Frame) error, offset int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if offset != x.sent && (!x.whole || offset > x.sent) {
		return false
	}
	x.out = out
	if offset < x.sent {
		_ = out(&wirepb.Frame{Kind: wirepb.Frame_KIND_PART, Id: x.id, Data: x.kept[offset:x.sent]})
	}
	if x.final != nil {
		_ = out(x.final)
	}
	return true
}

func (x *exchange) tookUpTo(offset int64) {
	x.mu.Lock()
	x.taken = max(x.taken, offset)
	x.mu.Unlock()
	select {
	case x.moved <- struct{}{}:
	default:
	}
}

// awaitTaken waits while too much is on its way unread.
func (x *exchange) awaitTaken() {
	for {
		x.mu.Lock()
		behind := x.sent - x.taken
		x.mu.Unlock()
		if behind < unreadBytes || x.answer.Abandoned() {
			return
		}
		timer := time.NewTimer(inputTimeout)
		select {
		case <-x.moved:
			timer.Stop()
		case <-timer.C:
			x.answer.Abandon()
			return
		}
	}
}
