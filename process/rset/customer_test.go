package rset_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/batch"
	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/connection/relay"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/borrow"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// sharedTarget is a target that accepts too few connections for every host to have its own,
// and the hosts that share them.
type sharedTarget struct {
	target target.Target
	hosts  []gossip.HostInfo
	sets   map[string]*rset.ReplicaSet

	mu sync.Mutex
	// opened counts the connections that each host opened for each customer.
	opened  map[string]map[string]int
	stopped map[string]bool
	links   []net.Conn
}

// newSharedTarget returns a target with ten hosts and two customers.
func newSharedTarget(connections int) *sharedTarget {
	s := &sharedTarget{target: target.New("t", "g", "", "z").WithSlots(4), sets: map[string]*rset.ReplicaSet{}, opened: map[string]map[string]int{}, stopped: map[string]bool{}}
	for i := range 10 {
		s.hosts = append(s.hosts, gossip.New(fmt.Sprintf("h%d", i), "", "z", 0))
	}
	began := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(began) }
	for _, h := range s.hosts {
		v := hostView{s, h.Host}
		rs := rset.New("g", zap.NewNop(), v, now, func(string) time.Duration { return 0 }, rset.WithBorrower(borrow.New(v, now)))
		rs.SetCustomers(map[string]int{"bakery": 1, "cafe": 1})
		rs.SetAssignment(assign.New(h, nil).WithHosts(s.hosts...))
		rs.Update([]target.Target{s.target}, target.Target{}, connections)
		s.sets[h.Host] = rs
	}
	return s
}

func (s *sharedTarget) close() {
	for _, rs := range s.sets {
		rs.Update(nil, target.Target{}, 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.links {
		_ = c.Close()
	}
}

// lenders returns the lenders in the order in which a customer's connections are asked for.
func (s *sharedTarget) lenders(customer string, connections int) []gossip.HostInfo {
	as := assign.New(s.hosts[0], nil).WithHosts(s.hosts...)
	all, _ := as.Lenders(s.target, connections)
	return as.CustomerLenders(s.target, customer, all)
}

func (s *sharedTarget) run(ctx context.Context, host, customer string) error {
	b := batch.New(caller.New("c", "orders").WithCustomer(customer), []stmt.Stmt{stmt.New("1", stmt.Read, "")})
	_, _, err := s.sets[host].Do(ctx, s.target.ID, b)
	return err
}

// hostView is the target and the other hosts as seen from one host.
type hostView struct {
	*sharedTarget
	host string
}

func (v hostView) Open(_ context.Context, _ target.Target, customer string) (*conn.Conn, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.opened[v.host] == nil {
		v.opened[v.host] = map[string]int{}
	}
	v.opened[v.host][customer]++
	return conn.New("t", okLink{}, conn.WithCustomer(customer)), nil
}
func (hostView) Reach(context.Context, target.Target) error { return nil }

func (v hostView) Host(_ context.Context, h gossip.HostInfo) (*remote.Remote, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped[h.Host] {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	v.links = append(v.links, near, far)
	go relay.New(zap.NewNop(), oneGroup{v.sets[h.Host]}, nil).Serve(&oneConn{conn: far})
	return remote.New(h.Host, near), nil
}

type oneGroup struct{ set *rset.ReplicaSet }

func (g oneGroup) ReplicaSet(string) (*rset.ReplicaSet, bool) { return g.set, true }

// oneConn is a listener that accepts one connection.
type oneConn struct{ conn net.Conn }

func (l *oneConn) Accept() (net.Conn, error) {
	c := l.conn
	if l.conn = nil; c == nil {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (*oneConn) Close() error   { return nil }
func (*oneConn) Addr() net.Addr { return nil }

// okLink is a connection to a target on which every statement succeeds.
type okLink struct{}

func (okLink) Run(_ context.Context, stage []stmt.Stmt) ([]reply.Reply, error) {
	replies := make([]reply.Reply, len(stage))
	for i := range stage {
		replies[i] = reply.Done(reply.Idle)
	}
	return replies, nil
}

func (okLink) Report(context.Context, stmt.Stmt) (report.Report, error) { return report.Report{}, nil }
func (okLink) Broken() bool                                             { return false }
func (okLink) Close()                                                   {}

// A lender must not open connections for the customers of other lenders: it would push out
// those of its own.
func TestCustomersUseTheirLender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const connections = 18
		s := newSharedTarget(connections)
		defer s.close()
		for _, customer := range []string{"bakery", "cafe"} {
			for _, h := range s.hosts {
				is.NoErr(s.run(t.Context(), h.Host, customer))
			}
			first := s.lenders(customer, connections)[0].Host
			is.Equal(s.opened[first][customer], 1)
			for _, h := range s.hosts {
				is.True(h.Host == first || s.opened[h.Host][customer] == 0)
			}
		}
	})
}

// While a lender can't be reached, its customers must be served by the next one, also if that
// is the host to which they are connected.
func TestCustomersAreServedWithoutTheirLender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const connections = 18
		s := newSharedTarget(connections)
		defer s.close()
		lenders := s.lenders("bakery", connections)
		s.stopped[lenders[0].Host] = true
		for _, h := range s.hosts {
			if h.Host != lenders[0].Host {
				is.NoErr(s.run(t.Context(), h.Host, "bakery"))
			}
		}
		is.Equal(s.opened[lenders[0].Host]["bakery"], 0)
		is.Equal(s.opened[lenders[1].Host]["bakery"], 1)
	})
}

// A host that reaches no lender must serve its callers itself.
func TestCustomersAreServedWithoutLenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const connections = 18
		s := newSharedTarget(connections)
		defer s.close()
		for _, h := range s.hosts {
			s.stopped[h.Host] = true
		}
		for _, h := range s.hosts {
			is.NoErr(s.run(t.Context(), h.Host, "bakery"))
			is.Equal(s.opened[h.Host]["bakery"], 1)
		}
	})
}
