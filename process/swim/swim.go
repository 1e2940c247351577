// Package swim decides which hosts are considered live, by random probes with
// piggybacked membership updates, as in the SWIM protocol (Das, Gupta, Motivala,
// 2002).
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
	// maxHelpers is the maximum number of hosts that are asked to probe a host
	// that did not answer.
	maxHelpers = 3
	// maxUpdatesPerMessage is the maximum number of updates in one probe or
	// answer.
	maxUpdatesPerMessage = 6
	// retransmitFactor determines how many times each host sends an update: this
	// factor times the binary logarithm, rounded up, of the fleet's size plus one.
	retransmitFactor = 3
	// defaultSuspicionTimeout is how long a suspected host has to refute the
	// suspicion before it is declared dead.
	defaultSuspicionTimeout = 2 * time.Second
	// deadRetention is how long a host that is dead or has left is remembered,
	// so that an outdated update does not make it live again.
	deadRetention = 10 * time.Minute
)

// peer is the state of one other host.
type peer struct {
	info gossip.HostInfo
	// since is when info.State last changed.
	since time.Time
}

// update is a queued membership update: the name of the host whose info is to
// be sent, and the number of messages that have carried the update.
type update struct {
	host string
	sent int
}

// Swim is one host's view of the fleet. It has no lock and does not read the
// clock: callers must serialize all calls and pass the current time.
type Swim struct {
	self  gossip.HostInfo
	peers map[string]*peer
	// order holds the other hosts in the random order in which this round
	// probes them. next is the position of the next host to probe.
	order []string
	next  int
	// updates holds the updates to send with the next messages, at most one for
	// each host.
	updates          []update
	random           *rand.Rand
	suspicionTimeout time.Duration
	// suspicions counts the calls of MarkSuspect that changed a state.
	suspicions int
	// notAlive holds the hosts whose state is not Alive. Tick examines only
	// these, since an alive host has no timeout.
	notAlive map[string]bool
	// changes counts the new hosts and the changes of a host's state, each of
	// which may change the set of live hosts.
	changes int
}

// New returns the view of the host that self describes, without any other host.
func New(self gossip.HostInfo, random *rand.Rand, options ...func(*Swim)) *Swim {
	s := &Swim{self: self, peers: map[string]*peer{}, notAlive: map[string]bool{}, random: random, suspicionTimeout: defaultSuspicionTimeout}
	for _, o := range options {
		o(s)
	}
	s.spread(self.Host)
	return s
}

// AddListed adds hosts that the platform lists. They are considered live until
// a probe fails. A known host keeps its info unless it is listed with another
// address and a higher incarnation.
func (s *Swim) AddListed(now time.Time, listed []gossip.HostInfo) {
	for _, h := range listed {
		if h.Host == s.self.Host {
			continue
		}
		p, known := s.peers[h.Host]
		if known && (p.info.Address == h.Address || h.Incarnation <= p.info.Incarnation) {
			continue
		}
		s.store(now, h)
	}
}

// storeAndSpread stores the info of a host and spreads it to the other hosts.
func (s *Swim) storeAndSpread(now time.Time, info gossip.HostInfo) {
	s.store(now, info)
	s.spread(info.Host)
}

// store stores the info of a host without spreading it. Hosts of the platform's
// list need no spreading, as all hosts read this list.
func (s *Swim) store(now time.Time, info gossip.HostInfo) {
	p, known := s.peers[info.Host]
	if !known {
		s.peers[info.Host] = &peer{info: info, since: now}
		at := s.random.IntN(len(s.order) + 1)
		s.order = slices.Insert(s.order, at, info.Host)
		s.changes++
	} else {
		if p.info.State != info.State {
			p.since = now
			s.changes++
		}
		p.info = info
	}
	delete(s.notAlive, info.Host)
	if info.State != gossip.Alive {
		s.notAlive[info.Host] = true
	}
}

// spread queues an update about a host. It replaces an earlier update about
// this host that is still queued.
func (s *Swim) spread(host string) {
	s.updates = slices.DeleteFunc(s.updates, func(u update) bool { return u.host == host })
	s.updates = append(s.updates, update{host: host})
}

// NextProbe returns the host to probe in this interval, and false if there is
// none. Each round probes every alive or suspected host once, in random order.
func (s *Swim) NextProbe() (gossip.HostInfo, bool) {
	for range len(s.order) {
		if s.next >= len(s.order) {
			s.next = 0
			s.random.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
		}
		info := s.peers[s.order[s.next]].info
		s.next++
		if info.State == gossip.Alive || info.State == gossip.Suspect {
			return info, true
		}
	}
	return gossip.HostInfo{}, false
}

// Helpers returns up to maxHelpers random alive hosts other than host, which
// can be asked to probe host. An empty host excludes none.
func (s *Swim) Helpers(host string) []gossip.HostInfo {
	var helpers []gossip.HostInfo
	for _, name := range s.order {
		if info := s.peers[name].info; name != host && info.State == gossip.Alive {
			helpers = append(helpers, info)
		}
	}
	s.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	return helpers[:min(len(helpers), maxHelpers)]
}

