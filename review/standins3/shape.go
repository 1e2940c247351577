package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ordinaryShape is what the ordinary clients prepare. It has blanks, which the last field of a
	// message may have.
	ordinaryShape = "size of crew member by base"
	// shapeRounds is the number of rounds. In each, every host serves one session of the other
	// client and then one of the ordinary client.
	shapeRounds = 20
)

// playShape lets two clients prepare statements of different shapes and execute them. With trouble
// the other client's shape is the short name that hosts give to the ordinary client's shape. The
// rule PINNED is broken if a member runs another shape than the client prepared.
func playShape(ctx context.Context, rec *record, trouble bool) (bool, error) {
	ctx, stop := context.WithCancel(ctx)
	c, err := newCluster(ctx, rec, 3, groupSize)
	if c != nil {
		defer c.wait()
	}
	defer stop()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := map[string]string{}
	for _, g := range c.groups {
		g.OnStatement = func(id string, _ map[string]string, shape string) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = shape
		}
	}
	otherShape := "q2c"
	if trouble {
		otherShape = strconv.FormatUint(xxhash.Sum64String(ordinaryShape), 36)
	}
	prepared := map[string]string{}
	answered := 0
	for round := range shapeRounds {
		for _, h := range c.hosts {
			for _, s := range []struct{ client, shape string }{{"other", otherShape}, {"ordinary", ordinaryShape}} {
				for _, kind := range []string{"READ", "WRITE"} {
					id := fmt.Sprintf("%s-%s-%s-%d", s.client, kind, h.name, round)
					prepared[id] = s.shape
					answer, err := executeOnce(ctx, h.front, id, kind, s.shape)
					mu.Lock()
					rec.note("%s: %s prepared %s %q; EXECUTE %s: ran %q, answered %q, error %v", h.name, s.client, kind, s.shape, id, ran[id], answer, err)
					mu.Unlock()
					if err == nil {
						answered++
					}
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if answered == 0 {
		return false, errors.New("no statement was answered")
	}
	mu.Lock()
	defer mu.Unlock()
	wrong := 0
	for id, shape := range ran {
		if want, ok := prepared[id]; ok && want != shape {
			wrong++
		}
	}
	rec.note("%d of %d executions ran another shape than their client prepared", wrong, len(ran))
	return wrong > 0, nil
}

// executeOnce prepares a statement in a session of its own, and executes it with an id.
func executeOnce(ctx context.Context, address, id, kind, shape string) (string, error) {
	c, err := connect(ctx, address, "primary-g1")
	if err != nil {
		return "", err
	}
	defer c.close()
	if _, err := c.query(id+"-p", "PREPARE s1 "+kind+" "+shape); err != nil {
		return "", err
	}
	text := "EXECUTE s1 1a4"
	if kind == "WRITE" {
		text += " xkqpwnzd"
	}
	return c.query(id, text)
}
