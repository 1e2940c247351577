package qgroup_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// claimed reports whether the lease store has a claim that was not made in advance.
func (c *testCluster) claimed() bool {
	l, _, err := c.store.Read(c.ctx, "g")
	return err == nil && !l.Free()
}

func TestClaimThatTheStoreLostIsNotTakenOver(t *testing.T) {
	const holdTime = 2900 * time.Millisecond
	runOnVirtualClock(t, func(t *testing.T, c *testCluster) {
		is := is.New(t)
		clients := []*client{c.newClient(0, "primary"), c.newClient(1, "primary")}
		for _, cl := range clients {
			is.True(cl.run(stmt.Write, "a", "a").OK())
		}
		c.store.Copy()
		c.group.DelayOrder(time.Hour)
		c.group.SetSilent(0, true)
		var writes sync.WaitGroup
		for _, cl := range clients {
			writes.Go(func() { cl.writeUntilOK(20 * time.Second) })
		}
		for !c.claimed() {
			time.Sleep(time.Millisecond)
		}
		c.store.Restore()
		restored := c.now()
		time.AfterFunc(500*time.Millisecond, c.noteEra)
		for !c.claimed() && c.now() < restored+10*time.Second {
			time.Sleep(time.Millisecond)
		}
		is.True(c.claimed())
		is.True(c.now()-restored > holdTime)
		writes.Wait()
	})
}
