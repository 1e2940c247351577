package audit_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/audit"
)

// store is an in-memory object store. While down is set, writes fail. While
// loseAnswers is set, writes take effect but return an error.
type store struct {
	mu          sync.Mutex
	objects     map[string]string
	down        bool
	loseAnswers bool
}

func (s *store) PutObject(_ context.Context, name string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errors.New("down")
	}
	if _, ok := s.objects[name]; !ok {
		s.objects[name] = string(body)
	}
	if s.loseAnswers {
		return errors.New("no answer")
	}
	return nil
}

func (s *store) content() string {
	var content strings.Builder
	for _, o := range s.objects {
		content.WriteString(o)
	}
	return content.String()
}

// A record must be in the trail once, even if the answer to its write was lost
// and the write is retried.
func TestEachRecordIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	s := &store{objects: map[string]string{}, loseAnswers: true}
	trail := audit.New("h", zap.NewNop(), s)
	trail.Record("Switch", "orders", "to m1")
	trail.Flush(t.Context())
	trail.Record("Switch", "orders", "to m2")
	s.loseAnswers = false
	trail.Flush(t.Context())
	trail.Flush(t.Context())
	is.Equal(strings.Count(s.content(), "to m1"), 1)
	is.Equal(strings.Count(s.content(), "to m2"), 1)
}

// During an outage, the buffer must not exceed its limit, and the next record
// must contain the number of dropped ones.
func TestRecordsDroppedInAnOutageAreCounted(t *testing.T) {
	is := is.New(t)
	s := &store{objects: map[string]string{}, down: true}
	trail := audit.New("h", zap.NewNop(), s)
	for range 10_500 {
		trail.Record("Change", "orders", "x")
	}
	trail.Flush(t.Context())
	waiting, _, dropped := trail.Counts()
	is.Equal(waiting, 10_000)
	is.Equal(dropped, uint64(500))
	s.down = false
	for range 20 {
		trail.Flush(t.Context())
	}
	trail.Record("Change", "orders", "after")
	trail.Flush(t.Context())
	is.True(strings.Contains(s.content(), `"Missing":500`))
}
