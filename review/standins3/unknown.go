package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

const (
	// writers is the number of clients that write to a group, and writeTime how long a write takes
	// at a member.
	writers, writeTime = 3, 60 * time.Millisecond
	// newMember is the index of the member that starts. It registers registerAfter later, as
	// members write to the store about every HeartbeatIntervalMs.
	newMember, registerAfter = groupSize, 4 * time.Second
	// cutAfter is when the replicas begin to receive nothing, after the start of the new member, and
	// cutTime for how long they do before the primary crashes.
	cutAfter, cutTime = 300 * time.Millisecond, 30 * time.Millisecond
	// crashTime is how long the primary is down.
	crashTime = 6 * time.Second
	// calmTime is the time before and after each round.
	calmTime = 4 * time.Second
)

// playUnknown starts a further member in one group after the other, as a release does. With trouble,
// the group's replicas then receive nothing for a moment, and the primary crashes meanwhile. The rule LOST is
// broken if a commit that was acknowledged before the crash is not in the log of the member that
// is promoted.
func playUnknown(ctx context.Context, rec *record, trouble bool) (bool, error) {
	ctx, stop := context.WithCancel(ctx)
	c, err := newCluster(ctx, rec, 3, newMember+1)
	if c != nil {
		defer c.wait()
	}
	defer stop()
	if err != nil {
		return false, err
	}
	lost, acknowledged := 0, 0
	for i := range 3 {
		name := fmt.Sprintf("g%d", i+1)
		l, n, err := c.startUnknownMember(ctx, name, c.groups[name], trouble)
		if err != nil {
			return false, err
		}
		lost, acknowledged = lost+l, acknowledged+n
	}
	if acknowledged == 0 {
		return false, errors.New("no write was acknowledged")
	}
	rec.note("%d of %d acknowledged commits are not in the log of the member that leads", lost, acknowledged)
	return lost > 0, ctx.Err()
}

// startUnknownMember plays one round with a group. It returns how many of the writes that were
// acknowledged before the crash the promoted member lacks, and how many were acknowledged.
func (c *cluster) startUnknownMember(ctx context.Context, name string, g *qgroup.Group, trouble bool) (lost, acknowledged int, err error) {
	g.SetStatementTime(writeTime)
	playing, end := context.WithCancel(ctx)
	defer end()
	w := &writes{rec: c.rec}
	var clients sync.WaitGroup
	for n := range writers {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 28 * time.Millisecond)
			w.keep(playing, c.hosts[n%len(c.hosts)].front, name, n)
		})
	}
	time.Sleep(calmTime)
	before := g.Leader()
	c.rec.note("%s: member %d leads; member %d starts and does not register yet", name, before, newMember)
	g.SetUnregistered(newMember, true)
	g.StartEmpty(newMember)
	register := time.AfterFunc(registerAfter, func() {
		g.SetUnregistered(newMember, false)
		c.rec.note("%s: member %d registers", name, newMember)
	})
	defer register.Stop()
	time.Sleep(cutAfter)
	if trouble {
		replicas := []int{(before + 1) % groupSize, (before + 2) % groupSize}
		for _, r := range replicas {
			g.SetReceiveBlocked(r, true)
		}
		time.Sleep(cutTime)
		g.Crash(before)
		c.rec.note("%s: the replicas %v have received nothing for %v; member %d crashes", name, replicas, cutTime, before)
		for _, r := range replicas {
			g.SetReceiveBlocked(r, false)
		}
		time.Sleep(crashTime)
		g.Start(before)
		c.rec.note("%s: member %d is back; member %d leads; orders %v", name, before, g.Leader(), g.Orders())
	}
	time.Sleep(calmTime)
	end()
	clients.Wait()
	counts := g.WriteCounts(g.Leader())
	for _, a := range w.acknowledged {
		if counts[a.text] == 0 {
			c.rec.note("%s: the commit of %q, acknowledged at %.3f by %s, is not in the log of member %d", name, a.text, a.at.Sub(c.rec.began).Seconds(), a.by, g.Leader())
			lost++
		}
	}
	c.rec.note("%s: %d writes acknowledged, %d of them lost", name, len(w.acknowledged), lost)
	return lost, len(w.acknowledged), nil
}

// acknowledgement is a write that was acknowledged, as "ITEM VALUE".
type acknowledgement struct {
	text, by string
	at       time.Time
}

// writes are the writes of a group's clients.
type writes struct {
	rec *record
	mu  sync.Mutex
	// acknowledged are the writes that were acknowledged.
	acknowledged []acknowledgement
}

// keep writes one value after the other to an item of its own, until the context ends.
func (w *writes) keep(ctx context.Context, address, group string, number int) {
	item := fmt.Sprintf("%s-item-%d", group, number)
	var c *client
	for value := 1; ctx.Err() == nil; value++ {
		if c == nil {
			var err error
			if c, err = connect(ctx, address, "primary-"+group); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		text := fmt.Sprintf("%s %d", item, value)
		answer, err := c.query(fmt.Sprintf("%s-%d", item, value), "WRITE "+text)
		if err != nil {
			w.rec.note("%s: WRITE %s: %v", group, text, err)
			c.close()
			c = nil
			time.Sleep(100 * time.Millisecond)
			continue
		}
		w.mu.Lock()
		w.acknowledged = append(w.acknowledged, acknowledgement{text, answer, time.Now()})
		w.mu.Unlock()
	}
	if c != nil {
		c.close()
	}
}
