package follow_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/relay"
	"github.com/pistachiotray/pistachiotray/connection/remote"
	"github.com/pistachiotray/pistachiotray/process/follow"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/mirror"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/process/watch"
)

// The tables of a system. The first holds the plan.
const (
	planTable   = "op"
	targetTable = "servers"
	hostTable   = "hosts"
	leaseTable  = "lease"
)

// sendBuffer is the number of messages that a connection takes before they arrive.
const sendBuffer = 1000

// mbit is a megabit a second, in bytes a second.
const mbit = 1e6 / 8

// shape is the size of a deployment and its bounds.
type shape struct {
	zones, perZone int
	// apply is the time within which a change must be in force at hosts that were
	// undisturbed for contact.
	apply, drain, contact time.Duration
	// rate is the capacity of the hosts' links in bytes a second.
	rate float64
}

var (
	smallShape = shape{3, 2, 4 * time.Second, 7 * time.Second, 5 * time.Second, 1000 * mbit}
	grownShape = shape{6, 15, 6 * time.Second, 10 * time.Second, 6 * time.Second, 10 * mbit}
	// shortShape and zoneShape have fewer hosts, for runs with the race detector.
	shortShape = shape{6, 4, grownShape.apply, grownShape.drain, grownShape.contact, grownShape.rate}
	zoneShape  = shape{2, 15, grownShape.apply, grownShape.drain, grownShape.contact, grownShape.rate}
)

// waits returns for each table how long the store waits for a change, and the pause between
// two questions, as the proxy sets them.
func (s shape) waits() (waits, pauses map[string]time.Duration) {
	return map[string]time.Duration{
		planTable: s.apply / 4, targetTable: min(s.apply, s.drain/2) / 4, hostTable: 12 * time.Second, leaseTable: time.Second,
	}, map[string]time.Duration{
		planTable: 250 * time.Millisecond, targetTable: 500 * time.Millisecond, hostTable: 3 * time.Second, leaseTable: 100 * time.Millisecond,
	}
}

// system is a store and the hosts of a deployment that follow its tables, with links
// between them that can fail.
type system struct {
	t      *testing.T
	shape  shape
	random *rand.Rand
	began  time.Time
	infos  []gossip.HostInfo

	// mu guards the fields below and those of the nodes.
	mu      sync.Mutex
	rows    map[string]map[string]record.Row
	version uint64
	changed chan struct{}
	// linksChanged is closed and replaced when a link may have become open or blocked.
	linksChanged chan struct{}
	nodes        map[string]*node
	// acked holds when each version of the plan was acknowledged, the first is version 1.
	acked []time.Time
	// storeDisturbed is until when the store was disturbed.
	storeDisturbed time.Time
	// routes is the text of the configuration's routes.
	routes []byte
	// late holds the hosts that broke the rule.
	late   map[string]bool
	closed bool
}

// node is a host of a system. It is also the listener of its relay and its client of the
// store.
type node struct {
	system   *system
	info     gossip.HostInfo
	incoming chan net.Conn
	// ended is closed when the process ends, which stop brings about.
	ended    chan struct{}
	stop     context.CancelFunc
	follower *follow.Follower
	// plan is the version of the plan in force, 0 while the host has none.
	plan int
	up   bool
	// cutFromStore, cutFromHosts and frozen are the disturbances of the host, and delay is
	// the longest delay of its messages.
	cutFromStore, frozen bool
	cutFromHosts         bool
	delay                time.Duration
	disturbed            time.Time
	// sendFree and receiveFree are when the host's link will have carried all that was sent.
	sendFree, receiveFree time.Time
	wires                 map[*wire]bool
}

// wire is an end of a connection between two nodes.
type wire struct {
	net.Conn
	near, far *node
	sent      chan chunk
	// open ends when the connection is closed.
	open      context.Context
	end       context.CancelFunc
	closeOnce sync.Once
	// silent is set when nothing arrives any more.
	silent bool
}

