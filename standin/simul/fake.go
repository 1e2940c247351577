package simul

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// The ways in which members can break what they promise, to see that a check
// notices.
const (
	// DefectReceived reports all that any primary holds as received.
	DefectReceived = "received"
	// DefectApplied tells that reads see all that the primary holds.
	DefectApplied = "applied"
	// DefectTerm reports in the term of the oldest primary that there is.
	DefectTerm = "term"
	// DefectMarks reports an empty log to whoever fences a member.
	DefectMarks = "marks"
	// DefectKeys forgets which idempotency keys ran.
	DefectKeys = "keys"
)

// entry is one committed write in a member's log.
type entry struct {
	term uint64
	id   string
	key  string
	kind string
}

// fake is one member: a log, a term and a role, and its slots.
type fake struct {
	world   *Simulation
	name    string
	term    uint64
	by      string
	primary bool
	base    mark.Mark
	log     []entry
	places  map[string][]int
	kinds   map[string]string
	applied int
	ship    time.Duration
	apply   time.Duration
	leaving bool
	slots   map[slotKey]*fakeSlot
	held    []func()
	copying bool
}

// slotKey names a slot over all owners.
type slotKey struct {
	owner int
	slot  uint64
}

// fakeSlot is one slot as its member sees it.
type fakeSlot struct {
	open    bool
	wrote   []entry
	failed  bool
	running string
	stopped bool
}

func newFake(w *Simulation, name string) *fake {
	return &fake{world: w, name: name, ship: w.ship, apply: w.apply, slots: map[slotKey]*fakeSlot{}, places: map[string][]int{}, kinds: map[string]string{}}
}

// receive has the member take a message of a host now, or, while the two are
// apart, once they are together again.
func (m *fake) receive(from string, f func()) {
	if m.world.apart(from, m.name) {
		m.held = append(m.held, func() { m.receive(from, f) })
		return
	}
	f()
}

func (m *fake) deliver() {
	held := m.held
	m.held = nil
	for _, f := range held {
		m.world.after(m.world.delay(), f)
	}
}

func (m *fake) report() report.Report {
	if m.world.lie == DefectTerm {
		return m.reportOld()
	}
	return report.Report{
		Member: m.name, Term: m.term, Primary: m.primary, Received: m.told(DefectReceived, m.markAt(len(m.log))),
		Applied: m.told(DefectApplied, m.markAt(m.applied)), Base: m.base, Leaving: m.leaving, Slots: m.world.slots,
	}
}

// reportOld reports as if the oldest primary still led.
func (m *fake) reportOld() report.Report {
	term := m.term
	for _, o := range m.world.members {
		if o.primary {
			term = min(term, o.term)
		}
	}
	return report.Report{
		Member: m.name, Term: term, Primary: m.primary, Received: mark.New(term, uint64(len(m.log))),
		Applied: m.markAt(m.applied), Base: m.base, Leaving: m.leaving, Slots: m.world.slots,
	}
}

// told returns a mark, or the newest that any primary holds where the members
// lie in that way.
func (m *fake) told(lie string, at mark.Mark) mark.Mark {
	if m.world.lie != lie {
		return at
	}
	for _, o := range m.world.members {
		if end := o.markAt(len(o.log)); o.primary {
			at = at.Max(end)
		}
	}
	return at
}

func (m *fake) markAt(n int) mark.Mark {
	if n == 0 {
		return mark.Mark{}
	}
	return mark.New(m.log[n-1].term, uint64(n))
}

func (m *fake) fence(term uint64, by string) bool {
	if term == m.term && by == m.by && !m.primary {
		return true
	}
	if term <= m.term {
		return false
	}
	m.term, m.by, m.primary = term, by, false
	return true
}

