// Package pipe matches the answers of a target with the messages of a pipeline,
// in which messages of the caller and of the proxy are mixed.
package pipe

// The origins of the messages in a pipeline.
const (
	// Caller is a message of the caller. Its answers are forwarded.
	Caller = iota
	// Prepare is a message with which the proxy sets up the slot's session. Of its
	// answers, only errors are forwarded.
	Prepare
	// Marker is a message that inserts or looks up an idempotency key.
	Marker
	// Commit is a message that stores the answer with the key, or ends the
	// transaction around a request with a key.
	Commit
	// Position is a message that asks for the member's report.
	Position
)

// step is one expected answer. kind is the type of the message that is answered.
// local is the whole answer if the proxy makes it itself, and otherwise nil.
type step struct {
	kind   byte
	origin int
	local  []byte
}

// Pipeline is the list of answers that are still expected from a target.
type Pipeline struct {
	steps []step
}

// New returns an empty pipeline.
func New() *Pipeline {
	return &Pipeline{}
}

// Expect adds the expected answer to a message of the given frame type. It must not
// be called for a message that the target does not answer, such as Flush.
func (p *Pipeline) Expect(kind byte, origin int) {
	p.steps = append(p.steps, step{kind: kind, origin: origin})
}

// AddLocal adds an answer that the proxy makes itself, for a message that is not
// sent to the target.
func (p *Pipeline) AddLocal(frame []byte) {
	p.steps = append(p.steps, step{origin: Caller, local: frame})
}

// Done reports whether no further answer is expected.
func (p *Pipeline) Done() bool {
	return len(p.steps) == 0
}

// Next handles the next frame that the target sent, given the type of the frame. It
// returns the origin of the message that the frame answers, or Caller if no answer
// is expected, and the proxy's own answers to be sent before the frame.
func (p *Pipeline) Next(kind byte) (origin int, local []byte) {
	for len(p.steps) > 0 && p.steps[0].local != nil {
		local = append(local, p.steps[0].local...)
		p.steps = p.steps[1:]
	}
	if len(p.steps) == 0 {
		return Caller, local
	}
	origin = p.steps[0].origin
	switch {
	case kind == 'E':
		p.skipToSync()
	case completes(p.steps[0].kind, kind):
		p.steps = p.steps[1:]
	}
	return origin, local
}

// skipToSync removes the answers to the messages that a target skips after an
// error: all up to the next Sync or simple Query.
func (p *Pipeline) skipToSync() {
	for len(p.steps) > 0 && p.steps[0].kind != 'S' && p.steps[0].kind != 'Q' {
		p.steps = p.steps[1:]
	}
}

// completes reports whether a frame of the target ends the answer to a message, given
// the types of both.
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
