package qgroup_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against commits that were acknowledged to callers behind a partition, where only the
// leader and a replica that was leaving had them: the others promote a replica without them.
func TestCommitsOfALeavingReplicaAreNotAcknowledged(t *testing.T) {
	for _, after := range []time.Duration{0, 20 * time.Millisecond, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			runWithHosts(t, 3, 3, func(_ context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				c.introduce()
				c.group.SetStatementTime(20 * time.Millisecond)
				stop := c.staggered(2)
				time.Sleep(4 * time.Second)
				c.group.SetLeaving(1, true)
				time.Sleep(after)
				// Host 0, the leader and the leaving replica are on one side.
				c.group.SetReceiveBlocked(2, true)
				for host := 1; host < 3; host++ {
					c.group.SetPartitioned(0, host, true)
					c.group.SetPartitioned(1, host, true)
				}
				c.group.SetPartitioned(2, 0, true)
				c.network.setIsolated(0, true)
				time.Sleep(2 * time.Second)
				c.group.SetUnregistered(1, true)
				time.Sleep(5 * time.Second)
				c.group.Crash(1)
				c.group.SetReceiveBlocked(2, false)
				for host := 1; host < 3; host++ {
					c.group.SetPartitioned(0, host, false)
					c.group.SetPartitioned(1, host, false)
				}
				c.group.SetPartitioned(2, 0, false)
				c.network.setIsolated(0, false)
				time.Sleep(10 * time.Second)
				is.Equal(len(c.lostOf(stop())), 0)
			})
		})
	}
}
