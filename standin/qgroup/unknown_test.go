package qgroup_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// Host 0 misses that all members were replaced. The new ones go on acknowledging writes
// while it stops the old ones from receiving.
func TestHostThatDoesNotKnowTheNewTargetsReplacesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		group := qgroup.New("g", 5)
		group.Crash(3)
		group.Crash(4)
		c := newTestClusterOf(ctx, t, group, 2)
		c.group.OnStatement = func(string, map[string]string, string) {}
		time.Sleep(time.Second)
		defer func() {
			stop()
			for _, h := range c.hosts {
				h.replicaSet.Update(nil, target.Target{}, 1)
			}
			time.Sleep(time.Minute)
		}()
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
