package qgroup_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// holdTransactions starts sessions at a host. Each session keeps a transaction
// open, and a connection occupied, until the given time.
func holdTransactions(c *testCluster, host, sessions int, until time.Duration) {
	for range sessions {
		go func() {
			cl := c.newClient(host, "primary")
			status := reply.Idle
			for ; c.now() < until; time.Sleep(100 * time.Millisecond) {
				if status != reply.Open {
					cl.run(stmt.Rollback, "", "")
					cl.run(stmt.Begin, "", "")
				}
				status = cl.run(stmt.Read, "a", "").Status
			}
			cl.run(stmt.Rollback, "", "")
		}()
	}
}

// While all connections of a target stay occupied, a statement must be refused as not
// run before its timeout of 1 s, so that its caller can try again.
func TestStatementsAreRefusedWithoutAFreeConnection(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		const connections, limit = 32, 900 * time.Millisecond
		holdTransactions(c, 1, connections, c.now()+10*time.Second)
		time.Sleep(5 * time.Second)
		for _, kind := range []int{stmt.Write, stmt.Read} {
			start := c.now()
			r := c.newClient(0, "primary").run(kind, "a", "b")
			is.True(r.Code.NotRun())
			is.True(c.now()-start <= limit)
		}
	})
}

// If all connections of a target are occupied only for a moment, as after a restart of
// all hosts, statements must be served and not refused.
func TestStatementsAreServedAfterAShortLackOfConnections(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		const connections, callers = 32, 10
		// The other host closes its connections 300 ms after their last use.
		const lack = 100 * time.Millisecond
		holdTransactions(c, 1, connections, c.now()+5*time.Second+lack)
		go func() {
			for range 200 {
				time.Sleep(30 * time.Millisecond)
				c.hosts[1].replicaSet.Trim(0)
			}
		}()
		time.Sleep(5 * time.Second)
		var all sync.WaitGroup
		for i := range callers {
			all.Go(func() {
				kind := []int{stmt.Write, stmt.Read}[i%2]
				if r := c.newClient(0, "primary").run(kind, "a", "b"); !r.OK() {
					t.Errorf("%s: %s", r.Code.Name(), r.Reason)
				}
			})
		}
		all.Wait()
	})
}

// After a start, statements wait until connections are open. This wait must not
// count as overload and cause refusals.
func TestNoRefusalsWhileConnectionsAreOpened(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		c.group.SetStatementTime(30 * time.Millisecond)
		c.group.SetConnectTime(250 * time.Millisecond)
		var all sync.WaitGroup
		for range 8 {
			for _, kind := range []int{stmt.Write, stmt.Read} {
				all.Go(func() {
					if r := c.newClient(0, "primary").run(kind, "a", "b"); !r.OK() {
						t.Errorf("%s: %s", r.Code.Name(), r.Reason)
					}
				})
			}
		}
		all.Wait()
	})
}
