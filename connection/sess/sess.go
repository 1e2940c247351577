// Package sess holds what a host knows of one session.
package sess

import (
	"maps"
	"slices"
	"strings"

	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/version/class"
)

// Session is the state of one caller's session. A Session is immutable; each
// change gives a new value.
type Session struct {
	// ID names the session over all hosts.
	ID string
	// User, Group and Application are those of its startup message.
	User        string
	Group       string
	Application string
	// Floor is the newest mark that the session has seen.
	Floor mark.Mark
	// FloorKnown tells that the floor is known, so that no read index is needed.
	FloorKnown bool
	// Status is the state of its transaction: 'I', 'T' or 'E'.
	Status byte
	// TransactionLost tells that its transaction was lost and the caller has yet to end it.
	TransactionLost bool
	// Class is that of the open transaction.
	Class class.Class
	// Key is the idempotency key of the open transaction, or empty.
	Key string
	// Sequence counts the session's requests.
	Sequence uint64

	prepared map[string]statement
	settings []setting
	pending  []setting
}

type statement struct {
	name  string
	frame []byte
}

type setting struct {
	name string
	text string
}

// New returns a session outside of any transaction.
func New(id, user, group, application string) Session {
	return Session{ID: id, User: user, Group: group, Application: application, Status: 'I'}
}

// WithFloor returns the session after it has seen the mark.
func (s Session) WithFloor(m mark.Mark) Session {
	s.Floor = s.Floor.Max(m)
	s.FloorKnown = s.FloorKnown || !m.IsZero()
	return s
}

// WithNextRequest returns the session with its request counter moved on.
func (s Session) WithNextRequest() Session {
	s.Sequence++
	return s
}

// WithTransaction returns the session inside a transaction of a class, with
// the transaction's idempotency key.
func (s Session) WithTransaction(c class.Class, key string) Session {
	s.Class = c
	s.Key = key
	return s
}

// WithStatus returns the session with its transaction in another state.
// Settings made in a transaction stay where it ends well.
func (s Session) WithStatus(status byte, good bool) Session {
	s.Status = status
	if status != 'I' {
		return s
	}
	if good {
		for _, p := range s.pending {
			s = s.keep(p)
		}
	}
	s.pending = nil
	s.TransactionLost = false
	s.Key = ""
	return s
}

// WithTransactionLost returns the session after its transaction was lost: the caller has
// to end it before anything else is run.
func (s Session) WithTransactionLost() Session {
	s.Status = 'E'
	s.TransactionLost = true
	s.pending = nil
	return s
}

// WithPrepared returns the session with a prepared statement: the caller's
// name for it, its name in slots, and the Parse frame under that name.
func (s Session) WithPrepared(name, inSlot string, frame []byte) Session {
	s.prepared = maps.Clone(s.prepared)
	if s.prepared == nil {
		s.prepared = map[string]statement{}
	}
	s.prepared[name] = statement{inSlot, frame}
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

// Prepared returns a prepared statement's name in slots and its Parse frame.
func (s Session) Prepared(name string) (inSlot string, frame []byte, ok bool) {
	p, ok := s.prepared[name]
	return p.name, p.frame, ok
}

// WithSetting returns the session after a statement that changes a setting;
// the name ALL with reset drops all of them.
func (s Session) WithSetting(name, text string, reset bool) Session {
	p := setting{name, text}
	if reset {
		p.text = ""
	}
	if s.Status != 'I' {
		s.pending = append(slices.Clone(s.pending), p)
		return s
	}
	return s.keep(p)
}

func (s Session) keep(p setting) Session {
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

// Settings returns the statements that bring a slot to the session's settings.
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
