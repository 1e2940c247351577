package main

import (
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
)

const (
	program = "target/pistachiotray"
	// memoryMb is the memory limit of a machine of the small deployments.
	memoryMb = 284
	// startTimeout bounds the wait until a host is ready.
	startTimeout = 20 * time.Second
)

// host is one process of the program.
type host struct {
	trial    *trial
	name     string
	settings string
	// text returns the settings, for the first start of the system or a later one.
	text func(first bool) string
	directory,
	front, ready string
	// mu guards command and output, and done, which is closed when the process has ended.
	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	output  *os.File
}

// freePort returns a port of loopback on which nothing listens. It lies below those that the
// kernel gives to outgoing connections.
func freePort() (int, error) {
	const first, count, tries = 12_000, 18_000, 100
	var err error
	for range tries {
		port := first + rand.IntN(count)
		var l net.Listener
		if l, err = net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port)); err == nil {
			return port, l.Close()
		}
	}
	return 0, err
}

// newHost writes the settings of a host in a zone and starts it.
func (t *trial) newHost(name, zone string) (*host, error) {
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	const portCount = 4
	ports := make([]int, portCount)
	for i := range ports {
		if ports[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	address := func(i int) string { return "127.0.0.1:" + strconv.Itoa(ports[i]) }
	h := &host{trial: t, name: name, directory: directory, settings: filepath.Join(directory, "boot.toml"), front: address(0), ready: address(1)}
	store := t.platform.listener.Addr().String()
	h.text = func(first bool) string {
		return fmt.Sprintf(`NodeName = %q
Role = "proxy"
MachineClass = "front"
Serves = ["front"]
IpAddress = "127.0.0.1"
Zone = %q
Region = "cz-brno"
InternalPortRange = [%d, %d]
FirstStart = %v
HeartbeatIntervalMs = 1200
[Zones]
brno-a = "cz-brno"
praha-a = "cz-praha"
ostrava-a = "cz-ostrava"
[ListenAddresses]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.4
CpuCores = 1
MemoryMb = %d
FileDescriptors = 4300
LinkMbps = 1000.0
[Bounds]
DrainTimeoutMs = 7000
GracePeriodS = 6
LossSlackMs = 200
ConfigApplyMs = 4000
ContactWindowMs = 5000
FencingRequired = true
[platform]
Address = %q
form = "table"
[CloudApi]
Address = %q
Duties = ["promotion"]
`, name, zone, ports[2], ports[3], first, h.front, h.ready, memoryMb, store, store)
	}
	t.mu.Lock()
	t.hosts = append(t.hosts, h)
	t.mu.Unlock()
	return h, h.start(true)
}

// start starts the process. first is set at the first start of the whole system.
func (h *host) start(first bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trial.mu.Lock()
	ended := h.trial.ended
	h.trial.mu.Unlock()
	if ended {
		return errors.New("the case has ended")
	}
	const fileMode = 0o600
	err := os.WriteFile(h.settings, []byte(h.text(first)), fileMode)
	if err != nil {
		return err
	}
	if h.output, err = os.Create(filepath.Join(h.directory, "output.log")); err != nil {
		return err
	}
	c := exec.Command(program, "proxy")
	c.Env = []string{"PISTACHIOTRAY_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + h.directory}
	c.Stdout, c.Stderr = h.output, h.output
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	h.command, h.done = c, make(chan struct{})
	done := h.done
	go func() {
		_ = c.Wait()
		close(done)
	}()
	h.trial.add("%s: process %d started", h.name, c.Process.Pid)
	return nil
}

// awaitReady waits until the host's readiness check succeeds.
func (h *host) awaitReady() error {
	const pause = 50 * time.Millisecond
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pause) {
		r, err := client.Get("http://" + h.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the host did not become ready")
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trial.add("%s: %s to process %d", h.name, s, h.command.Process.Pid)
	_ = h.command.Process.Signal(s)
}

// ended returns a channel that is closed when the present process has ended.
func (h *host) ended() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done
}

// residentMb returns the resident memory of the process in MB, or 0 if it has ended.
func (h *host) residentMb() int {
	h.mu.Lock()
	pid := h.command.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// stop ends the process, if it runs, and removes its files.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		_ = h.command.Process.Kill()
		<-h.done
	}
	_ = os.RemoveAll(h.directory)
}
