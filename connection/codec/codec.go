// Package codec converts requests and faults to the messages between hosts, and
// back.
package codec

import (
	"time"

	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/version/class"
)

// Encode returns the message for a call. now is the time of sending. Times are
// encoded as durations relative to now, since hosts do not share a clock.
func Encode(c call.Call, now time.Time) *wirepb.Call {
	return &wirepb.Call{
		Id: c.ID, Session: c.Session, Group: c.Group,
		Service: c.Class.Service, Class: c.Class.Name,
		Read: c.Class.Read, Repeatable: c.Class.Repeatable, Once: c.Class.Once, Long: c.Class.Long,
		Weight: int32(c.Class.Weight), MaxAgeMicros: c.Class.MaxAge.Microseconds(),
		FloorTerm: c.Floor.Term, FloorPosition: c.Floor.Position, FreshFloor: c.FreshFloor,
		LeftMicros: c.Deadline.Sub(now).Microseconds(), WaitedMicros: now.Sub(c.Arrived).Microseconds(),
		Key: c.Key, Follows: c.InTransaction, Body: c.Body, Prepare: c.Prepare, Settings: c.Settings,
		Copy: c.Copy, Dirty: c.Dirty, Changes: c.ChangesSettings, Begins: c.Begins, Ends: c.Ends, Sent: c.Resent,
	}
}

// Decode returns the call in a message. now is the time of receipt. The Deadline of
// the call's class is set to the time that was left when the message was sent.
func Decode(p *wirepb.Call, now time.Time) call.Call {
	return call.Call{
		ID: p.GetId(), Session: p.GetSession(), Group: p.GetGroup(),
		Class: class.Class{
			Service: p.GetService(), Name: p.GetClass(),
			Read: p.GetRead(), Repeatable: p.GetRepeatable(), Once: p.GetOnce(), Long: p.GetLong(),
			Weight: int(p.GetWeight()), MaxAge: microseconds(p.GetMaxAgeMicros()), Deadline: microseconds(p.GetLeftMicros()),
		},
		Floor: mark.New(p.GetFloorTerm(), p.GetFloorPosition()), FreshFloor: p.GetFreshFloor(),
		Deadline: now.Add(microseconds(p.GetLeftMicros())), Arrived: now.Add(-microseconds(p.GetWaitedMicros())),
		Key: p.GetKey(), InTransaction: p.GetFollows(), Body: p.GetBody(), Prepare: p.GetPrepare(), Settings: p.GetSettings(),
		Copy: p.GetCopy(), Dirty: p.GetDirty(), ChangesSettings: p.GetChanges(), Begins: p.GetBegins(), Ends: p.GetEnds(),
		Resent: p.GetSent(),
	}
}

// EncodeFault returns the frame that reports the fault of a request.
func EncodeFault(id string, f *fault.Fault) *wirepb.Frame {
	return &wirepb.Frame{
		Kind: wirepb.Frame_KIND_FAIL, Id: id, Code: int32(f.Code),
		Detail: f.Detail, RetryMicros: f.RetryAfter.Microseconds(),
	}
}

// DecodeFault returns the fault in a frame that EncodeFault made.
func DecodeFault(f *wirepb.Frame) *fault.Fault {
	return fault.New(code.Code(f.GetCode()), f.GetDetail()).WithRetryAfter(microseconds(f.GetRetryMicros()))
}

func microseconds(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
