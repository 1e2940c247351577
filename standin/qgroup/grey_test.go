package qgroup_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// served reads at the host near member 1 for a while and returns the share
// that this member answered.
func served(t *testing.T, c *course, d time.Duration) float64 {
	t.Helper()
	k := c.client(1, "bounded")
	near, all := 0, 0
	for end := c.now() + d; c.now() < end; time.Sleep(10 * time.Millisecond) {
		r := k.run(stmt.Read, "a", "")
		if !r.OK() {
			t.Errorf("read: %s", r.Code.Name())
		}
		all++
		if strings.HasPrefix(r.Signature, "g-1") {
			near++
		}
	}
	return float64(near) / float64(all)
}

// A member that fails part of its work answers fast and health checks well;
// only its traffic tells.
func TestReadsAvoidATargetThatFailsSome(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		is.True(served(t, c, time.Second) > 0.9)
		c.band.SetFailureRate(1, 0.5)
		served(t, c, 2*time.Second)
		is.True(served(t, c, 2*time.Second) < 0.2)
		c.band.SetFailureRate(1, 0)
		served(t, c, 10*time.Second)
		is.True(served(t, c, time.Second) > 0.9) // it is used again
	})
}
