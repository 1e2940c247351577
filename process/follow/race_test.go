//go:build race

package follow_test

import (
	"os"
	"runtime"
	"testing"
)

// raceDetector is set in tests with the race detector.
const raceDetector = true

// TestMain runs the tests on one processor. On several, ThreadSanitizer itself fails in some runs
// with thousands of timers (tsan_rtl.cpp:346).
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
