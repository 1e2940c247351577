package qgroup_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// A replica that restarts after its report has forgotten that it was stopped. A leader that
// only other hosts reach must not acknowledge commits with it until the next one leads.
func TestReplicaThatRestartsDuringAPromotionLosesNoWrites(t *testing.T) {
	runWithMembers(t, 3, func(_ context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		cl := c.newClient(0, "primary")
		acknowledged := cl.writeFor(time.Second)
		c.group.SetPartitioned(0, 1, true)
		go c.newClient(1, "primary").writeUntilOK(4 * time.Second)
		go func() {
			for len(c.group.Orders()) == 0 {
				time.Sleep(time.Millisecond)
			}
			restarted := 1
			if c.group.Orders()[0] == "g-1" {
				restarted = 2
			}
			c.group.Crash(restarted)
			c.group.Start(restarted)
		}()
		acknowledged += cl.writeFor(5 * time.Second)
		is.True(c.group.Leader() != 0)
		is.True(acknowledged > 100)
		// Writes without an answer may be kept too.
		is.True(c.group.WriteCounts(c.group.Leader())["a a"] >= acknowledged)
	})
}

// requireNoWritesLost has a host that does not reach the leader, g-0, order a successor. Then it
// calls the function disturb with the index of the other replica, and fails the test if the next
// leader lacks an acknowledged write.
func requireNoWritesLost(t *testing.T, hosts int, prepare func(c *testCluster), disturb func(c *testCluster, other int), options ...func(*qgroup.Group)) {
	t.Helper()
	runWithHosts(t, 3, hosts, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		w := c.startWriters(ctx)
		time.Sleep(2 * time.Second)
		prepare(c)
		c.group.SetPartitioned(0, 1, true)
		_, other := c.awaitOrder(is)
		disturb(c, other)
		time.Sleep(6 * time.Second)
		is.Equal(len(w.lost(is)), 0)
	}, options...)
}

// A demoted leader may still acknowledge commits that it accepted before, once a replica has
// received them. A replica that restarts receives again.
func TestCommitsThatADemotedLeaderAcknowledgesLateAreNotLost(t *testing.T) {
	for _, ms := range []int{0, 50, 100, 150, 200} {
		t.Run(fmt.Sprint(ms), func(t *testing.T) {
			requireNoWritesLost(t, 4, func(*testCluster) {}, func(c *testCluster, other int) {
				c.group.Crash(other)
				time.Sleep(time.Duration(ms) * time.Millisecond)
				c.group.StartAs(other, "g-3")
			}, qgroup.WithLateAcknowledgements())
		})
	}
}

// A leader that was demoted, and restarts under another ID before its successor leads, leads
// again. It must acknowledge no commits with a replica that restarted too.
func TestDemotedLeaderThatRestartsUnderAnotherIDLosesNoWrites(t *testing.T) {
	for _, ms := range []int{0, 50, 100, 150, 200} {
		t.Run(fmt.Sprint(ms), func(t *testing.T) {
			requireNoWritesLost(t, 3, func(c *testCluster) {
				c.store.SetReadTime(60 * time.Millisecond)
				c.group.DelayOrder(600 * time.Millisecond)
			}, func(c *testCluster, other int) {
				c.group.Crash(0)
				c.group.Crash(other)
				time.Sleep(time.Duration(ms) * time.Millisecond)
				c.group.StartAs(0, "g-3")
				c.group.StartAs(other, "g-4")
			})
		})
	}
}

// A demoted leader that restarts under its ID, before its registration shows that, leads again
// for hosts that did not use it meanwhile.
func TestDemotedLeaderThatRestartsUnnoticedLosesNoWrites(t *testing.T) {
	for _, ms := range []int{0, 10, 20, 40, 60} {
		t.Run(fmt.Sprint(ms), func(t *testing.T) {
			requireNoWritesLost(t, 4, func(*testCluster) {}, func(c *testCluster, other int) {
				time.Sleep(time.Duration(ms) * time.Millisecond)
				c.restart(0)
				c.restart(other)
			})
		})
	}
}

// A leader must be demoted even if the host that replaces it does not reach it.
func TestLeaderIsDemotedThroughAnotherHost(t *testing.T) {
	runWithMembers(t, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		is.True(c.newClient(0, "primary").run(stmt.Write, "a", "a").OK())
		c.group.SetPartitioned(0, 1, true)
		go c.newClient(1, "primary").writeUntilOK(4 * time.Second)
		for end := c.now() + 4*time.Second; len(c.group.Orders()) == 0 && c.now() < end; {
			time.Sleep(time.Millisecond)
		}
		is.True(len(c.group.Orders()) > 0)
		// The order takes 300 ms.
		is.Equal(c.group.Leader(), 0)
		leads, err := c.hosts[0].replicaSet.AcceptsWrites(ctx, c.group.Targets()[0])
		is.NoErr(err)
		is.True(!leads)
	})
}
