package relay_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/relay"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/borrow"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// pipes is a network of hosts that listen in memory.
type pipes struct {
	hosts map[string]*host
	conns []net.Conn
	asked int
}

// host is one host's relay and group.
type host struct {
	crew  *rset.ReplicaSet
	relay *relay.Relay
	in    chan net.Conn
	down  bool
	// silent leaves what is sent without an answer, as a machine without power.
	silent bool
	// asked tells that it was connected to.
	asked bool
}

func (h *host) ReplicaSet(string) (*rset.ReplicaSet, bool) { return h.crew, true }
func (h *host) Accept() (net.Conn, error) {
	c, ok := <-h.in
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (h *host) Close() error   { return nil }
func (h *host) Addr() net.Addr { return nil }

// Host opens a connection to a host, as a dialer does.
func (p *pipes) Host(ctx context.Context, n gossip.HostInfo) (*remote.Remote, error) {
	p.asked++
	h, ok := p.hosts[n.Host]
	if !ok || h.down {
		return nil, errors.New("refused")
	}
	if h.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	h.asked = true
	near, far := net.Pipe()
	p.conns = append(p.conns, near)
	h.in <- far
	return remote.New(n.Host, &muted{near, h}), nil
}

// muted is a connection on which a silent host's answers do not come.
type muted struct {
	net.Conn
	host *host
}

func (m *muted) Read(b []byte) (int, error) {
	for {
		n, err := m.Conn.Read(b)
		if err != nil || !m.host.silent {
			return n, err
		}
	}
}

// network is a caller's host before two that hold the connections.
func network(t *testing.T, f func(t *testing.T, p *pipes, c *rset.ReplicaSet, b *qgroup.Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(began) }
		// So few connections that not every host has its own.
		b := qgroup.New("g", 3, qgroup.WithConnectionLimit(3))
		p := &pipes{hosts: map[string]*host{}}
		zero := func(string) time.Duration { return 0 }
		var set assign.Assignment
		for i, name := range []string{"far", "gate-1", "gate-2"} {
			zone := "zone-0"
			if i == 0 {
				zone = "elsewhere"
			}
			n := gossip.New(name, "10.0.0.1:1", zone, 0)
			if i == 0 {
				set = assign.New(n, map[string]string{"zone-0": "a", "zone-1": "a", "zone-2": "a", "elsewhere": "b"})
			}
			set = set.WithHost(n)
			h := &host{crew: rset.New("g", zap.NewNop(), b.From(i), now, zero), in: make(chan net.Conn)}
			h.relay = relay.New(zap.NewNop(), h)
			p.hosts[name] = h
			go h.relay.Serve(h)
		}
		c := rset.New("g", zap.NewNop(), b.From(0), now, zero, rset.WithBorrower(borrow.New(p, now)))
		c.SetAssignment(set)
		all := []*rset.ReplicaSet{c, p.hosts["gate-1"].crew, p.hosts["gate-2"].crew}
		for _, k := range all {
			k.Update(b.Targets(), b.Targets()[0], 3)
		}
		defer func() {
			for _, one := range p.conns {
				_ = one.Close()
			}
			for _, k := range all {
				k.Update(nil, target.Target{}, 3)
			}
			for _, h := range p.hosts {
				close(h.in)
			}
			time.Sleep(time.Minute)
		}()
		f(t, p, c, b)
	})
}

func run(t *testing.T, c *rset.ReplicaSet, who caller.Caller, stage ...stmt.Stmt) []reply.Reply {
	t.Helper()
	is := is.New(t)
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	l, err := c.Take(ctx, "g-0", batch.New(who))
	is.NoErr(err)
	is.True(l.Borrowed)
	replies, err := c.Run(ctx, l, who, stage...)
	is.NoErr(err)
	c.Put(l)
	return replies
}

func TestStatementsThroughAnotherHost(t *testing.T) {
	network(t, func(t *testing.T, p *pipes, c *rset.ReplicaSet, b *qgroup.Group) {
		is := is.New(t)
		var values []map[string]string
		b.OnStatement = func(_ string, v map[string]string, _ string) { values = append(values, v) }
		who := caller.New("s1", "orders").WithValue("colour", "red")
		is.True(run(t, c, who, stmt.New("1", stmt.Write, "").WithName("a", "b"))[0].OK())
		// Another session on the same connection must not see the values.
		got := run(t, c, caller.New("s2", "orders"), stmt.New("2", stmt.Read, "").WithName("a", ""))[0]
		is.Equal(got.Rows, []string{"b"})
		is.Equal(values, []map[string]string{{"colour": "red"}, {}})
		is.Equal(len(p.conns), 1) // kept between statements
	})
}

func TestLostHostRollsBack(t *testing.T) {
	network(t, func(t *testing.T, p *pipes, c *rset.ReplicaSet, b *qgroup.Group) {
		is := is.New(t)
		var nobody caller.Caller
		l, err := c.Take(t.Context(), "g-0", batch.New(nobody))
		is.NoErr(err)
		_, err = c.Run(t.Context(), l, nobody, stmt.New(stmt.ProxyID, stmt.Begin, ""), stmt.New("1", stmt.Write, "").WithName("a", "b"))
		is.NoErr(err)
		_ = p.conns[0].Close() // this host is gone
		synctest.Wait()
		is.Equal(p.hosts["gate-1"].relay.Lent()+p.hosts["gate-2"].relay.Lent(), int64(0))
		is.Equal(len(b.WriteCounts(0)), 0)
		_, err = c.Run(t.Context(), l, nobody, stmt.New("2", stmt.Commit, ""))
		is.True(err != nil)
		c.Drop(l)
	})
}

