package qgroup_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// A holder of the lease that was frozen while it claimed must not let a replica receive
// while the next holder's order for another one is carried out.
func TestHolderThatWakesLateLosesNoWrites(t *testing.T) {
	const hosts = 3
	runWithHosts(t, 3, hosts, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		// Hosts 1 and 2 each know the lag of the replica in their own zone only, so that
		// they choose different successors. Host 0 does not learn that the leader leaves.
		c.registrationsCut[0].Store(true)
		reading, stopReading := context.WithCancel(ctx)
		for i := 1; i < hosts; i++ {
			c.group.SetApplyLag(i, 400*time.Millisecond)
			go func() {
				atLeader, atReplica := c.newClient(i, "primary"), c.newClient(i, "bounded")
				for ; reading.Err() == nil; time.Sleep(20 * time.Millisecond) {
					atLeader.run(stmt.Read, "a", "")
					atReplica.run(stmt.Read, "a", "")
				}
			}()
		}
		cl := c.newClient(0, "primary")
		acknowledged := cl.writeFor(2 * time.Second)
		stopReading()
		wake := c.store.HoldAnswer()
		c.group.SetLeaving(0, true)
		for end := c.now() + 10*time.Second; len(c.group.Orders()) == 0 && c.now() < end; {
			time.Sleep(time.Millisecond)
		}
		is.True(len(c.group.Orders()) > 0)
		wake()
		acknowledged += cl.writeFor(3 * time.Second)
		is.True(acknowledged > 50)
		// Writes without an answer may be kept too.
		is.True(c.group.WriteCounts(c.group.Leader())["a a"] >= acknowledged)
	})
}
