// Package copies releases acknowledged commits of a database group once a second target has
// received them.
package copies

import (
	"sync"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

// ErrReplaced is sent to a commit if a target reports entries of a later term. The next leader
// may lack the commit.
var ErrReplaced = errors.New("another target has led since")

// commit is an acknowledged commit that waits for a copy.
type commit struct {
	leader string
	mark   mark.Mark
	done   chan error
}

// Copies holds the commits that the leader has acknowledged and that wait until another target
// reports that it has received them. Its mutex may be locked while that of the ReplicaSet is
// held, but not the other way round.
type Copies struct {
	mu       sync.Mutex
	waiting  map[*commit]struct{}
	received map[string]mark.Mark
	// asking holds the targets that are being asked for their positions.
	asking map[string]bool
}

// New returns Copies without commits.
func New() *Copies {
	return &Copies{waiting: map[*commit]struct{}{}, received: map[string]mark.Mark{}, asking: map[string]bool{}}
}

// Add adds a commit that a leader acknowledged at a log position. The channel receives nil when
// another target has received the commit, or else ErrReplaced. The returned function ends the
// wait.
func (c *Copies) Add(leader string, m mark.Mark) (done <-chan error, stop func()) {
	added := &commit{leader: leader, mark: m, done: make(chan error, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[added] = struct{}{}
	for id, received := range c.received {
		c.release(added, id, received)
	}
	return added.done, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.waiting, added)
	}
}

// release ends the wait of a commit if the position that a target has received decides it; the
// caller holds the lock.
func (c *Copies) release(waiting *commit, id string, received mark.Mark) {
	if _, ok := c.waiting[waiting]; !ok || id == waiting.leader || !received.AtLeast(waiting.mark) {
		return
	}
	delete(c.waiting, waiting)
	if received.Term != waiting.mark.Term {
		waiting.done <- ErrReplaced
		return
	}
	waiting.done <- nil
}

// Received records the log position that a target has received, and reports whether that ended
// the wait of a commit.
func (c *Copies) Received(id string, m mark.Mark) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received[id] = m
	before := len(c.waiting)
	for waiting := range c.waiting {
		c.release(waiting, id, m)
	}
	return len(c.waiting) < before
}

// Forget forgets a target that is not registered any more.
func (c *Copies) Forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.received, id)
}

// Ask reports whether the caller has to ask a target for its position: a commit waits for that,
// and nobody asks the target yet.
func (c *Copies) Ask(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asking[id] || !c.waitsFor(id) {
		return false
	}
	c.asking[id] = true
	return true
}

// AskAgain reports whether a commit still waits for a target that is being asked. If none does,
// the target is no longer being asked.
func (c *Copies) AskAgain(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waitsFor(id) {
		delete(c.asking, id)
	}
	return c.asking[id]
}

// waitsFor reports whether a commit waits that a target may have received; the caller holds the
// lock.
func (c *Copies) waitsFor(id string) bool {
	for waiting := range c.waiting {
		if waiting.leader != id {
			return true
		}
	}
	return false
}
