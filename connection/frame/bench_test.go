package frame_test

import (
	"bytes"
	"encoding/binary"
	"testing"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/draw"
	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/connection/intake"
	"github.com/pistachiotray/pistachiotray/process/budget"
)

// BenchmarkLong reads a frame that is longer than the read buffer and draws memory as it arrives.
func BenchmarkLong(b *testing.B) {
	const length = 100 << 10
	message := append([]byte{'Q'}, binary.BigEndian.AppendUint32(nil, length)...)
	message = append(message, make([]byte, length-4)...)
	share := draw.New(budget.New(zap.NewNop(), 1<<20), func() {})
	defer share.Leave()
	input := bytes.NewReader(nil)
	r := frame.New(input, 1<<20, frame.WithIntake(intake.New(share)))
	b.ReportAllocs()
	for b.Loop() {
		input.Reset(message)
		if _, _, err := r.Append(nil); err != nil {
			b.Fatal(err)
		}
		share.Return(r.Drawn())
	}
}
