package simul

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// Defects that a test can inject into every member. Each breaks a promise, and the
// test verifies that the checks detect it.
const (
	// DefectReceived makes members report the newest log position of any primary
	// as their own received position.
	DefectReceived = "received"
	// DefectApplied makes members report the newest log position of any primary as
	// their own applied position.
	DefectApplied = "applied"
	// DefectTerm makes members report the lowest term in which any member still
	// acts as a primary, if that term is lower than their own.
	DefectTerm = "term"
	// DefectMarks makes a member report an empty log to the host that fences it.
	DefectMarks = "marks"
	// DefectKeys makes members forget which idempotency keys ran.
	DefectKeys = "keys"
)

// entry is one entry of a member's log: a committed write, a withdrawn key, or the
// entry without ID and key that a new primary appends first.
type entry struct {
	term uint64
	// id is the ID of the request that wrote the entry, or empty if the entry is
	// not a write.
	id string
	// key is the idempotency key, or empty. kind is "ran" or "withdrawn"; it has no
	// meaning without a key.
	key  string
	kind string
}

// member simulates one database of the group: its log, term, role and slots.
type member struct {
	sim  *Simulation
	name string
	term uint64
	// fencedBy is the name of the host to which the member granted its term. It is
	// empty if the member adopted the term from a primary.
	fencedBy string
	primary  bool
	// base is the position of the last log entry before the member's last
	// promotion.
	base mark.Mark
	log  []entry
	// positions holds the 1-based log positions of each request's entries, and
	// keyKinds the kind of each key in the log.
	positions map[string][]int
	keyKinds  map[string]string
	// applied is the number of entries that reads see.
	applied int
	// shipLag is the time until an entry of the primary reaches the member,
	// applyLag the time from then until reads see it.
	shipLag  time.Duration
	applyLag time.Duration
	leaving  bool
	slots    map[slotKey]*memberSlot
	// undelivered holds the messages that a partition holds back from the member.
	undelivered []func()
	// retryScheduled is set while a retry of copying from the primary is scheduled.
	retryScheduled bool
}

func newMember(sm *Simulation, name string) *member {
	return &member{sim: sm, name: name, shipLag: sm.shipLag, applyLag: sm.applyLag, slots: map[slotKey]*memberSlot{}, positions: map[string][]int{}, keyKinds: map[string]string{}}
}

// receive runs f, the effect of a message from a host, at the member. While a
// partition separates the two, f is held until the partition ends.
func (m *member) receive(from string, f func()) {
	if m.sim.partitioned(from, m.name) {
		m.undelivered = append(m.undelivered, func() { m.receive(from, f) })
		return
	}
	f()
}

// deliverHeld delivers the held messages, each after a new network delay.
func (m *member) deliverHeld() {
	held := m.undelivered
	m.undelivered = nil
	for _, f := range held {
		m.sim.after(m.sim.delay(), f)
	}
}

// report returns the member's report, falsified if the simulation has a defect.
func (m *member) report() report.Report {
	if m.sim.defect == DefectTerm {
		return m.reportOldTerm()
	}
	return report.Report{
		Member: m.name, Term: m.term, Primary: m.primary, Received: m.reported(DefectReceived, m.markAt(len(m.log))),
		Applied: m.reported(DefectApplied, m.markAt(m.applied)), Base: m.base, Leaving: m.leaving, Slots: m.sim.slots,
	}
}

// reportOldTerm returns a report for DefectTerm. The report's term is the lowest of
// the member's own term and the terms in which members still act as a primary. The
// received position has this term too.
func (m *member) reportOldTerm() report.Report {
	term := m.term
	for _, o := range m.sim.members {
		if o.primary {
			term = min(term, o.term)
		}
	}
	return report.Report{
		Member: m.name, Term: term, Primary: m.primary, Received: mark.New(term, uint64(len(m.log))),
		Applied: m.markAt(m.applied), Base: m.base, Leaving: m.leaving, Slots: m.sim.slots,
	}
}

// reported returns position, or, if the simulation has the given defect, the
// newest log position of any primary.
func (m *member) reported(defect string, position mark.Mark) mark.Mark {
	if m.sim.defect != defect {
		return position
	}
	for _, o := range m.sim.members {
		if end := o.markAt(len(o.log)); o.primary {
			position = position.Max(end)
		}
	}
	return position
}

// markAt returns the log position of the nth entry, or zero if n is 0.
func (m *member) markAt(n int) mark.Mark {
	if n == 0 {
		return mark.Mark{}
	}
	return mark.New(m.log[n-1].term, uint64(n))
}

