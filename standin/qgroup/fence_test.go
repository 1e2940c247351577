package qgroup_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/lease"
)

// A leader that the replacing host does not reach must be demoted through another host,
// even if the leader's registration is missing.
func TestUnregisteredLeaderIsDemotedThroughAnotherHost(t *testing.T) {
	runWithHosts(t, 3, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		w := c.startWriters(ctx)
		time.Sleep(4 * time.Second)
		c.registrationsCut[1].Store(true)
		time.Sleep(time.Second)
		c.group.SetUnregistered(0, true)
		c.group.SetPartitioned(0, 0, true)
		c.group.SetPartitioned(0, 2, true)
		c.group.DelayOrder(600 * time.Millisecond)
		_, other := c.awaitOrder(is)
		c.restart(other)
		time.Sleep(5 * time.Second)
		is.Equal(len(w.lost(is)), 0)
	})
}

// A leader that serves only a host that can't be asked must acknowledge no writes with a
// replica that restarted during its replacement.
func TestLeaderOfAnIsolatedHostLosesNoWrites(t *testing.T) {
	runWithHosts(t, 3, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		w := c.startWriters(ctx)
		time.Sleep(4 * time.Second)
		c.network.setIsolated(1, true)
		c.group.SetPartitioned(0, 0, true)
		c.group.SetPartitioned(0, 2, true)
		_, other := c.awaitOrder(is)
		c.restart(other)
		time.Sleep(5 * time.Second)
		is.Equal(len(w.lost(is)), 0)
	})
}

// The same host is cut off from the store too, or can ask the other hosts, or the leader that
// only it reaches is silent for a while with a write.
func TestLeaderOfAHostThatIsCutOffLosesNoWrites(t *testing.T) {
	for _, asks := range []bool{false, true} {
		for _, freeze := range []bool{false, true} {
			t.Run(fmt.Sprint("asks ", asks, " freeze ", freeze), func(t *testing.T) {
				runWithHosts(t, 3, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
					is := is.New(t)
					c.introduce()
					w := c.startWriters(ctx)
					time.Sleep(4 * time.Second)
					c.network.setIsolated(1, true)
					c.network.setSilenced(1, !asks)
					c.leasesCut[1].Store(true)
					c.registrationsCut[1].Store(true)
					c.group.SetPartitioned(0, 0, true)
					c.group.SetPartitioned(0, 2, true)
					if freeze {
						c.awaitLease(is, func(l lease.Lease) bool { return l.Replaces != "" })
						time.Sleep(1500 * time.Millisecond)
						c.group.SetSilent(0, true)
						time.AfterFunc(800*time.Millisecond, func() { c.group.SetSilent(0, false) })
					}
					_, other := c.awaitOrder(is)
					c.restart(other)
					time.Sleep(5 * time.Second)
					is.Equal(len(w.lost(is)), 0)
				})
			})
		}
	}
}

// A host that is cut off from the store and from the other hosts sends no commits after a
// while, and sends commits again once it reaches them.
func TestHostThatIsCutOffStopsSendingCommits(t *testing.T) {
	runWithHosts(t, 3, 3, func(_ context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		cl := c.newClient(1, "primary")
		is.True(cl.writeFor(time.Second) > 20)
		c.network.setIsolated(1, true)
		c.network.setSilenced(1, true)
		c.leasesCut[1].Store(true)
		is.True(cl.writeFor(time.Second) > 20)
		time.Sleep(permitTime)
		is.Equal(cl.writeFor(time.Second), 0)
		c.network.setSilenced(1, false)
		// The other hosts confirm that the leader is not being replaced.
		is.True(cl.writeFor(2*time.Second) > 20)
		c.network.setSilenced(1, true)
		time.Sleep(2 * permitTime)
		c.leasesCut[1].Store(false)
		time.Sleep(time.Second)
		is.True(cl.writeFor(time.Second) > 20)
	})
}

// A host that is told of a pending order sends no commits to a leader other than the ordered
// target, although it finds no problem with that leader.
func TestNoCommitsWhileTheLeaseNamesAnotherTarget(t *testing.T) {
	runWithHosts(t, 3, 1, func(_ context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		is.True(cl.writeFor(time.Second) > 20)
		c.leasesCut[0].Store(true)
		time.Sleep(300 * time.Millisecond)
		ordered := lease.New("g").WithClaim("host-9", c.now()).WithOrder("g-1")
		rs := c.hosts[0].replicaSet
		rs.NoteLease(ordered)
		is.Equal(cl.writeFor(time.Second), 0)
		rs.NoteLease(ordered.WithOrder("g-0"))
		is.True(cl.writeFor(300*time.Millisecond) > 5)
		rs.NoteLease(ordered)
		rs.NoteLease(ordered.WithDone())
		is.True(cl.writeFor(300*time.Millisecond) > 5)
	})
}

// While the store is down, hosts that reach most of the others go on sending commits.
func TestHostsSendCommitsWhileTheStoreIsDown(t *testing.T) {
	runWithHosts(t, 3, 3, func(_ context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		cl := c.newClient(1, "primary")
		is.True(cl.writeFor(time.Second) > 20)
		c.store.SetDown(true)
		c.stopHosts[2]()
		c.network.setIsolated(2, true)
		is.True(cl.writeFor(3*permitTime) > 100)
	})
}

// A leader that is frozen while it is to be demoted must acknowledge no writes with a replica
// that restarted, also not those that were sent to it before.
func TestLeaderThatIsFrozenDuringItsDemotionLosesNoWrites(t *testing.T) {
	runWithHosts(t, 3, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		w := c.startWriters(ctx)
		time.Sleep(4 * time.Second)
		c.store.SetReadTime(60 * time.Millisecond)
		c.group.SetPartitioned(0, 1, true)
		c.group.SetPartitioned(0, 2, true)
		c.awaitLease(is, func(l lease.Lease) bool { return !l.Free() })
		c.group.SetSilent(0, true)
		_, other := c.awaitOrder(is)
		c.restart(other)
		c.group.SetSilent(0, false)
		time.Sleep(5 * time.Second)
		is.Equal(len(w.lost(is)), 0)
	})
}
