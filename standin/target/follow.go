package target

import (
	"context"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/sqldb"
)

// followInterval is the time after which a member looks for a primary again if the
// log of its present primary has not grown.
const followInterval = 5 * time.Millisecond

// followLoop copies the log of the reachable primary with the highest term, again
// and again until the member is stopped.
func (t *Target) followLoop() {
	for {
		primary, grown := t.findPrimary()
		if primary != nil {
			t.copyFrom(primary)
		}
		if !t.waitForLogGrowth(grown, followInterval) {
			return
		}
	}
}

// waitForLogGrowth waits until grown is closed, but at most for d, and then waits
// for the ship lag. It returns false if the member is stopped.
func (t *Target) waitForLogGrowth(grown <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-t.stop:
		return false
	case <-grown:
	case <-timer.C:
	}
	if lag := time.Duration(t.shipLag.Load()); lag > 0 {
		time.Sleep(lag)
	}
	return true
}

// findPrimary returns the reachable primary with the highest term among the peers,
// and the channel that is closed when its log grows. Both are nil if there is no
// such primary.
func (t *Target) findPrimary() (*Target, <-chan struct{}) {
	if t.partition.isActive() {
		return nil, nil
	}
	var best *Target
	var bestTerm uint64
	var grown chan struct{}
	for _, p := range t.peers {
		p.mu.Lock()
		if p.primary && p.term > bestTerm && !p.partition.isActive() && !p.stopped() {
			best, bestTerm, grown = p, p.term, p.logGrown
		}
		p.mu.Unlock()
	}
	return best, grown
}

// stopped reports whether Kill was called.
func (t *Target) stopped() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// copyFrom adopts the primary's term and makes this member's log equal to the
// primary's. If entries that must be removed were applied already, it resets the
// member instead. It has no effect if the peer is no longer primary, if this
// member has a higher term, or if it is primary in the same term.
func (t *Target) copyFrom(primary *Target) {
	primary.mu.Lock()
	term, log, isPrimary := primary.term, primary.log[:len(primary.log):len(primary.log)], primary.primary
	primary.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isPrimary || t.term > term || (t.primary && t.term == term) {
		return
	}
	if t.term < term {
		t.term = term
		t.promisedTo = ""
	}
	t.primary = false
	common := t.commonPrefixLocked(log)
	if common < t.applied {
		// reset takes writeMu, which must not be taken while mu is held.
		go t.reset()
		return
	}
	if common < len(t.log) {
		t.log = t.log[:common:common]
	}
	t.log = append(t.log, log[common:]...)
	t.wakeApply()
}

// reset empties the log and the tables, after applied entries turned out not to be
// in the primary's log. followLoop then copies the primary's log from the start.
// reset has no effect if this member has become primary meanwhile.
func (t *Target) reset() {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.primary {
		return
	}
	t.rebuildLocked(nil)
}

// rebuildLocked replaces the log, and replaces the tables by new ones to which the
// log is applied. It has no effect if new tables can't be created. The caller must
// also hold writeMu. Connections that use slots are closed. Sessions of control
// connections stay, but can't commit any more, because they began in an earlier
// epoch.
func (t *Target) rebuildLocked(log []entry) {
	empty, err := sqldb.New()
	if err != nil {
		return
	}
	t.log = log
	t.applied = 0
	t.epoch++
	t.DropSlots()
	t.db = empty
	t.catchUpLocked()
}

// commonPrefixLocked returns the length of the longest common prefix of log and
// this member's log. If entries at the same position have the same term, they and
// all entries before them are the same.
func (t *Target) commonPrefixLocked(log []entry) int {
	n := min(len(log), len(t.log))
	for n > 0 && log[n-1].term != t.log[n-1].term {
		n--
	}
	return n
}

// DropSlots closes all connections except control connections. A host that uses the
// member's slots sees the same when the member restarts.
func (t *Target) DropSlots() {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	for _, c := range t.conns {
		if !c.control {
			_ = c.net.Close()
		}
	}
}

// wakeApply makes applyLoop look for entries to apply. It never blocks.
func (t *Target) wakeApply() {
	select {
	case t.applyWake <- struct{}{}:
	default:
	}
}

// applyLoop applies received entries to the tables after the apply lag, until the
// member is stopped.
func (t *Target) applyLoop() {
	for {
		if !t.waitForEntries() {
			return
		}
		if lag := time.Duration(t.applyLag.Load()); lag > 0 {
			t.mu.Lock()
			received := len(t.log)
			t.mu.Unlock()
			time.Sleep(lag)
			t.applyTo(received)
			continue
		}
		t.applyTo(int(^uint(0) >> 1))
	}
}

// waitForEntries returns true at once if the log has entries that aren't applied,
// and otherwise when wakeApply is called. It returns false if the member is
// stopped.
func (t *Target) waitForEntries() bool {
	t.mu.Lock()
	behind := t.applied < len(t.log)
	t.mu.Unlock()
	if behind {
		return !t.stopped()
	}
	select {
	case <-t.stop:
		return false
	case <-t.applyWake:
		return true
	}
}

// applyTo applies entries until the first n entries of the log, or all if there
// are fewer, have been applied. It ends early if the member is or becomes primary.
func (t *Target) applyTo(n int) {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	for {
		t.mu.Lock()
		done := t.primary || t.applied >= min(n, len(t.log))
		var next entry
		if !done {
			next = t.log[t.applied]
		}
		db := t.db
		t.mu.Unlock()
		if done {
			return
		}
		apply(db, next)
		t.mu.Lock()
		t.applied++
		t.mu.Unlock()
	}
}

// apply runs the statements of an entry in one transaction. It ignores errors.
func apply(db *sqldb.DB, e entry) {
	if len(e.statements) == 0 {
		return
	}
	ctx := context.Background()
	c, err := db.Conn(ctx)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = c.ExecContext(ctx, "BEGIN IMMEDIATE")
	for _, s := range e.statements {
		_, _ = c.ExecContext(ctx, s.text, s.args...)
	}
	_, _ = c.ExecContext(ctx, "COMMIT")
}
