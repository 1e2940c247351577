package dbproc

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiotray/pistachiotray/platform/lines"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/ctlmsg"
	"github.com/pistachiotray/pistachiotray/standin/query"
)

const (
	// connectionLimit is how many connections of hosts a member accepts.
	connectionLimit = 32
	// slotTimeout is the longest wait for a slot.
	slotTimeout = 300 * time.Millisecond
)

// write sets the value of an item.
type write struct{ item, value string }

// writesOf returns the writes of an entry.
func writesOf(entry string) []write {
	var writes []write
	for _, l := range strings.Split(entry, "\n")[1:] {
		item, value, _ := strings.Cut(l, " ")
		writes = append(writes, write{item, value})
	}
	return writes
}

// session is a connection of a host.
type session struct {
	member *member
	host   string
	// closed is closed when the host has closed the connection.
	closed           chan struct{}
	values, prepared map[string]string
	tx               *transaction
}

type transaction struct {
	read, failed bool
	term         uint64
	writes       []write
}

func (m *member) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go m.serve(c)
	}
}

// serve serves a connection until either side closes it.
func (m *member) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	sc := bufio.NewScanner(c)
	if !sc.Scan() {
		return
	}
	fields := strings.Fields(sc.Text())
	if len(fields) < 3 || fields[0] != "START" || fields[1] != m.Group || len(fields) > 3 && fields[3] != m.ID {
		_, _ = c.Write(lines.AppendError(nil, code.NotRunWrongTarget, m.ID))
		return
	}
	m.mu.Lock()
	full := m.connections >= connectionLimit
	if !full {
		m.connections++
	}
	m.mu.Unlock()
	if full {
		_, _ = c.Write(lines.AppendError(nil, code.TooManyCallers, m.ID))
		return
	}
	defer func() { m.mu.Lock(); m.connections--; m.mu.Unlock() }()
	m.slots <- struct{}{}
	time.Sleep(m.Connect)
	<-m.slots
	s := &session{member: m, host: fields[2], closed: make(chan struct{}), values: map[string]string{}, prepared: map[string]string{}}
	received, done := make(chan string), make(chan struct{})
	defer close(done)
	go func() {
		defer close(s.closed)
		for sc.Scan() {
			select {
			case received <- sc.Text():
			case <-done:
				return
			}
		}
	}()
	m.mu.Lock()
	greeting := lines.AppendReady(nil, reply.Idle, m.appliedMark())
	m.mu.Unlock()
	_, _ = c.Write(greeting)
	for {
		select {
		case line := <-received:
			answer, ok := s.answer(line)
			if !ok {
				return
			}
			_, _ = c.Write(answer)
		case <-s.closed:
			return
		}
	}
}

// appliedMark returns the position of the last entry that reads see; the caller holds the
// lock.
func (m *member) appliedMark() mark.Mark { return markOf(m.log[:m.applied]) }

// markOf returns the position of the last entry of a log.
func markOf(log []string) mark.Mark {
	if len(log) == 0 {
		return mark.Mark{}
	}
	text, _, _ := strings.Cut(log[len(log)-1], " ")
	at, _ := lines.ParseMark(text)
	return at
}

// takeSlot waits for a slot, and returns false if there is none in time.
func (m *member) takeSlot() bool {
	select {
	case m.slots <- struct{}{}:
		return true
	case <-time.After(slotTimeout):
		return false
	}
}

// answer runs the statement in a line and returns the encoded answer. It returns false if
// the connection must be closed without an answer.
func (s *session) answer(line string) ([]byte, bool) {
	rest, ok := strings.CutPrefix(line, "QUERY ")
	id, text, _ := strings.Cut(rest, " ")
	if !ok {
		return nil, false
	}
	m, st := s.member, query.Parse(id, text)
	switch st.Kind {
	case stmt.Read, stmt.Write, stmt.Execute, stmt.Commit, stmt.Status:
		if !m.takeSlot() {
			return s.encode(reply.Refuse(code.NotRunBusy, "")), true
		}
		if st.Kind != stmt.Status {
			time.Sleep(m.Work)
		}
		<-m.slots
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.call(ctlmsg.Message{Kind: ctlmsg.State})
	switch st.Kind {
	case stmt.Pause, stmt.Resume, stmt.Status, stmt.Demote:
		return s.encode(m.command(st, s.host)), true
	}
	r, index := s.run(st)
	if index >= 0 && !s.acknowledge(index) {
		return nil, false
	}
	return s.encode(r), true
}

// encode encodes a reply with the position and the transaction state; the caller holds the
// lock, or the reply refuses a statement.
func (s *session) encode(r reply.Reply) []byte {
	r.Status = reply.Idle
	switch {
	case s.tx != nil && s.tx.failed:
		r.Status = reply.Failed
	case s.tx != nil:
		r.Status = reply.Open
	}
	if r.Code != code.NotRunBusy {
		r.Mark = s.member.appliedMark()
	}
	return lines.AppendReply(nil, r)
}

// command runs a command and returns the row that reports the member's state; the caller
// holds the lock.
func (m *member) command(st stmt.Stmt, host string) reply.Reply {
	term, _ := strconv.ParseUint(st.Rest, 10, 64)
	switch {
	case st.Kind == stmt.Pause && !m.leads && term > m.term:
		m.pauseTerm = term
	case st.Kind == stmt.Demote && m.leads && term > m.term:
		m.call(ctlmsg.Message{Kind: ctlmsg.Demote, Term: term, Caller: host})
	case st.Kind == stmt.Resume:
		m.pauseTerm = 0
	}
	role, at := "replica", "-"
	if m.leads {
		role = "primary"
	}
	if last := markOf(m.log); !last.IsZero() {
		at = fmt.Sprintf("%d.%d", last.Term, last.Position)
	}
	row := fmt.Sprintf("%s %d %s %d 0 %d %d", role, m.term, at, m.pauseTerm, len(m.slots), m.connections)
	return reply.Reply{Rows: []string{row}, Signature: reply.NoSignature}
}

// acknowledge waits until a peer has received the entry with an index, and reports whether
// the commit may be acknowledged. It returns false if the host has closed the connection or
// the member does not ship in the term any more: the outcome is unknown then. The caller holds
// the lock, which is released while it waits.
func (s *session) acknowledge(index int) bool {
	m := s.member
	term := m.term
	for !m.received(index) {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-s.closed:
			m.mu.Lock()
			return false
		}
		m.mu.Lock()
		if !m.ships || m.term != term {
			return false
		}
	}
	return m.call(ctlmsg.Message{Kind: ctlmsg.Ack, Term: term, From: index, Caller: s.host})
}
