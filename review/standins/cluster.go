package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/platd"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

const (
	groupCount = 3
	// memberCount is the number of members of a group, one in each zone.
	memberCount = 3
	zoneCount   = 3
	// registerTime is how long the registration of a group's members takes.
	registerTime = 300 * time.Millisecond
	// gracePeriod, drainTime and the route times are those of strih-pool.
	gracePeriod = 6 * time.Second
	drainTime   = 7 * time.Second
)

// host is one process of the program under test.
type host struct {
	name     string
	zone     int
	front    string
	settings string
	process  *exec.Cmd
	exited   chan struct{}
}

// cluster is a small deployment: the processes, the platform and its database groups.
type cluster struct {
	record   *record
	dir      string
	platform *platd.Server
	groups   []*database
	hosts    []*host
	// onCall is called for each call of a host to the store or the cloud interface,
	// before the call is served.
	onCall func(h *host, path string, body []byte)
	// program is the path of the program under test.
	program string
	// restarts are the starts of hosts that are still to come.
	restarts sync.WaitGroup
}

// database is a database group and the writes that its clients were promised.
type database struct {
	*qgroup.Group
	name   string
	ledger *ledger
	// doors are the ways to the members.
	doors []*door
}

// record writes what happened, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is for readers; the verdict does not depend on it.
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// newCluster starts the platform, the group and the processes.
func newCluster(ctx context.Context, rec *record, dir, program string, hostCount int) (*cluster, error) {
	c := &cluster{
		record: rec, dir: dir, platform: platd.New(), program: program, onCall: func(*host, string, []byte) {},
	}
	var routes, services []any
	for i := range groupCount {
		name := fmt.Sprintf("db%d", i)
		d := &database{Group: qgroup.New(name, memberCount), name: name, ledger: &ledger{}}
		c.groups = append(c.groups, d)
		var failed error
		err := c.platform.Serve(ctx, name, d.Group, platd.WithProxy(func(address string) string {
			door, err := newDoor(address)
			if err != nil {
				failed = err
				return address
			}
			d.doors = append(d.doors, door)
			return door.address
		}))
		if err = errors.Join(err, failed); err != nil {
			return c, err
		}
		// The stand-in must have registered the members of one group before it serves
		// the next one.
		time.Sleep(registerTime)
		routes = append(routes, route("orders", name, "primary", 1000, 0), route("updates", name, "read_your_writes", 1000, 2500), route("lookups", name, "bounded_staleness", 3000, 1500))
		services = append(services, map[string]any{"Name": name, "MaxConnections": 32})
	}
	c.platform.Put("op", "config", map[string]any{
		"Version": 1, "Routes": routes, "Services": services, "Limits": map[string]any{"TransactionIdleMs": 2000},
	})
	for i := range hostCount {
		if err := c.addHost(ctx, i); err != nil {
			return c, err
		}
	}
	return c, nil
}

// route returns a route of the configuration.
func route(class, group, kind string, timeoutMs, staleMs int) map[string]any {
	name := class + "-" + group
	return map[string]any{
		"Name": name, "DatabaseName": name, "RouteKind": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": 800,
		"ServiceName": group, "MaxStalenessMs": staleMs, "Priority": 1,
	}
}

// freePort returns a free TCP port of loopback.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addHost starts a process, with an address of the platform of its own, by which its
// calls are told from those of other processes.
func (c *cluster) addHost(ctx context.Context, i int) error {
	h := &host{name: fmt.Sprintf("front-%d", i), zone: i % zoneCount}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	handler := c.platform.Handler()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		c.onCall(h, r.URL.Path, body)
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	var ports [4]int
	for p := range ports {
		if ports[p], err = freePort(); err != nil {
			return err
		}
	}
	h.front = fmt.Sprintf("127.0.0.1:%d", ports[0])
	settings := fmt.Sprintf(`NodeName = %q
Zone = "zone-%d"
Region = "r%d"
IpAddress = "127.0.0.1"
InternalPortRange = [%d, %d]
FirstStart = true
[Zones]
zone-0 = "r0"
zone-1 = "r1"
zone-2 = "r2"
[ListenAddresses]
Front = %q
Ready = "127.0.0.1:%d"
[Limits]
MemoryMb = 284
FileDescriptors = 4300
[Bounds]
GracePeriodS = %d
DrainTimeoutMs = %d
ConfigApplyMs = 4000
[platform]
Address = %q
[CloudApi]
Address = %q
`, h.name, h.zone, h.zone, ports[1], ports[2], h.front, ports[3], int(gracePeriod/time.Second), drainTime.Milliseconds(), l.Addr(), l.Addr())
	h.settings = filepath.Join(c.dir, h.name+".toml")
	if err := os.WriteFile(h.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	c.hosts = append(c.hosts, h)
	return c.start(h)
}

// start starts the process of a host.
func (c *cluster) start(h *host) error {
	output, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	p := exec.Command(c.program, "proxy")
	// A machine of the platform reports one core.
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "PISTACHIOTRAY_CONFIG=" + h.settings, "GOMAXPROCS=1"}
	p.Stdout, p.Stderr = output, output
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.process, h.exited = p, exited
	go func() {
		_ = p.Wait()
		close(exited)
	}()
	c.record.add("%s started, process %d", h.name, p.Process.Pid)
	return nil
}

// signal sends a signal to a process that this program started.
func (c *cluster) signal(h *host, s syscall.Signal) {
	c.record.add("%s gets %s", h.name, s)
	if err := h.process.Process.Signal(s); err != nil {
		c.record.add("%s: %v", h.name, err)
	}
}

// close ends all processes.
func (c *cluster) close() {
	c.restarts.Wait()
	for _, h := range c.hosts {
		if h.process == nil {
			continue
		}
		_ = h.process.Process.Kill()
		<-h.exited
	}
	c.platform.Close()
}

// leaseWrite returns the lease that a call to the store writes, or false if it
// writes none.
func leaseWrite(path string, body []byte) (lease storedLease, ok bool) {
	var call struct {
		Writes []struct {
			Table, Key string
			Value      []byte
		}
	}
	if path != "/rows-tx" || json.Unmarshal(body, &call) != nil {
		return lease, false
	}
	for _, w := range call.Writes {
		if w.Table == "lease" && json.Unmarshal(w.Value, &lease) == nil {
			lease.group = w.Key
			return lease, true
		}
	}
	return lease, false
}

// storedLease is the part of a stored lease that tells a claim from an order.
type storedLease struct {
	Holder, Target string
	Token          uint64
	Done           bool
	group          string
}

// claim reports whether the lease is a claim for a replacement that is to start.
func (l storedLease) claim() bool {
	return l.Token == 0 && !l.Done
}
