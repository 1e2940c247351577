// Package swim decides which hosts are believed live, by random probes with
// piggybacked news, as in the SWIM protocol (Das, Gupta, Motivala, 2002).
package swim

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/gossip"
)

const (
	// helpersAsked is how many other hosts probe a host that did not answer.
	helpersAsked = 3
	// newsPerMessage bounds the news on one probe or answer.
	newsPerMessage = 6
	// retellFactor times the logarithm of the fleet's size is how often one
	// piece of news is told.
	retellFactor = 3
	// defaultSuspicion is how long a suspected host may refute it.
	defaultSuspicion = 2 * time.Second
	// deadKept is how long a dead host is remembered, so that old news of it
	// does not bring it back.
	deadKept = 10 * time.Minute
)

// peer is what is known of one other host.
type peer struct {
	news  gossip.HostInfo
	since time.Time
}

// told is one piece of news and how often it was told.
type told struct {
	host  string
	times int
}

// Swim is one host's view of the fleet. It has no lock and no clock of its own.
type Swim struct {
	self      gossip.HostInfo
	peers     map[string]*peer
	order     []string
	next      int
	telling   []told
	random    *rand.Rand
	suspicion time.Duration
	alarms    int
	// absent holds the hosts that are not alive: the only ones that time changes.
	absent map[string]bool
	// changes counts the changes of the set of live hosts.
	changes int
}

// New returns the view of a host that knows only itself.
func New(self gossip.HostInfo, random *rand.Rand, options ...func(*Swim)) *Swim {
	s := &Swim{self: self, peers: map[string]*peer{}, absent: map[string]bool{}, random: random, suspicion: defaultSuspicion}
	for _, o := range options {
		o(s)
	}
	s.tell(self.Host)
	return s
}

// AddListed takes hosts that the platform lists. They count as live until a
// probe says otherwise; hosts that are known keep what is known of them.
func (s *Swim) AddListed(now time.Time, listed []gossip.HostInfo) {
	for _, n := range listed {
		if n.Host == s.self.Host {
			continue
		}
		p, known := s.peers[n.Host]
		if known && (p.news.Address == n.Address || n.Incarnation <= p.news.Incarnation) {
			continue
		}
		s.keep(now, n)
	}
}

// set takes news of a host and tells it on.
func (s *Swim) set(now time.Time, n gossip.HostInfo) {
	s.keep(now, n)
	s.tell(n.Host)
}

// keep takes news that all others have from the platform too.
func (s *Swim) keep(now time.Time, n gossip.HostInfo) {
	p, known := s.peers[n.Host]
	if !known {
		s.peers[n.Host] = &peer{news: n, since: now}
		at := s.random.IntN(len(s.order) + 1)
		s.order = slices.Insert(s.order, at, n.Host)
		s.changes++
	} else {
		if p.news.State != n.State {
			p.since = now
			s.changes++
		}
		p.news = n
	}
	delete(s.absent, n.Host)
	if n.State != gossip.Alive {
		s.absent[n.Host] = true
	}
}

func (s *Swim) tell(host string) {
	s.telling = slices.DeleteFunc(s.telling, func(t told) bool { return t.host == host })
	s.telling = append(s.telling, told{host: host})
}

// NextProbe returns the host to probe in this interval, and false where there is
// none. Every host's turn comes once in a round, in random order.
func (s *Swim) NextProbe() (gossip.HostInfo, bool) {
	for range len(s.order) {
		if s.next >= len(s.order) {
			s.next = 0
			s.random.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
		}
		n := s.peers[s.order[s.next]].news
		s.next++
		if n.State == gossip.Alive || n.State == gossip.Suspect {
			return n, true
		}
	}
	return gossip.HostInfo{}, false
}

// Helpers returns other live hosts that are to probe the host in turn.
func (s *Swim) Helpers(host string) []gossip.HostInfo {
	var live []gossip.HostInfo
	for _, name := range s.order {
		if n := s.peers[name].news; name != host && n.State == gossip.Alive {
			live = append(live, n)
		}
	}
	s.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), helpersAsked)]
}

