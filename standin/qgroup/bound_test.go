package qgroup_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// A replica that lags some milliseconds behind must not lead while those that acknowledged are down.
func TestReplicaThatLagsALittleLosesNoWrites(t *testing.T) {
	for ms := 5; ms <= 50; ms += 5 {
		t.Run(fmt.Sprint(ms), func(t *testing.T) {
			runWithHosts(t, 3, 3, func(_ context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				c.introduce()
				c.group.SetStatementTime(60 * time.Millisecond)
				stop := c.staggered(1)
				time.Sleep(4 * time.Second)
				c.group.SetReceiveBlocked(2, true)
				time.Sleep(time.Duration(ms) * time.Millisecond)
				c.group.Crash(0)
				c.group.Crash(1)
				c.group.SetReceiveBlocked(2, false)
				time.Sleep(12 * time.Second)
				c.group.Start(1)
				c.group.Start(0)
				time.Sleep(5 * time.Second)
				acknowledged := stop()
				is.True(len(acknowledged) > 50)
				is.Equal(len(c.lostOf(acknowledged)), 0)
			})
		})
	}
}

// Commits of the time in which a member is absent are known to hosts that start later.
func TestHostsThatStartKnowCommitsMadeDuringALongAbsence(t *testing.T) {
	runWithHosts(t, 3, 2, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		is.True(cl.writeFor(2*time.Second) > 50)
		time.Sleep(2 * time.Second)
		c.group.Crash(2)
		time.Sleep(12 * time.Second)
		acknowledged := cl.writeFor(3 * time.Second)
		time.Sleep(3 * time.Second)
		for h := range 2 {
			c.stopHosts[h]()
		}
		time.Sleep(time.Second)
		c.startHost(ctx)
		c.startHost(ctx)
		time.Sleep(5 * time.Second)
		c.group.Crash(0)
		c.group.Crash(1)
		c.group.Start(2)
		time.Sleep(14 * time.Second)
		orders := c.group.Orders()
		c.group.Start(0)
		c.group.Start(1)
		time.Sleep(5 * time.Second)
		is.Equal(len(orders), 0)
		is.True(c.group.WriteCounts(c.group.Leader())["a a"] >= acknowledged)
	})
}

// A member that joined and is not registered yet acknowledges commits that only it has.
func TestMemberThatIsNotRegisteredYetLosesNoWrites(t *testing.T) {
	for _, ms := range []int{20, 20, 20, 40, 60, 600, 600, 600} {
		t.Run(fmt.Sprint(ms), func(t *testing.T) {
			runWithHosts(t, 4, 3, func(_ context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				c.introduce()
				c.group.SetStatementTime(60 * time.Millisecond)
				stop := c.staggered(1)
				time.Sleep(4 * time.Second)
				c.group.SetUnregistered(3, true)
				c.group.StartEmpty(3)
				time.Sleep(500 * time.Millisecond)
				c.group.SetReceiveBlocked(1, true)
				c.group.SetReceiveBlocked(2, true)
				time.Sleep(time.Duration(ms) * time.Millisecond)
				c.group.Crash(0)
				c.group.SetReceiveBlocked(1, false)
				c.group.SetReceiveBlocked(2, false)
				time.Sleep(5 * time.Second)
				c.group.SetUnregistered(3, false)
				time.Sleep(5 * time.Second)
				c.group.Start(0)
				time.Sleep(5 * time.Second)
				acknowledged := stop()
				is.Equal(len(c.lostOf(acknowledged)), 0)
			})
		})
	}
}

// staggered starts writers at all hosts that do not write in step. stop ends them and returns
// the acknowledged writes.
func (c *testCluster) staggered(each int) (stop func() []string) {
	var mu sync.Mutex
	var acknowledged []string
	var ended atomic.Bool
	var running sync.WaitGroup
	for n := range each {
		for i := range c.hosts {
			running.Go(func() {
				time.Sleep(time.Duration(7*n+28*i) * time.Millisecond)
				item, cl := fmt.Sprintf("more-%d-%d", n, i), c.newClient(i, "primary")
				for k := 1; !ended.Load(); k++ {
					if cl.run(stmt.Write, item, fmt.Sprint(k)).OK() {
						mu.Lock()
						acknowledged = append(acknowledged, fmt.Sprintf("%s %d", item, k))
						mu.Unlock()
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	return func() []string {
		ended.Store(true)
		running.Wait()
		return acknowledged
	}
}

// lostOf returns those of the acknowledged writes that the leader lacks.
func (c *testCluster) lostOf(acknowledged []string) []string {
	counts := c.group.WriteCounts(c.group.Leader())
	return slices.DeleteFunc(slices.Clone(acknowledged), func(written string) bool { return counts[written] > 0 })
}
