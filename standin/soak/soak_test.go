// Package soak_test runs the real program as processes of their own before a
// stand-in of the platform, injects faults from outside and checks the promises
// from what callers and targets see.
package soak_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/faulty"
	"github.com/pistachiotray/pistachiotray/standin/platd"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

const (
	hosts    = 3
	sessions = 9
	// healTime is given to the system after the last fault, before the logs are judged.
	healTime = 8 * time.Second
	// graceTime is the grace period that the processes are told.
	graceTime = 4 * time.Second
)

// host is one process of the program.
type host struct {
	front, settings string
	store           *faulty.Proxy
	output          *bytes.Buffer
	// restarting lets one restart of the process end before the next begins.
	restarting sync.Mutex
	mu         sync.Mutex
	process    *exec.Cmd
}

// soak is one run.
type soak struct {
	t        *testing.T
	random   *rand.Rand
	program  string
	platform *platd.Server
	band     *qgroup.Group
	members  []*faulty.Proxy
	hosts    []*host
	stop     context.Context

	mu      sync.Mutex
	acked   map[string]int // the newest acknowledged write of each item
	every   []string
	refused []string
	served  int
	wrong   []string
}

func (s *soak) fail(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong = append(s.wrong, fmt.Sprintf(format, arguments...))
}

func freePort(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func (s *soak) addHost(i int, store, cloud string) {
	h := &host{output: &bytes.Buffer{}, settings: filepath.Join(s.t.TempDir(), "boot.toml")}
	f, err := faulty.New(store)
	if err != nil {
		s.t.Fatal(err)
	}
	h.store = f
	h.front = fmt.Sprintf("127.0.0.1:%d", freePort(s.t))
	text := fmt.Sprintf(`NodeName = "host-%d"
Zone = "zone-%d"
IpAddress = "127.0.0.1"
InternalPortRange = [%d, %d]
[Zones]
zone-0 = "r0"
zone-1 = "r1"
zone-2 = "r2"
[ListenAddresses]
Front = %q
Ready = "127.0.0.1:%d"
[Limits]
MemoryMb = 256
[Bounds]
GracePeriodS = %d
DrainTimeoutMs = 7000
[platform]
Address = %q
[CloudApi]
Address = %q
`, i, i, freePort(s.t), freePort(s.t), h.front, freePort(s.t), int(graceTime/time.Second), f.Address(), cloud)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.hosts = append(s.hosts, h)
	s.start(h)
}

func (s *soak) start(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = exec.Command(s.program, "proxy")
	h.process.Env = append(os.Environ(), "PISTACHIOTRAY_CONFIG="+h.settings)
	h.process.Stdout, h.process.Stderr = h.output, h.output
	if err := h.process.Start(); err != nil {
		s.t.Error(err)
	}
}

func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Process.Signal(sig)
}

// restart ends the process with a signal, waits for its end and starts it again.
func (s *soak) restart(h *host, sig syscall.Signal) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	h.signal(sig)
	h.mu.Lock()
	p := h.process
	h.mu.Unlock()
	done := make(chan struct{})
	go func() { _ = p.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(graceTime):
		h.signal(syscall.SIGKILL)
		<-done
	}
	s.start(h)
}

// faults injects faults one after the other, some overlapping.
func (s *soak) faults() {
	var under sync.WaitGroup
	defer under.Wait()
	for s.stop.Err() == nil {
		time.Sleep(time.Duration(200+s.random.IntN(1500)) * time.Millisecond)
		span := time.Duration(200+s.random.IntN(2500)) * time.Millisecond
		h, i, kind := s.hosts[s.random.IntN(hosts)], s.random.IntN(3), s.random.IntN(12)
		mode := 1 + s.random.IntN(4)
		under.Go(func() { s.fault(h, i, kind, mode, span) })
		if s.random.IntN(3) > 0 {
			under.Wait()
		}
	}
}

func (s *soak) fault(h *host, i, kind, mode int, span time.Duration) {
	switch kind {
	case 0:
		s.restart(h, syscall.SIGKILL)
	case 1:
		s.restart(h, syscall.SIGTERM)
	case 2:
		h.signal(syscall.SIGSTOP)
		time.Sleep(span)
		h.signal(syscall.SIGCONT)
	case 3:
		h.signal(syscall.SIGHUP)
	case 4:
		s.members[i].SetMode(mode)
		time.Sleep(span)
		s.members[i].SetMode(faulty.Forward)
		s.members[i].ResetConnections()
	case 5:
		s.members[i].ResetConnections()
	case 6:
		h.store.SetMode(mode)
		time.Sleep(span)
		h.store.SetMode(faulty.Forward)
		h.store.ResetConnections()
	case 7:
		s.band.Crash(i)
		time.Sleep(span)
		s.band.Start(i)
	case 8:
		s.platform.SetStatus(503)
		time.Sleep(span)
		s.platform.SetStatus(0)
		s.platform.DropHistory()
	case 9:
		s.platform.LoseAnswers(2)
	case 10:
		s.band.SetLeaving(i, true)
		time.Sleep(span)
		s.band.SetLeaving(i, false)
	case 11:
		s.band.LoseAnswers(2)
	}
}

