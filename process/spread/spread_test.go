package spread_test

import (
	"testing"
	"time"
)

var policies = []struct {
	name   string
	choose policy
}{{"spread", spreadPolicy}, {"least loaded by information", leastLoaded}, {"random", randomTarget}, {"round robin", roundRobin}}

// TestWorkIsEvenWithOldInformation guards against hosts that all choose the target which was
// idle some time ago, so that one target after another is overloaded.
func TestWorkIsEvenWithOldInformation(t *testing.T) {
	for _, age := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		for _, p := range policies {
			s := newSimulation(7, age, p.choose)
			s.run(warmUp + 20*time.Second)
			whole, windows := s.busiest()
			t.Logf("%8v  %-28s busiest/mean %.2f whole, %.2f per second; p50 %v, p99 %v", age, p.name, whole, windows, s.quantile(0.5), s.quantile(0.99))
		}
	}
}
