//go:build race

package follow_test

// raceDetector is set in tests with the race detector, which fails itself (tsan_rtl.cpp:346)
// where thousands of goroutines are alive.
const raceDetector = true
