package qgroup_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// A replica that lives and receives must be heard before the leader is replaced, even if
// its registration has been missing for long or it refuses connections.
func TestReplicaThatIsTakenForGoneLosesNoWrites(t *testing.T) {
	for name, hide := range map[string]func(g *qgroup.Group){
		"unregistered": func(g *qgroup.Group) {
			g.SetUnregistered(2, true)
			time.Sleep(10 * time.Second)
		},
		"leaving": func(g *qgroup.Group) {
			g.SetLeaving(2, true)
			time.Sleep(time.Second)
			g.SetRefusing(2, qgroup.AllHosts, true)
			g.SetUnregistered(2, true)
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHosts(t, 3, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				c.introduce()
				w := c.startWriters(ctx)
				time.Sleep(4 * time.Second)
				hide(c.group)
				c.group.SetReceiveBlocked(1, true)
				time.Sleep(500 * time.Millisecond)
				c.group.Crash(0)
				c.group.SetReceiveBlocked(1, false)
				time.Sleep(5 * time.Second)
				c.group.SetUnregistered(2, false)
				c.group.SetRefusing(2, qgroup.AllHosts, false)
				time.Sleep(3 * time.Second)
				is.Equal(len(w.lost(is)), 0)
			})
		})
	}
}

// A leader and a replica that are cut from the store and from the replacing hosts still
// acknowledge the writes of a host beside them.
func TestLeaderAndReplicaCutFromTheStoreLoseNoWrites(t *testing.T) {
	runWithHosts(t, 3, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		w := c.startWriters(ctx)
		time.Sleep(4 * time.Second)
		c.registrationsCut[1].Store(true)
		time.Sleep(time.Second)
		c.network.setIsolated(1, true)
		for _, i := range []int{0, 2} {
			c.group.SetUnregistered(i, true)
			c.group.SetPartitioned(i, 0, true)
			c.group.SetPartitioned(i, 2, true)
		}
		time.Sleep(15 * time.Second)
		for _, i := range []int{0, 2} {
			c.group.SetUnregistered(i, false)
			c.group.SetPartitioned(i, 0, false)
			c.group.SetPartitioned(i, 2, false)
		}
		c.registrationsCut[1].Store(false)
		time.Sleep(5 * time.Second)
		is.Equal(len(w.lost(is)), 0)
	})
}