// chunk is data that arrives at a time.
type chunk struct {
	data []byte
	due  time.Time
}

func newSystem(t *testing.T, s shape, seed uint64) *system {
	sys := &system{
		t: t, shape: s, random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), rows: map[string]map[string]record.Row{},
		changed: make(chan struct{}), linksChanged: make(chan struct{}), nodes: map[string]*node{}, late: map[string]bool{},
	}
	for _, table := range []string{planTable, targetTable, hostTable, leaseTable} {
		sys.rows[table] = map[string]record.Row{}
		sys.write(table, "first", nil)
	}
	sys.configure()
	for z := range s.zones {
		for i := range s.perZone {
			sys.infos = append(sys.infos, gossip.New(fmt.Sprintf("front-%d-%d-%d", seed, z, i), "10.0.0.1:1", fmt.Sprint("zone-", z), 0))
		}
	}
	for _, info := range sys.infos {
		sys.start(info)
	}
	return sys
}

// configure stores the next version of the plan.
func (s *system) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = append(s.acked, time.Now())
	s.write(planTable, "config", fmt.Append(nil, len(s.acked), " ", string(s.routes)))
}

// grow adds routes to the next versions of the plan.
func (s *system) grow(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range count {
		s.routes = fmt.Appendf(s.routes, `{"Name":"r-%x","DatabaseName":"%x","Prefix":"/","RouteKind":"bounded_staleness","TimeoutMs":3000,"TargetLatencyMs":1200,"Priority":2,"ServiceName":"huvo11a","MaxAttempts":2,"MaxStalenessMs":1500},`,
			s.random.Uint32(), s.random.Uint32())
	}
}

// transfer returns when data that is sent now has passed the link of its sender, which is nil
// for the store, and that of its receiver; the caller holds the lock.
func (s *system) transfer(size int, from, to *node) time.Time {
	took := time.Duration(float64(size) / s.shape.rate * float64(time.Second))
	sent := time.Now()
	if from != nil {
		sent = later(sent, from.sendFree).Add(took)
		from.sendFree = sent
	}
	to.receiveFree = later(sent, later(time.Now(), to.receiveFree).Add(took))
	return to.receiveFree
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// write writes a row; the caller holds the lock, or nobody else knows the system.
func (s *system) write(table, key string, value []byte) {
	s.version++
	s.rows[table][key] = record.New(key, value).WithVersion(s.version).WithEra(1)
	close(s.changed)
	s.changed = make(chan struct{})
}

// now is the clock of the hosts.
func (s *system) now() time.Duration { return time.Hour + time.Since(s.began) }

// start starts the process of a host, unless the system was closed.
func (s *system) start(info gossip.HostInfo) {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	n := &node{system: s, info: info, incoming: make(chan net.Conn), ended: make(chan struct{}), up: true, disturbed: time.Now(), wires: map[*wire]bool{}}
	ctx, stop := context.WithCancel(s.t.Context())
	n.stop = stop
	m := mirror.New(s.now)
	waits, pauses := s.shape.waits()
	ages := map[string]time.Duration{}
	for table, wait := range waits {
		ages[table] = wait + pauses[table]
		m.Handle(table, func(rows []record.Row, _ stamp.Stamp, _ bool) { n.apply(table, rows) })
	}
	n.follower = follow.New(zap.NewNop(), n, m, s.now, info, ages, follow.WithHostTable(hostTable, 600*time.Millisecond),
		follow.WithWait(min(ages[planTable], ages[targetTable])/3))
	s.mu.Lock()
	s.nodes[info.Host] = n
	s.mu.Unlock()
	go relay.New(zap.NewNop(), nil, m).Serve(n)
	go n.follower.Run(ctx)
	plans := watch.New(zap.NewNop(), n, m, planTable, pauses[planTable], waits[planTable], watch.WithGate(n.follower))
	go plans.Run(ctx)
	for _, table := range []string{targetTable, hostTable, leaseTable} {
		go watch.New(zap.NewNop(), n, m, table, pauses[table], waits[table], watch.WithGate(n.follower), watch.WithPrerequisite(plans)).Run(ctx)
	}
}

// kill ends the process of a host, unless it has ended.
func (s *system) kill(n *node) {
	s.mu.Lock()
	if !n.up {
		s.mu.Unlock()
		return
	}
	n.stop()
	close(n.ended)
	n.up = false
	wires := slices.Collect(maps.Keys(n.wires))
	s.mu.Unlock()
	for _, w := range wires {
		_ = w.Close()
	}
}

// close ends all processes.
func (s *system) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, n := range s.nodes {
		s.kill(n)
	}
	time.Sleep(time.Minute)
}

