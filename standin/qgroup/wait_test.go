package qgroup_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// occupy has sessions at a host hold a transaction each until a time.
func occupy(c *course, host, sessions int, until time.Duration) {
	for range sessions {
		go func() {
			k := c.client(host, "primary")
			status := reply.Idle
			for ; c.now() < until; time.Sleep(100 * time.Millisecond) {
				if status != reply.Open {
					k.run(stmt.Rollback, "", "")
					k.run(stmt.Begin, "", "")
				}
				status = k.run(stmt.Read, "a", "").Status
			}
			k.run(stmt.Rollback, "", "")
		}()
	}
}

// The platform counts a statement that no target was asked to run as held for
// too long after a quarter of its operation's aim, which is 800 ms here.
func TestRefusedSoonWhereNoConnectionComesFree(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		is := is.New(t)
		const connections, limit = 32, 200 * time.Millisecond
		occupy(c, 1, connections, c.now()+10*time.Second)
		time.Sleep(5 * time.Second)
		for _, kind := range []int{stmt.Write, stmt.Read} {
			began := c.now()
			r := c.client(0, "primary").run(kind, "a", "b")
			is.True(r.Code.NotRun())
			is.True(c.now()-began <= limit)
		}
	})
}

// After a start every connection has to be opened first; that is no want of
// capacity, and nobody is sent away for it.
func TestNobodyIsRefusedWhileConnectionsAreOpened(t *testing.T) {
	play(t, func(t *testing.T, c *course) {
		c.band.SetStatementTime(30 * time.Millisecond)
		c.band.SetConnectTime(250 * time.Millisecond)
		var all sync.WaitGroup
		for range 8 {
			for _, kind := range []int{stmt.Write, stmt.Read} {
				all.Go(func() {
					if r := c.client(0, "primary").run(kind, "a", "b"); !r.OK() {
						t.Errorf("%s: %s", r.Code.Name(), r.Reason)
					}
				})
			}
		}
		all.Wait()
	})
}
