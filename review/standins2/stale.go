package main

import (
	"strconv"
	"time"
)

// shortStaleness reads on a route with a small MaxStalenessMs, where hosts share the connections to
// members.
func shortStaleness(t *trial) (bool, error) {
	const hosts, connections, rounds, pause = 9, 8, 60, 50 * time.Millisecond
	const stalenessMs = 10
	c := defaultConfig()
	c.connections = connections
	if t.trouble {
		c.stalenessMs = stalenessMs
	}
	if err := t.setUpWith(hosts, c); err != nil {
		return false, err
	}
	t.group.lag = 150 * time.Millisecond
	writer, err := t.connect("writer", t.hosts[0].front, primaryRoute)
	if err != nil {
		return false, err
	}
	defer writer.close()
	var readers []*client
	for i, h := range t.hosts {
		r, err := t.connect("reader-"+strconv.Itoa(i+1), h.front, boundedRoute)
		if err != nil {
			return false, err
		}
		defer r.close()
		r.maxAge = time.Duration(c.stalenessMs) * time.Millisecond
		readers = append(readers, r)
	}
	for i := range rounds {
		if a := writer.query("WRITE item " + strconv.Itoa(i)); a.ok() {
			t.group.noteAcked(a.position())
		}
		for _, r := range readers {
			r.query("READ item")
		}
		time.Sleep(pause)
	}
	return len(t.group.violations()) > 0, nil
}
