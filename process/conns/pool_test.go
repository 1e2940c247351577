package conns_test

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// link is a connection that does nothing.
type link struct{ closed bool }

func (*link) Run(context.Context, []stmt.Stmt) ([]reply.Reply, error)  { return nil, nil }
func (*link) Report(context.Context, stmt.Stmt) (report.Report, error) { return report.Report{}, nil }
func (l *link) Broken() bool                                           { return l.closed }
func (l *link) Close()                                                 { l.closed = true }
func clock() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Hour + time.Since(began) }
}

func opens(d time.Duration, n *atomic.Int64) func(context.Context) (*conn.Conn, error) {
	return func(context.Context) (*conn.Conn, error) {
		time.Sleep(d)
		n.Add(1)
		return conn.New("t", &link{}), nil
	}
}

var nobody caller.Caller

// Hosts that start together must all get some connections: beyond its base a
// host opens them one at a time.
func TestGrowsSlowlyBeyondTheBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		s := conns.New(32, clock(), opens(time.Millisecond, &opened))
		for range 30 {
			go func() { _, _ = s.Take(context.Background(), nobody, 0) }()
		}
		time.Sleep(10 * time.Millisecond)
		is.True(opened.Load() <= 5) // an eighth of 32 and the next one
		time.Sleep(3 * time.Second)
		is.Equal(int(opened.Load()), 30)
		s.Close()
	})
}

func TestMostUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		s := conns.New(1, clock(), opens(time.Millisecond, &opened))
		l, err := s.Take(context.Background(), nobody, 0)
		is.NoErr(err)
		var mu sync.Mutex
		var order []int
		for _, priority := range []int{3, 1, 2, 1} {
			go func() {
				l, err := s.Take(context.Background(), nobody, priority)
				if err == nil {
					mu.Lock()
					order = append(order, priority)
					mu.Unlock()
					s.Put(l)
				}
			}()
			synctest.Wait()
		}
		s.Put(l)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		is.Equal(order, []int{1, 1, 2, 3})
		is.Equal(int(opened.Load()), 1)
	})
}

func TestLateGrantGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		s := conns.New(4, clock(), opens(time.Second, &opened))
		ctx, stop := context.WithTimeout(context.Background(), time.Millisecond)
		defer stop()
		_, err := s.Take(ctx, nobody, 0)
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(2 * time.Second)
		open, idle, waiting := s.Counts()
		is.Equal([]int{open, idle, waiting}, []int{1, 1, 0})
	})
}

func TestUnreachableTargetFailsAllThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := conns.New(4, clock(), func(context.Context) (*conn.Conn, error) { return nil, syscall.ECONNREFUSED })
		_, err := s.Take(context.Background(), nobody, 0)
		is.True(errors.Is(err, syscall.ECONNREFUSED))
	})
}

func TestFullTargetIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var full atomic.Bool
		full.Store(true)
		var opened atomic.Int64
		s := conns.New(4, clock(), func(ctx context.Context) (*conn.Conn, error) {
			if full.Load() && opened.Load() > 0 {
				return nil, conns.ErrTargetFull
			}
			return opens(0, &opened)(ctx)
		})
		first, err := s.Take(context.Background(), nobody, 0)
		is.NoErr(err)
		go func() { time.Sleep(time.Second); full.Store(false) }()
		began := time.Now()
		_, err = s.Take(context.Background(), nobody, 0) // waits until there is room
		is.NoErr(err)
		is.True(time.Since(began) >= time.Second)
		s.Put(first)
	})
}

func TestBrokenConnectionsAreNotHandedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		s := conns.New(4, clock(), opens(0, &opened))
		l, err := s.Take(context.Background(), nobody, 0)
		is.NoErr(err)
		s.Put(l)
		l.Close()
		_, err = s.Take(context.Background(), nobody, 0)
		is.NoErr(err)
		is.Equal(int(opened.Load()), 2)
	})
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		s := conns.New(32, clock(), opens(0, &opened))
		var taken []*conn.Conn
		for range 4 {
			l, err := s.Take(context.Background(), nobody, 0)
			is.NoErr(err)
			taken = append(taken, l)
		}
		for _, l := range taken {
			s.Put(l)
		}
		time.Sleep(time.Second)
		s.Trim(2 * time.Second)
		_, idle, _ := s.Counts()
		is.Equal(idle, 4)
		time.Sleep(2 * time.Second)
		s.Trim(2 * time.Second)
		_, idle, _ = s.Counts()
		is.Equal(idle, 1)
	})
}

// Who would wait beyond its time is told so at once.
func TestRefusedAtOnceWhereTheWaitIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		s := conns.New(1, clock(), opens(0, &opened))
		const use = 200 * time.Millisecond
		for range 100 { // learn how long a connection is in use
			l, err := s.Take(context.Background(), nobody, 0)
			is.NoErr(err)
			time.Sleep(use)
			s.Put(l)
		}
		var served, refused atomic.Int64
		for range 20 {
			go func() {
				ctx, stop := context.WithTimeout(context.Background(), time.Second)
				defer stop()
				began := time.Now()
				l, err := s.Take(ctx, nobody, 0)
				if err != nil {
					if time.Since(began) > 10*time.Millisecond {
						t.Errorf("refused after %v", time.Since(began))
					}
					refused.Add(1)
					return
				}
				served.Add(1)
				time.Sleep(use)
				s.Put(l)
			}()
			synctest.Wait()
		}
		time.Sleep(5 * time.Second)
		is.Equal(served.Load()+refused.Load(), int64(20))
		is.True(served.Load() >= 4) // 5 uses of 200 ms fit into a second
	})
}
