package frame_test

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/draw"
	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/connection/intake"
	"github.com/pistachiotray/pistachiotray/process/budget"
)

// Frames of which most arrives before their connection ends fill the memory of the process with
// garbage if their buffers are not used again.
func TestFramesGivenUpLeaveNoGarbage(t *testing.T) {
	const count, length = 100, 1 << 20
	is := is.New(t)
	part := append([]byte{'Q'}, binary.BigEndian.AppendUint32(nil, length)...)
	part = append(part, make([]byte, length-100)...)
	b := budget.New(zap.NewNop(), 32<<20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range count {
		share := draw.New(b, func() {})
		_, _, err := frame.New(bytes.NewReader(part), 2<<20, frame.WithIntake(intake.New(share))).Append(nil)
		is.True(err != nil)
		share.Leave()
	}
	runtime.ReadMemStats(&after)
	allocated := int(after.TotalAlloc - before.TotalAlloc)
	t.Logf("%d KiB allocated for a frame", allocated/count>>10)
	// A tenth of the frame allows for the small buffers of a connection.
	is.True(allocated < count*length/10)
}
