// Package sess defines the state of a PostgreSQL session at the host that serves
// its caller.
package sess

import (
	"maps"
	"slices"
	"strings"

	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/version/class"
)

// Session is the state of one caller's session. A Session is immutable; its With
// methods return changed copies.
type Session struct {
	// ID is the id of the session, unique over all hosts.
	ID string
	// User, Group and Application are from the caller's startup message.
	User        string
	Group       string
	Application string
	// Floor is the newest log position that the session has seen. Its reads must not
	// show older data.
	Floor mark.Mark
	// FloorKnown means that Floor is set. Otherwise the owner must determine the
	// floor of a read by a read index.
	FloorKnown bool
	// Status is the state of the session's transaction as in ReadyForQuery: 'I', 'T'
	// or 'E'.
	Status byte
	// TransactionLost means that the session's transaction was lost and the caller
	// has yet to end it.
	TransactionLost bool
	// Class is the class of the open transaction.
	Class class.Class
	// Key is the idempotency key of the open transaction, or empty.
	Key string
	// Sequence counts the session's requests.
	Sequence uint64

	// prepared holds the prepared statements by the caller's name, and preparedBytes is the
	// memory that they take.
	prepared      map[string]statement
	preparedBytes int
	// settings are the session's settings, in the order in which they were set.
	settings []setting
	// pending are the changes of settings made in the open transaction.
	pending []setting
}

// statement is a prepared statement: its name at targets, and the Parse frame that
// prepares it there.
type statement struct {
	targetName string
	frame      []byte
}

// setting is the name of a setting and the statement that sets it. An empty
// statement resets the setting to its default.
type setting struct {
	name      string
	statement string
}

// New returns a session outside of a transaction.
func New(id, user, group, application string) Session {
	return Session{ID: id, User: user, Group: group, Application: application, Status: 'I'}
}

// WithFloor returns the session after it has seen a log position. The floor never
// moves back; a zero position changes nothing.
func (s Session) WithFloor(m mark.Mark) Session {
	s.Floor = s.Floor.Max(m)
	s.FloorKnown = s.FloorKnown || !m.IsZero()
	return s
}

// WithNextRequest returns the session with its request counter incremented.
func (s Session) WithNextRequest() Session {
	s.Sequence++
	return s
}

// WithTransaction returns the session with the class and the idempotency key of a
// transaction.
func (s Session) WithTransaction(c class.Class, key string) Session {
	s.Class = c
	s.Key = key
	return s
}

// WithStatus returns the session with its transaction in another state. With 'I', the
// transaction ends: settings made in it are kept only if it committed, and the session
// has no idempotency key and no lost transaction any more.
func (s Session) WithStatus(status byte, committed bool) Session {
	s.Status = status
	if status != 'I' {
		return s
	}
	if committed {
		for _, p := range s.pending {
			s = s.applySetting(p)
		}
	}
	s.pending = nil
	s.TransactionLost = false
	s.Key = ""
	return s
}

// WithTransactionLost returns the session after its transaction was lost. The
// caller must end it before any other request is run.
func (s Session) WithTransactionLost() Session {
	s.Status = 'E'
	s.TransactionLost = true
	s.pending = nil
	return s
}

// WithPrepared returns the session with a prepared statement, given the caller's name
// of the statement, its name at targets, and the Parse frame that prepares it at
// targets.
func (s Session) WithPrepared(name, targetName string, frame []byte) Session {
	s.prepared = maps.Clone(s.prepared)
	if s.prepared == nil {
		s.prepared = map[string]statement{}
	}
	s.preparedBytes -= s.statementBytes(name)
	s.prepared[name] = statement{targetName, frame}
	s.preparedBytes += s.statementBytes(name)
	return s
}

// entryBytes is the memory that a statement or setting takes besides its texts.
const entryBytes = 128

// statementBytes returns the memory that a prepared statement takes, 0 if there is none of that
// name.
func (s Session) statementBytes(name string) int {
	p, ok := s.prepared[name]
	if !ok {
		return 0
	}
	return entryBytes + len(name) + len(p.targetName) + len(p.frame)
}

// Kept returns how many prepared statements and settings the session has, and the memory that
// they take, in bytes.
func (s Session) Kept() (count, size int) {
	size = s.preparedBytes
	for _, settings := range [][]setting{s.settings, s.pending} {
		for _, p := range settings {
			size += entryBytes + len(p.name) + len(p.statement)
		}
	}
	return len(s.prepared) + len(s.settings) + len(s.pending), size
}

// WithoutPrepared returns the session without a prepared statement.
func (s Session) WithoutPrepared(name string) Session {
	if _, ok := s.prepared[name]; !ok {
		return s
	}
	s.preparedBytes -= s.statementBytes(name)
	s.prepared = maps.Clone(s.prepared)
	delete(s.prepared, name)
	return s
}

// Prepared returns the name at targets and the Parse frame of the prepared statement
// with a caller's name.
func (s Session) Prepared(name string) (targetName string, frame []byte, ok bool) {
	p, ok := s.prepared[name]
	return p.targetName, p.frame, ok
}

// WithSetting returns the session after a statement that changes a setting, or that
// resets it to its default if reset is true. A reset of ALL resets every setting.
// Inside a transaction the change takes effect when the transaction commits.
func (s Session) WithSetting(name, statement string, reset bool) Session {
	p := setting{name, statement}
	if reset {
		p.statement = ""
	}
	if s.Status != 'I' {
		s.pending = append(slices.Clone(s.pending), p)
		return s
	}
	return s.applySetting(p)
}

// applySetting returns the session with a setting changed or removed.
func (s Session) applySetting(p setting) Session {
	if p.statement == "" && p.name == "ALL" {
		s.settings = nil
		return s
	}
	s.settings = slices.DeleteFunc(slices.Clone(s.settings), func(o setting) bool { return o.name == p.name })
	if p.statement != "" {
		s.settings = append(s.settings, p)
	}
	return s
}

// Settings returns the statements that apply the session's settings, in order.
func (s Session) Settings() []string {
	if len(s.settings) == 0 {
		return nil
	}
	statements := make([]string, len(s.settings))
	for i, p := range s.settings {
		statements[i] = strings.TrimSpace(p.statement)
	}
	return statements
}
