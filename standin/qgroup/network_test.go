package qgroup_test

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/relay"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/assign"
	"github.com/pistachiotray/pistachiotray/process/gossip"
)

// network connects the hosts of a cluster in memory.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// isolated has true for each host that can't be connected to.
	isolated map[string]bool
	// silenced has true for each host that can't connect to others.
	silenced map[string]bool
	// conns are the ends of all connections opened.
	conns []net.Conn
}

// listener accepts the connections of other hosts to one host.
type listener struct {
	incoming chan net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	c, ok := <-l.incoming
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *listener) Close() error   { return nil }
func (l *listener) Addr() net.Addr { return nil }

// hostInfo returns what other hosts know of host i.
func hostInfo(i int) gossip.HostInfo {
	return gossip.New(fmt.Sprintf("host-%d", i), fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i), 0)
}

// from returns the network as seen from host i.
func (n *network) from(i int) networkView {
	return networkView{n, hostInfo(i).Host}
}

// networkView is the network as seen from one host.
type networkView struct {
	*network
	host string
}

// Host opens a connection to a host. It implements the dialer of package borrow.
func (n networkView) Host(_ context.Context, h gossip.HostInfo) (*remote.Remote, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.listeners[h.Host]
	if !ok || n.isolated[h.Host] || n.silenced[n.host] {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	n.conns = append(n.conns, near, far)
	l.incoming <- far
	return remote.New(h.Host, near), nil
}

// serve makes host i lend its connections to other hosts.
func (n *network) serve(i int, tables hostTables) {
	n.mu.Lock()
	defer n.mu.Unlock()
	const backlog = 16
	l := &listener{incoming: make(chan net.Conn, backlog)}
	n.listeners[hostInfo(i).Host] = l
	go relay.New(zap.NewNop(), tables, nil).Serve(l)
}

// setIsolated sets whether other hosts can't connect to host i, and closes all connections
// between hosts.
func (n *network) setIsolated(i int, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[hostInfo(i).Host] = isolated
	n.reset()
}

// setSilenced sets whether host i can't connect to other hosts, and closes all connections
// between hosts.
func (n *network) setSilenced(i int, silenced bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silenced[hostInfo(i).Host] = silenced
	n.reset()
}

// reset closes all connections between hosts; the caller holds the lock.
func (n *network) reset() {
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}

// close closes all connections and stops the hosts' relays.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
	for _, l := range n.listeners {
		close(l.incoming)
	}
	n.listeners = nil
}

// introduce lets every host know all hosts.
func (c *testCluster) introduce() {
	for i, h := range c.hosts {
		a := assign.New(hostInfo(i), map[string]string{})
		for j := range c.hosts {
			a = a.WithHost(hostInfo(j))
		}
		h.replicaSet.SetAssignment(a)
	}
}
