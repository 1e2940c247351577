package quota

import "time"

// knownCount is a number of known hosts and the last time at which it was seen.
type knownCount struct {
	hosts int
	at    time.Duration
}

// SetHosts sets the names of the live hosts, and of those that are marked as unheard and don't
// count, unless they claim. Before the first call no limit is handed out.
func (c *Coordinator) SetHosts(now time.Duration, live []string, marked ...string) {
	first := ""
	for _, h := range live {
		if first == "" || Order(h) < Order(first) {
			first = h
		}
	}
	if first != c.first {
		c.first, c.firstSince = first, now
	}
	// The number before counts from now on, however long ago it was noted.
	c.noteKnown(now, len(c.listed))
	listed := make(map[string]time.Duration, len(live))
	for _, h := range live {
		at, ok := c.listed[h]
		if !ok {
			at = now
		}
		listed[h] = at
	}
	c.listed = listed
	c.marked = make(map[string]bool, len(marked))
	for _, h := range marked {
		c.marked[h] = true
	}
	c.noteKnown(now, len(c.listed))
}

// noteKnown notes a number of known hosts, of which the largest counts for knownMemory.
func (c *Coordinator) noteKnown(now time.Duration, hosts int) {
	kept := c.known[:0]
	c.hosts = hosts
	for _, k := range c.known {
		if k.hosts > hosts && now-k.at < knownMemory {
			kept = append(kept, k)
			c.hosts = max(c.hosts, k.hosts)
		}
	}
	c.known = append(kept, knownCount{hosts, now})
	c.hosts = max(c.hosts, len(c.listed)+c.unlisted(now))
}

// unlisted returns how many hosts follow this coordinator that are not listed. As long as they
// do, all listed ones and these have to follow.
func (c *Coordinator) unlisted(now time.Duration) int {
	n := 0
	for name, f := range c.followers {
		if _, ok := c.listed[name]; !ok && f.until >= now+c.shift {
			n++
		}
	}
	return n
}
