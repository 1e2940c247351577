// Package recent keeps the most recent decisions about requests in memory, for
// the command explain.
package recent

import (
	"strings"
	"sync"
	"time"
)

// capacity is the number of decisions that are kept.
const capacity = 8192

// decision is one decision about a request of a session.
type decision struct {
	at      time.Time
	group   string
	id      string
	session string
	text    string
}

// Decisions is a ring buffer of decisions. A new one overwrites the oldest.
type Decisions struct {
	mu        sync.Mutex
	decisions [capacity]decision
	next      int
}

// New returns an empty ring buffer.
func New() *Decisions {
	return &Decisions{}
}

// Note adds one decision about a request of a session.
func (ds *Decisions) Note(group, id, session, text string) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.decisions[ds.next%capacity] = decision{time.Now(), group, id, session, text}
	ds.next++
}

// Explain returns the decisions about a session, a request or a group, one line
// for each, the oldest first.
func (ds *Decisions) Explain(name string) []string {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	var lines []string
	for i := max(ds.next-capacity, 0); i < ds.next; i++ {
		d := ds.decisions[i%capacity]
		if d.session == name || d.id == name || d.group == name {
			lines = append(lines, d.line())
		}
	}
	return lines
}

func (d decision) line() string {
	fields := []string{d.at.UTC().Format(time.RFC3339Nano), d.group, d.id, d.text}
	return strings.Join(fields, " ")
}
