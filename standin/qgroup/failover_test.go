package qgroup_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/runner"
	"github.com/pistachiotray/pistachiotray/process/meter"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// runOnVirtualClock runs f on a virtual clock with a group of three members and two
// hosts. At the end it removes the targets and waits for all goroutines, as synctest
// requires.
func runOnVirtualClock(t *testing.T, f func(t *testing.T, c *testCluster)) {
	t.Helper()
	runWithMembers(t, 3, func(_ context.Context, t *testing.T, c *testCluster) { f(t, c) })
}

// runWithMembers is like runOnVirtualClock, with a group of n members. Those after the
// third are down at first. The context ends before the targets are removed.
func runWithMembers(t *testing.T, n int, f func(ctx context.Context, t *testing.T, c *testCluster)) {
	t.Helper()
	runWithHosts(t, n, 2, f)
}

// runWithHosts is like runWithMembers, with the given number of hosts and a group with options.
func runWithHosts(t *testing.T, n, hosts int, f func(ctx context.Context, t *testing.T, c *testCluster), options ...func(*qgroup.Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		group := qgroup.New("g", n, options...)
		for i := 3; i < n; i++ {
			group.Crash(i)
		}
		c := newTestClusterOf(ctx, t, group, hosts)
		c.group.OnStatement = func(string, map[string]string, string) {}
		time.Sleep(time.Second)
		defer func() {
			stop()
			for _, h := range c.hosts {
				h.replicaSet.Update(nil, target.Target{}, 1)
			}
			time.Sleep(time.Minute)
		}()
		f(ctx, t, c)
	})
}

// client is a session at one host.
type client struct {
	cluster    *testCluster
	runner     *runner.Runner
	statements int
}

func (c *testCluster) newClient(host int, database string) *client {
	return &client{cluster: c, runner: runner.New(caller.New(fmt.Sprintf("c%d", host), database), c.hosts[host], meter.New(zap.NewNop()), c.now)}
}

func (cl *client) run(kind int, name, rest string) reply.Reply {
	cl.statements++
	s := stmt.New(fmt.Sprintf("q%d", cl.statements), kind, "").WithName(name, rest).WithArrived(cl.cluster.now())
	return cl.runner.Run(context.Background(), s)
}

// writeUntilOK repeats a write until it succeeds. It returns how long that took, or
// false if no write succeeded within the limit.
func (cl *client) writeUntilOK(limit time.Duration) (time.Duration, bool) {
	start := cl.cluster.now()
	for cl.cluster.now()-start < limit {
		if cl.run(stmt.Write, "a", "b").OK() {
			return cl.cluster.now() - start, true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, false
}

// writeFor writes at a host for a duration and returns how many writes were
// acknowledged.
func (cl *client) writeFor(d time.Duration) int {
	acknowledged := 0
	for end := cl.cluster.now() + d; cl.cluster.now() < end; time.Sleep(5 * time.Millisecond) {
		if cl.run(stmt.Write, "a", "a").OK() {
			acknowledged++
		}
	}
	return acknowledged
}

// maxWriteGap is the promised maximum duration of a failover: the time from the last write
// that the failed primary answers to the first write that its successor answers.
const maxWriteGap = 3 * time.Second

func TestWriteGapOfAFailover(t *testing.T) {
	for name, fail := range map[string]func(g *qgroup.Group){
		"silent":  func(g *qgroup.Group) { g.SetSilent(0, true) },
		"crashed": func(g *qgroup.Group) { g.Crash(0) },
	} {
		t.Run(name, func(t *testing.T) {
			runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
				is := is.New(t)
				cl := c.newClient(0, "primary")
				is.True(cl.run(stmt.Write, "a", "a").OK())
				fail(c.group)
				gap, ok := cl.writeUntilOK(2 * maxWriteGap)
				is.True(ok)
				if gap > maxWriteGap {
					t.Errorf("no write for %v, want %v or less", gap, maxWriteGap)
				}
			})
		})
	}
}

// If the nearest replica goes silent, another member must answer a read within the
// route's timeout of 1 s.
func TestReadIsRetriedWhenItsReplicaGoesSilent(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(1, "bounded")
		r := cl.run(stmt.Read, "a", "")
		is.True(r.OK())
		is.True(strings.HasPrefix(r.Signature, "g-1")) // the nearest replica
		c.group.SetSilent(1, true)
		start := c.now()
		r = cl.run(stmt.Read, "a", "")
		is.True(r.OK())
		is.True(c.now()-start < time.Second)
	})
}

