package qgroup_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// A target that joins while an order may still be carried out has not been stopped from
// receiving. The leader that is back must not acknowledge writes with it alone.
func TestTargetThatJoinsWhileAnOrderIsPendingLosesNoWrites(t *testing.T) {
	runWithMembers(t, 4, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		is.True(cl.run(stmt.Write, "a", "a").OK())
		c.group.DelayOrder(8 * time.Second)
		c.group.SetSilent(0, true)
		go func() {
			for l, _, _ := c.store.Read(ctx, "g"); !l.OrderPending(); l, _, _ = c.store.Read(ctx, "g") {
				time.Sleep(10 * time.Millisecond)
			}
			c.group.SetSilent(0, false)
			time.Sleep(time.Second)
			c.group.StartEmpty(3)
		}()
		acknowledged := 1
		for end := c.now() + 20*time.Second; c.now() < end; {
			if cl.run(stmt.Write, "a", "a").OK() {
				acknowledged++
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.True(acknowledged > 50)
		// Writes without an answer may be kept too.
		is.True(c.group.WriteCounts(c.group.Leader())["a a"] >= acknowledged)
	})
}

// Host 0 misses that all members were replaced. The new ones go on acknowledging writes
// while it stops the old ones from receiving.
func TestHostThatDoesNotKnowTheNewTargetsReplacesNobody(t *testing.T) {
	runWithMembers(t, 5, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		group := c.group
		c.registrationsCut[0].Store(true)
		group.StartEmpty(3)
		group.StartEmpty(4)
		time.Sleep(time.Second)
		for i := range 3 {
			group.SetLeaving(i, true)
		}
		knowing := c.newClient(1, "primary")
		for group.Leader() < 3 {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		acknowledged := 0
		forgetful := c.newClient(0, "primary")
		go func() {
			for ctx.Err() == nil {
				forgetful.run(stmt.Write, "b", "b")
				time.Sleep(50 * time.Millisecond)
			}
		}()
		for range 200 {
			if knowing.run(stmt.Write, "a", "a").OK() {
				acknowledged++
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.True(acknowledged > 150)
		is.Equal(group.WriteCounts(group.Leader())["a a"], acknowledged)
	})
}

// An order that is noted as not done may be carried out late, after the host that sent it
// was lost. The leader that is back must not acknowledge writes that the ordered target
// lacks, even with a replica that restarted.
func TestOrderOfALostHostLosesNoWrites(t *testing.T) {
	for name, restart := range map[string]bool{"other hosts run": false, "all hosts start again": true} {
		t.Run(name, func(t *testing.T) {
			const hosts = 3
			runWithHosts(t, 3, hosts, func(ctx context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				c.introduce()
				clients := []*client{c.newClient(0, "primary"), c.newClient(1, "primary"), c.newClient(2, "primary")}
				for _, cl := range clients {
					is.True(cl.run(stmt.Write, "b", "b").OK())
				}
				c.group.DelayOrder(8 * time.Second)
				c.group.Crash(0)
				holder, ordered := "", ""
				for _, cl := range clients {
					go cl.writeUntilOK(4 * time.Second)
				}
				for holder == "" {
					time.Sleep(time.Millisecond)
					if l, _, err := c.store.Read(ctx, "g"); err == nil && l.OrderPending() {
						holder, ordered = l.Holder, l.Target
					}
				}
				time.Sleep(100 * time.Millisecond)
				survivor := 0
				for i := range hosts {
					if restart || holder == hostInfo(i).Host {
						c.stopHosts[i]()
					} else {
						survivor = i
					}
				}
				if restart {
					c.startHost(ctx)
					survivor = hosts
					c.introduce()
				}
				time.Sleep(100 * time.Millisecond)
				c.group.Start(0)
				time.Sleep(400 * time.Millisecond)
				for i, id := range []string{"g-1", "g-2"} {
					if id != ordered {
						c.group.Crash(i + 1)
						time.Sleep(300 * time.Millisecond)
						c.group.Start(i + 1)
					}
				}
				cl := c.newClient(survivor, "primary")
				acknowledged := cl.writeFor(15 * time.Second)
				is.True(acknowledged > 100)
				// Writes without an answer may be kept too.
				is.True(c.group.WriteCounts(c.group.Leader())["a a"] >= acknowledged)
			})
		})
	}
}
