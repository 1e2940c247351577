package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// busyStop stops a host while sessions use their connections without a rest.
func busyStop(t *trial) (bool, error) {
	if err := t.setUp(2); err != nil {
		return false, err
	}
	const sessions, work, rest = 20, 20 * time.Millisecond, 10 * time.Millisecond
	const warmUp, watched, recorded = 2 * time.Second, 8 * time.Second, 5 * time.Second
	// Requests count that were sent later than excused after the signal, and cut within counted.
	const excused, counted = 3 * time.Second, 7 * time.Second
	var signaled atomic.Int64
	t.group.work = func(string) time.Duration { return work + rand.N(2*work) }
	stopped := t.hosts[0]
	var lost, closed atomic.Int64
	var running sync.WaitGroup
	var over atomic.Bool
	for i := range sessions {
		database := []string{primaryRoute, ownRoute}[i%2]
		c, err := t.connect("session-"+strconv.Itoa(i), stopped.front, database)
		if err != nil {
			return false, err
		}
		defer c.close()
		running.Go(func() {
			for n := 0; !over.Load(); n++ {
				text := "READ item" + strconv.Itoa(n)
				if n%3 == 0 {
					text = fmt.Sprintf("WRITE item%d-%d x", i, n)
				}
				sent := time.Now()
				id, a, err := c.ask(text)
				at := time.Unix(0, signaled.Load())
				if err != nil && (!t.group.hasArrived(id) || sent.Sub(at) < excused || time.Since(at) > counted) {
					closed.Add(1)
					return
				}
				if err != nil {
					lost.Add(1)
					t.add("LOST: %s %s was passed on to a member and not answered: %v", id, text, err)
					return
				}
				if !a.ok() {
					time.Sleep(work)
				}
				time.Sleep(rest)
			}
		})
	}
	t.add("the sessions have begun; their statements are recorded from %v after the signal on", recorded)
	t.mute(true)
	time.Sleep(warmUp)
	t.mute(false)
	if t.trouble {
		signaled.Store(time.Now().UnixNano())
		stopped.signal(syscall.SIGTERM)
	}
	t.mute(true)
	time.Sleep(recorded)
	t.mute(false)
	time.Sleep(watched - recorded)
	over.Store(true)
	running.Wait()
	t.add("sessions %d, closed without a request under way %d, requests lost %d", sessions, closed.Load(), lost.Load())
	return lost.Load() > 0, nil
}
