package qgroup_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/process/lease"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// writers write distinct values at all hosts until their context ends.
type writers struct {
	cluster *testCluster
	stop    func()
	running sync.WaitGroup
	mu      sync.Mutex
	// acknowledged holds the writes that were acknowledged, in the form "ITEM VALUE".
	acknowledged []string
}

// startWriters starts a writer at each host.
func (c *testCluster) startWriters(ctx context.Context) *writers {
	ctx, stop := context.WithCancel(ctx)
	w := &writers{cluster: c, stop: stop}
	for i := range c.hosts {
		w.running.Go(func() { w.write(ctx, i) })
	}
	return w
}

func (w *writers) write(ctx context.Context, host int) {
	item, cl := fmt.Sprintf("item-%d", host), w.cluster.newClient(host, "primary")
	for n := 1; ctx.Err() == nil; n++ {
		value := fmt.Sprint(n)
		if cl.run(stmt.Write, item, value).OK() {
			w.mu.Lock()
			w.acknowledged = append(w.acknowledged, item+" "+value)
			w.mu.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// count returns how many writes were acknowledged so far.
func (w *writers) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acknowledged)
}

// countFor returns how many writes are acknowledged within d.
func (w *writers) countFor(d time.Duration) int {
	before := w.count()
	time.Sleep(d)
	return w.count() - before
}

// lost ends the writers and returns the acknowledged writes that the leader lacks. It
// fails the test if the group did not serve.
func (w *writers) lost(is *is.I) []string {
	is.Helper()
	w.stop()
	w.running.Wait()
	leader := w.cluster.group.Leader()
	is.True(leader >= 0)
	is.True(len(w.acknowledged) > 50*len(w.cluster.hosts))
	counts := w.cluster.group.WriteCounts(leader)
	return slices.DeleteFunc(slices.Clone(w.acknowledged), func(written string) bool { return counts[written] > 0 })
}

// awaitLease waits until the stored lease meets a condition. It fails the test if that takes
// too long.
func (c *testCluster) awaitLease(is *is.I, met func(l lease.Lease) bool) lease.Lease {
	is.Helper()
	for end := c.now() + 10*time.Second; c.now() < end; time.Sleep(time.Millisecond) {
		if l := c.store.Lease(); met(l) {
			return l
		}
	}
	is.Fail() // the lease did not change in time
	return lease.Lease{}
}

// awaitOrder waits until the lease names an order. It returns the lease and the index of
// the replica that is not ordered to lead.
func (c *testCluster) awaitOrder(is *is.I) (l lease.Lease, other int) {
	is.Helper()
	l = c.awaitLease(is, lease.Lease.OrderPending)
	return l, 3 - slices.Index([]string{"g-0", "g-1", "g-2"}, l.Target)
}

// restart restarts a member, so that it receives log entries again if it had stopped.
func (c *testCluster) restart(i int) {
	c.group.Crash(i)
	c.group.Start(i)
}

// A leader that returns while its successor is ordered must acknowledge no writes with a
// replica that restarted.
func TestLeaderThatReturnsDuringAnOrderLosesNoWrites(t *testing.T) {
	for name, fault := range map[string]struct{ begin, end func(g *qgroup.Group) }{
		"restarted": {
			func(g *qgroup.Group) { g.Crash(0) },
			func(g *qgroup.Group) { g.Start(0) },
		},
		"unreachable": {
			func(g *qgroup.Group) { g.SetPartitioned(0, qgroup.AllHosts, true) },
			func(g *qgroup.Group) { g.SetPartitioned(0, qgroup.AllHosts, false) },
		},
		"silent": {
			func(g *qgroup.Group) { g.SetSilent(0, true) },
			func(g *qgroup.Group) { g.SetSilent(0, false) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHosts(t, 3, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				c.introduce()
				w := c.startWriters(ctx)
				time.Sleep(2 * time.Second)
				c.store.SetReadTime(60 * time.Millisecond)
				c.group.DelayOrder(600 * time.Millisecond)
				fault.begin(c.group)
				_, other := c.awaitOrder(is)
				c.restart(other)
				fault.end(c.group)
				time.Sleep(6 * time.Second)
				is.Equal(len(w.lost(is)), 0)
			})
		})
	}
}

// A leader that was demoted for an order that is not carried out yet, and that leads again
// after a restart, must acknowledge no writes with a replica that restarted.
func TestDemotedLeaderThatRestartsLosesNoWrites(t *testing.T) {
	runWithHosts(t, 3, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		w := c.startWriters(ctx)
		time.Sleep(2 * time.Second)
		c.store.SetReadTime(60 * time.Millisecond)
		c.group.DelayOrder(2500 * time.Millisecond)
		c.group.Crash(0)
		l, other := c.awaitOrder(is)
		holder := slices.Index([]string{"host-0", "host-1", "host-2"}, l.Holder)
		c.stopHosts[holder]()
		c.group.Start(0)
		time.Sleep(time.Second)
		leads, err := c.hosts[(holder+1)%3].replicaSet.AcceptsWrites(ctx, c.group.Targets()[0])
		is.NoErr(err)
		is.True(!leads) // demoted by a host that read the lease
		c.restart(0)
		c.restart(other)
		time.Sleep(6 * time.Second)
		is.Equal(len(w.lost(is)), 0)
	})
}
