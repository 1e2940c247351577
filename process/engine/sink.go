package engine

import (
	"context"
	"time"

	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/request/answer"
)

// answerSink passes the answer data that one run reads from a slot to the
// request's answer, and the caller's COPY data to the run.
type answerSink struct {
	runner *groupRunner
	slot   uint64
	id     string
	answer *answer.Answer
	run    int
}

// Append adds data to the answer. It returns true if the answer's buffer is full,
// in which case the slot must call Pause before it reads more.
func (s *answerSink) Append(p []byte) bool {
	return s.answer.Append(s.run, p)
}

// Pause notifies the group that the buffer is full, and waits until the group has
// released the chunk read so far and the caller has read enough of it. It returns
// an error if the caller left or did not read within callerTimeout.
func (s *answerSink) Pause(ctx context.Context) error {
	s.runner.submit(func(g *group.Group, now time.Time) { g.AnswerPaused(now, s.slot, s.id) })
	ctx, stop := context.WithTimeout(ctx, callerTimeout)
	defer stop()
	return s.answer.AwaitRoom(ctx)
}

// Flush releases the chunk read so far to the caller.
func (s *answerSink) Flush() {
	s.answer.Release()
}

// Input waits for COPY data of the caller and returns it, and reports whether it was
// the last of the statement.
func (s *answerSink) Input(ctx context.Context) ([]byte, bool, error) {
	ctx, stop := context.WithTimeout(ctx, callerTimeout)
	defer stop()
	return s.answer.TakeInput(ctx)
}

// Abandoned reports whether the caller no longer waits for the answer.
func (s *answerSink) Abandoned() bool {
	return s.answer.Abandoned()
}
