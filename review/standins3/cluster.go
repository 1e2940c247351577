package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/platd"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

const (
	// program is the command of the deploy file.
	program = "target/pistachiotray"
	// memoryMb, descriptors and maxConnections are those of the small deployment strih-pool.
	memoryMb       = 284
	descriptors    = 4300
	maxConnections = 32
	// groupSize is the number of members of a group that are up at the start.
	groupSize = 3
	// servePause is the pause after the members of a group were started.
	servePause = 200 * time.Millisecond
	// restartPause is the pause before the platform starts a process again that ended.
	restartPause = 500 * time.Millisecond
	// watchInterval is the time between two looks at the memory of a process.
	watchInterval = 10 * time.Millisecond
	// readyTimeout bounds the start of a process.
	readyTimeout = 15 * time.Second
)

var zones = []string{"zone-1", "zone-2", "zone-3"}

// cluster is a small deployment: a platform, three groups of three members, and hosts.
type cluster struct {
	rec     *record
	folder  string
	address string
	hosts   []*host
	// groups are the databases' groups, by name.
	groups map[string]*qgroup.Group
}

// newCluster starts a platform with the groups g1 to g3 and a number of hosts, which end with
// the context. Each group has a database of each route kind: primary-gN and bounded-gN. Of its members,
// groupSize are up.
func newCluster(ctx context.Context, rec *record, hosts int, members int) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = os.RemoveAll(folder) })
	c := &cluster{rec: rec, folder: folder, groups: map[string]*qgroup.Group{}}
	platform := platd.New()
	var routes, services []any
	for i := range 3 {
		name := fmt.Sprintf("g%d", i+1)
		c.groups[name] = qgroup.New(name, members, qgroup.WithConnectionLimit(maxConnections))
		if err := platform.Serve(ctx, name, c.groups[name]); err != nil {
			return nil, err
		}
		// Serve for the next group writes a map that the registration of this one reads at its start.
		time.Sleep(servePause)
		for m := groupSize; m < members; m++ {
			c.groups[name].Crash(m)
		}
		routes = append(routes,
			map[string]any{"Name": "p-" + name, "DatabaseName": "primary-" + name, "RouteKind": "primary", "TimeoutMs": 1000, "TargetLatencyMs": 800, "Priority": 1, "ServiceName": name},
			map[string]any{"Name": "b-" + name, "DatabaseName": "bounded-" + name, "RouteKind": "bounded_staleness", "TimeoutMs": 3000, "TargetLatencyMs": 1200, "Priority": 2, "ServiceName": name, "MaxStalenessMs": 1500})
		services = append(services, map[string]any{"Name": name, "MaxConnections": maxConnections, "SyncReplicas": 1})
	}
	platform.Put("op", "config", map[string]any{"Version": 7, "Routes": routes, "Services": services, "Limits": map[string]any{"TransactionIdleMs": 3000}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = l.Addr().String()
	server := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() {
		platform.Close()
		_ = server.Close()
	})
	for i := range hosts {
		h, err := c.newHost(i)
		if err != nil {
			return nil, err
		}
		c.hosts = append(c.hosts, h)
	}
	for _, h := range c.hosts {
		go h.keep(ctx)
	}
	for _, h := range c.hosts {
		if err := h.awaitReady(ctx); err != nil {
			return nil, err
		}
	}
	// Hosts register, and learn of each other, shortly after the start.
	time.Sleep(4 * time.Second)
	return c, nil
}

// wait waits until the processes have ended. The cluster's context must have ended.
func (c *cluster) wait() {
	for _, h := range c.hosts {
		<-h.ended
	}
	_ = os.RemoveAll(c.folder)
}

// host is one machine, on which the platform keeps a process of the program running.
type host struct {
	rec                          *record
	name, settings, front, ready string
	ended                        chan struct{}
	// mu guards the fields below.
	mu sync.Mutex
	// memory is the memory of the process in kB, and peak the most that any process had.
	memory, peak int
	// kills counts the processes that the platform killed for their memory, and ends those that
	// ended by themselves in another way.
	kills, ends int
}

