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

// busy reads from many sessions and writes from one at a host for a while, so
// that the leader alone is not enough. It returns how many reads replicas
// answered and how many were refused.
func busy(t *testing.T, c *course, host int, d time.Duration) (answered, turned int) {
	t.Helper()
	const readers = 30
	c.band.SetStatementTime(50 * time.Millisecond)
	var replicas, refused atomic.Int64
	var all sync.WaitGroup
	end := c.now() + d
	all.Go(func() {
		k := c.client(host, "primary")
		for ; c.now() < end; time.Sleep(10 * time.Millisecond) {
			if r := k.run(stmt.Write, "a", "b"); !r.OK() && r.Code != code.OutcomeUnknown {
				t.Errorf("write: %s", r.Code.Name())
			}
		}
	})
	for range readers {
		all.Go(func() {
			k := c.client(host, "bounded")
			for ; c.now() < end; time.Sleep(10 * time.Millisecond) {
				r := k.run(stmt.Read, "a", "")
				switch {
				case r.Code.NotRun():
					refused.Add(1)
				case !r.OK():
					t.Errorf("read: %s %s", r.Code.Name(), r.Reason)
				}
				if r.OK() && !strings.HasPrefix(r.Signature, c.band.Targets()[c.band.Leader()].ID) {
					replicas.Add(1)
				}
			}
		})
	}
	all.Wait()
	return int(replicas.Load()), int(refused.Load())
}

// A replica that shows commits too late for every route applies what it
// received as it takes the lead, and the leader before it becomes a replica
// that lacks nothing.
func TestGroupWhoseReplicasLagChangesItsLeader(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		busy(t, c, 0, time.Second) // opens connections
		before, refused := busy(t, c, 0, time.Second)
		is.Equal(refused, 0)
		c.band.SetApplyLag(1, 20*time.Second)
		c.band.SetApplyLag(2, 20*time.Second)
		busy(t, c, 0, 5*time.Second)
		is.Equal(len(c.band.Orders()), 1)
		is.True(c.band.Leader() != 0)
		after, refused := busy(t, c, 0, time.Second)
		is.True(after > before/3) // replicas serve reads again
		is.Equal(refused, 0)
	})
}

func TestOneLaggingReplicaIsLeftAtFirst(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		c.band.SetApplyLag(1, 20*time.Second)
		busy(t, c, 0, 6*time.Second)
		is.Equal(len(c.band.Orders()), 0)
		busy(t, c, 0, 10*time.Second)
		is.Equal(c.band.Orders(), []string{"g-1"}) // it lags no longer as it leads
	})
}

// A group whose members always lag is not kept changing its leader.
func TestLagThatStaysChangesTheLeaderLessAndLess(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		for i := range 3 {
			c.band.SetApplyLag(i, 5*time.Second)
		}
		busy(t, c, 0, 2*time.Minute)
		is.True(len(c.band.Orders()) <= 6)
	})
}