// session is one caller that writes an item of its own.
type session struct {
	soak     *soak
	random   *rand.Rand
	name     string
	database string
	item     string
	sequence int
	count    int
	own      int // the newest write acknowledged on this connection
	conn     net.Conn
	reader   *bufio.Reader
}

// connect opens a connection to one of the hosts; it is used until it breaks.
func (c *session) connect() bool {
	h := c.soak.hosts[c.random.IntN(hosts)]
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.own = conn, bufio.NewReader(conn), 0
	got, ok := c.talk("START " + c.database + " u")
	if !ok || got != "READY I -" {
		c.close()
		return false
	}
	return true
}

func (c *session) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// talk sends a line and returns the lines up to READY, joined by "|".
func (c *session) talk(text string) (string, bool) {
	const patience = 6 * time.Second
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	if _, err := fmt.Fprintf(c.conn, "%s\r\n", text); err != nil {
		c.close()
		return "", false
	}
	var got []string
	for {
		l, err := c.reader.ReadString('\n')
		if err != nil {
			c.close()
			return strings.Join(got, "|"), false
		}
		got = append(got, strings.TrimSuffix(l, "\r\n"))
		if strings.HasPrefix(l, "READY") {
			return strings.Join(got, "|"), true
		}
	}
}

// query runs a statement; a success must carry the statement's own signature.
func (c *session) query(text string) (string, bool) {
	c.count++
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	got, ok := c.talk("QUERY " + id + " " + text)
	verb, _, _ := strings.Cut(text, " ")
	if ok && (verb == "READ" || verb == "WRITE" || verb == "COMMIT") && strings.Contains(got, "COMPLETE ") && !strings.Contains(got, " "+id+"|") {
		c.soak.fail("MIXED: %s was answered %q", id, got)
	}
	return got, ok
}

func (c *session) play() {
	defer c.close()
	for c.soak.stop.Err() == nil {
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
		if c.conn == nil && !c.connect() {
			continue
		}
		switch n := c.random.IntN(6); {
		case n < 2:
			c.end([]int{c.next()}, "WRITE "+c.item+" "+strconv.Itoa(c.sequence))
		case n == 2:
			c.transaction()
		default:
			c.read()
		}
	}
}

func (c *session) next() int {
	c.sequence++
	return c.sequence
}

// end runs what makes writes last and notes what came of them.
func (c *session) end(sequences []int, text string) {
	got, ok := c.query(text)
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	for _, n := range sequences {
		written := fmt.Sprintf("%s %d", c.item, n)
		switch {
		case ok && strings.Contains(got, "COMPLETE "):
			c.soak.every = append(c.soak.every, written)
			c.soak.acked[c.item] = max(c.soak.acked[c.item], n)
			c.own = max(c.own, n)
		case ok && promised(got):
			c.soak.refused = append(c.soak.refused, written)
		}
	}
}

// promised tells whether an error says that nothing is kept.
func promised(got string) bool {
	for _, word := range []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"} {
		if strings.HasPrefix(got, "ERROR "+word) {
			return true
		}
	}
	return false
}

func (c *session) transaction() {
	if got, ok := c.query("BEGIN"); !ok || !strings.HasPrefix(got, "COMPLETE") {
		return
	}
	var sequences []int
	for range 1 + c.random.IntN(3) {
		sequences = append(sequences, c.next())
		got, ok := c.query("WRITE " + c.item + " " + strconv.Itoa(c.sequence))
		if !ok {
			return
		}
		if !strings.HasPrefix(got, "COMPLETE") {
			c.query("ROLLBACK")
			return
		}
	}
	c.end(sequences, "COMMIT")
}

func (c *session) read() {
	item := c.item
	c.soak.mu.Lock()
	want := c.own
	if c.database == "orders" {
		item = fmt.Sprintf("item-%d", c.random.IntN(sessions))
		want = c.soak.acked[item]
	}
	c.soak.mu.Unlock()
	got, ok := c.query("READ " + item)
	row, found := strings.CutPrefix(got, "ROW ")
	if !ok || !found {
		return
	}
	c.soak.mu.Lock()
	c.soak.served++
	c.soak.mu.Unlock()
	text, _, _ := strings.Cut(row, "|")
	n, err := strconv.Atoi(text)
	if err != nil && text != "" {
		c.soak.fail("a read returned %q", got)
	}
	if n < want {
		c.soak.fail("STALE: %s read %d of %s after %d was acknowledged", c.database, n, item, want)
	}
}