// apply takes over rows of a table.
func (n *node) apply(table string, rows []record.Row) {
	if table == hostTable {
		n.follower.SetHosts(n.system.infos)
	}
	if table != planTable {
		return
	}
	for _, r := range rows {
		if r.Key != "config" {
			continue
		}
		version := 0
		_, _ = fmt.Sscan(string(r.Value), &version)
		n.system.mu.Lock()
		if version < n.plan {
			n.system.t.Errorf("%s went back from version %d to %d", n.info.Host, n.plan, version)
		}
		n.plan = version
		n.system.mu.Unlock()
	}
}

// set changes the state of links or hosts.
func (s *system) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.linksChanged)
	s.linksChanged = make(chan struct{})
}

// await waits while blocked, until the context ends. It returns false if that ended first.
func (s *system) await(ctx context.Context, blocked func() bool) bool {
	for {
		s.mu.Lock()
		b, changed := blocked(), s.linksChanged
		s.mu.Unlock()
		if !b {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// storeSilent reports whether the store does not answer the host; the caller holds the lock.
func (n *node) storeSilent() bool { return n.cutFromStore || n.frozen || !n.up }

func (n *node) List(ctx context.Context, table string) ([]record.Row, stamp.Stamp, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	return n.read(ctx, table, 0, 0)
}

func (n *node) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]record.Row, stamp.Stamp, error) {
	ctx, stop := context.WithTimeout(ctx, wait+callTimeout)
	defer stop()
	return n.read(ctx, table, after, wait)
}

// read returns the rows of a table after a version, and waits for a change for up to wait. A
// call that the store did not get or could not answer stays unanswered.
func (n *node) read(ctx context.Context, table string, after uint64, wait time.Duration) ([]record.Row, stamp.Stamp, error) {
	s := n.system
	const storeLatency = 10 * time.Millisecond
	time.Sleep(storeLatency)
	over := time.After(wait)
	for {
		s.mu.Lock()
		silent, changed, at := n.storeSilent(), s.changed, stamp.New(1, s.version)
		rows := slices.Collect(maps.Values(s.rows[table]))
		s.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, stamp.Stamp{}, ctx.Err()
		}
		rows = slices.DeleteFunc(rows, func(r record.Row) bool { return r.Version <= after })
		if len(rows) > 0 {
			size := 0
			for _, r := range rows {
				size += len(r.Value) * 4 / 3
			}
			s.mu.Lock()
			due := s.transfer(size, nil, n)
			s.mu.Unlock()
			select {
			case <-time.After(time.Until(due)):
				return rows, at, nil
			case <-ctx.Done():
				return nil, stamp.Stamp{}, ctx.Err()
			}
		}
		select {
		case <-changed:
		case <-over:
			return nil, at, nil
		case <-ctx.Done():
			return nil, stamp.Stamp{}, ctx.Err()
		}
	}
}

func (n *node) Accept() (net.Conn, error) {
	select {
	case c := <-n.incoming:
		return c, nil
	case <-n.ended:
		return nil, net.ErrClosed
	}
}
func (n *node) Close() error   { return nil }
func (n *node) Addr() net.Addr { return nil }

