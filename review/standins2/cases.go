package main

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"time"
)

// setUp starts the stand-ins and hosts, and waits until the hosts are ready and have been in
// touch for a while.
func (t *trial) setUp(hosts int) error {
	return t.setUpWith(hosts, defaultConfig())
}

// setUpWith is like setUp, with a configuration.
func (t *trial) setUpWith(hosts int, c config) error {
	const settle = 6 * time.Second
	var err error
	if t.platform, err = newPlatform(c); err != nil {
		return err
	}
	if t.group, err = t.newGroup(); err != nil {
		return err
	}
	zones := []string{"brno-a", "praha-a", "ostrava-a"}
	for i := range hosts {
		if _, err := t.newHost("front-"+strconv.Itoa(i+1), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for _, h := range t.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settle)
	return nil
}

// failedSet runs two sessions with other values for one name, while the primary fails a part of
// its requests.
func failedSet(t *trial) (bool, error) {
	if err := t.setUp(1); err != nil {
		return false, err
	}
	const failing, rounds = 0.4, 150
	random := rand.New(rand.NewPCG(1, 1))
	if t.trouble {
		t.group.refuse = func(member int, _ string) string {
			t.group.mu.Lock()
			defer t.group.mu.Unlock()
			if member == 0 && random.Float64() < failing {
				return "FAILED"
			}
			return ""
		}
	}
	var sessions []*client
	for _, schema := range []string{"brno", "praha"} {
		c, err := t.connect("session-"+schema, t.hosts[0].front, primaryRoute)
		if err != nil {
			return false, err
		}
		defer c.close()
		if !c.set("schema", schema) {
			return false, errors.New("SET was refused")
		}
		sessions = append(sessions, c)
	}
	for i := range rounds {
		for _, c := range sessions {
			c.query("WRITE item" + strconv.Itoa(i) + " " + c.values["schema"])
		}
	}
	return len(t.group.violations()) > 0, nil
}