// check judges the leader's log.
func (s *soak) check() {
	leader := s.band.Leader()
	if leader < 0 {
		s.fail("nobody leads at the end")
		return
	}
	data := s.band.WriteCounts(leader)
	for _, written := range s.every {
		if data[written] == 0 {
			s.fail("LOST: %s was acknowledged", written)
		}
	}
	for _, written := range s.refused {
		if data[written] > 0 {
			s.fail("REFUSED: %s is kept although it was refused", written)
		}
	}
	for written, n := range data {
		if n > 1 {
			s.fail("TWICE: %s was written %d times", written, n)
		}
	}
}

func run(t *testing.T, program string, seed uint64, length time.Duration) {
	stop, end := context.WithTimeout(context.Background(), length)
	defer end()
	serving, quit := context.WithCancel(context.Background())
	defer quit()
	s := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), program: program, stop: stop,
		platform: platd.New(), band: qgroup.New("g", 3), acked: map[string]int{},
	}
	if err := s.platform.Serve(serving, "g", s.band, platd.WithProxy(func(to string) string {
		f, err := faulty.New(to)
		if err != nil {
			t.Fatal(err)
		}
		s.members = append(s.members, f)
		return f.Address()
	})); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(s.platform.Handler())
	defer func() { server.CloseClientConnections(); server.Close() }()
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"Name": name, "DatabaseName": name, "RouteKind": kind, "TimeoutMs": 1500, "TargetLatencyMs": 800,
			"ServiceName": "g", "MaxStalenessMs": 1500,
		}
	}
	s.platform.Put("op", "config", map[string]any{
		"Version": 1, "Routes": []any{route("orders", "primary"), route("log", "read_your_writes")},
		"Services": []any{map[string]any{"Name": "g", "MaxConnections": 32}}, "Limits": map[string]any{"TransactionIdleMs": 2000},
	})
	address := server.Listener.Addr().String()
	for i := range hosts {
		s.addHost(i, address, address)
	}
	var done sync.WaitGroup
	for i := range sessions {
		c := &session{soak: s, random: rand.New(rand.NewPCG(seed, uint64(10+i))), name: fmt.Sprintf("s%d", i), item: fmt.Sprintf("item-%d", i), database: "orders"}
		if i%2 == 1 {
			c.database = "log"
		}
		done.Go(c.play)
	}
	s.faults()
	done.Wait()
	time.Sleep(healTime)
	s.check()
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		_ = h.process.Wait()
		h.store.Close()
	}
	for _, f := range s.members {
		f.Close()
	}
	s.platform.Close()
	s.report(seed)
}

// report fails the test for what was wrong and keeps the processes' logs.
func (s *soak) report(seed uint64) {
	s.t.Logf("seed %d: %d writes acknowledged, %d refused, %d reads served", seed, len(s.every), len(s.refused), s.served)
	if s.served == 0 || len(s.every) == 0 {
		s.fail("nothing was served")
	}
	for _, w := range s.wrong {
		s.t.Error(w)
	}
	if s.t.Failed() {
		for i, h := range s.hosts {
			path := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-host-%d.log", seed, i))
			if err := os.WriteFile(path, h.output.Bytes(), 0o600); err == nil {
				s.t.Logf("logs of host %d: %s", i, path)
			}
		}
	}
}

// regressions are seeds that failed once, with the cause.
var regressions = map[uint64]string{
	117: "two restarts of one process overlapped in the soak itself; one process stayed and the run did not end",
}

// TestSoak plays a few seeds; more with
// PISTACHIOTRAY_SOAK=50 PISTACHIOTRAY_SOAK_FROM=100 go test ./standin/soak -timeout 30m.
func TestSoak(t *testing.T) {
	const usual, length = 2, 10 * time.Second
	n, from := usual, 1
	if text := os.Getenv("PISTACHIOTRAY_SOAK"); text != "" {
		n, _ = strconv.Atoi(text)
		from, _ = strconv.Atoi(os.Getenv("PISTACHIOTRAY_SOAK_FROM"))
	}
	program := filepath.Join(t.TempDir(), "pistachiotray")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/pistachiotray").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	seeds := []uint64{}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for i := range n {
		seeds = append(seeds, uint64(from+i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			run(t, program, seed, length)
		})
	}
}
