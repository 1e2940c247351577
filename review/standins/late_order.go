package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// orderDelay is how much later than it is sent an order is carried out.
	orderDelay = 8 * time.Second
	// hostDown is how long a host is without power.
	hostDown = 3500 * time.Millisecond
	// maxPrimaryDown is the longest time for which a primary is down.
	maxPrimaryDown = 5 * time.Second
)

// lateOrder lets the primary of one group after another crash for some seconds. With
// trouble, the order of the host that replaces it gets no answer and is carried out late,
// the host loses power, and another replica restarts once the primary is back. lateOrder
// returns the number of acknowledged writes that the promoted members lack.
func lateOrder(ctx context.Context, c *cluster, trouble bool, until time.Time) int {
	w := &orderWatch{orders: make(chan order, 1)}
	c.onCall = w.call
	const roundTime = 25 * time.Second
	for round := 0; time.Until(until) > roundTime && ctx.Err() == nil; round++ {
		d := c.groups[round%groupCount]
		leader := d.Leader()
		c.record.add("round %d: member %d of %s leads and crashes", round+1, leader, d.name)
		w.await(d.name)
		if trouble {
			d.DelayOrder(orderDelay)
		}
		d.doors[leader].shut()
		var o order
		select {
		case o = <-w.orders:
			c.record.add("%s orders %s of %s to lead", o.host.name, o.target, d.name)
		case <-time.After(maxPrimaryDown):
			c.record.add("no order")
		}
		if trouble && o.host != nil {
			time.Sleep(100 * time.Millisecond)
			c.losePower(ctx, o.host)
		}
		time.Sleep(100 * time.Millisecond)
		c.record.add("member %d of %s is back", leader, d.name)
		d.restart(leader)
		if trouble && o.host != nil {
			time.Sleep(400 * time.Millisecond)
			for i := range memberCount {
				if i != leader && fmt.Sprintf("%s-%d", d.name, i) != o.target {
					c.record.add("member %d of %s crashes for 0.3 s", i, d.name)
					d.doors[i].shut()
					time.Sleep(300 * time.Millisecond)
					d.restart(i)
				}
			}
		}
		time.Sleep(orderDelay + time.Second)
		c.record.add("member %d of %s leads", d.Leader(), d.name)
		if c.lost() > 0 {
			break
		}
	}
	return c.lost()
}

// restart starts a member whose door is shut as a new process with its log. The new
// process has forgotten an order to stop receiving.
func (d *database) restart(i int) {
	d.Crash(i)
	d.Start(i)
	// The port is one that this process has just closed.
	_ = d.doors[i].open()
}

// losePower kills a host and starts it again after hostDown.
func (c *cluster) losePower(ctx context.Context, h *host) {
	c.signal(h, syscall.SIGKILL)
	<-h.exited
	c.restarts.Go(func() {
		select {
		case <-time.After(hostDown):
		case <-ctx.Done():
			return
		}
		if err := c.start(h); err != nil {
			c.record.add("%s not started: %v", h.name, err)
		}
	})
}

// order is an order to lead that a host sent.
type order struct {
	host   *host
	target string
}

// orderWatch passes on the first order for a group.
type orderWatch struct {
	mu     sync.Mutex
	group  string
	orders chan order
}

// await makes the watch pass on the next order for a group.
func (w *orderWatch) await(group string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.group = group
}

func (w *orderWatch) call(h *host, path string, body []byte) {
	var call struct {
		ServiceName string
		ID          string `json:"Id"`
	}
	if path != "/promotion" || json.Unmarshal(body, &call) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if call.ServiceName == w.group {
		w.group = ""
		w.orders <- order{h, call.ID}
	}
}
