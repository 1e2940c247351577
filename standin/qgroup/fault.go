package qgroup

import "time"

// Crash stops a member; its log stays.
func (b *Group) Crash(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[i].up = false
	b.members[i].held = 0
	b.members[i].notify()
}

// Start starts a member that was stopped. It leads on where nobody was
// promoted meanwhile.
func (b *Group) Start(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[i].up = true
	b.members[i].target.Started++
	b.ship()
}

// StartEmpty starts a member that was stopped with an empty log.
func (b *Group) StartEmpty(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.members[i]
	m.up, m.log, m.leads = true, nil, false
	m.target.Started++
	b.ship()
}

// SetSilent makes a member's machine answer nothing, or answer again.
func (b *Group) SetSilent(i int, dark bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[i].dark = dark
	b.members[i].notify()
	b.ship()
}

// SetReceiveBlocked keeps a member from receiving, or lets it receive again.
func (b *Group) SetReceiveBlocked(i int, deaf bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[i].deaf = deaf
	b.ship()
}

// SetFailureRate has a member fail a share of what it runs, while it answers well else.
func (b *Group) SetFailureRate(i int, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[i].faulty = share
}

// SetApplyLag sets how long a replica takes to show what it received.
func (b *Group) SetApplyLag(i int, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[i].lag = lag
}

// SetPartitioned keeps a host, or everyone, from reaching a member, which goes on serving
// replicas and others, or ends that.
func (b *Group) SetPartitioned(i, host int, hidden bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.members[i].hidden == nil {
		b.members[i].hidden = map[int]bool{}
	}
	b.members[i].hidden[host] = hidden
	b.members[i].notify()
}

// SetStatementTime sets the time of each read, write and commit.
func (b *Group) SetStatementTime(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work = work
}

// SetConnectTime sets the time of a new connection.
func (b *Group) SetConnectTime(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connect = d
}

// ReceivePaused tells whether a member stopped receiving.
func (b *Group) ReceivePaused(i int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.members[i].held != 0
}

// SetLeaving has a member report that it was told to stop, or take that back.
func (b *Group) SetLeaving(i int, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[i].target = b.members[i].target.WithLeaving(leaving)
}

// LoseAnswers has the next n answers lost after their statements ran.
func (b *Group) LoseAnswers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lose = n
}

// DelayOrder leaves the next order without an answer and carries it out later.
func (b *Group) DelayOrder(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.late = append(b.late, d)
}