func TestNextHostWhereOneRefuses(t *testing.T) {
	for name, fail := range map[string]func(h *host){
		"stopping": func(h *host) { h.relay.Stop() },
		"down":     func(h *host) { h.down = true },
	} {
		t.Run(name, func(t *testing.T) {
			network(t, func(t *testing.T, p *pipes, c *rset.ReplicaSet, _ *qgroup.Group) {
				is := is.New(t)
				read := stmt.New("1", stmt.Read, "").WithName("a", "")
				is.True(run(t, c, caller.Caller{}, read)[0].OK())
				for _, one := range p.conns {
					_ = one.Close()
				}
				fail(p.hosts["gate-1"])
				is.True(run(t, c, caller.Caller{}, read)[0].OK())
				p.hosts["gate-1"].down, p.hosts["gate-2"].down = true, true
			})
		})
	}
}

// A host that is gone for good stays registered; it is asked less and less.
func TestHostThatIsGoneIsAskedSeldom(t *testing.T) {
	network(t, func(t *testing.T, p *pipes, c *rset.ReplicaSet, _ *qgroup.Group) {
		is := is.New(t)
		p.hosts["gate-1"].down, p.hosts["gate-2"].down = true, true
		for range 600 {
			l, err := c.Take(t.Context(), "g-0", batch.New(caller.Caller{}))
			is.NoErr(err)
			c.Put(l)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(p.asked <= 14) // two hosts, after 0, 1, 3, 7, 15, 31 and 63 s
	})
}

// Where no other host can be reached, this one connects by itself.
func TestOwnConnectionWhereNoHostAnswers(t *testing.T) {
	network(t, func(t *testing.T, p *pipes, c *rset.ReplicaSet, _ *qgroup.Group) {
		is := is.New(t)
		p.hosts["gate-1"].down, p.hosts["gate-2"].down = true, true
		l, err := c.Take(t.Context(), "g-0", batch.New(caller.Caller{}))
		is.NoErr(err)
		is.True(!l.Borrowed)
		c.Put(l)
	})
}

// A statement whose time is over must not keep the connection of the host that
// lent it: its target may never answer.
func TestConnectionOfALostStatementIsFreed(t *testing.T) {
	network(t, func(t *testing.T, p *pipes, c *rset.ReplicaSet, b *qgroup.Group) {
		is := is.New(t)
		var nobody caller.Caller
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		l, err := c.Take(ctx, "g-0", batch.New(nobody))
		is.NoErr(err)
		b.SetSilent(0, true)
		_, err = c.Run(ctx, l, nobody, stmt.New("1", stmt.Write, "").WithName("a", "b"))
		is.True(err != nil)
		c.Drop(l)
		time.Sleep(time.Second)
		is.Equal(p.hosts["gate-1"].relay.Lent()+p.hosts["gate-2"].relay.Lent(), int64(0))
		b.SetSilent(0, false)
	})
}

// A machine that lends connections and loses power answers nothing; a read must
// not wait for its whole time.
func TestReadMovesOnFromASilentHost(t *testing.T) {
	network(t, func(t *testing.T, p *pipes, c *rset.ReplicaSet, _ *qgroup.Group) {
		is := is.New(t)
		read := batch.New(caller.Caller{}, []stmt.Stmt{stmt.New("1", stmt.Read, "").WithName("a", "")})
		do := func() time.Duration {
			ctx, stop := context.WithTimeout(t.Context(), time.Second)
			defer stop()
			began := time.Now()
			replies, _, err := c.Do(ctx, "g-0", read)
			is.NoErr(err)
			is.True(replies[0].OK())
			return time.Since(began)
		}
		is.True(do() < 100*time.Millisecond)
		asked := "gate-1"
		if p.hosts["gate-2"].asked {
			asked = "gate-2"
		}
		p.hosts[asked].silent = true
		is.True(do() < 800*time.Millisecond)
		is.True(do() < 100*time.Millisecond) // it is passed over
		p.hosts[asked].silent = false
	})
}

// A read that one host may have run is not called unsent, whatever the next
// host says.
func TestLostAnswerOfOneHostStaysLost(t *testing.T) {
	network(t, func(t *testing.T, p *pipes, c *rset.ReplicaSet, _ *qgroup.Group) {
		is := is.New(t)
		read := batch.New(caller.Caller{}, []stmt.Stmt{stmt.New("1", stmt.Read, "").WithName("a", "")})
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		_, _, err := c.Do(ctx, "g-0", read)
		is.NoErr(err)
		asked, other := p.hosts["gate-1"], p.hosts["gate-2"]
		if other.asked {
			asked, other = other, asked
		}
		asked.silent = true
		other.relay.Stop() // refuses
		_, _, err = c.Do(ctx, "g-0", read)
		is.True(errors.Is(err, rset.ErrAnswerLost))
		asked.silent = false
	})
}
