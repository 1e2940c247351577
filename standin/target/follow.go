package target

import (
	"context"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/sqldb"
)

// followInterval is how often a member looks for its primary when no log growth
// wakes it earlier.
const followInterval = 5 * time.Millisecond

// followLoop keeps copying the log of the primary with the highest term.
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

// waitForLogGrowth waits until the primary's log grows, or for d, and then for
// the ship lag. It returns false if the member is stopped.
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

// findPrimary returns the reachable primary with the highest term and the
// channel that is closed when its log grows, or nil if there is none.
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

func (t *Target) stopped() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// copyFrom copies the primary's log and truncates entries that are not part of
// it. If some of those were applied already, the member starts over.
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
	shared := t.commonPrefixLocked(log)
	if shared < t.applied {
		// reset takes writeMu, which must not be taken while mu is held.
		go t.reset()
		return
	}
	if shared < len(t.log) {
		t.log = t.log[:shared:shared]
	}
	t.log = append(t.log, log[shared:]...)
	t.wakeApply()
}

// reset empties the log and the tables after applied entries were found to
// diverge from the primary's log. followLoop then copies that log from its
// start.
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

// rebuildLocked replaces the log, and the tables by new ones filled from it.
// Sessions that use slots are disconnected; those that stay can't commit to the
// new tables, since their epoch is over.
func (t *Target) rebuildLocked(log []entry) {
	fresh, err := sqldb.New()
	if err != nil {
		return
	}
	t.log = log
	t.applied = 0
	t.epoch++
	t.DropSlots()
	t.db = fresh
	t.catchUpLocked()
}

// commonPrefixLocked returns the length of the prefix that both logs share.
// Entries with the same position and term are the same.
func (t *Target) commonPrefixLocked(log []entry) int {
	n := min(len(log), len(t.log))
	for n > 0 && log[n-1].term != t.log[n-1].term {
		n--
	}
	return n
}

// DropSlots closes all connections but control connections, as a restart of the
// member does.
func (t *Target) DropSlots() {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	for _, c := range t.conns {
		if !c.control {
			_ = c.net.Close()
		}
	}
}

// wakeApply wakes applyLoop. It never blocks.
func (t *Target) wakeApply() {
	select {
	case t.applyWake <- struct{}{}:
	default:
	}
}

// applyLoop applies received entries to the tables after the apply lag.
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

// waitForEntries waits until the log has entries that aren't applied, or until
// applyWake fires. It returns false if the member is stopped.
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

// applyTo applies the first n entries of the log, as far as they were received,
// unless the member is or becomes primary.
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

// apply runs the statements of an entry in one transaction.
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
