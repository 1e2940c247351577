package qgroup

import (
	"context"
	"os"
	"syscall"

	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/target"
)

// view is the group as seen from one host.
type view struct {
	group *Group
	host  int
}

// From returns the group as seen from one host. The host can't reach the members
// that SetPartitioned separates from it.
func (g *Group) From(host int) interface {
	Open(ctx context.Context, t target.Target, customer string) (*conn.Conn, error)
	Connect(ctx context.Context, t target.Target) (*connection, error)
	Reach(ctx context.Context, t target.Target) error
} {
	return &view{g, host}
}

// unreachableFrom reports whether a member answers nothing to a host; the caller
// holds the group's lock.
func (m *member) unreachableFrom(host int) bool {
	return m.silent || m.partitionedFrom[host] || m.partitionedFrom[AllHosts]
}

// refuses reports whether a member refuses a host's new connections; the caller holds the
// group's lock.
func (m *member) refuses(host int) bool {
	return !m.up || m.refusedTo[host] || m.refusedTo[AllHosts]
}

// Open opens a connection to a member.
func (v *view) Open(ctx context.Context, t target.Target, customer string) (*conn.Conn, error) {
	c, err := v.Connect(ctx, t)
	if err != nil {
		return nil, err
	}
	return conn.New(t.ID, c, conn.WithCustomer(customer)), nil
}

// Connect opens a connection to a member, without session values or prepared
// statements. It returns conns.ErrTargetFull if the member has too many
// connections.
func (v *view) Connect(ctx context.Context, t target.Target) (*connection, error) {
	if err := v.Reach(ctx, t); err != nil {
		return nil, err
	}
	g := v.group
	g.mu.Lock()
	connectTime := g.connectTime
	g.mu.Unlock()
	if err := sleep(ctx, connectTime); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.memberByID(t.ID)
	switch {
	case m == nil || m.refuses(v.host):
		return nil, syscall.ECONNREFUSED
	case m.connections >= g.connectionLimit:
		return nil, conns.ErrTargetFull
	}
	m.connections++
	return newConnection(g, m, v.host), nil
}

// Reach returns an error if the host can't connect to a member: after the connect
// timeout if the member does not answer, at once if it refuses connections.
func (v *view) Reach(ctx context.Context, t target.Target) error {
	v.group.mu.Lock()
	m := v.group.memberByID(t.ID)
	unreachable := m != nil && m.unreachableFrom(v.host)
	refused := m == nil || m.refuses(v.host)
	v.group.mu.Unlock()
	if unreachable {
		if err := sleep(ctx, connectTimeout); err != nil {
			return err
		}
		return os.ErrDeadlineExceeded
	}
	if refused {
		return syscall.ECONNREFUSED
	}
	return nil
}