// blocked reports whether nothing passes between two hosts; the caller holds the lock.
func blocked(a, b *node) bool {
	return a.frozen || b.frozen || a.cutFromHosts != b.cutFromHosts || a.cutFromHosts && a.info.Zone != b.info.Zone
}

// Host opens a connection to another host.
func (n *node) Host(ctx context.Context, other gossip.HostInfo) (*remote.Remote, error) {
	ctx, stop := context.WithTimeout(ctx, 400*time.Millisecond)
	defer stop()
	s := n.system
	s.mu.Lock()
	peer := s.nodes[other.Host]
	up := peer.up
	s.mu.Unlock()
	if !s.await(ctx, func() bool { return blocked(n, peer) }) {
		return nil, ctx.Err()
	}
	if !up {
		return nil, io.ErrClosedPipe
	}
	a, b := net.Pipe()
	near, far := newWire(a, n, peer), newWire(b, peer, n)
	s.mu.Lock()
	n.wires[near], peer.wires[far] = true, true
	s.mu.Unlock()
	select {
	case peer.incoming <- far:
	case <-peer.ended:
		_ = near.Close()
		_ = far.Close()
		return nil, io.ErrClosedPipe
	case <-ctx.Done():
		_ = near.Close()
		_ = far.Close()
		return nil, ctx.Err()
	}
	return remote.New(other.Host, near), nil
}

// newWire returns an end of a connection, whose data the wire delivers until it is closed.
func newWire(c net.Conn, near, far *node) *wire {
	w := &wire{Conn: c, near: near, far: far, sent: make(chan chunk, sendBuffer)}
	w.open, w.end = context.WithCancel(context.Background())
	go w.deliver()
	return w
}

// Write sends data, which arrives later.
func (w *wire) Write(b []byte) (int, error) {
	s := w.near.system
	s.mu.Lock()
	due := s.transfer(len(b), w.near, w.far).Add(time.Millisecond)
	if most := max(w.near.delay, w.far.delay); most > 0 {
		due = due.Add(rand.N(most))
	}
	s.mu.Unlock()
	select {
	case <-w.open.Done():
		return 0, io.ErrClosedPipe
	case w.sent <- chunk{slices.Clone(b), due}:
		return len(b), nil
	}
}

// deliver passes on the data that was sent, in order, while nothing blocks the link.
func (w *wire) deliver() {
	s := w.near.system
	for {
		select {
		case c := <-w.sent:
			time.Sleep(time.Until(c.due))
			if !s.await(w.open, func() bool { return w.silent || blocked(w.near, w.far) }) {
				return
			}
			if _, err := w.Conn.Write(c.data); err != nil {
				_ = w.Close()
				return
			}
		case <-w.open.Done():
			return
		}
	}
}

func (w *wire) Close() error {
	w.closeOnce.Do(func() {
		w.end()
		s := w.near.system
		s.mu.Lock()
		delete(w.near.wires, w)
		s.mu.Unlock()
		_ = w.Conn.Close()
	})
	return nil
}

// check records each host that breaks the rule on configurations at the moment: one that was
// undisturbed, as the store was, and has not the newest plan that was acknowledged long
// enough ago.
func (s *system) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.storeDisturbed) < s.shape.contact {
		return
	}
	want := 0
	for want < len(s.acked) && now.Sub(s.acked[want]) > s.shape.apply {
		want++
	}
	for name, n := range s.nodes {
		if n.up && now.Sub(n.disturbed) >= s.shape.contact && n.plan < want && !s.late[name] {
			s.late[name] = true
			s.t.Errorf("%v: %s has version %d, and %d was acknowledged %v ago", now.Sub(s.began), name, n.plan, n.plan+1, now.Sub(s.acked[n.plan]))
		}
	}
}
