package frame_test

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/draw"
	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/connection/intake"
	"github.com/pistachiotray/pistachiotray/process/budget"
	"github.com/pistachiotray/pistachiotray/request/code"
)

func ExampleSplit() {
	kind, first, rest, ok := frame.Split([]byte{'S', 0, 0, 0, 4, 'X', 0, 0, 0, 4})
	fmt.Println(string(kind), len(first), len(rest), ok)
	// Output: S 5 5 true
}

func TestLimits(t *testing.T) {
	cases := map[string]struct {
		bytes []byte
		want  error
	}{
		"within the limit":  {[]byte{'Q', 0, 0, 0, 6, 'a', 0}, nil},
		"over the limit":    {[]byte{'Q', 0, 0, 1, 0, 'a'}, code.MessageTooLarge},
		"impossible length": {[]byte{'Q', 0, 0, 0, 3, 'a'}, code.BadMessage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := frame.New(bytes.NewReader(c.bytes), 16).Append(nil)
			is.True(c.want == nil && err == nil || errors.Is(err, c.want))
		})
	}
}

func FuzzSplit(f *testing.F) {
	f.Add([]byte{'S', 0, 0, 0, 4, 'X', 0, 0, 0, 4})
	f.Add([]byte{'Q', 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, p []byte) {
		rest := p
		total := 0
		for {
			_, message, next, ok := frame.Split(rest)
			if !ok {
				break
			}
			total += len(message)
			rest = next
		}
		if total+len(rest) != len(p) {
			t.Fatal("bytes were lost")
		}
	})
}

// A long frame that gets no memory must be refused as overload, with what was drawn for its start,
// and one that ends early must not be.
func TestLongFrames(t *testing.T) {
	cases := map[string]struct {
		limit int64
		sent  int
		want  bool
	}{
		"no memory":  {limit: 20 << 10, sent: 100 << 10, want: true},
		"ends early": {limit: 1 << 20, sent: 50 << 10, want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := budget.New(zap.NewNop(), c.limit, budget.WithWait(time.Millisecond))
			share := draw.New(b, func() {})
			defer share.Leave()
			message := append([]byte{'Q', 0, 1, 0x90, 0}, make([]byte, c.sent)...)
			r := frame.New(bytes.NewReader(message), 1<<20, frame.WithIntake(intake.New(share)))
			_, p, err := r.Append([]byte("before"))
			is.True(err != nil)
			is.Equal(string(p), "before")
			is.Equal(errors.Is(err, code.NotRunOverload), c.want)
			// Nothing stays drawn that the caller can't give back.
			share.Return(r.Drawn())
			is.Equal(reflect.ValueOf(b.Metrics()).FieldByName("Used").Int(), int64(0))
		})
	}
}
