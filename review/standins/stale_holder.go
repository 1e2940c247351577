package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// maxFreeze is the longest freeze of a machine that the site's troubles name.
const maxFreeze = 4 * time.Second

const (
	// replicaLag is how much later than it receives entries a replica that lags
	// applies them: 50 times the 8 ms of the site.
	replicaLag = 400 * time.Millisecond
	// lagLead is how long one replica lags before the release.
	lagLead = time.Second
)

// staleHolder releases the leader of one group after another. With trouble, the replicas
// of that group lag, and the host that claims the lease for the replacement freezes while
// the answer to its claim is on the way. It wakes while the next holder's order is carried
// out. staleHolder returns the number of acknowledged writes that the promoted members
// lack.
func staleHolder(ctx context.Context, c *cluster, trouble bool, until time.Time) int {
	f := &freezer{cluster: c}
	c.onCall = f.call
	const roundTime = 7 * time.Second
	for round := 0; time.Until(until) > roundTime && ctx.Err() == nil; round++ {
		d := c.groups[round%groupCount]
		leader := d.Leader()
		if trouble {
			d.setLag(replicaLag)
			time.Sleep(lagLead)
			f.arm(d.name, lastReplica(leader))
		}
		c.record.add("round %d: member %d of %s leads and begins to drain", round+1, leader, d.name)
		began := time.Now()
		d.SetLeaving(leader, true)
		for time.Since(began) < drainTime && d.Leader() == leader {
			time.Sleep(5 * time.Millisecond)
		}
		f.disarm()
		c.record.add("member %d of %s leads", d.Leader(), d.name)
		d.setLag(0)
		time.Sleep(300 * time.Millisecond)
		if c.lost() > 0 {
			break
		}
		time.AfterFunc(drainTime-time.Since(began), func() {
			c.record.add("member %d of %s ends, and a new one starts with its log", leader, d.name)
			d.Crash(leader)
			time.Sleep(500 * time.Millisecond)
			d.SetLeaving(leader, false)
			d.Start(leader)
		})
	}
	return c.lost()
}

// lastReplica returns the number of the last member that does not lead.
func lastReplica(leader int) int {
	if leader == memberCount-1 {
		return leader - 1
	}
	return memberCount - 1
}

// setLag sets how late the members apply what they receive.
func (d *database) setLag(lag time.Duration) {
	for i := range memberCount {
		d.SetApplyLag(i, lag)
	}
}

// lost counts and records the acknowledged writes that the leaders lack.
func (c *cluster) lost() int {
	lost := 0
	for _, d := range c.groups {
		acked, leader := d.ledger.list(), d.Leader()
		if leader < 0 {
			continue
		}
		has := d.WriteCounts(leader)
		for _, w := range acked {
			if has[w.text] == 0 {
				lost++
				c.record.add("LOST: write %s, acknowledged by %s at %.3f, is not in the log of member %d of %s", w.text, w.host, w.at.Sub(c.record.began).Seconds(), leader, d.name)
			}
		}
	}
	return lost
}

// freezer freezes the first host that claims the lease of a group after arm, unless it is
// in the spared zone. The hosts there read at the last replica, and prefer it when it lags,
// while others prefer the first replica.
type freezer struct {
	cluster *cluster
	mu      sync.Mutex
	// group is the group whose first claim is awaited, empty if there is none, and spared
	// the zone whose hosts do not freeze.
	group  string
	spared int
	frozen *host
}

func (f *freezer) arm(group string, spared int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.group, f.spared = group, spared
}

// disarm wakes a host that is still frozen.
func (f *freezer) disarm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.group = ""
	f.wake()
}

// wake wakes the frozen host; the caller holds the lock.
func (f *freezer) wake() {
	if f.frozen != nil {
		f.cluster.signal(f.frozen, syscall.SIGCONT)
		f.frozen = nil
	}
}

// call records a call of a host that concerns a lease, and freezes or wakes a host.
func (f *freezer) call(h *host, path string, body []byte) {
	lease, ok := leaseWrite(path, body)
	if path != "/promotion" && !ok {
		return
	}
	f.cluster.record.add("%s calls %s %s", h.name, path, body)
	if ok {
		f.cluster.record.add("%s writes the lease %+v", h.name, lease)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case path == "/promotion":
		f.wake()
	case ok && lease.claim() && lease.group == f.group && h.zone == f.spared:
		f.group = ""
	case ok && lease.claim() && lease.group == f.group:
		f.group, f.frozen = "", h
		f.cluster.signal(h, syscall.SIGSTOP)
		time.AfterFunc(maxFreeze, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.frozen == h {
				f.wake()
			}
		})
	}
}
