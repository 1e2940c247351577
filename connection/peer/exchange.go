package peer

import (
	"context"
	"time"

	"github.com/pistachiotray/pistachiotray/connection/codec"
	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
)

// openExchange returns the exchange of a request, and whether it is new. If the request
// was refused earlier without being run, it is run now, in a new exchange.
func (sr *Server) openExchange(c call.Call, send func(*wirepb.Frame) error) (*exchange, bool) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if x, ok := sr.exchanges[c.ID]; ok && !x.notRun() {
		return x, false
	}
	x := &exchange{id: c.ID, group: c.Group, complete: true, send: send, ackArrived: make(chan struct{}, 1)}
	x.answer = sr.engine.Serve(c)
	sr.exchanges[c.ID] = x
	return x, true
}

// notRun reports whether the request was refused without being run.
func (x *exchange) notRun() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.final != nil && x.final.GetKind() == wirepb.Frame_KIND_FAIL && code.Code(x.final.GetCode()).NotRun()
}

// forwardAnswer sends an answer to the entry host as it arrives. After the end of the
// answer, it keeps the exchange for replayPeriod.
func (sr *Server) forwardAnswer(x *exchange) {
	for {
		data, done, err := x.answer.Take(context.Background())
		if err != nil {
			return
		}
		if done {
			x.sendFinal(data)
			break
		}
		x.sendChunk(data)
		x.awaitAck()
	}
	time.AfterFunc(replayPeriod, func() {
		sr.mu.Lock()
		defer sr.mu.Unlock()
		if sr.exchanges[x.id] == x {
			delete(sr.exchanges, x.id)
		}
	})
}

// buffer keeps data of the answer so that it can be sent again. Once the answer is
// longer than replayBytes, buffer discards all that it kept. The caller holds the
// lock.
func (x *exchange) buffer(data []byte) {
	if len(x.buffered)+len(data) > replayBytes {
		x.complete = false
		x.buffered = nil
	}
	if x.complete {
		x.buffered = append(x.buffered, data...)
	}
}

// sendChunk sends data that is not the end of the answer.
func (x *exchange) sendChunk(data []byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.buffer(data)
	x.sent += int64(len(data))
	_ = x.send(&wirepb.Frame{Kind: wirepb.Frame_KIND_PART, Id: x.id, Data: data})
}

// sendFinal sends the frame that ends the answer and contains the last data.
func (x *exchange) sendFinal(data []byte) {
	position, status, f := x.answer.Outcome()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.final = &wirepb.Frame{
		Kind: wirepb.Frame_KIND_DONE, Id: x.id, Data: data,
		Term: position.Term, Position: position.Position, Status: uint32(status),
	}
	if f != nil {
		x.final = codec.EncodeFault(x.id, f)
	}
	if !x.complete && len(data) > replayBytes {
		x.final.Data = data
	}
	_ = x.send(x.final)
}

// resume moves the exchange to a new stream of the entry host and sends the answer
// from offset on. It returns false, and sends nothing, if that part of the answer is
// not kept.
func (x *exchange) resume(send func(*wirepb.Frame) error, offset int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if offset != x.sent && (!x.complete || offset > x.sent) {
		return false
	}
	x.send = send
	if offset < x.sent {
		_ = send(&wirepb.Frame{Kind: wirepb.Frame_KIND_PART, Id: x.id, Data: x.buffered[offset:x.sent]})
	}
	if x.final != nil {
		_ = send(x.final)
	}
	return true
}

// ack records that the caller has read enough of the answer up to offset, as reported
// by the entry host.
func (x *exchange) ack(offset int64) {
	x.mu.Lock()
	x.acked = max(x.acked, offset)
	x.mu.Unlock()
	select {
	case x.ackArrived <- struct{}{}:
	default:
	}
}

// awaitAck waits while maxUnackedBytes or more are unacknowledged. If no
// acknowledgement arrives for stallTimeout, it abandons the answer.
func (x *exchange) awaitAck() {
	for {
		x.mu.Lock()
		behind := x.sent - x.acked
		x.mu.Unlock()
		if behind < maxUnackedBytes || x.answer.Abandoned() {
			return
		}
		timer := time.NewTimer(stallTimeout)
		select {
		case <-x.ackArrived:
			timer.Stop()
		case <-timer.C:
			x.answer.Abandon()
			return
		}
	}
}
