package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/dbproc"
	"github.com/pistachiotray/pistachiotray/standin/faulty"
	"github.com/pistachiotray/pistachiotray/standin/ledger"
	"github.com/pistachiotray/pistachiotray/standin/platd"
)

const (
	groupCount = 3
	groupSize  = 3
	// memberVariable is the environment variable that holds the settings of a member. With
	// it, the test binary runs the member instead of the tests.
	memberVariable = "PISTACHIOTRAY_SOAK_MEMBER"
	// heartbeat is the time between two registrations of a member. They lapse after three.
	heartbeat = 1200 * time.Millisecond
	// memberPort is the lowest port of members. Each address of 127.0.0.0/8 has its own
	// ports, so that the proxies for a member listen on its port at other addresses.
	memberPort = 7000
)

// The third numbers of addresses of members: those at which they listen for hosts and for
// members, and those of the proxies for hosts and for members.
const (
	directNet = iota
	replicationNet
	hostNet
	peerNet
)

// size is what differs between the deployments.
type size struct {
	name                              string
	hosts, slots                      int
	promote, connect, work, ship, lag time.Duration
}

var sizes = []size{
	{name: "strih", hosts: 6, slots: 5, promote: 300 * time.Millisecond, connect: 12 * time.Millisecond, work: 9 * time.Millisecond, ship: 20 * time.Millisecond, lag: 8 * time.Millisecond},
	{name: "vaahtera", hosts: 8, slots: 2, promote: time.Second, connect: 27 * time.Millisecond, work: 3 * time.Millisecond, ship: 20 * time.Millisecond, lag: 20 * time.Millisecond},
}

// cluster is the run of one seed at the size of a deployment.
type cluster struct {
	soakRun
	size   size
	seed   uint64
	ledger *ledger.Ledger
	// events is the record of the ledger and of the faults.
	events *os.File
	slots  []*slot
	// network is the second number of the addresses of the run.
	network int
	// ackAlone and ackLate are the settings of the members.
	ackAlone, ackLate bool
	starts            int
	// orderRandom chooses the faults that follow an order; mu guards it.
	orderRandom *rand.Rand
	// calm is set while no faults may follow an order.
	calm atomic.Bool
}

// TestMain runs a member if the environment holds the settings of one.
func TestMain(m *testing.M) {
	text := os.Getenv(memberVariable)
	if text == "" {
		os.Exit(m.Run())
	}
	var p dbproc.Process
	err := json.Unmarshal([]byte(text), &p)
	if err == nil {
		err = p.Run()
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// address returns an address of a member: kind is the third number of it, and from the fourth,
// which tells the proxies for the other members apart.
func (c *cluster) address(kind, from, member int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", c.network, kind, from, memberPort+member)
}

// networksTried is the number of calls of networkNumber.
var networksTried atomic.Int64

// networkNumber returns the second number of the addresses of a run, which no other run uses.
func networkNumber(t *testing.T) int {
	const first, count = 10, 200
	for i := range count {
		n := first + (os.Getpid()*7+int(networksTried.Add(1))+i)%count
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.0:%d", n, hostNet, memberPort))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return n
		}
	}
	t.Fatal("no free network")
	return 0
}

// addSlot starts the proxies and the first process of a member.
func (c *cluster) addSlot(i int, store string) {
	m := &slot{run: c, group: groupName(i / groupSize), index: i, zone: i % groupSize, output: &bytes.Buffer{}}
	m.storeProxy = c.proxy(store)
	m.hostProxy = c.proxy(c.address(directNet, 1, i), faulty.WithAddress(c.address(hostNet, 1, i)))
	for p := range groupSize {
		m.peerProxies = append(m.peerProxies, c.proxy(c.address(replicationNet, 1, i), faulty.WithAddress(c.address(peerNet, p+1, i))))
	}
	c.slots = append(c.slots, m)
}

func (c *cluster) proxy(target string, options ...func(*faulty.Proxy)) *faulty.Proxy {
	p, err := faulty.New(target, options...)
	if err != nil {
		c.t.Fatal(err)
	}
	return p
}

// newID returns an ID that no member had.
func (c *cluster) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	return fmt.Sprintf("i-%d-%02d", c.seed, c.starts)
}

