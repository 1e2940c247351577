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
	// ID identifies the session at all hosts.
	ID string
	// User, Group and Application are from the caller's startup message.
	User        string
	Group       string
	Application string
	// Floor is the newest log position that the session has seen. Its reads must not
	// show older data.
	Floor mark.Mark
	// FloorKnown means that the floor is known, so that a read needs no read index.
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
	// Sequence is the number of the session's requests.
	Sequence uint64

	// prepared holds the prepared statements by the caller's name.
	prepared map[string]statement
	settings []setting
	// pending are the settings made in the open transaction.
	pending []setting
}

type statement struct {
	targetName string
	frame      []byte
}

type setting struct {
	name string
	text string
}

// New returns a session outside of a transaction.
func New(id, user, group, application string) Session {
	return Session{ID: id, User: user, Group: group, Application: application, Status: 'I'}
}

// WithFloor returns the session after it has seen a log position.
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

// WithStatus returns the session with its transaction in another state. The
// settings made in a transaction are kept if it committed.
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

// WithPrepared returns the session with a prepared statement. It takes the
// caller's name of the statement, its name at targets, and the Parse frame under
// that name.
func (s Session) WithPrepared(name, targetName string, frame []byte) Session {
	s.prepared = maps.Clone(s.prepared)
	if s.prepared == nil {
		s.prepared = map[string]statement{}
	}
	s.prepared[name] = statement{targetName, frame}
	return s
}

// WithoutPrepared returns the session without a prepared statement.
func (s Session) WithoutPrepared(name string) Session {
	if _, ok := s.prepared[name]; !ok {
		return s
	}
	s.prepared = maps.Clone(s.prepared)
	delete(s.prepared, name)
	return s
}

// Prepared returns a prepared statement's name at targets and its Parse frame.
func (s Session) Prepared(name string) (targetName string, frame []byte, ok bool) {
	p, ok := s.prepared[name]
	return p.targetName, p.frame, ok
}

// WithSetting returns the session after a statement that changes a setting. The
// name ALL with reset removes all settings.
func (s Session) WithSetting(name, text string, reset bool) Session {
	p := setting{name, text}
	if reset {
		p.text = ""
	}
	if s.Status != 'I' {
		s.pending = append(slices.Clone(s.pending), p)
		return s
	}
	return s.applySetting(p)
}

func (s Session) applySetting(p setting) Session {
	if p.text == "" && p.name == "ALL" {
		s.settings = nil
		return s
	}
	s.settings = slices.DeleteFunc(slices.Clone(s.settings), func(o setting) bool { return o.name == p.name })
	if p.text != "" {
		s.settings = append(s.settings, p)
	}
	return s
}

// Settings returns the statements that apply the session's settings, in order.
func (s Session) Settings() []string {
	if len(s.settings) == 0 {
		return nil
	}
	texts := make([]string, len(s.settings))
	for i, p := range s.settings {
		texts[i] = strings.TrimSpace(p.text)
	}
	return texts
}
