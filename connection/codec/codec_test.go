package codec_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiotray/pistachiotray/connection/codec"
	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/version/class"
)

func TestCallRoundTrip(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	k := class.Defaults().WithName("orders", "Order").WithOnce(true).WithWeight(3)
	want := call.New("id", "session", "group", k).
		WithBody([]byte("Q")).WithFloor(mark.New(3, 120)).WithKey("key").WithInTransaction(true).WithEnds(true).WithResent(true).
		WithState(map[string][]byte{"a": []byte("P")}, []string{"SET x = 1"}).
		WithTimes(now.Add(-time.Second), now.Add(3*time.Second))
	got := codec.Decode(codec.Encode(want, now), now)
	is.Equal(got, want)
}

func TestFaultRoundTrip(t *testing.T) {
	is := is.New(t)
	want := fault.New(code.NotRunOverload, "predicted wait").WithRetryAfter(20 * time.Millisecond)
	is.Equal(codec.DecodeFault(codec.EncodeFault("id", want)), want)
}

// FuzzFrames decodes arbitrary bytes as frames of another host.
func FuzzFrames(f *testing.F) {
	valid, _ := proto.Marshal(&wirepb.Frames{Frames: []*wirepb.Frame{{
		Kind: wirepb.Frame_KIND_SUBMIT, Id: "a",
		Call: codec.Encode(call.New("a", "s", "g", class.Defaults()), time.Unix(0, 0)),
	}}})
	f.Add(valid)
	f.Add([]byte{0xff, 0x01})
	f.Fuzz(func(t *testing.T, p []byte) {
		var frames wirepb.Frames
		if proto.Unmarshal(p, &frames) != nil {
			return
		}
		for _, fr := range frames.GetFrames() {
			c := codec.Decode(fr.GetCall(), time.Unix(0, 0))
			if c.ID != fr.GetCall().GetId() {
				t.Fatal("the id changed")
			}
			_ = codec.DecodeFault(fr).Error()
		}
	})
}