// A read that was sent but not answered may have run. If its retries at other
// targets are refused, the caller must still not be told that it did not run.
func TestReadWithLostAnswerIsNotReportedAsNotRun(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(1, "session")
		c.group.SetReceiveBlocked(1, true) // the nearest replica lacks the session's writes
		is.True(cl.run(stmt.Write, "a", "b").OK())
		// The other replica restarts with an empty log, and the leader is down.
		c.group.Crash(2)
		c.group.SetReceiveBlocked(2, true)
		c.group.StartEmpty(2)
		c.group.Crash(0)
		time.Sleep(300 * time.Millisecond)
		c.group.LoseAnswers(1)
		r := cl.run(stmt.Read, "a", "")
		is.True(!r.OK())
		is.True(!r.Code.NotRun())
	})
}

// Hosts reserve leases in advance, so that a failover works while the lease
// store is down.
func TestFailoverWhileTheLeaseStoreIsDown(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		time.Sleep(5 * time.Second)
		is.True(cl.run(stmt.Write, "a", "a").OK())
		c.store.SetDown(true)
		c.group.SetSilent(0, true)
		gap, ok := cl.writeUntilOK(2 * maxWriteGap)
		is.True(ok)
		if gap > maxWriteGap {
			t.Errorf("no write for %v, want %v or less", gap, maxWriteGap)
		}
		is.Equal(len(slices.Compact(c.group.Orders())), 1) // all orders have the same target
	})
}

// A planned handover fails no write, apart from those whose outcome is unknown.
func TestWritesSucceedDuringAHandover(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		is.True(cl.run(stmt.Write, "a", "a").OK())
		c.group.SetLeaving(0, true)
		for end := c.now() + 3*time.Second; c.now() < end; time.Sleep(15 * time.Millisecond) {
			if r := cl.run(stmt.Write, "a", "b"); !r.OK() && r.Code != code.OutcomeUnknown {
				t.Errorf("a write during the handover: %s", r.Code.Name())
			}
		}
		is.True(c.group.Leader() != 0)
	})
}

// A target is promoted some time after the order was accepted, with the log that
// it has at the promotion. No replica may receive entries between the order and
// the promotion: the old leader could confirm writes that the new leader lacks.
func TestReplicasStayPausedUntilThePromotion(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		is.True(cl.run(stmt.Write, "a", "a").OK())
		// The leader is up and reaches the replicas, but neither host reaches it.
		c.group.SetPartitioned(0, qgroup.AllHosts, true)
		go cl.writeUntilOK(4 * time.Second)
		for end := c.now() + 5*time.Second; c.now() < end && c.group.Leader() == 0; time.Sleep(time.Millisecond) {
			if len(c.group.Orders()) == 0 {
				continue
			}
			for i := 1; i < 3; i++ {
				if !c.group.ReceivePaused(i) && c.group.Leader() == 0 {
					t.Fatalf("member %d receives entries at %v, after the order and before the promotion", i, c.now())
				}
			}
		}
		is.True(c.group.Leader() != 0)
	})
}

// An order without an answer may still be carried out. The next order must
// therefore have the same target, and the replicas stay paused until then.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		is.True(cl.run(stmt.Write, "a", "a").OK())
		c.group.DelayOrder(4 * time.Second)
		c.group.SetSilent(0, true)
		_, ok := cl.writeUntilOK(10 * time.Second)
		is.True(ok)
		time.Sleep(6 * time.Second)
		orders := slices.Compact(c.group.Orders())
		is.Equal(len(orders), 1) // one target, however often it was ordered
	})
}

// A demoted leader may have entries that no replica received. They were never
// acknowledged, and must not make it the target of the next order while the order for
// another target may still be carried out.
func TestUnansweredOrderIsRepeatedAfterADemotion(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		is.True(cl.run(stmt.Write, "a", "a").OK())
		for range 2 {
			c.group.DelayOrder(4 * time.Second)
		}
		c.group.SetReceiveBlocked(1, true)
		c.group.SetReceiveBlocked(2, true)
		_, ok := cl.writeUntilOK(12 * time.Second)
		is.True(ok)
		time.Sleep(6 * time.Second)
		orders := slices.Compact(c.group.Orders())
		is.Equal(len(orders), 1)
		is.True(orders[0] != "g-0")
	})
}

// Writes that time out because they are slow don't count as a stalled leader.
func TestSlowWritesCauseNoFailover(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		c.group.SetStatementTime(1200 * time.Millisecond) // longer than the route's timeout
		cl := c.newClient(0, "primary")
		for end := c.now() + 8*time.Second; c.now() < end; {
			is.True(!cl.run(stmt.Write, "a", "b").OK())
		}
		is.Equal(len(c.group.Orders()), 0)
	})
}