// MarkAlive takes a sign of life of a host.
func (s *Swim) MarkAlive(now time.Time, host string) {
	p, ok := s.peers[host]
	if !ok || p.news.State != gossip.Suspect {
		return
	}
	s.set(now, p.news.WithState(gossip.Alive).WithIncarnation(p.news.Incarnation))
}

// MarkSuspect takes a host that answered neither this host nor its helpers.
func (s *Swim) MarkSuspect(now time.Time, host string) {
	p, ok := s.peers[host]
	if !ok || p.news.State != gossip.Alive {
		return
	}
	s.alarms++
	s.set(now, p.news.WithState(gossip.Suspect))
}

// Merge takes news that came with a probe or an answer. News of this host's
// own death is refuted with a higher incarnation.
func (s *Swim) Merge(now time.Time, all []gossip.HostInfo) {
	for _, n := range all {
		if n.Host == s.self.Host {
			s.refute(n)
			continue
		}
		p, known := s.peers[n.Host]
		if !known && n.State >= gossip.Dead {
			continue
		}
		if !known || n.Supersedes(p.news) {
			s.set(now, n)
		}
	}
}

func (s *Swim) refute(n gossip.HostInfo) {
	if s.self.State == gossip.Left || n.State == gossip.Alive || n.Incarnation < s.self.Incarnation {
		return
	}
	s.self = s.self.WithIncarnation(n.Incarnation + 1)
	s.tell(s.self.Host)
}

// NextUpdates returns the news to send along, the least told first.
func (s *Swim) NextUpdates() []gossip.HostInfo {
	limit := int(retellFactor * math.Ceil(math.Log2(float64(len(s.peers)+2))))
	slices.SortStableFunc(s.telling, func(a, b told) int { return a.times - b.times })
	n := min(len(s.telling), newsPerMessage)
	given := make([]gossip.HostInfo, 0, n+1)
	for i := range n {
		s.telling[i].times++
		given = append(given, s.of(s.telling[i].host))
	}
	s.telling = slices.DeleteFunc(s.telling, func(t told) bool { return t.times >= limit })
	return given
}

func (s *Swim) of(host string) gossip.HostInfo {
	if host == s.self.Host {
		return s.self
	}
	return s.peers[host].news
}

// Tick ends suspicions that were not refuted and forgets the long dead.
func (s *Swim) Tick(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.absent)) {
		p := s.peers[name]
		switch {
		case p.news.State == gossip.Suspect && now.Sub(p.since) >= s.suspicion:
			s.set(now, p.news.WithState(gossip.Dead))
		case p.news.State >= gossip.Dead && now.Sub(p.since) >= deadKept:
			s.forget(name)
		}
	}
}

func (s *Swim) forget(name string) {
	delete(s.peers, name)
	delete(s.absent, name)
	s.order = slices.DeleteFunc(s.order, func(o string) bool { return o == name })
	s.telling = slices.DeleteFunc(s.telling, func(t told) bool { return t.host == name })
}

// Leave makes this host tell that it leaves.
func (s *Swim) Leave() {
	s.self = s.self.WithState(gossip.Left)
	s.changes++
	s.tell(s.self.Host)
}

// Live returns the hosts that own groups: this one, unless it leaves, and
// those that are alive and not suspected, sorted by name.
func (s *Swim) Live() []string {
	var live []string
	if s.self.State != gossip.Left {
		live = append(live, s.self.Host)
	}
	for name, p := range s.peers {
		if p.news.State == gossip.Alive {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

// Hosts returns the news of all hosts, this one first, then by name.
func (s *Swim) Hosts() []gossip.HostInfo {
	all := []gossip.HostInfo{s.self}
	for _, p := range s.peers {
		all = append(all, p.news)
	}
	slices.SortFunc(all[1:], func(a, b gossip.HostInfo) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return all
}

// Peer returns the news of one other host.
func (s *Swim) Peer(host string) (gossip.HostInfo, bool) {
	p, ok := s.peers[host]
	if !ok {
		return gossip.HostInfo{}, false
	}
	return p.news, true
}

// Changes returns a number that grows with each change of the live hosts.
func (s *Swim) Changes() int {
	return s.changes
}

// Suspicions returns how often this host suspected another.
func (s *Swim) Suspicions() int {
	return s.alarms
}
