package huff_test

import (
	"bytes"
	"io"
	"testing"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/draw"
	"github.com/pistachiotray/pistachiotray/connection/huff"
	"github.com/pistachiotray/pistachiotray/connection/intake"
	"github.com/pistachiotray/pistachiotray/process/budget"
)

// BenchmarkRead reads a message that fits into the read buffer, and a longer one, which draws
// memory as it arrives.
func BenchmarkRead(b *testing.B) {
	for name, length := range map[string]int{"short": 100, "long": 400 << 10} {
		b.Run(name, func(b *testing.B) {
			var wire bytes.Buffer
			if _, err := huff.New(&wire).Write(make([]byte, length)); err != nil {
				b.Fatal(err)
			}
			frame := bytes.Clone(wire.Bytes())
			message := make([]byte, length)
			share := draw.New(budget.New(zap.NewNop(), 4<<20), func() {})
			defer share.Leave()
			s := huff.New(&wire, huff.WithIntake(intake.New(share)))
			b.ReportAllocs()
			for b.Loop() {
				wire.Reset()
				wire.Write(frame)
				if _, err := io.ReadFull(s, message); err != nil {
					b.Fatal(err)
				}
				share.Return(s.Drawn())
			}
		})
	}
}
