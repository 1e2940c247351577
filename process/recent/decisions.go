// Package recent keeps the most recent decisions for their explanation.
package recent

import (
	"strings"
	"sync"
	"time"
)

// kept is how many decisions are remembered.
const kept = 8192

type decision struct {
	at      time.Time
	group   string
	id      string
	session string
	text    string
}

// Decisions is a bounded memory of decisions; the oldest fall out.
type Decisions struct {
	mu        sync.Mutex
	decisions [kept]decision
	next      int
}

// New returns an empty memory.
func New() *Decisions {
	return &Decisions{}
}

// Note keeps one decision about a request of a session.
func (r *Decisions) Note(group, id, session, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decisions[r.next%kept] = decision{time.Now(), group, id, session, text}
	r.next++
}

// Explain returns the decisions about a session or a request, the oldest
// first, each as a line.
func (r *Decisions) Explain(name string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for i := max(r.next-kept, 0); i < r.next; i++ {
		d := r.decisions[i%kept]
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
