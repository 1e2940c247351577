package qgroup

import (
	"context"
	"os"
	"syscall"

	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/target"
)

// view is the group as one host reaches it.
type view struct {
	band *Group
	host int
}

// From returns the group as one host reaches it.
func (b *Group) From(host int) interface {
	Open(ctx context.Context, t target.Target) (*conn.Conn, error)
	Connect(ctx context.Context, t target.Target) (*link, error)
	Reach(ctx context.Context, t target.Target) error
} {
	return &view{b, host}
}

// silent tells whether a member answers a host nothing; the caller holds the lock.
func (m *member) silent(host int) bool {
	return m.dark || m.hidden[host] || m.hidden[AllHosts]
}

// Open opens a connection to a member.
func (v *view) Open(ctx context.Context, t target.Target) (*conn.Conn, error) {
	l, err := v.Connect(ctx, t)
	if err != nil {
		return nil, err
	}
	return conn.New(t.ID, l), nil
}

// Connect opens a connection to a member, without the state of a session.
func (v *view) Connect(ctx context.Context, t target.Target) (*link, error) {
	if err := v.Reach(ctx, t); err != nil {
		return nil, err
	}
	b := v.band
	b.mu.Lock()
	connect := b.connect
	b.mu.Unlock()
	if err := sleep(ctx, connect); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.member(t.ID)
	switch {
	case m == nil || !m.up:
		return nil, syscall.ECONNREFUSED
	case m.links >= b.most:
		return nil, conns.ErrTargetFull
	}
	m.links++
	return newLink(b, m, v.host), nil
}

// Reach tells whether a member's machine accepts connections.
func (v *view) Reach(ctx context.Context, t target.Target) error {
	v.band.mu.Lock()
	m := v.band.member(t.ID)
	silent := m != nil && m.silent(v.host)
	up := m != nil && m.up
	v.band.mu.Unlock()
	if silent {
		if err := sleep(ctx, connectLimit); err != nil {
			return err
		}
		return os.ErrDeadlineExceeded
	}
	if !up {
		return syscall.ECONNREFUSED
	}
	return nil
}
