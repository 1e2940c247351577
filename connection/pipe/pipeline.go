// Package pipe follows the answers of a target through a pipeline in which
// messages of the caller and of the proxy are mixed.
package pipe

// The parts of a pipeline.
const (
	// Caller is a message of the caller; its answers are passed on.
	Caller = iota
	// Prepare is a message that makes the slot ready; only its errors are passed on.
	Prepare
	// Marker is the message that inserts the idempotency key.
	Marker
	// Commit is the message that commits the request with its key.
	Commit
	// Position is the message that asks for the member's report.
	Position
)

type step struct {
	kind  byte
	part  int
	synth []byte
}

// Pipeline is the list of answers that a target still owes.
type Pipeline struct {
	steps []step
}

// New returns an empty script.
func New() *Pipeline {
	return &Pipeline{}
}

// Expect adds the answer to a message of the given frame type. Messages that
// have no answer of their own are left out by the caller of Expect.
func (s *Pipeline) Expect(kind byte, part int) {
	s.steps = append(s.steps, step{kind: kind, part: part})
}

// AddLocal adds an answer that the proxy gives itself in place of the target.
func (s *Pipeline) AddLocal(frame []byte) {
	s.steps = append(s.steps, step{part: Caller, synth: frame})
}

// Done tells whether nothing is owed any more.
func (s *Pipeline) Done() bool {
	return len(s.steps) == 0
}

// Next takes the type of one frame of the target. It returns the part of the
// pipeline that the frame belongs to, and the proxy's own answers that go
// before it.
func (s *Pipeline) Next(kind byte) (part int, before []byte) {
	for len(s.steps) > 0 && s.steps[0].synth != nil {
		before = append(before, s.steps[0].synth...)
		s.steps = s.steps[1:]
	}
	if len(s.steps) == 0 {
		return Caller, before
	}
	part = s.steps[0].part
	switch {
	case kind == 'E':
		s.fail()
	case completes(s.steps[0].kind, kind):
		s.steps = s.steps[1:]
	}
	return part, before
}

// fail drops what a target skips after an error: all up to the next Sync.
func (s *Pipeline) fail() {
	for len(s.steps) > 0 && s.steps[0].kind != 'S' && s.steps[0].kind != 'Q' {
		s.steps = s.steps[1:]
	}
}

// completes tells whether a frame ends the answer to a message.
func completes(message, frame byte) bool {
	switch message {
	case 'P':
		return frame == '1'
	case 'B':
		return frame == '2'
	case 'C':
		return frame == '3'
	case 'D':
		return frame == 'T' || frame == 'n'
	case 'E':
		return frame == 'C' || frame == 'I' || frame == 's'
	case 'S', 'Q':
		return frame == 'Z'
	}
	return false
}
