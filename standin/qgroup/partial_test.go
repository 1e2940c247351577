package qgroup_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// shareOfNearest reads for a while at the host that is nearest to member 1 and
// returns the share of the reads that this member answered.
func shareOfNearest(t *testing.T, c *testCluster, d time.Duration) float64 {
	t.Helper()
	cl := c.newClient(1, "bounded")
	nearest, all := 0, 0
	for end := c.now() + d; c.now() < end; time.Sleep(10 * time.Millisecond) {
		r := cl.run(stmt.Read, "a", "")
		if !r.OK() {
			t.Errorf("read: %s", r.Code.Name())
		}
		all++
		if strings.HasPrefix(r.Signature, "g-1") {
			nearest++
		}
	}
	return float64(nearest) / float64(all)
}

// A member that fails some of its statements still answers fast and passes health
// checks. The host must detect the fault by the errors among its answers.
func TestReadsAvoidATargetWithPartialFailures(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		is.True(shareOfNearest(t, c, time.Second) > 0.9)
		c.group.SetFailureRate(1, 0.5)
		shareOfNearest(t, c, 2*time.Second)
		is.True(shareOfNearest(t, c, 2*time.Second) < 0.2)
		c.group.SetFailureRate(1, 0)
		shareOfNearest(t, c, 10*time.Second)
		is.True(shareOfNearest(t, c, time.Second) > 0.9) // the member is used again
	})
}
