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

// A claim that is released without an order does not end an order with a reserved lease.
func TestReleasedClaimDoesNotEndAReservedOrder(t *testing.T) {
	for _, released := range []bool{false, true} {
		t.Run(fmt.Sprint(released), func(t *testing.T) {
			runWithHosts(t, 3, 1, func(ctx context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				// The host reserves the lease by then.
				time.Sleep(40 * time.Second)
				stop := c.staggered(4)
				time.Sleep(2 * time.Second)
				c.store.SetDown(true)
				c.group.DelayOrder(8 * time.Second)
				c.group.SetPartitioned(0, qgroup.AllHosts, true)
				// The host sends its order some 1.2 s after that, and gets no answer.
				time.Sleep(1800 * time.Millisecond)
				is.Equal(len(c.group.Orders()), 0)
				is.True(c.group.ReceivePaused(1))
				c.group.Crash(2)
				c.group.Start(2)
				if released {
					// Another host claims the lease and finds that the leader is back.
					c.store.SetDown(false)
					l, now, err := c.store.Read(ctx, "g")
					is.NoErr(err)
					l, err = c.store.Write(ctx, l.WithClaim("host-9", now))
					is.NoErr(err)
					_, err = c.store.Write(ctx, l.WithDone())
					is.NoErr(err)
				}
				c.group.SetPartitioned(0, qgroup.AllHosts, false)
				c.store.SetDown(false)
				time.Sleep(12 * time.Second)
				acknowledged := stop()
				is.Equal(len(c.lostOf(acknowledged)), 0)
			})
		})
	}
}

// The holder of a reserved lease ends after an order without an answer; another host starts.
func TestReservedOrderOfAnEndedHostLosesNoWrites(t *testing.T) {
	for _, up := range []bool{false, true} {
		t.Run(fmt.Sprint(up), func(t *testing.T) {
			runWithHosts(t, 3, 1, func(ctx context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				time.Sleep(40 * time.Second)
				warm := c.staggered(2)
				time.Sleep(2 * time.Second)
				c.store.SetDown(true)
				c.group.DelayOrder(8 * time.Second)
				c.group.SetPartitioned(0, qgroup.AllHosts, true)
				time.Sleep(1800 * time.Millisecond)
				is.True(c.group.ReceivePaused(1))
				c.stopHosts[0]()
				warm()
				c.group.Crash(2)
				c.group.Start(2)
				if up {
					c.store.SetDown(false)
				}
				c.group.SetPartitioned(0, qgroup.AllHosts, false)
				c.startHost(ctx)
				stop, ended := make(chan struct{}), make(chan struct{})
				var acknowledged []string
				cl := c.newClient(1, "primary")
				go func() {
					defer close(ended)
					for k := 0; ; k++ {
						select {
						case <-stop:
							return
						default:
						}
						if cl.run(stmt.Write, "late", fmt.Sprint(k)).OK() {
							acknowledged = append(acknowledged, fmt.Sprintf("late %d", k))
						}
						time.Sleep(5 * time.Millisecond)
					}
				}()
				time.Sleep(8 * time.Second)
				c.store.SetDown(false)
				time.Sleep(6 * time.Second)
				close(stop)
				<-ended
				time.Sleep(2 * time.Second)
				is.Equal(len(c.lostOf(acknowledged)), 0)
			})
		})
	}
}

// Commits of a host that starts are not lost when the leader and a replica restart and the lease row is empty.
func TestRestoreDuringAnOrderLosesNoWrites(t *testing.T) {
	for _, ms := range []int{100, 100, 400, 400} {
		t.Run(fmt.Sprint(ms), func(t *testing.T) {
			runWithHosts(t, 3, 3, func(_ context.Context, t *testing.T, c *testCluster) {
				is := is.New(t)
				c.introduce()
				c.store.Copy()
				stop := c.staggered(4)
				time.Sleep(4 * time.Second)
				c.store.SetReadTime(60 * time.Millisecond)
				c.group.DelayOrder(3 * time.Second)
				c.group.SetPartitioned(0, qgroup.AllHosts, true)
				l, other := c.awaitOrder(is)
				time.Sleep(time.Duration(ms) * time.Millisecond)
				c.store.Restore()
				c.noteEra()
				for h := range 3 {
					if l.Holder == fmt.Sprintf("host-%d", h) {
						c.stopHosts[h]()
					}
				}
				c.restart(other)
				c.group.SetPartitioned(0, qgroup.AllHosts, false)
				time.Sleep(9 * time.Second)
				acknowledged := stop()
				is.Equal(len(c.lostOf(acknowledged)), 0)
			})
		})
	}
}
