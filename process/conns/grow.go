package conns

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// grow opens connections for those that wait.
func (s *Pool) grow() {
	if s.closed || len(s.waiting) == 0 {
		return
	}
	now := s.now()
	if now < s.pause {
		s.later(s.pause - now)
		return
	}
	for s.opening < len(s.waiting) && s.count+s.opening < s.most {
		if s.count+s.opening >= s.base {
			if now < s.next || s.opening > 0 {
				s.later(max(s.next-now, growPause/2))
				return
			}
			s.next = now + growPause
		}
		s.opening++
		go s.add()
	}
}

func (s *Pool) later(wait time.Duration) {
	if s.retry {
		return
	}
	s.retry = true
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.retry = false
		s.grow()
	})
}

func (s *Pool) add() {
	ctx, stop := context.WithTimeout(context.Background(), openTimeout)
	defer stop()
	l, err := s.open(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening--
	switch {
	case err == nil && s.closed:
		l.Close()
	case err == nil:
		s.count++
		if s.count >= s.base && s.warmed == 0 {
			s.warmed = s.now()
		}
		s.hand(l)
		s.grow()
	case errors.Is(err, ErrTargetFull):
		s.pause = s.now() + fullPause
		if s.count == 0 {
			s.fail(err)
		}
		s.grow()
	default:
		s.fail(err)
	}
}

// fail tells all that wait that no connection can be had.
func (s *Pool) fail(err error) {
	for _, w := range s.waiting {
		w.granted <- grant{err: err}
	}
	s.waiting = nil
}
