package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/platd"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

const (
	// enableVariable is the environment variable that enables the tests. check.sh sets it for
	// a run in which no other test runs, since other load changes what a crowd can send.
	enableVariable = "PISTACHIOTRAY_CROWD"
	// programVariable names another build of the program.
	programVariable = "PISTACHIOTRAY_CROWD_PROGRAM"
	// memoryMb and descriptors are the limits in the settings of the proxy, and the bounds of
	// the tests. The smallest machines have 184 MB.
	memoryMb    = 128
	descriptors = 600
	// answerTimeout bounds the wait for the ordinary request. It says nothing about how fast
	// the request must be; it tells a proxy that hangs from one that is busy.
	answerTimeout = 20 * time.Second
	// watchInterval is the time between two looks at the process.
	watchInterval = 10 * time.Millisecond
)

// proxy is a process of the program, with a platform and targets.
type proxy struct {
	t *testing.T
	// front, ready and peers are the addresses for callers, readiness checks and other hosts.
	front, ready, peers string
	process             *exec.Cmd
	output              bytes.Buffer
	// ctx ends with the process.
	ctx context.Context
	// mu guards the fields below.
	mu sync.Mutex
	// memory is the most memory that the process had, in kB, and opened its largest number of
	// open descriptors.
	memory, opened int
}

// buildProgram returns the path of the program.
func buildProgram(t *testing.T) string {
	t.Helper()
	if program := os.Getenv(programVariable); program != "" {
		return program
	}
	program := filepath.Join(t.TempDir(), "pistachiotray")
	if output, err := exec.Command("go", "build", "-o", program, "../../cmd/pistachiotray").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return program
}

// startProxy starts a platform, a database group and a proxy, and waits until the proxy
// answers an ordinary request. All end with the test.
func startProxy(t *testing.T) *proxy {
	t.Helper()
	if os.Getenv(enableVariable) == "" {
		t.Skipf("%s is not set; check.sh runs this test alone", enableVariable)
	}
	platform := platd.New()
	if err := platform.Serve(t.Context(), "g", qgroup.New("g", 3)); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(func() {
		platform.Close()
		server.CloseClientConnections()
		server.Close()
	})
	platform.Put("op", "config", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "orders", "DatabaseName": "orders", "RouteKind": "primary", "TimeoutMs": 3000, "TargetLatencyMs": 1000, "ServiceName": "g", "MaxStalenessMs": 1500,
		}},
		"Services": []any{map[string]any{"Name": "g", "MaxConnections": 32}},
		"Limits":   map[string]any{"TransactionIdleMs": 2000},
	})
	p := &proxy{t: t, front: freePort(t), ready: freePort(t)}
	metrics := freePort(t)
	p.peers = freePort(t)
	p.start(fmt.Sprintf(`NodeName = "host-1"
Zone = "zone-1"
IpAddress = "127.0.0.1"
InternalPortRange = [%s, %s]
FirstStart = true
[Zones]
zone-1 = "region-1"
[ListenAddresses]
Front = %q
Ready = %q
[Limits]
MemoryMb = %d
FileDescriptors = %d
[platform]
Address = %q
[CloudApi]
Address = %q
`, portOf(metrics), portOf(p.peers), p.front, p.ready, memoryMb, descriptors, server.Listener.Addr(), server.Listener.Addr()))
	p.requireAnswer("before the crowd")
	return p
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// start starts the process with the text of its settings.
func (p *proxy) start(settings string) {
	p.t.Helper()
	path := filepath.Join(p.t.TempDir(), "boot.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.process = exec.Command(buildProgram(p.t), "proxy")
	p.process.Env = append(os.Environ(), "PISTACHIOTRAY_CONFIG="+path)
	p.process.Stdout, p.process.Stderr = &p.output, &p.output
	if err := p.process.Start(); err != nil {
		p.t.Fatal(err)
	}
	ctx, ended := context.WithCancel(context.Background())
	p.ctx = ctx
	go p.watch()
	go func() {
		_ = p.process.Wait()
		ended()
	}()
	p.t.Cleanup(func() {
		_ = p.process.Process.Kill()
		<-ctx.Done()
	})
}

// watch records the memory and the open descriptors of the process until it ends. It kills
// the process once it has more memory than its limit, as the platform does.
func (p *proxy) watch() {
	folder := fmt.Sprintf("/proc/%d/", p.process.Process.Pid)
	for p.ctx.Err() == nil {
		status, _ := os.ReadFile(folder + "status")
		files, _ := os.ReadDir(folder + "fd")
		memory := 0
		if _, rest, ok := strings.Cut(string(status), "VmHWM:"); ok {
			_, _ = fmt.Sscan(rest, &memory)
		}
		p.mu.Lock()
		p.memory, p.opened = max(p.memory, memory), max(p.opened, len(files))
		p.mu.Unlock()
		if memory > memoryMb<<10 {
			_ = p.process.Process.Kill()
			return
		}
		time.Sleep(watchInterval)
	}
}

// requireAnswer fails the test unless the process answers an ordinary request. The request is
// sent again on a new connection if it is refused, as callers do.
func (p *proxy) requireAnswer(when string) {
	p.t.Helper()
	ctx, stop := context.WithTimeout(p.ctx, answerTimeout)
	defer stop()
	got := ""
	for ctx.Err() == nil {
		if got = p.ask(ctx); strings.HasPrefix(got, "ROW ") {
			return
		}
		time.Sleep(watchInterval)
	}
	p.t.Errorf("%s: an ordinary request was not answered, but got %q", when, got)
}

// ask reads an item in a session of its own, and returns the first line of the answer.
func (p *proxy) ask(ctx context.Context) string {
	c, err := dial(ctx, p.front)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	if got := c.exchange("START orders u\r\n"); got != "READY I -\r\n" {
		return got
	}
	return c.exchange("QUERY 1 READ item\r\n")
}

// check fails the test unless the process lives, stayed within its limits and answers an
// ordinary request.
func (p *proxy) check() {
	p.t.Helper()
	p.requireAnswer("after the crowd")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.t.Logf("memory at most %d MB of %d, descriptors at most %d of %d", p.memory>>10, memoryMb, p.opened, descriptors)
	if p.memory > memoryMb<<10 {
		p.t.Errorf("the process had %d MB of memory; its limit is %d", p.memory>>10, memoryMb)
	}
	if p.opened > descriptors {
		p.t.Errorf("the process had %d open descriptors; its limit is %d", p.opened, descriptors)
	}
	if p.ctx.Err() != nil {
		p.t.Errorf("the process ended: %v", p.process.ProcessState)
	}
	if p.t.Failed() {
		path := filepath.Join(os.TempDir(), fmt.Sprintf("crowd-%s.log", p.t.Name()))
		if p.ctx.Err() != nil && os.WriteFile(path, p.output.Bytes(), 0o600) == nil {
			p.t.Logf("log of the process: %s", path)
		}
	}
}
