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

// When all connections are occupied, a statement must be refused within a quarter
// of its latency objective of 800 ms. The platform counts a statement that waits
// longer without being sent to a target as held for too long.
func TestStatementsFailFastWithoutAFreeConnection(t *testing.T) {
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		const connections, limit = 32, 200 * time.Millisecond
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
