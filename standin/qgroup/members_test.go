package qgroup_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// A host that starts while a replica's registration is missing must not replace the leader
// without that replica, which goes on acknowledging commits.
func TestHostThatStartsWhileAReplicaIsUnregisteredLosesNoWrites(t *testing.T) {
	runWithHosts(t, 3, 1, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		acknowledged := cl.writeFor(5 * time.Second)
		c.group.SetUnregistered(2, true)
		c.startHost(ctx)
		acknowledged += cl.writeFor(time.Second)
		c.group.SetPartitioned(0, 1, true)
		go func() {
			other := c.newClient(1, "primary")
			for end := c.now() + 4*time.Second; c.now() < end; time.Sleep(20 * time.Millisecond) {
				other.run(stmt.Write, "b", "b")
			}
		}()
		acknowledged += cl.writeFor(4 * time.Second)
		is.True(c.group.Leader() != 0)
		is.True(acknowledged > 200)
		// Writes without an answer may be kept too.
		is.True(c.group.WriteCounts(c.group.Leader())["a a"] >= acknowledged)
	})
}

// A primary that is lost after a planned release or a restart of a replica is replaced in
// time, although members that are gone were registered before.
func TestMembersThatAreGoneDelayNoFailover(t *testing.T) {
	for name, change := range map[string]func(c *testCluster){
		"release": func(c *testCluster) {
			c.group.StartEmpty(3)
			time.Sleep(time.Second)
			c.group.SetLeaving(2, true)
			time.Sleep(3 * time.Second)
			c.group.Crash(2)
		},
		"restart": func(c *testCluster) {
			c.group.Crash(2)
			time.Sleep(300 * time.Millisecond)
			c.group.Start(2)
		},
		"lost for good": func(c *testCluster) {
			c.group.StartEmpty(3)
			time.Sleep(4 * time.Second)
			c.group.Crash(2)
			time.Sleep(10 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithMembers(t, 4, func(_ context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				time.Sleep(4 * time.Second)
				change(c)
				time.Sleep(2 * time.Second)
				cl := c.newClient(0, "primary")
				is.True(cl.run(stmt.Write, "a", "a").OK())
				c.group.Crash(0)
				gap, ok := cl.writeUntilOK(3 * maxWriteGap)
				is.True(ok)
				if gap > maxWriteGap {
					t.Errorf("no write for %v, want %v or less", gap, maxWriteGap)
				}
			})
		})
	}
}
