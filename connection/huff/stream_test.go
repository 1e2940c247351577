package huff_test

import (
	"bytes"
	"encoding/gob"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/huff"
)

// randomLetters returns n pseudo-random letters, which are the same on each call.
func randomLetters(n int) string {
	random := rand.New(rand.NewPCG(1, 2))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + random.IntN(26))
	}
	return string(b)
}

func TestRoundTrip(t *testing.T) {
	noise := make([]byte, 5000)
	random := rand.New(rand.NewPCG(3, 4))
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	for name, text := range map[string]string{
		"empty": "", "short": "a", "text": randomLetters(1500), "one letter": strings.Repeat("a", 3000),
		"noise": string(noise), "long": randomLetters(1 << 20),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var wire bytes.Buffer
			out := gob.NewEncoder(huff.New(&wire))
			for range 3 {
				is.NoErr(out.Encode(text))
			}
			in := gob.NewDecoder(huff.New(&wire))
			for range 3 {
				var got string
				is.NoErr(in.Decode(&got))
				is.Equal(got, text)
			}
		})
	}
}

func TestTextIsCompressed(t *testing.T) {
	is := is.New(t)
	var wire bytes.Buffer
	_, err := huff.New(&wire).Write([]byte(randomLetters(1000)))
	is.NoErr(err)
	is.True(wire.Len() < 700)
}

func FuzzRead(f *testing.F) {
	var wire bytes.Buffer
	_, _ = huff.New(&wire).Write([]byte(randomLetters(1000)))
	f.Add(wire.Bytes())
	f.Add([]byte{3, 200, 1, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(_ *testing.T, b []byte) {
		// Arbitrary input must end in an error, not in a panic.
		_, _ = io.Copy(io.Discard, huff.New(bytes.NewBuffer(b)))
	})
}