func groupName(i int) string { return fmt.Sprintf("g%d", i) }

// leaderSlot returns the slot of the member that leads a group, or that led it last.
func (c *cluster) leaderSlot(group int) *slot {
	id := c.ledger.Leader(groupName(group))
	for _, m := range c.slots[group*groupSize : (group+1)*groupSize] {
		m.mu.Lock()
		found := m.id == id
		m.mu.Unlock()
		if found {
			return m
		}
	}
	return c.slots[group*groupSize]
}

// configureCluster stores the configuration, with a primary and a read-your-writes route
// for each group.
func (c *cluster) configureCluster() {
	var routes, services []any
	for g := range groupCount {
		services = append(services, map[string]any{"Name": groupName(g), "MaxConnections": 32})
		for name, kind := range map[string]string{"orders": "primary", "log": "read_your_writes"} {
			name = name + "-" + strconv.Itoa(g)
			routes = append(routes, map[string]any{
				"Name": name, "DatabaseName": name, "RouteKind": kind, "TimeoutMs": 2500, "TargetLatencyMs": 1500,
				"ServiceName": groupName(g), "MaxStalenessMs": 2500,
			})
		}
	}
	c.platform.Put("op", "config", map[string]any{
		"Version": 1, "Routes": routes, "Services": services, "Limits": map[string]any{"TransactionIdleMs": 2000},
	})
}

// newCluster starts the members and hosts of a seed.
func newCluster(t *testing.T, program string, seed uint64, z size, ackAlone bool, options ...func(*ledger.Ledger)) *cluster {
	t.Helper()
	c := &cluster{size: z, seed: seed, ackAlone: ackAlone, ackLate: seed/2%2 == 0, network: networkNumber(t)}
	c.orderRandom = rand.New(rand.NewPCG(seed, 3))
	options = append(options, ledger.WithOrderHook(c.disturbOrder))
	c.t, c.random, c.program, c.platform, c.newestAcked = t, rand.New(rand.NewPCG(seed, 1)), program, platd.New(), map[string]int{}
	c.ackedIDs = map[string]bool{}
	var err error
	if c.events, err = os.Create(filepath.Join(t.TempDir(), "events.log")); err != nil {
		t.Fatal(err)
	}
	if c.ledger, err = ledger.New(z.promote, c.events, options...); err != nil {
		t.Fatal(err)
	}
	c.platform.ServeProcesses(t.Context(), 3*heartbeat, c.ledger.Order)
	c.configureCluster()
	store := c.listen(c.platform.Handler())
	for i := range groupCount * groupSize {
		c.addSlot(i, store)
	}
	// The members that start first lead: half of the time all those of one zone.
	leading := c.random.IntN(groupSize)
	together := c.random.IntN(2) == 0
	for g := range groupCount {
		if !together {
			leading = c.random.IntN(groupSize)
		}
		for i := range groupSize {
			c.slots[g*groupSize+(leading+i)%groupSize].start(c.newID(), "")
		}
	}
	for i := range z.hosts {
		c.addHost(i, store, store)
	}
	return c
}

// listen serves a handler on loopback until the test ends.
func (s *soakRun) listen(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// stop ends all processes and proxies.
func (c *cluster) stop() {
	for _, h := range c.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		_ = h.process.Wait()
		h.storeProxy.Close()
	}
	for _, m := range c.slots {
		m.signal(syscall.SIGCONT)
		m.kill()
		m.storeProxy.Close()
		m.hostProxy.Close()
		for _, p := range m.peerProxies {
			p.Close()
		}
	}
	c.ledger.Close()
	c.platform.Close()
}
