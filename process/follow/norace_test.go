//go:build !race

package follow_test

const raceDetector = false
