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

// link is a fake connection to a target. It runs no statements, and is broken
// once it has been closed.
type link struct{ closed bool }

func (*link) Run(context.Context, []stmt.Stmt) ([]reply.Reply, error)  { return nil, nil }
func (*link) Report(context.Context, stmt.Stmt) (report.Report, error) { return report.Report{}, nil }
func (l *link) Broken() bool                                           { return l.closed }
func (l *link) Close()                                                 { l.closed = true }

// clock returns a clock that starts at one hour, since a pool's clock must
// never return 0.
func clock() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Hour + time.Since(began) }
}

// openAfter returns a function that waits for d, adds 1 to n and returns a new
// connection.
func openAfter(d time.Duration, n *atomic.Int64) func(context.Context, string) (*conn.Conn, error) {
	return func(context.Context, string) (*conn.Conn, error) {
		time.Sleep(d)
		n.Add(1)
		return conn.New("t", &link{}), nil
	}
}

var noCaller caller.Caller

// Hosts that start together must all get some connections: beyond its share a
// host opens them one at a time.
func TestGrowsSlowlyBeyondItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		p := conns.New(32, clock(), openAfter(time.Millisecond, &opened))
		for range 30 {
			go func() { _, _ = p.Take(context.Background(), noCaller, 0) }()
		}
		time.Sleep(10 * time.Millisecond)
		is.True(opened.Load() <= 5) // an eighth of 32, and one more
		time.Sleep(3 * time.Second)
		is.Equal(int(opened.Load()), 30)
		p.Close()
	})
}

func TestMostUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		p := conns.New(1, clock(), openAfter(time.Millisecond, &opened))
		cn, err := p.Take(context.Background(), noCaller, 0)
		is.NoErr(err)
		var mu sync.Mutex
		var order []int
		for _, priority := range []int{3, 1, 2, 1} {
			go func() {
				cn, err := p.Take(context.Background(), noCaller, priority)
				if err == nil {
					mu.Lock()
					order = append(order, priority)
					mu.Unlock()
					p.Put(cn)
				}
			}()
			synctest.Wait()
		}
		p.Put(cn)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		is.Equal(order, []int{1, 1, 2, 3})
		is.Equal(int(opened.Load()), 1)
	})
}

func TestConnectionGrantedAfterTimeoutIsPutBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		p := conns.New(4, clock(), openAfter(time.Second, &opened))
		ctx, stop := context.WithTimeout(context.Background(), time.Millisecond)
		defer stop()
		_, err := p.Take(ctx, noCaller, 0)
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(2 * time.Second)
		open, idle, waiting := p.Counts()
		is.Equal([]int{open, idle, waiting}, []int{1, 1, 0})
	})
}

func TestUnreachableTargetFailsAllWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := conns.New(4, clock(), func(context.Context, string) (*conn.Conn, error) { return nil, syscall.ECONNREFUSED })
		_, err := p.Take(context.Background(), noCaller, 0)
		is.True(errors.Is(err, syscall.ECONNREFUSED))
	})
}

func TestFullTargetIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var full atomic.Bool
		full.Store(true)
		var opened atomic.Int64
		p := conns.New(4, clock(), func(ctx context.Context, _ string) (*conn.Conn, error) {
			if full.Load() && opened.Load() > 0 {
				return nil, conns.ErrTargetFull
			}
			return openAfter(0, &opened)(ctx, "")
		})
		first, err := p.Take(context.Background(), noCaller, 0)
		is.NoErr(err)
		go func() { time.Sleep(time.Second); full.Store(false) }()
		began := time.Now()
		_, err = p.Take(context.Background(), noCaller, 0) // waits until the target accepts another connection
		is.NoErr(err)
		is.True(time.Since(began) >= time.Second)
		p.Put(first)
	})
}

func TestBrokenConnectionsAreNotHandedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		p := conns.New(4, clock(), openAfter(0, &opened))
		cn, err := p.Take(context.Background(), noCaller, 0)
		is.NoErr(err)
		p.Put(cn)
		cn.Close()
		_, err = p.Take(context.Background(), noCaller, 0)
		is.NoErr(err)
		is.Equal(int(opened.Load()), 2)
	})
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		p := conns.New(32, clock(), openAfter(0, &opened))
		var taken []*conn.Conn
		for range 4 {
			cn, err := p.Take(context.Background(), noCaller, 0)
			is.NoErr(err)
			taken = append(taken, cn)
		}
		for _, cn := range taken {
			p.Put(cn)
		}
		time.Sleep(time.Second)
		p.Trim(2 * time.Second)
		_, idle, _ := p.Counts()
		is.Equal(idle, 4)
		time.Sleep(2 * time.Second)
		p.Trim(2 * time.Second)
		_, idle, _ = p.Counts()
		is.Equal(idle, 1)
	})
}

// A call that is expected to wait beyond its deadline must be refused at once.
func TestRefusedAtOnceIfTheWaitIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		p := conns.New(1, clock(), openAfter(0, &opened))
		const use = 200 * time.Millisecond
		for range 100 { // bring the pool's average time of use close to 200 ms
			cn, err := p.Take(context.Background(), noCaller, 0)
			is.NoErr(err)
			time.Sleep(use)
			p.Put(cn)
		}
		var served, refused atomic.Int64
		for range 20 {
			go func() {
				ctx, stop := context.WithTimeout(context.Background(), time.Second)
				defer stop()
				began := time.Now()
				cn, err := p.Take(ctx, noCaller, 0)
				if err != nil {
					if time.Since(began) > 10*time.Millisecond {
						t.Errorf("refused after %v", time.Since(began))
					}
					refused.Add(1)
					return
				}
				served.Add(1)
				time.Sleep(use)
				p.Put(cn)
			}()
			synctest.Wait()
		}
		time.Sleep(5 * time.Second)
		is.Equal(served.Load()+refused.Load(), int64(20))
		is.True(served.Load() >= 4) // 5 uses of 200 ms fit into a second
	})
}

// Beyond the number set by SetShare, a host opens connections only now and then, so
// that the target has some left for hosts that start again.
func TestLeavesConnectionsToOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		p := conns.New(16, clock(), openAfter(time.Millisecond, &opened))
		p.SetShare(1, 4)
		for range 30 {
			go func() { _, _ = p.Take(context.Background(), noCaller, 0) }()
		}
		time.Sleep(900 * time.Millisecond)
		is.Equal(opened.Load(), int64(4))
		time.Sleep(20 * time.Second)
		is.Equal(opened.Load(), int64(16)) // a host that stays alone gets all
		p.Close()
	})
}

// A target that restarts closes all connections, and must not be taken for the process that
// they led to.
func TestCountsLostConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var opened atomic.Int64
		p := conns.New(2, clock(), openAfter(time.Millisecond, &opened))
		take := func() *conn.Conn {
			cn, err := p.Take(context.Background(), noCaller, 0)
			is.NoErr(err)
			return cn
		}
		cn := take()
		is.Equal(p.Lost(), uint64(0)) // the first connection
		p.Put(cn)
		cn.Close()
		is.Equal(p.Lost(), uint64(1)) // closed while idle
		cn = take()
		is.Equal(p.Lost(), uint64(2)) // opened while none was left
		other := take()
		is.Equal(p.Lost(), uint64(2))
		p.Put(other)
		cn.Close()
		p.Drop(cn)
		is.Equal(p.Lost(), uint64(3)) // closed while in use
	})
}
