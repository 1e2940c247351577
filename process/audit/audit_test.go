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

// store keeps objects; while lose is set a write takes effect without an answer.
type store struct {
	mu      sync.Mutex
	objects map[string]string
	down    bool
	lose    bool
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
	if s.lose {
		return errors.New("no answer")
	}
	return nil
}

func (s *store) all() string {
	var all strings.Builder
	for _, o := range s.objects {
		all.WriteString(o)
	}
	return all.String()
}

func TestEachRecordStandsOnce(t *testing.T) {
	is := is.New(t)
	s := &store{objects: map[string]string{}, lose: true}
	trail := audit.New("h", zap.NewNop(), s)
	trail.Record("Switch", "orders", "to m1")
	trail.Flush(t.Context())
	trail.Record("Switch", "orders", "to m2")
	s.lose = false
	trail.Flush(t.Context())
	trail.Flush(t.Context())
	is.Equal(strings.Count(s.all(), "to m1"), 1)
	is.Equal(strings.Count(s.all(), "to m2"), 1)
}

func TestAnOutageIsBoundedAndCounted(t *testing.T) {
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
	is.True(strings.Contains(s.all(), `"Missing":500`))
}
