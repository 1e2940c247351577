package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryHosts is the number of hosts, and loadedHosts how many of them the clients use.
	memoryHosts, loadedHosts = 6, 2
	// neededEnds is how often processes have to end on a machine for the rule to be broken.
	neededEnds = 3
	// sessions is the number of sessions at each of these hosts, of which starting may start at
	// a time.
	sessions, starting = 72, 3
	// values is the number of a session's values, and largeBytes the length of a large one. A
	// session may keep 8 MiB of values, and a message may have 1 MiB.
	values, largeBytes = 7, 1<<20 - 256
	// workPause is the pause between two statements of an open transaction. It is well below
	// TransactionIdleMs.
	workPause = 700 * time.Millisecond
	// memoryTime is how long the clients work.
	memoryTime = 85 * time.Second
)

// playMemory lets sessions at two hosts set values, open a transaction, set the same values to
// short texts, and go on working. With trouble the first texts are nearly 1 MiB long, which is
// legal. The rule Fault is broken if the processes of both hosts end three times.
func playMemory(ctx context.Context, rec *record, trouble bool) (bool, error) {
	ctx, stop := context.WithCancel(ctx)
	c, err := newCluster(ctx, rec, memoryHosts, groupSize)
	if c != nil {
		defer c.wait()
	}
	defer stop()
	if err != nil {
		return false, err
	}
	large := "short"
	if trouble {
		large = strings.Repeat("x", largeBytes)
	}
	playing, end := context.WithTimeout(ctx, memoryTime)
	defer end()
	var clients sync.WaitGroup
	loads := make([]load, loadedHosts)
	for i := range loads {
		l := &loads[i]
		l.host, l.large, l.turns = c.hosts[i], large, make(chan struct{}, starting)
		for n := range sessions {
			clients.Go(func() { l.keep(playing, n) })
		}
	}
	for playing.Err() == nil {
		time.Sleep(time.Second)
		enough := true
		for i := range loads {
			l := &loads[i]
			memory, peak, kills, ends := l.host.state()
			rec.note("%s: memory %d MB, most %d MB, killed %d times, other ends %d; sessions open %d, opened %d, refused %d, statements answered %d",
				l.host.name, memory, peak, kills, ends, l.open.Load(), l.opened.Load(), l.refused.Load(), l.answered.Load())
			enough = enough && kills+ends >= neededEnds
		}
		if enough {
			end()
		}
	}
	clients.Wait()
	faulty, answered := 0, int64(0)
	for i := range loads {
		_, _, kills, ends := loads[i].host.state()
		answered += loads[i].answered.Load()
		if kills+ends >= neededEnds {
			faulty++
		}
	}
	if answered == 0 {
		return false, errors.New("no statement was answered")
	}
	return faulty >= loadedHosts, ctx.Err()
}

// load is the work of the clients at one host.
type load struct {
	host  *host
	large string
	// turns bounds the sessions that set their values at the same time.
	turns                           chan struct{}
	open, opened, refused, answered atomic.Int64
}

// keep runs one session after the other. A client whose session ends connects again.
func (l *load) keep(ctx context.Context, number int) {
	for ctx.Err() == nil {
		if err := l.session(ctx, number); err != nil {
			l.refused.Add(1)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// session sets values, opens a transaction, sets the values anew, and works in the transaction
// until the context or the session ends.
func (l *load) session(ctx context.Context, number int) error {
	database := fmt.Sprintf("primary-g%d", number%3+1)
	begin := "BEGIN"
	if number%2 == 1 {
		database, begin = fmt.Sprintf("bounded-g%d", number%3+1), "BEGIN READ"
	}
	c, err := l.start(ctx, database, begin)
	if err != nil {
		return err
	}
	defer c.close()
	l.open.Add(1)
	defer l.open.Add(-1)
	l.opened.Add(1)
	for i := 0; ctx.Err() == nil; i++ {
		if err := l.run(c, fmt.Sprintf("SET value0 short%d", i)); err != nil {
			return err
		}
		time.Sleep(workPause)
	}
	return nil
}

// start opens a session with a transaction whose values are short.
func (l *load) start(ctx context.Context, database, begin string) (*client, error) {
	select {
	case l.turns <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.turns }()
	c, err := connect(ctx, l.host.front, database)
	if err != nil {
		return nil, err
	}
	var statements []string
	for i := range values {
		statements = append(statements, fmt.Sprintf("SET value%d %s", i, l.large))
	}
	statements = append(statements, begin, "READ item")
	for i := range values {
		statements = append(statements, fmt.Sprintf("SET value%d short", i))
	}
	for _, s := range statements {
		if err := l.run(c, s); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// lastID is the number of the last statement of all clients.
var lastID atomic.Int64

// run runs a statement in a session.
func (l *load) run(c *client, text string) error {
	if _, err := c.query(fmt.Sprintf("m%d", lastID.Add(1)), text); err != nil {
		return err
	}
	l.answered.Add(1)
	return nil
}