// A leader whose commits reach no replica is replaced, although it answers.
func TestStalledReplicationCausesFailover(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		is.True(cl.run(stmt.Write, "a", "a").OK())
		c.group.SetReceiveBlocked(1, true)
		c.group.SetReceiveBlocked(2, true)
		_, ok := cl.writeUntilOK(10 * time.Second)
		is.True(ok) // the old leader is a replica now and receives the new leader's writes
	})
}

// A host that gets no registrations finds a new leader by asking the targets.
func TestLeaderIsFoundWithoutRegistrations(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(1, "primary")
		is.True(cl.run(stmt.Write, "a", "a").OK())
		c.registrationsCut[1].Store(true)
		c.group.SetSilent(0, true)
		gap, ok := cl.writeUntilOK(2 * maxWriteGap)
		is.True(ok)
		is.True(gap <= maxWriteGap)
	})
}

// If the host does not expect a leader soon, it refuses writes without waiting.
func TestWritesFailFastWithoutALeader(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		for i := range 3 {
			c.group.SetSilent(i, true)
		}
		for end := c.now() + 4*time.Second; c.now() < end; {
			cl.run(stmt.Write, "a", "b")
		}
		const latencyObjective = 800 * time.Millisecond
		start := c.now()
		r := cl.run(stmt.Write, "a", "b")
		is.True(r.Code.NotRun())
		is.True(c.now()-start < latencyObjective/4) // the platform counts longer waits as held for too long
	})
}

func TestLeavingLeaderGetsNoWorkAfterTheDrainTime(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		// All members leave, so that none can succeed the leader.
		for i := range 3 {
			c.group.SetLeaving(i, true)
		}
		time.Sleep(6 * time.Second)
		cl := c.newClient(0, "primary")
		r := cl.run(stmt.Write, "a", "b")
		is.True(r.Code.NotRun())
	})
}

func TestReadOfAnEmptyLog(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		for _, database := range []string{"primary", "bounded", "session"} {
			r := c.newClient(0, database).run(stmt.Read, "a", "")
			is.True(r.OK())
			is.True(strings.HasPrefix(r.Signature, "g-"))
		}
	})
}

func TestIdleTransactionIsRolledBack(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		cl := c.newClient(0, "primary")
		is.True(cl.run(stmt.Begin, "", "").OK())
		is.True(cl.run(stmt.Write, "a", "b").OK())
		time.Sleep(2 * time.Second)
		r := cl.run(stmt.Read, "a", "")
		is.Equal(r.Status, reply.Failed)
		r = cl.run(stmt.Commit, "", "")
		is.Equal(r.Code, code.TransactionLost)
		is.Equal(r.Status, reply.Idle)
		is.Equal(len(c.group.WriteCounts(0)), 0)
	})
}

// All targets seem silent to a host whose own network link is cut or congested.
// Such a host must not replace leaders that serve the other hosts. It orders a
// failover only if no other host does so for a while.
func TestIsolatedHostLeavesFailoverToOthersFirst(t *testing.T) {
	for name, isolated := range map[string]bool{"not isolated": false, "isolated": true} {
		t.Run(name, func(t *testing.T) {
			runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
				is := is.New(t)
				is.True(c.newClient(0, "primary").run(stmt.Write, "a", "b").OK())
				c.isolated[0].Store(isolated)
				c.group.SetPartitioned(0, 0, true)
				for range 3 {
					c.newClient(0, "primary").run(stmt.Write, "a", "b")
				}
				time.Sleep(time.Second)
				is.Equal(len(c.group.Orders()) == 0, isolated)
				is.True(!isolated || c.newClient(1, "primary").run(stmt.Write, "a", "b").OK()) // the leader serves others
				time.Sleep(10 * time.Second)
				is.True(len(c.group.Orders()) > 0) // no other host ordered a failover
			})
		})
	}
}

// Calls to the store are charged for. Hosts that see that enough others have reserved
// the lease must not read it again and again under the same leader.
func TestHostsStopReadingAReservedLease(t *testing.T) {
	const hostCount, readsPerHost = 8, 2
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		c := newTestCluster(ctx, t, hostCount)
		time.Sleep(10 * time.Minute)
		if n := c.store.Reads(); n > hostCount*readsPerHost {
			t.Errorf("%d hosts read the lease %d times under one leader", hostCount, n)
		}
		stop()
		time.Sleep(time.Minute)
	})
}
