package qgroup_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// A host that noted one stalled write and doubted the leader must write again.
func TestOneStalledWriteEndsTheDoubt(t *testing.T) {
	for _, ms := range []int{900, 1000, 1050, 1100, 1150, 1200, 1250, 1300} {
		t.Run(fmt.Sprint(ms), func(t *testing.T) {
			runWithHosts(t, 3, 2, func(_ context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				c.introduce()
				cl := c.newClient(0, "primary")
				is.True(cl.writeFor(2*time.Second) > 10)
				done := make(chan struct{})
				go func() { defer close(done); cl.run(stmt.Write, "a", "x") }()
				time.Sleep(time.Millisecond)
				c.group.SetSilent(0, true)
				time.Sleep(time.Duration(ms) * time.Millisecond)
				c.group.SetSilent(0, false)
				<-done
				_, ok := cl.writeUntilOK(30 * time.Second)
				is.True(ok)
			})
		})
	}
}

// A leader that leaves and was doubted must serve until it is handed over.
func TestLeavingLeaderIsTrustedAgain(t *testing.T) {
	for _, blip := range []bool{false, true} {
		t.Run(fmt.Sprint(blip), func(t *testing.T) {
			runWithHosts(t, 3, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				c.introduce()
				w := c.startWriters(ctx)
				time.Sleep(time.Second)
				calm := w.countFor(5 * time.Second)
				// A silent replica that may come back: the handover is not possible.
				c.group.SetSilent(2, true)
				time.Sleep(time.Second)
				c.group.SetLeaving(0, true)
				time.Sleep(100 * time.Millisecond)
				if blip {
					c.group.SetPartitioned(0, qgroup.AllHosts, true)
					time.Sleep(700 * time.Millisecond)
					c.group.SetPartitioned(0, qgroup.AllHosts, false)
				}
				// The hosts write as often as before, apart from one write each.
				is.True(w.countFor(5*time.Second) >= calm-len(c.hosts))
				c.group.SetSilent(2, false)
				time.Sleep(5 * time.Second)
				is.Equal(len(w.lost(is)), 0)
			})
		})
	}
}

// An open transaction at a leader that lost its registration is not committed during its replacement.
func TestOpenTransactionAtAnUnregisteredLeaderLosesNothing(t *testing.T) {
	runWithHosts(t, 3, 3, func(_ context.Context, t *testing.T, c *testCluster) {
		is := is.New(t)
		c.introduce()
		time.Sleep(3 * time.Second)
		is.True(c.newClient(0, "primary").writeFor(time.Second) > 10)
		cl := c.newClient(1, "primary")
		is.True(cl.run(stmt.Begin, "", "").OK())
		is.True(cl.run(stmt.Write, "tx", "0").OK())
		c.group.SetRefusing(0, qgroup.AllHosts, true)
		c.group.SetUnregistered(0, true)
		c.group.DelayOrder(600 * time.Millisecond)
		ordered := make(chan int, 1)
		go func() { _, other := c.awaitOrder(is); ordered <- other }()
		for waiting := true; waiting; {
			select {
			case other := <-ordered:
				c.restart(other)
				time.Sleep(50 * time.Millisecond)
				waiting = false
			case <-time.After(200 * time.Millisecond):
				cl.run(stmt.Read, "tx", "") // keeps the transaction from being idle for too long
			}
		}
		r := cl.run(stmt.Commit, "", "")
		time.Sleep(5 * time.Second)
		n := c.group.WriteCounts(c.group.Leader())["tx 0"]
		is.True(!r.OK() || n == 1)
	})
}

// A host that starts while the leader's successor is ordered sends that leader no commits.
func TestHostThatStartsDuringAnOrderLosesNoWrites(t *testing.T) {
	for _, introduce := range []bool{false, true} {
		for _, ms := range []int{0, 100, 300} {
			t.Run(fmt.Sprint(introduce, ms), func(t *testing.T) {
				runWithHosts(t, 3, 3, func(ctx context.Context, t *testing.T, c *testCluster) {
					is := is.New(t)
					c.introduce()
					w := c.startWriters(ctx)
					time.Sleep(2 * time.Second)
					c.store.SetReadTime(60 * time.Millisecond)
					c.group.DelayOrder(600 * time.Millisecond)
					for h := range 3 {
						c.group.SetPartitioned(0, h, true)
					}
					_, other := c.awaitOrder(is)
					time.Sleep(time.Duration(ms) * time.Millisecond)
					c.restart(other)
					c.startHost(ctx)
					if introduce {
						c.introduce()
					}
					cl := c.newClient(3, "primary")
					var late []string
					for end := c.now() + 5*time.Second; c.now() < end; time.Sleep(5 * time.Millisecond) {
						v := fmt.Sprint(len(late), "-", c.now())
						if cl.run(stmt.Write, "late", v).OK() {
							late = append(late, "late "+v)
						}
					}
					for h := range 3 {
						c.group.SetPartitioned(0, h, false)
					}
					time.Sleep(3 * time.Second)
					is.Equal(len(w.lost(is))+len(c.lostOf(late)), 0)
				})
			})
		}
	}
}
