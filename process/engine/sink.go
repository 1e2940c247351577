package engine

import (
	"context"
	"time"

	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/request/answer"
)

// answerSink passes what one run reads from a slot to the request's answer.
type answerSink struct {
	runner *groupRunner
	slot   uint64
	id     string
	answer *answer.Answer
	run    int
}

// Append adds a chunk to the answer. It returns true if the answer's buffer is
// full, so that the slot must pause.
func (s *answerSink) Append(p []byte) bool {
	return s.answer.Append(s.run, p)
}

// Pause waits until the group has released the chunk read so far and the caller
// has read it.
func (s *answerSink) Pause(ctx context.Context) error {
	s.runner.submit(func(g *group.Group, now time.Time) { g.AnswerPaused(now, s.slot, s.id) })
	ctx, stop := context.WithTimeout(ctx, readTimeout)
	defer stop()
	return s.answer.AwaitRoom(ctx)
}

// Flush releases the chunk read so far to the caller.
func (s *answerSink) Flush() {
	s.answer.Release()
}

// Input waits for the caller's COPY data and returns it, and whether it was the
// last.
func (s *answerSink) Input(ctx context.Context) ([]byte, bool, error) {
	ctx, stop := context.WithTimeout(ctx, readTimeout)
	defer stop()
	return s.answer.TakeInput(ctx)
}

// Abandoned reports whether the caller no longer waits for the answer.
func (s *answerSink) Abandoned() bool {
	return s.answer.Abandoned()
}
