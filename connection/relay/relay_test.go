package relay_test

import (
	"context"
	"net"
	"strconv"
	"sync"
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

// hostNetwork is a network of hosts that listen on in-memory connections.
type hostNetwork struct {
	hosts map[string]*host
	// mu guards conns, dials and the field dialed of the hosts while statements run.
	mu sync.Mutex
	// conns are the borrower's ends of all connections opened.
	conns []net.Conn
	// dials counts the attempts to connect.
	dials int
}

// host is one host's relay and group. It also implements the listener of its relay.
type host struct {
	group    *rset.ReplicaSet
	relay    *relay.Relay
	incoming chan net.Conn
	// closed is closed when the host stops listening.
	closed chan struct{}
	down   bool
	// silent means that all answers of the host are lost, as if its machine had lost
	// power.
	silent bool
	// dialed means that another host has connected to this one.
	dialed bool
}

func (h *host) ReplicaSet(string) (*rset.ReplicaSet, bool) { return h.group, true }
func (h *host) Accept() (net.Conn, error) {
	select {
	case c := <-h.incoming:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}
func (h *host) Close() error   { return nil }
func (h *host) Addr() net.Addr { return nil }

// Host opens a connection to a host. It implements the dialer of package borrow.
func (hn *hostNetwork) Host(ctx context.Context, n gossip.HostInfo) (*remote.Remote, error) {
	hn.mu.Lock()
	hn.dials++
	hn.mu.Unlock()
	h, ok := hn.hosts[n.Host]
	if !ok || h.down {
		return nil, errors.New("refused")
	}
	if h.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	borrowerEnd, lenderEnd := net.Pipe()
	hn.mu.Lock()
	h.dialed = true
	hn.conns = append(hn.conns, borrowerEnd)
	hn.mu.Unlock()
	select {
	case h.incoming <- lenderEnd:
	case <-h.closed:
		return nil, net.ErrClosed
	}
	return remote.New(n.Host, &silenceableConn{borrowerEnd, h}), nil
}

// silenceableConn is a connection that drops the answers of a silent host.
type silenceableConn struct {
	net.Conn
	host *host
}

func (sc *silenceableConn) Read(b []byte) (int, error) {
	for {
		n, err := sc.Conn.Read(b)
		if err != nil || !sc.host.silent {
			return n, err
		}
	}
}

// withHosts runs a test in a network of three hosts. gate-1 and gate-2 have connections
// to the targets. far, whose group is passed to the test, is in another zone and
// borrows connections.
func withHosts(t *testing.T, test func(t *testing.T, network *hostNetwork, far *rset.ReplicaSet, b *qgroup.Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(began) }
		// The group grants too few connections for every host to have its own.
		b := qgroup.New("g", 3, qgroup.WithConnectionLimit(3))
		network := &hostNetwork{hosts: map[string]*host{}}
		noDelay := func(string) time.Duration { return 0 }
		infos := []gossip.HostInfo{gossip.New("far", "10.0.0.1:1", "elsewhere", 0), gossip.New("gate-1", "10.0.0.1:1", "zone-0", 0), gossip.New("gate-2", "10.0.0.1:1", "zone-0", 0)}
		hostsFrom := func(self int) assign.Assignment {
			hosts := assign.New(infos[self], map[string]string{"zone-0": "a", "zone-1": "a", "zone-2": "a", "elsewhere": "b"})
			for _, n := range infos {
				hosts = hosts.WithHost(n)
			}
			return hosts
		}
		for i, name := range []string{"far", "gate-1", "gate-2"} {
			h := &host{group: rset.New("g", zap.NewNop(), b.From(i), now, noDelay, rset.WithBorrower(borrow.New(network, now)), rset.WithFirstStart(true)), incoming: make(chan net.Conn), closed: make(chan struct{})}
			h.group.SetAssignment(hostsFrom(i))
			h.relay = relay.New(zap.NewNop(), h, nil)
			network.hosts[name] = h
			go h.relay.Serve(h)
		}
		far := rset.New("g", zap.NewNop(), b.From(0), now, noDelay, rset.WithBorrower(borrow.New(network, now)), rset.WithFirstStart(true))
		far.SetAssignment(hostsFrom(0))
		groups := []*rset.ReplicaSet{far, network.hosts["gate-1"].group, network.hosts["gate-2"].group}
		for _, group := range groups {
			group.Update(b.Targets(), b.Targets()[0], 3)
		}
		defer func() {
			// No connections are opened from here on, so that all are closed below.
			for _, h := range network.hosts {
				close(h.closed)
			}
			synctest.Wait()
			network.mu.Lock()
			opened := network.conns
			network.mu.Unlock()
			for _, conn := range opened {
				_ = conn.Close()
			}
			for _, group := range groups {
				group.Update(nil, target.Target{}, 3)
			}
			time.Sleep(time.Minute)
		}()
		test(t, network, far, b)
	})
}

