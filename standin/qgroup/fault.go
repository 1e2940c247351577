package qgroup

import "time"

// Crash stops a member. The member keeps its log, but no longer pauses receiving.
func (g *Group) Crash(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].up = false
	g.members[i].pauseTerm = 0
	g.members[i].notify()
}

// Start starts a stopped member. If it was the leader and no other member was
// promoted meanwhile, it leads, even if it was demoted.
func (g *Group) Start(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].up = true
	g.members[i].leads = g.members[i].leads || g.members[i].demoted
	g.members[i].demoted = false
	g.members[i].target.Started++
	g.scheduleShipping()
}

// StartAs starts a stopped member as Start does, under another ID.
func (g *Group) StartAs(i int, id string) {
	g.mu.Lock()
	g.members[i].target.ID = id
	g.mu.Unlock()
	g.Start(i)
}

// StartEmpty starts a stopped member as a replica with an empty log.
func (g *Group) StartEmpty(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[i]
	m.up, m.log, m.leads, m.demoted = true, nil, false, false
	m.target.Started++
	g.scheduleShipping()
}

// SetSilent sets whether a member is silent: it answers nothing and takes no part
// in replication.
func (g *Group) SetSilent(i int, silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].silent = silent
	g.members[i].notify()
	g.scheduleShipping()
}

// SetReceiveBlocked sets whether a member receives no log entries.
func (g *Group) SetReceiveBlocked(i int, blocked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].receiveBlocked = blocked
	g.scheduleShipping()
}

// SetFailureRate sets the share of a member's reads, writes and commits that fail,
// from 0 to 1. The others are answered normally.
func (g *Group) SetFailureRate(i int, rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].failureRate = rate
}

// SetRefusalRate sets the share of the statements that change the state of a connection to a
// member (Set, Reset and Prepare) that fail and do nothing.
func (g *Group) SetRefusalRate(i int, rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].refusalRate = rate
}

// SetApplyLag sets the time from the receipt of an entry until reads at a
// replica see it.
func (g *Group) SetApplyLag(i int, lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].applyLag = lag
}

// SetPartitioned sets whether a host, or every host with AllHosts, can't reach a
// member. The member still replicates and serves the other hosts.
func (g *Group) SetPartitioned(i, host int, partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[i].partitionedFrom == nil {
		g.members[i].partitionedFrom = map[int]bool{}
	}
	g.members[i].partitionedFrom[host] = partitioned
	g.members[i].notify()
}

// SetRefusing sets whether a member refuses new connections of a host, or of every host
// with AllHosts. The member still replicates, and serves the connections that are open.
func (g *Group) SetRefusing(i, host int, refusing bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[i].refusedTo == nil {
		g.members[i].refusedTo = map[int]bool{}
	}
	g.members[i].refusedTo[host] = refusing
}

// SetStatementTime sets the time that each read, write and commit takes.
func (g *Group) SetStatementTime(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.statementTime = d
}

// SetConnectTime sets the time that opening a connection takes.
func (g *Group) SetConnectTime(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connectTime = d
}

// ReceivePaused reports whether a member has stopped receiving entries, as a host
// ordered by a Pause.
func (g *Group) ReceivePaused(i int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[i].pauseTerm != 0
}

// SetLeaving sets the leaving flag in a member's registration. A leaving member
// is about to stop.
func (g *Group) SetLeaving(i int, leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].target = g.members[i].target.WithLeaving(leaving)
}

// SetUnregistered sets whether a member that is up has no registration, as one that
// can't reach the store.
func (g *Group) SetUnregistered(i int, unregistered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].unregistered = unregistered
}

// LoseAnswers makes the group lose the answers to the next n reads, writes and
// commits of callers, after these statements ran.
func (g *Group) LoseAnswers(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answersToLose = n
}

// DelayOrder delays one promotion order: the order gets no answer and is processed
// after d. The first call applies to the next order, the second to the one after
// it, and so on.
func (g *Group) DelayOrder(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orderDelays = append(g.orderDelays, d)
}
