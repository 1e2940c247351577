package frame_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/frame"
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