// fence stops the member from acting as a primary and grants the term to one host.
// It reports whether the term was granted. A repeated request of the same host
// succeeds until the member is promoted.
func (m *member) fence(term uint64, by string) bool {
	if term == m.term && by == m.fencedBy && !m.primary {
		return true
	}
	if term <= m.term {
		return false
	}
	m.term, m.fencedBy, m.primary = term, by, false
	return true
}

// promote makes the member the primary of a term, and reports false if the member
// did not grant this term to the host by. A new primary appends an entry of its
// own term.
func (m *member) promote(term uint64, by string) bool {
	if term != m.term || by != m.fencedBy {
		return false
	}
	if m.primary {
		return true
	}
	m.base = m.markAt(len(m.log))
	m.primary = true
	m.append(entry{term: term})
	return true
}

// append adds an entry to a primary's log and starts its replication.
func (m *member) append(e entry) {
	m.add(e)
	m.applied = len(m.log)
	for _, o := range m.sim.members {
		if o != m {
			o.follow()
		}
	}
}

// add appends an entry to the log and updates the indexes positions and keyKinds.
func (m *member) add(e entry) {
	m.log = append(m.log, e)
	if e.id != "" {
		m.positions[e.id] = append(m.positions[e.id], len(m.log))
	}
	if e.key != "" {
		m.keyKinds[e.key] = e.kind
	}
}

// truncate removes all entries after the first n and rebuilds the indexes.
func (m *member) truncate(n int) {
	rest := m.log[:n:n]
	m.log = nil
	clear(m.positions)
	clear(m.keyKinds)
	for _, e := range rest {
		m.add(e)
	}
}

// followRetryDelay is the delay before a member that is behind the primary
// copies from it again.
const followRetryDelay = 10 * time.Millisecond

// follow schedules a copy of the entries that the primaries have now. The copy
// arrives after the ship lag. Several copies may be in flight at a time.
func (m *member) follow() {
	lengths := map[*member]int{}
	for _, p := range m.sim.members {
		lengths[p] = len(p.log)
	}
	m.sim.after(m.shipLag+m.sim.delay(), func() { m.followNow(lengths) })
}

// followNow copies from each reachable primary whose term is not lower than the
// member's. lengths holds the log length of each primary when the copy was
// scheduled; later entries are not copied. followNow schedules another copy if the
// member is still behind.
func (m *member) followNow(lengths map[*member]int) {
	for _, p := range m.sim.members {
		if p == m || !p.primary || p.term < m.term || m.sim.partitioned(p.name, m.name) {
			continue
		}
		m.copyFrom(p, lengths[p])
	}
	if p := m.sim.primaryMember(); p != nil && p != m && m.markAt(len(m.log)) != p.markAt(len(p.log)) && !m.retryScheduled {
		m.retryScheduled = true
		m.sim.after(followRetryDelay, func() {
			m.retryScheduled = false
			m.follow()
		})
	}
}

// copyFrom copies the first length entries of a primary's log and removes the
// member's entries that are not in this log. It ignores a late copy, which has
// only entries that the member already has. Copied entries become visible to reads
// after the apply lag.
func (m *member) copyFrom(p *member, length int) {
	if m.primary && p.term == m.term {
		return
	}
	if p.term > m.term {
		m.term, m.fencedBy = p.term, ""
	}
	m.primary = false
	length = min(length, len(p.log))
	common := min(length, len(m.log))
	for common > 0 && p.log[common-1].term != m.log[common-1].term {
		common--
	}
	if common == length && length < len(m.log) && p.log[length-1].term == m.log[length-1].term &&
		len(p.log) >= len(m.log) && p.log[len(m.log)-1].term == m.log[len(m.log)-1].term {
		return
	}
	if common < len(m.log) {
		m.truncate(common)
	}
	for _, e := range p.log[common:length] {
		m.add(e)
	}
	m.applied = min(m.applied, common)
	n := len(m.log)
	m.sim.after(m.applyLag, func() {
		if !m.primary {
			m.applied = max(m.applied, min(n, len(m.log)))
		}
	})
}

// contains reports whether the first n entries include a write of the request id.
func (m *member) contains(id string, n int) bool {
	positions := m.positions[id]
	return len(positions) > 0 && positions[0] <= n
}

// newestWrite returns the ID of the last write among the first n entries, or "" if
// they contain none. A log that contains this write also contains every earlier
// one.
func (m *member) newestWrite(n int) string {
	for i := min(n, len(m.log)); i > 0; i-- {
		if m.log[i-1].id != "" {
			return m.log[i-1].id
		}
	}
	return ""
}
