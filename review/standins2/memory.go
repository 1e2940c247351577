package main

import (
	"errors"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// killsAllowed is how often the processes of a machine may end in a day before the rule is broken.
const killsAllowed = 3

// largeAnswers reads an item with many rows, again and again and at one host after the other. A
// process that exceeds the memory of its machine is killed and started again.
func largeAnswers(t *trial) (bool, error) {
	const hosts, rowBytes, fewRows, manyRows = 2, 1000, 100, 120_000
	const reads, watched, pause = 20, 80 * time.Second, 200 * time.Millisecond
	if err := t.setUp(hosts); err != nil {
		return false, err
	}
	count, row := fewRows, strings.Repeat("x", rowBytes)
	if t.trouble {
		count = manyRows
	}
	t.group.rows = func(item string) (int, string) {
		if item == "garments" {
			return count, row
		}
		return 0, ""
	}
	kills := make([]chan int, hosts)
	over := make(chan struct{})
	for i, h := range t.hosts {
		kills[i] = make(chan int, 1)
		go func() { kills[i] <- h.superviseMemory(over) }()
	}
	served := 0
	for i, end := 0, time.Now().Add(watched); i < reads && time.Now().Before(end); i++ {
		h := t.hosts[i%hosts]
		if err := h.awaitReady(); err != nil {
			return false, err
		}
		c, err := t.connect("session-"+strconv.Itoa(i), h.front, ownRoute)
		if err != nil {
			t.add("%v", err)
			continue
		}
		if c.query("READ garments").rows == count {
			served++
		}
		c.close()
		time.Sleep(pause)
	}
	close(over)
	broken := true
	for i := range kills {
		n := <-kills[i]
		t.add("%s: killed %d times", t.hosts[i].name, n)
		broken = broken && n >= killsAllowed
	}
	t.add("reads served in full: %d", served)
	if served == 0 && !t.trouble {
		return false, errors.New("no read was served")
	}
	return broken, nil
}

// superviseMemory does what the platform does with a process that exceeds the memory of its
// machine: it kills the process and starts it again. It returns how often, once over is closed.
func (h *host) superviseMemory(over <-chan struct{}) int {
	const interval, restartPause = 5 * time.Millisecond, 500 * time.Millisecond
	kills := 0
	for {
		select {
		case <-over:
			return kills
		case <-time.After(interval):
		}
		if mb := h.residentMb(); mb > memoryMb {
			kills++
			h.trial.add("%s uses %d MB of %d MB", h.name, mb, memoryMb)
			h.signal(syscall.SIGKILL)
			<-h.ended()
			time.Sleep(restartPause)
			if err := h.start(false); err != nil {
				h.trial.add("%s not started: %v", h.name, err)
				return kills
			}
		}
	}
}
