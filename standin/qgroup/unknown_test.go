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
