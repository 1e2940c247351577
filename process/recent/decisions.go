// Package recent keeps the most recent decisions about requests and groups in
// memory, for the operator command explain.
package recent

import (
	"strings"
	"sync"
	"time"
)

// capacity is the number of decisions that the ring buffer holds.
const capacity = 8192

// decision is one decision about a request, a session or a group. id is the
// request's ID. id and session are empty where the decision concerns no single
// request or session.
type decision struct {
	at      time.Time
	group   string
	id      string
	session string
	text    string
}

// Decisions is a ring buffer of decisions. When it is full, a new decision
// overwrites the oldest one.
type Decisions struct {
	// mu protects the fields below.
	mu        sync.Mutex
	decisions [capacity]decision
	// added counts the decisions added so far. The next decision is stored at
	// index added % capacity.
	added int
}

// New returns an empty ring buffer.
func New() *Decisions {
	return &Decisions{}
}

// Note adds a decision about a request, a session or a group.
func (ds *Decisions) Note(group, id, session, text string) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.decisions[ds.added%capacity] = decision{time.Now(), group, id, session, text}
	ds.added++
}

// Explain returns the decisions whose session, request or group has the given
// name, oldest first, one line for each.
func (ds *Decisions) Explain(name string) []string {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	var lines []string
	for i := max(ds.added-capacity, 0); i < ds.added; i++ {
		d := ds.decisions[i%capacity]
		if d.session == name || d.id == name || d.group == name {
			lines = append(lines, d.line())
		}
	}
	return lines
}

// line returns the decision's time in UTC, its group, its request and its text,
// separated by spaces.
func (d decision) line() string {
	fields := []string{d.at.UTC().Format(time.RFC3339Nano), d.group, d.id, d.text}
	return strings.Join(fields, " ")
}