// run borrows a connection, runs statements on it together and returns their replies.
func run(t *testing.T, far *rset.ReplicaSet, session caller.Caller, stage ...stmt.Stmt) []reply.Reply {
	t.Helper()
	is := is.New(t)
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	cn, err := far.Take(ctx, "g-0", batch.New(session))
	is.NoErr(err)
	is.True(cn.Borrowed)
	replies, err := far.Run(ctx, cn, session, stage...)
	is.NoErr(err)
	far.Put(cn)
	return replies
}

func TestStatementsThroughAnotherHost(t *testing.T) {
	withHosts(t, func(t *testing.T, network *hostNetwork, far *rset.ReplicaSet, b *qgroup.Group) {
		is := is.New(t)
		var values []map[string]string
		b.OnStatement = func(_ string, v map[string]string, _ string) { values = append(values, v) }
		session := caller.New("s1", "orders").WithValue("colour", "red")
		is.True(run(t, far, session, stmt.New("1", stmt.Write, "").WithName("a", "b"))[0].OK())
		// Another session on the same connection must not see the values.
		got := run(t, far, caller.New("s2", "orders"), stmt.New("2", stmt.Read, "").WithName("a", ""))[0]
		is.Equal(got.Rows, []string{"b"})
		is.Equal(values, []map[string]string{{"colour": "red"}, {}})
		is.Equal(len(network.conns), 1) // the connection to the host is reused
	})
}

// When the borrowing host is lost, the lender closes the borrowed connection,
// which rolls back the open transaction.
func TestLostHostRollsBack(t *testing.T) {
	withHosts(t, func(t *testing.T, network *hostNetwork, far *rset.ReplicaSet, b *qgroup.Group) {
		is := is.New(t)
		var session caller.Caller
		cn, err := far.Take(t.Context(), "g-0", batch.New(session))
		is.NoErr(err)
		_, err = far.Run(t.Context(), cn, session, stmt.New(stmt.ProxyID, stmt.Begin, ""), stmt.New("1", stmt.Write, "").WithName("a", "b"))
		is.NoErr(err)
		_ = network.conns[0].Close() // the borrowing host is lost
		synctest.Wait()
		is.Equal(network.hosts["gate-1"].relay.Lent()+network.hosts["gate-2"].relay.Lent(), int64(0))
		is.Equal(len(b.WriteCounts(0)), 0)
		_, err = far.Run(t.Context(), cn, session, stmt.New("2", stmt.Commit, ""))
		is.True(err != nil)
		far.Drop(cn)
	})
}

func TestNextHostIsAskedIfOneRefuses(t *testing.T) {
	for name, fail := range map[string]func(h *host){
		"stopping": func(h *host) { h.relay.Stop() },
		"down":     func(h *host) { h.down = true },
	} {
		t.Run(name, func(t *testing.T) {
			withHosts(t, func(t *testing.T, network *hostNetwork, far *rset.ReplicaSet, _ *qgroup.Group) {
				is := is.New(t)
				read := stmt.New("1", stmt.Read, "").WithName("a", "")
				is.True(run(t, far, caller.Caller{}, read)[0].OK())
				for _, conn := range network.conns {
					_ = conn.Close()
				}
				fail(network.hosts["gate-1"])
				is.True(run(t, far, caller.Caller{}, read)[0].OK())
				network.hosts["gate-1"].down, network.hosts["gate-2"].down = true, true
			})
		})
	}
}