// newHost writes the settings of a host.
func (c *cluster) newHost(i int) (*host, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	h := &host{
		rec: c.rec, name: fmt.Sprintf("front-%d", i+1), settings: filepath.Join(c.folder, fmt.Sprintf("boot-%d.toml", i+1)),
		front: "127.0.0.1:" + ports[0], ready: "127.0.0.1:" + ports[1], ended: make(chan struct{}),
	}
	text := fmt.Sprintf(`NodeName = %q
Role = "proxy"
MachineClass = "front"
Serves = ["front"]
IpAddress = "127.0.0.1"
Zone = %q
Region = "region-1"
InternalPortRange = [%s, %s]
FirstStart = true
HeartbeatIntervalMs = 1200
[Zones]
zone-1 = "region-1"
zone-2 = "region-1"
zone-3 = "region-1"
[ListenAddresses]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.4
CpuCores = 1
MemoryMb = %d
FileDescriptors = %d
[Bounds]
DrainTimeoutMs = 7000
GracePeriodS = 6
ConfigApplyMs = 4000
[platform]
Address = %q
[CloudApi]
Address = %q
`, h.name, zones[i%len(zones)], ports[2], ports[3], h.front, h.ready, memoryMb, descriptors, c.address, c.address)
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// freePorts returns ports that are free at present. They are below the range from which the system
// takes the ports of outgoing connections.
func freePorts(n int) ([]string, error) {
	const from, to = 12000, 32000
	var ports []string
	for tries := 0; len(ports) < n; tries++ {
		if tries == to-from {
			return nil, errors.New("no free port")
		}
		port := strconv.Itoa(from + rand.IntN(to-from))
		l, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, port)
	}
	return ports, nil
}

// keep runs the process, and starts it again after it ended, until the context ends.
func (h *host) keep(ctx context.Context) {
	defer close(h.ended)
	for ctx.Err() == nil {
		if err := h.runOnce(ctx); err != nil {
			h.rec.note("%s: %v", h.name, err)
		}
		if ctx.Err() != nil {
			return
		}
		time.Sleep(restartPause)
		// A process that starts again is not part of the system's first start.
		text, err := os.ReadFile(h.settings)
		if err == nil {
			err = os.WriteFile(h.settings, bytes.Replace(text, []byte("FirstStart = true"), []byte("FirstStart = false"), 1), 0o600)
		}
		if err != nil {
			h.rec.note("%s: %v", h.name, err)
		}
	}
}

// runOnce runs one process until it ends, is killed for its memory, or the context ends.
func (h *host) runOnce(ctx context.Context) error {
	p := exec.Command(program, "proxy")
	p.Env = append(os.Environ(), "PISTACHIOTRAY_CONFIG="+h.settings)
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var errorText bytes.Buffer
	p.Stderr = &errorText
	if err := p.Start(); err != nil {
		return err
	}
	h.rec.note("%s: process %d started", h.name, p.Process.Pid)
	ended := make(chan struct{})
	killed := make(chan bool, 1)
	go func() { killed <- h.watch(ctx, p, ended) }()
	err := p.Wait()
	close(ended)
	over := <-killed
	if ctx.Err() != nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if over {
		h.kills++
		return nil
	}
	h.ends++
	return fmt.Errorf("the process ended by itself: %v: %.400s", err, errorText.String())
}

// watch kills the process if it has more memory than its machine allows, as the platform does,
// or when the context ends. It returns whether the memory was the reason.
func (h *host) watch(ctx context.Context, p *exec.Cmd, ended chan struct{}) bool {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return false
		case <-ctx.Done():
			_ = p.Process.Kill()
			return false
		case <-tick.C:
		}
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
		memory := 0
		if _, rest, ok := strings.Cut(string(status), "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &memory)
		}
		h.mu.Lock()
		h.memory, h.peak = memory, max(h.peak, memory)
		h.mu.Unlock()
		if memory > memoryMb<<10 {
			h.rec.note("%s: process %d has %d MB of memory, over MemoryMb = %d: the platform kills it", h.name, p.Process.Pid, memory>>10, memoryMb)
			_ = p.Process.Kill()
			return true
		}
	}
}

// state returns the present memory in MB, the largest so far, and how often the process was
// killed for its memory or ended in another way.
func (h *host) state() (memory, peak, kills, ends int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.memory >> 10, h.peak >> 10, h.kills, h.ends
}

// awaitReady waits until the host answers the readiness check with 200.
func (h *host) awaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/readiness", http.NoBody)
		if err != nil {
			return err
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New(h.name + " is not ready")
}
