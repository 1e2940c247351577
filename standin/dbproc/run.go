package dbproc

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/ctlmsg"
)

// run runs a statement. It returns the reply and the index of the entry that a peer must
// receive before the reply is sent, or -1; the caller holds the lock.
func (s *session) run(st stmt.Stmt) (reply.Reply, int) {
	m := s.member
	if at := st.After; !at.IsZero() {
		prefix := fmt.Sprintf("%d.%d ", at.Term, at.Position)
		if at.Position > uint64(m.applied) || !strings.HasPrefix(m.log[at.Position-1], prefix) {
			return reply.Refuse(code.NotRunNoFresh, ""), -1
		}
	}
	if s.tx != nil && !s.tx.read && (!m.leads || m.term != s.tx.term) && st.Kind != stmt.Rollback && (st.Kind != stmt.Commit || len(s.tx.writes) > 0) {
		s.tx.failed = true
		return reply.Refuse(code.NotRunNoPrimary, ""), -1
	}
	switch st.Kind {
	case stmt.Begin:
		if !m.leads {
			return reply.Refuse(code.NotRunNoPrimary, ""), -1
		}
		s.tx = &transaction{term: m.term}
	case stmt.BeginRead:
		s.tx = &transaction{read: true}
	case stmt.Rollback:
		s.tx = nil
	case stmt.Commit:
		return s.commit(st)
	case stmt.Reset:
		clear(s.values)
		clear(s.prepared)
	case stmt.Set:
		s.values[st.Name] = st.Rest
	case stmt.Prepare:
		s.prepared[st.Name] = st.Rest
	case stmt.Deallocate:
		delete(s.prepared, st.Name)
	case stmt.Execute:
		if _, ok := s.prepared[st.Name]; !ok {
			return reply.Refuse(code.NotRunUnprepared, ""), -1
		}
		return s.runData(st, st.Rest)
	case stmt.Read, stmt.Write:
		return s.runData(st, strings.TrimSpace(st.Name+" "+st.Rest))
	}
	return reply.Done(0), -1
}

// runData runs a read or a write. arguments is the item, followed for a write by its value.
func (s *session) runData(st stmt.Stmt, arguments string) (reply.Reply, int) {
	m := s.member
	item, value, _ := strings.Cut(arguments, " ")
	signed := reply.Reply{Signature: m.ID + " " + st.ID}
	if !st.WritesData() {
		signed.Rows = []string{m.values[item]}
		return signed, -1
	}
	if !m.leads || s.tx != nil && s.tx.read {
		if s.tx != nil {
			s.tx.failed = true
		}
		return reply.Refuse(code.NotRunNoPrimary, ""), -1
	}
	if s.tx != nil {
		s.tx.writes = append(s.tx.writes, write{item, value})
		return signed, -1
	}
	return s.append(st, signed, write{item, value})
}

// commit ends the open transaction and appends its writes as one entry.
func (s *session) commit(st stmt.Stmt) (reply.Reply, int) {
	tx := s.tx
	s.tx = nil
	if tx == nil || tx.failed {
		return reply.Refuse(code.TransactionLost, ""), -1
	}
	signed := reply.Reply{Signature: s.member.ID + " " + st.ID}
	if len(tx.writes) == 0 {
		return signed, -1
	}
	return s.append(st, signed, tx.writes...)
}

// append appends an entry. It refuses if the member does not lead any more.
func (s *session) append(st stmt.Stmt, signed reply.Reply, writes ...write) (reply.Reply, int) {
	m, term := s.member, s.member.term
	var entry strings.Builder
	fmt.Fprintf(&entry, "%d.%d %s", term, len(m.log)+1, st.ID)
	for _, w := range slices.Clip(writes) {
		fmt.Fprintf(&entry, "\n%s %s", w.item, w.value)
	}
	if !m.call(ctlmsg.Message{Kind: ctlmsg.Append, Term: term, From: len(m.log), Entries: []string{entry.String()}}) {
		return reply.Refuse(code.NotRunNoPrimary, ""), -1
	}
	m.apply(len(m.log))
	m.notify()
	return signed, len(m.log) - 1
}