// A host that is gone for good may stay registered. It must be dialed less and less
// often.
func TestUnreachableHostIsDialedWithBackoff(t *testing.T) {
	withHosts(t, func(t *testing.T, network *hostNetwork, far *rset.ReplicaSet, _ *qgroup.Group) {
		is := is.New(t)
		network.hosts["gate-1"].down, network.hosts["gate-2"].down = true, true
		for range 600 {
			cn, err := far.Take(t.Context(), "g-0", batch.New(caller.Caller{}))
			is.NoErr(err)
			far.Put(cn)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(network.dials <= 14) // two hosts, after 0, 1, 3, 7, 15, 31 and 63 s
	})
}

// If no other host can be reached, a host opens a connection of its own.
func TestOwnConnectionIfNoHostAnswers(t *testing.T) {
	withHosts(t, func(t *testing.T, network *hostNetwork, far *rset.ReplicaSet, _ *qgroup.Group) {
		is := is.New(t)
		network.hosts["gate-1"].down, network.hosts["gate-2"].down = true, true
		cn, err := far.Take(t.Context(), "g-0", batch.New(caller.Caller{}))
		is.NoErr(err)
		is.True(!cn.Borrowed)
		far.Put(cn)
	})
}

// The lender must free a connection when the deadline of its statement has passed,
// since the target may never answer.
func TestConnectionOfAnUnansweredStatementIsFreed(t *testing.T) {
	withHosts(t, func(t *testing.T, network *hostNetwork, far *rset.ReplicaSet, b *qgroup.Group) {
		is := is.New(t)
		var session caller.Caller
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		cn, err := far.Take(ctx, "g-0", batch.New(session))
		is.NoErr(err)
		b.SetSilent(0, true)
		_, err = far.Run(ctx, cn, session, stmt.New("1", stmt.Write, "").WithName("a", "b"))
		is.True(err != nil)
		far.Drop(cn)
		time.Sleep(time.Second)
		is.Equal(network.hosts["gate-1"].relay.Lent()+network.hosts["gate-2"].relay.Lent(), int64(0))
		b.SetSilent(0, false)
	})
}

// A lending host whose machine loses power answers nothing. A read must be retried at
// another host well before its deadline.
func TestReadIsRetriedWhenAHostIsSilent(t *testing.T) {
	withHosts(t, func(t *testing.T, network *hostNetwork, far *rset.ReplicaSet, _ *qgroup.Group) {
		is := is.New(t)
		read := batch.New(caller.Caller{}, []stmt.Stmt{stmt.New("1", stmt.Read, "").WithName("a", "")})
		do := func() time.Duration {
			ctx, stop := context.WithTimeout(t.Context(), time.Second)
			defer stop()
			began := time.Now()
			replies, _, err := far.Do(ctx, "g-0", read)
			is.NoErr(err)
			is.True(replies[0].OK())
			return time.Since(began)
		}
		is.True(do() < 100*time.Millisecond)
		lender := "gate-1"
		if network.hosts["gate-2"].dialed {
			lender = "gate-2"
		}
		network.hosts[lender].silent = true
		is.True(do() < 800*time.Millisecond)
		is.True(do() < 100*time.Millisecond) // the silent host is not asked again
		network.hosts[lender].silent = false
	})
}

// A read that may have run through one host must not be reported as not sent, even if
// the next host refuses to lend a connection.
func TestLostAnswerOfOneHostStaysLost(t *testing.T) {
	withHosts(t, func(t *testing.T, network *hostNetwork, far *rset.ReplicaSet, _ *qgroup.Group) {
		is := is.New(t)
		read := batch.New(caller.Caller{}, []stmt.Stmt{stmt.New("1", stmt.Read, "").WithName("a", "")})
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		_, _, err := far.Do(ctx, "g-0", read)
		is.NoErr(err)
		lender, other := network.hosts["gate-1"], network.hosts["gate-2"]
		if other.dialed {
			lender, other = other, lender
		}
		lender.silent = true
		other.relay.Stop() // refuses
		_, _, err = far.Do(ctx, "g-0", read)
		is.True(errors.Is(err, rset.ErrAnswerLost))
		lender.silent = false
	})
}

// Many hosts share the connections to a replica that lags. If the lender determines the
// log position of their reads, the replica serves nearly all of them, and none of them
// shows data that is older than the route allows.
func TestLaggingReplicaServesThroughALender(t *testing.T) {
	withHosts(t, func(t *testing.T, _ *hostNetwork, far *rset.ReplicaSet, b *qgroup.Group) {
		const lag, maxAge, pause = 300 * time.Millisecond, 1500 * time.Millisecond, 50 * time.Millisecond
		const rounds, warmup, wantServed = 200, 40, 150
		b.SetApplyLag(1, lag)
		var acknowledged []time.Time
		served := 0
		for i := range rounds {
			write := stmt.New(strconv.Itoa(i), stmt.Write, "").WithName("a", strconv.Itoa(i))
			if !run(t, far, caller.Caller{}, write)[0].OK() {
				t.Fatalf("write %d failed", i)
			}
			acknowledged = append(acknowledged, time.Now())
			time.Sleep(pause)
			sent := time.Now()
			ctx, stop := context.WithTimeout(t.Context(), time.Second)
			read := batch.New(caller.Caller{}, []stmt.Stmt{stmt.New("r", stmt.Read, "").WithName("a", "")}).WithWait(time.Second).WithMaxAge(maxAge)
			replies, _, err := far.Do(ctx, "g-1", read)
			stop()
			if err != nil || !replies[0].OK() {
				continue
			}
			if i >= warmup {
				served++
			}
			got, _ := strconv.Atoi(replies[0].Rows[0])
			for n, at := range acknowledged {
				if n > got && at.Before(sent.Add(-maxAge)) {
					t.Fatalf("read %d returned write %d, but write %d was acknowledged %v before", i, got, n, sent.Sub(at))
				}
			}
		}
		if served < wantServed {
			t.Errorf("the replica served %d of %d reads, want %d", served, rounds-warmup, wantServed)
		}
	})
}

// A lender took a maximum age of 0 for no limit, and read without a log position.
func TestLenderKeepsAMaxAgeOfZero(t *testing.T) {
	withHosts(t, func(t *testing.T, _ *hostNetwork, far *rset.ReplicaSet, b *qgroup.Group) {
		is := is.New(t)
		b.SetApplyLag(1, 300*time.Millisecond)
		served := 0
		for i := range 20 {
			written := strconv.Itoa(i)
			is.True(run(t, far, caller.Caller{}, stmt.New(written, stmt.Write, "").WithName("a", written))[0].OK())
			ctx, stop := context.WithTimeout(t.Context(), time.Second)
			read := batch.New(caller.Caller{}, []stmt.Stmt{stmt.New("r", stmt.Read, "").WithName("a", "")}).WithWait(time.Second).WithMaxAge(0)
			replies, _, err := far.Do(ctx, []string{"g-0", "g-1"}[i%2], read)
			stop()
			is.NoErr(err)
			if replies[0].OK() {
				served++
				is.Equal(replies[0].Rows, []string{written})
			} else {
				is.True(replies[0].Code.NotRun())
			}
		}
		is.True(served >= 10) // the leader has no lag
	})
}

// A replica that receives nothing must not serve a read, however the position is
// determined.
func TestLenderDoesNotReadOldData(t *testing.T) {
	withHosts(t, func(t *testing.T, _ *hostNetwork, far *rset.ReplicaSet, b *qgroup.Group) {
		is := is.New(t)
		b.SetReceiveBlocked(1, true)
		is.True(run(t, far, caller.Caller{}, stmt.New("1", stmt.Write, "").WithName("a", "b"))[0].OK())
		time.Sleep(2 * time.Second)
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		read := batch.New(caller.Caller{}, []stmt.Stmt{stmt.New("r", stmt.Read, "").WithName("a", "")}).WithWait(time.Second).WithMaxAge(time.Second)
		replies, _, err := far.Do(ctx, "g-1", read)
		is.NoErr(err)
		is.True(replies[0].Code.NotRun())
		b.SetReceiveBlocked(1, false)
	})
}