// MarkAlive records that a host answered or sent a probe. It ends a suspicion
// at this host only: other hosts that suspect the same incarnation wait for a
// refutation by the suspected host.
func (s *Swim) MarkAlive(now time.Time, host string) {
	p, ok := s.peers[host]
	if !ok || p.info.State != gossip.Suspect {
		return
	}
	s.storeAndSpread(now, p.info.WithState(gossip.Alive).WithIncarnation(p.info.Incarnation))
}

// MarkSuspect records that a host answered neither this host nor the helpers.
// Only an alive host becomes suspected.
func (s *Swim) MarkSuspect(now time.Time, host string) {
	p, ok := s.peers[host]
	if !ok || p.info.State != gossip.Alive {
		return
	}
	s.suspicions++
	s.storeAndSpread(now, p.info.WithState(gossip.Suspect))
}

// Merge merges the updates that arrived with a probe or an answer. It refutes
// each report that this host is not alive. It ignores unknown hosts that are
// dead or have left.
func (s *Swim) Merge(now time.Time, infos []gossip.HostInfo) {
	for _, info := range infos {
		if info.Host == s.self.Host {
			s.refute(info)
			continue
		}
		p, known := s.peers[info.Host]
		if !known && info.State >= gossip.Dead {
			continue
		}
		if !known || info.Supersedes(p.info) {
			s.storeAndSpread(now, info)
		}
	}
}

// refute answers a report that this host is not alive: it raises this host's
// incarnation above the reported one and spreads the new incarnation. It does
// nothing if the reported state is Alive, if the report is about an earlier
// incarnation, or if this host is leaving.
func (s *Swim) refute(reported gossip.HostInfo) {
	if s.self.State == gossip.Left || reported.State == gossip.Alive || reported.Incarnation < s.self.Incarnation {
		return
	}
	s.self = s.self.WithIncarnation(reported.Incarnation + 1)
	s.spread(s.self.Host)
}

// NextUpdates returns the updates to send with the next probe or answer, those
// sent least often first. It drops each update that has been sent often enough.
func (s *Swim) NextUpdates() []gossip.HostInfo {
	maxSent := int(retransmitFactor * math.Ceil(math.Log2(float64(len(s.peers)+2))))
	slices.SortStableFunc(s.updates, func(a, b update) int { return a.sent - b.sent })
	count := min(len(s.updates), maxUpdatesPerMessage)
	infos := make([]gossip.HostInfo, 0, count+1)
	for i := range count {
		s.updates[i].sent++
		infos = append(infos, s.info(s.updates[i].host))
	}
	s.updates = slices.DeleteFunc(s.updates, func(u update) bool { return u.sent >= maxSent })
	return infos
}

// info returns the info of this host or of another known host.
func (s *Swim) info(host string) gossip.HostInfo {
	if host == s.self.Host {
		return s.self
	}
	return s.peers[host].info
}

// Tick declares each suspected host dead that did not refute the suspicion in
// time. It forgets each host that died or left at least deadRetention ago.
func (s *Swim) Tick(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.notAlive)) {
		p := s.peers[name]
		switch {
		case p.info.State == gossip.Suspect && now.Sub(p.since) >= s.suspicionTimeout:
			s.storeAndSpread(now, p.info.WithState(gossip.Dead))
		case p.info.State >= gossip.Dead && now.Sub(p.since) >= deadRetention:
			s.forget(name)
		}
	}
}

func (s *Swim) forget(name string) {
	delete(s.peers, name)
	delete(s.notAlive, name)
	s.order = slices.DeleteFunc(s.order, func(o string) bool { return o == name })
	s.updates = slices.DeleteFunc(s.updates, func(u update) bool { return u.host == name })
}

// Leave marks this host as leaving and queues the change for the next messages.
func (s *Swim) Leave() {
	s.self = s.self.WithState(gossip.Left)
	s.changes++
	s.spread(s.self.Host)
}

// Live returns the hosts that may own groups, sorted by name: this host, unless
// it is leaving, and all other hosts in state Alive.
func (s *Swim) Live() []string {
	var live []string
	if s.self.State != gossip.Left {
		live = append(live, s.self.Host)
	}
	for name, p := range s.peers {
		if p.info.State == gossip.Alive {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

// Hosts returns the info of all known hosts: this one first, the others sorted
// by name.
func (s *Swim) Hosts() []gossip.HostInfo {
	all := []gossip.HostInfo{s.self}
	for _, p := range s.peers {
		all = append(all, p.info)
	}
	slices.SortFunc(all[1:], func(a, b gossip.HostInfo) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return all
}

// Peer returns the info of another host, and false if it is not known.
func (s *Swim) Peer(host string) (gossip.HostInfo, bool) {
	p, ok := s.peers[host]
	if !ok {
		return gossip.HostInfo{}, false
	}
	return p.info, true
}

// Changes returns a number that increases whenever the set of live hosts may
// have changed.
func (s *Swim) Changes() int {
	return s.changes
}

// Suspicions returns how many times this host suspected another one because its
// own probes failed.
func (s *Swim) Suspicions() int {
	return s.suspicions
}