func (m *fake) promote(term uint64, by string) bool {
	if term != m.term || by != m.by {
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

// append adds an entry at a primary and sends it on.
func (m *fake) append(e entry) {
	m.add(e)
	m.applied = len(m.log)
	for _, o := range m.world.members {
		if o != m {
			o.follow()
		}
	}
}

// add puts an entry at the end of the log and into its index.
func (m *fake) add(e entry) {
	m.log = append(m.log, e)
	if e.id != "" {
		m.places[e.id] = append(m.places[e.id], len(m.log))
	}
	if e.key != "" {
		m.kinds[e.key] = e.kind
	}
}

// cutTo drops the entries after the first n.
func (m *fake) cutTo(n int) {
	rest := m.log[:n:n]
	m.log = nil
	clear(m.places)
	clear(m.kinds)
	for _, e := range rest {
		m.add(e)
	}
}

// followAgain is the pause before a member looks for its primary again.
const followAgain = 10 * time.Millisecond

// follow copies from the primaries what they hold now, after the lag. Several
// copies may be on their way at a time.
func (m *fake) follow() {
	lengths := map[*fake]int{}
	for _, p := range m.world.members {
		lengths[p] = len(p.log)
	}
	m.world.after(m.ship+m.world.delay(), func() { m.followNow(lengths) })
}

// followNow takes what the primaries held when the copy set out.
func (m *fake) followNow(lengths map[*fake]int) {
	for _, p := range m.world.members {
		if p == m || !p.primary || p.term < m.term || m.world.apart(p.name, m.name) {
			continue
		}
		m.copyFrom(p, lengths[p])
	}
	if p := m.world.leader(); p != nil && p != m && m.markAt(len(m.log)) != p.markAt(len(p.log)) && !m.copying {
		m.copying = true
		m.world.after(followAgain, func() {
			m.copying = false
			m.follow()
		})
	}
}

func (m *fake) copyFrom(p *fake, length int) {
	if m.primary && p.term == m.term {
		return
	}
	if p.term > m.term {
		m.term, m.by = p.term, ""
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
		m.cutTo(common)
	}
	for _, e := range p.log[common:length] {
		m.add(e)
	}
	m.applied = min(m.applied, common)
	n := len(m.log)
	m.world.after(m.apply, func() {
		if !m.primary {
			m.applied = max(m.applied, min(n, len(m.log)))
		}
	})
}

// open gives a host a slot, unless all are taken.
func (m *fake) open(k slotKey) bool {
	if len(m.slots) >= m.world.slots {
		return false
	}
	m.slots[k] = &fakeSlot{}
	return true
}

func (m *fake) close(k slotKey) {
	if s, ok := m.slots[k]; ok {
		s.stopped = true
		delete(m.slots, k)
	}
}

func (m *fake) dropOwner(o *keeper) {
	for k := range m.slots {
		if k.owner == o.number {
			m.close(k)
		}
	}
}

// outcome is what a run gives: its result and what it could see.
type outcome struct {
	result result.Result
	seen   int
	term   uint64
}

// execute runs a call in a slot at the end of its time there.
func (m *fake) execute(s *fakeSlot, c call.Call) outcome {
	if c.Body != nil && string(c.Body) == "ROLLBACK" {
		s.open, s.failed, s.wrote = false, false, nil
		return m.answer(s, false, false)
	}
	if c.Class.Read {
		return m.answer(s, false, false)
	}
	if !m.primary {
		s.failed = s.open
		if !s.open {
			return m.answer(s, true, false)
		}
		s.open, s.wrote = false, nil
		return m.answer(s, true, false)
	}
	return m.write(s, c)
}

func (m *fake) write(s *fakeSlot, c call.Call) outcome {
	if c.Key != "" && !c.InTransaction && m.holds(c.Key) != "" {
		return m.found(s, m.holds(c.Key))
	}
	switch {
	case c.Begins:
		s.open = true
		s.wrote = []entry{{id: c.ID, key: c.Key, kind: "ran"}}
	case c.InTransaction && string(c.Body) == "COMMIT":
		m.commit(s)
	case c.InTransaction:
		s.wrote = append(s.wrote, entry{id: c.ID})
	default:
		m.append(entry{term: m.term, id: c.ID, key: c.Key, kind: "ran"})
	}
	return m.answer(s, false, false)
}

func (m *fake) commit(s *fakeSlot) {
	for _, e := range s.wrote {
		e.term = m.term
		m.append(e)
	}
	s.open, s.wrote = false, nil
}

// holds returns the kind of a key in the member's log, or an empty text.
func (m *fake) holds(key string) string {
	if m.world.lie == DefectKeys {
		return ""
	}
	return m.kinds[key]
}

func (m *fake) answer(s *fakeSlot, refused, conflict bool) outcome {
	status := result.Idle
	if s.open {
		status = result.Open
	}
	r := result.New(status, m.told(DefectApplied, m.markAt(m.applied))).WithMember(m.term, m.primary).WithRefused(refused).WithConflict(conflict)
	return outcome{result: r, seen: m.applied, term: m.term}
}

// settle withdraws a key unless the log holds it.
func (m *fake) settle(s *fakeSlot, c call.Call) outcome {
	if !m.primary {
		out := m.answer(s, true, false)
		out.result.Failure = result.Lost
		return out
	}
	kind := m.holds(c.Key)
	if kind == "" {
		kind = "withdrawn"
		m.append(entry{term: m.term, key: c.Key, kind: kind})
	}
	return m.found(s, kind)
}

// found answers that a key was in the log, with the answer kept beside it.
func (m *fake) found(s *fakeSlot, kind string) outcome {
	out := m.answer(s, false, true)
	out.result = out.result.WithWithdrawn(kind == "withdrawn").WithRestored(kind == "ran")
	return out
}

// shows tells whether a read that saw the first n entries saw the write id.
func (m *fake) shows(id string, n int) bool {
	places := m.places[id]
	return len(places) > 0 && places[0] <= n
}

// newest returns the last write among the first n entries. Logs that hold it
// hold all before it too.
func (m *fake) newest(n int) string {
	for i := min(n, len(m.log)); i > 0; i-- {
		if m.log[i-1].id != "" {
			return m.log[i-1].id
		}
	}
	return ""
}
