package simul

import (
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// slotKey identifies a slot across all hosts, which number their slots
// independently.
type slotKey struct {
	host int
	slot uint64
}

// memberSlot is the member's side of one slot.
type memberSlot struct {
	inTransaction bool
	// term is the term in which the open transaction that may write began.
	term uint64
	// writes holds the entries that the open transaction will append to the log.
	writes []entry
	// failed means that a transaction in the slot failed because its member was
	// not the primary.
	failed bool
	// running is the ID of the call that runs in the slot, or empty.
	running string
	closed  bool
}

// open opens a slot for a host. It reports false if all slots are taken.
func (m *member) open(k slotKey) bool {
	if len(m.slots) >= m.sim.slots {
		return false
	}
	m.slots[k] = &memberSlot{}
	return true
}

// close closes a slot. A call that runs in the slot still takes effect.
func (m *member) close(k slotKey) {
	if s, ok := m.slots[k]; ok {
		s.closed = true
		delete(m.slots, k)
	}
}

func (m *member) closeSlotsOf(h *host) {
	for k := range m.slots {
		if k.host == h.number {
			m.close(k)
		}
	}
}

// runResult is the result of one run and the part of the log that the run saw.
type runResult struct {
	result result.Result
	// visible is the number of log entries that the run could see.
	visible int
	// term is the member's term at the end of the run.
	term uint64
}

// execute applies the effect of a call, at the end of its run time, and returns the
// result. A member that is not the primary refuses writes.
func (m *member) execute(s *memberSlot, c call.Call) runResult {
	if c.Body != nil && string(c.Body) == "ROLLBACK" {
		s.inTransaction, s.failed, s.writes = false, false, nil
		return m.answer(s, false, false)
	}
	if c.Class.Read {
		return m.answer(s, false, false)
	}
	// A database that stops being the primary aborts its open transactions.
	if !m.primary || s.inTransaction && s.term != m.term {
		s.failed = s.inTransaction
		if !s.inTransaction {
			return m.answer(s, true, false)
		}
		s.inTransaction, s.writes = false, nil
		return m.answer(s, true, false)
	}
	return m.write(s, c)
}

// write runs a write at the primary. A call whose key is already in the log does
// not run again; in a transaction, only the call that begins it is checked.
func (m *member) write(s *memberSlot, c call.Call) runResult {
	if c.Key != "" && !c.InTransaction && m.keyKind(c.Key) != "" {
		return m.answerKnownKey(s, m.keyKind(c.Key))
	}
	switch {
	case c.Begins:
		s.inTransaction, s.term = true, m.term
		s.writes = []entry{{id: c.ID, key: c.Key, kind: "ran"}}
	case c.InTransaction && string(c.Body) == "COMMIT":
		m.commit(s)
	case c.InTransaction:
		s.writes = append(s.writes, entry{id: c.ID})
	default:
		m.append(entry{term: m.term, id: c.ID, key: c.Key, kind: "ran"})
	}
	return m.answer(s, false, false)
}

// commit appends the writes of a slot's transaction to the log.
func (m *member) commit(s *memberSlot) {
	for _, e := range s.writes {
		e.term = m.term
		m.append(e)
	}
	s.inTransaction, s.writes = false, nil
}

// keyKind returns the kind of the log entry with a key: "ran", "withdrawn", or
// empty if the log has none.
func (m *member) keyKind(key string) string {
	if m.sim.defect == DefectKeys {
		return ""
	}
	return m.keyKinds[key]
}

// answer returns the result of a run in a slot, with the present transaction status
// and log position. conflict means that the log already contained the call's key.
func (m *member) answer(s *memberSlot, refused, conflict bool) runResult {
	status := result.Idle
	if s.inTransaction {
		status = result.Open
	}
	r := result.New(status, m.reported(DefectApplied, m.markAt(m.applied))).WithMember(m.term, m.primary).WithTargetError(refused).WithConflict(conflict)
	return runResult{result: r, visible: m.applied, term: m.term}
}

// resolveKey determines the outcome of a call's key. The primary withdraws the key
// unless its log already contains it. At another member the result is Lost.
func (m *member) resolveKey(s *memberSlot, c call.Call) runResult {
	if !m.primary {
		run := m.answer(s, true, false)
		run.result.Failure = result.Lost
		return run
	}
	kind := m.keyKind(c.Key)
	if kind == "" {
		kind = "withdrawn"
		m.append(entry{term: m.term, key: c.Key, kind: kind})
	}
	return m.answerKnownKey(s, kind)
}

// answerKnownKey returns the result for a key that is in the log. If the call ran,
// this is its stored answer; otherwise the result says that the key is withdrawn.
func (m *member) answerKnownKey(s *memberSlot, kind string) runResult {
	run := m.answer(s, false, true)
	run.result = run.result.WithWithdrawn(kind == "withdrawn").WithRestored(kind == "ran")
	return run
}
