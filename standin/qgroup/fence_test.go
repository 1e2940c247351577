package qgroup_test

import (
	"context"
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
