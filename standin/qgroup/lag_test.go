package qgroup_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// runMixedLoad reads in many sessions and writes in one session at a host, for the
// time d. The leader alone can't serve this load. runMixedLoad returns how many
// reads the replicas answered and how many reads were refused.
func runMixedLoad(t *testing.T, c *testCluster, host int, d time.Duration) (replicaReads, refusedReads int) {
	t.Helper()
	const readers = 30
	c.group.SetStatementTime(50 * time.Millisecond)
	var replicas, refused atomic.Int64
	var all sync.WaitGroup
	end := c.now() + d
	all.Go(func() {
		cl := c.newClient(host, "primary")
		for ; c.now() < end; time.Sleep(10 * time.Millisecond) {
			if r := cl.run(stmt.Write, "a", "b"); !r.OK() && r.Code != code.OutcomeUnknown {
				t.Errorf("write: %s", r.Code.Name())
			}
		}
	})
	for range readers {
		all.Go(func() {
			cl := c.newClient(host, "bounded")
			for ; c.now() < end; time.Sleep(10 * time.Millisecond) {
				r := cl.run(stmt.Read, "a", "")
				switch {
				case r.Code.NotRun():
					refused.Add(1)
				case !r.OK():
					t.Errorf("read: %s %s", r.Code.Name(), r.Reason)
				}
				if r.OK() && !strings.HasPrefix(r.Signature, c.group.Targets()[c.group.Leader()].ID) {
					replicas.Add(1)
				}
			}
		})
	}
	all.Wait()
	return int(replicas.Load()), int(refused.Load())
}

// If all replicas lag too far to serve any route, the leader changes: the new
// leader applies its whole log when it is promoted, and the former leader becomes
// a replica that has applied everything.
func TestLeaderChangesWhenAllReplicasLag(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		runMixedLoad(t, c, 0, time.Second) // opens connections
		before, refused := runMixedLoad(t, c, 0, time.Second)
		is.Equal(refused, 0)
		c.group.SetApplyLag(1, 20*time.Second)
		c.group.SetApplyLag(2, 20*time.Second)
		runMixedLoad(t, c, 0, 5*time.Second)
		is.Equal(len(c.group.Orders()), 1)
		is.True(c.group.Leader() != 0)
		after, refused := runMixedLoad(t, c, 0, time.Second)
		is.True(after > before/3) // replicas serve reads again
		is.Equal(refused, 0)
	})
}

// If only one of the replicas lags, the leader changes too, but later.
func TestOneLaggingReplicaDelaysTheLeaderChange(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		c.group.SetApplyLag(1, 20*time.Second)
		runMixedLoad(t, c, 0, 6*time.Second)
		is.Equal(len(c.group.Orders()), 0)
		runMixedLoad(t, c, 0, 10*time.Second)
		is.Equal(c.group.Orders(), []string{"g-1"}) // the lagging replica; a leader doesn't lag
	})
}

// A group whose members always lag must not change its leader over and over.
func TestPersistentLagChangesTheLeaderLessAndLessOften(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		for i := range 3 {
			c.group.SetApplyLag(i, 5*time.Second)
		}
		runMixedLoad(t, c, 0, 2*time.Minute)
		is.True(len(c.group.Orders()) <= 6)
	})
}
