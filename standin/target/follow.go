package target

import (
	"context"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/sqldb"
)

// followPause is how often a member without news looks for its primary.
const followPause = 5 * time.Millisecond

// followLoop copies the log of the primary with the highest term.
func (t *Target) followLoop() {
	for {
		p, grown := t.findPrimary()
		if p != nil {
			t.copyFrom(p)
		}
		if !t.pause(grown, followPause) {
			return
		}
	}
}

// pause waits for the primary's log to grow, or for d. It returns false where
// the member is stopped.
func (t *Target) pause(grown <-chan struct{}, d time.Duration) bool {
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

func (t *Target) findPrimary() (*Target, <-chan struct{}) {
	if t.gate.isCut() {
		return nil, nil
	}
	var best *Target
	var bestTerm uint64
	var grown chan struct{}
	for _, p := range t.peers {
		p.mu.Lock()
		if p.primary && p.term > bestTerm && !p.gate.isCut() && !p.stopped() {
			best, bestTerm, grown = p, p.term, p.grown
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

// copyFrom takes the primary's log, cutting off what does not belong to it.
func (t *Target) copyFrom(p *Target) {
	p.mu.Lock()
	term, log, leads := p.term, p.log[:len(p.log):len(p.log)], p.primary
	p.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !leads || t.term > term || (t.primary && t.term == term) {
		return
	}
	if t.term < term {
		t.term = term
		t.promised = ""
	}
	t.primary = false
	common := t.commonLocked(log)
	if common < t.applied {
		go t.rebuild()
		return
	}
	if common < len(t.log) {
		t.log = t.log[:common:common]
	}
	t.log = append(t.log, log[common:]...)
	t.notify()
}

// rebuild makes the tables anew once the log was found to have parted.
func (t *Target) rebuild() {
	t.write.Lock()
	defer t.write.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.primary {
		return
	}
	t.remakeLocked(nil)
}

// remakeLocked drops all tables and fills them anew from the log.
func (t *Target) remakeLocked(log []entry) {
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

// commonLocked returns the length of the part that both logs share: entries
// of one position and term are the same.
func (t *Target) commonLocked(log []entry) int {
	n := min(len(log), len(t.log))
	for n > 0 && log[n-1].term != t.log[n-1].term {
		n--
	}
	return n
}

// DropSlots closes all slots, as a restart of the member does.
func (t *Target) DropSlots() {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	for _, c := range t.conns {
		if !c.control {
			_ = c.net.Close()
		}
	}
}

func (t *Target) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// applyLoop makes received entries visible after the apply lag.
func (t *Target) applyLoop() {
	for {
		if !t.pauseApply() {
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

func (t *Target) pauseApply() bool {
	t.mu.Lock()
	behind := t.applied < len(t.log)
	t.mu.Unlock()
	if behind {
		return !t.stopped()
	}
	select {
	case <-t.stop:
		return false
	case <-t.wake:
		return true
	}
}

func (t *Target) applyTo(n int) {
	t.write.Lock()
	defer t.write.Unlock()
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
