package qgroup_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// A replica that missed commits must not lead while all members that have them are down, however
// long that takes.
func TestReplicaThatMissedCommitsDoesNotLeadWhileTheOthersAreAbsent(t *testing.T) {
	for name, absent := range map[string]func(c *testCluster, i int) func(){
		"crashed": func(c *testCluster, i int) func() {
			c.group.Crash(i)
			return func() { c.group.Start(i) }
		},
		"cut off": func(c *testCluster, i int) func() {
			c.group.SetSilent(i, true)
			c.group.SetUnregistered(i, true)
			return func() {
				c.group.SetUnregistered(i, false)
				c.group.SetSilent(i, false)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithMembers(t, 3, func(_ context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				cl := c.newClient(0, "primary")
				acknowledged := cl.writeFor(4 * time.Second)
				c.group.SetReceiveBlocked(2, true)
				acknowledged += cl.writeFor(time.Second)
				is.True(acknowledged > 100)
				first, second := absent(c, 0), absent(c, 1)
				c.group.SetReceiveBlocked(2, false)
				for range 150 {
					cl.run(stmt.Write, "b", "b")
					time.Sleep(100 * time.Millisecond)
				}
				first()
				second()
				_, ok := cl.writeUntilOK(5 * time.Second)
				is.True(ok)
				// Writes without an answer may be kept too.
				is.True(c.group.WriteCounts(c.group.Leader())["a a"] >= acknowledged)
			})
		})
	}
}

// Once no member can come back with the commits that are missing, the group must serve again.
func TestGroupServesAgainWhenNobodyHasItsLastCommits(t *testing.T) {
	runWithMembers(t, 3, func(_ context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		cl := c.newClient(0, "primary")
		cl.writeFor(4 * time.Second)
		c.group.SetReceiveBlocked(2, true)
		cl.writeFor(time.Second)
		c.group.Crash(0)
		c.group.Crash(1)
		c.group.SetReceiveBlocked(2, false)
		time.Sleep(5 * time.Second)
		is.Equal(len(c.group.Orders()), 0)
		c.group.StartEmpty(0)
		c.group.StartEmpty(1)
		_, ok := cl.writeUntilOK(5 * time.Second)
		is.True(ok)
		is.Equal(c.group.Leader(), 2)
	})
}
