package soak_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/ranks"
	"github.com/pistachiotray/pistachiotray/standin/faulty"
	"github.com/pistachiotray/pistachiotray/standin/platd"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

const (
	// applyTime is within what time a change must be in force at hosts that were not
	// disturbed for contactTime, and downgradeSlack after what time a host must not go back
	// behind a change of which it showed the effect.
	applyTime      = 6 * time.Second
	contactTime    = 6 * time.Second
	downgradeSlack = 250 * time.Millisecond
	// keptRoutes is the number of versions for which a route stays.
	keptRoutes = 8
	// largeConfiguration is the number of further routes in some runs.
	largeConfiguration = 1400
	probeInterval      = 200 * time.Millisecond
	probeTimeout       = 3 * time.Second
)

// grownZones holds the number of hosts of each zone of strih-pool-grown, and shortZones that
// of the short runs.
var (
	grownZones = []int{17, 14, 17, 13, 13, 15}
	shortZones = []int{5, 4, 4, 3, 3, 3}
)

// configRun is a run in which the configuration changes while hosts are disturbed.
type configRun struct {
	soakRun
	zones []int
	infos []gossip.HostInfo
	// large is the number of routes that stay.
	large int

	// configMu guards the fields below.
	configMu sync.Mutex
	// acked holds when each version was acknowledged; the first is version 1, which adds
	// the route extra-1.
	acked []time.Time
	// disturbed holds until when each host was disturbed, and storeDisturbed until when the
	// store was.
	disturbed      map[string]time.Time
	storeDisturbed time.Time
	// starts counts the starts of each host's process.
	starts map[string]int
	// served holds the operations of each customer with a limit that were served.
	served map[string][]span
	// answers counts the answers to probes by their first word.
	answers map[string]int
}

// store stores the next configuration. Each adds a route and removes the oldest one.
func (r *configRun) store() {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	version := len(r.acked) + 1
	var routes []any
	add := func(name string) {
		routes = append(routes, map[string]any{
			"Name": "r-" + name, "DatabaseName": name, "RouteKind": "primary", "TimeoutMs": 1500, "TargetLatencyMs": 800, "Priority": 1,
			"ServiceName": "g", "MaxAttempts": 2, "MaxStalenessMs": 1500,
		})
	}
	for v := max(1, version-keptRoutes+1); v <= version; v++ {
		add(fmt.Sprint("extra-", v))
	}
	for i := range r.large {
		add(fmt.Sprintf("standing-%d-%x", i, rand.N(1<<32)))
	}
	config := map[string]any{
		"Version": version, "Services": []any{map[string]any{"Name": "g", "MaxConnections": 64}}, "Limits": map[string]any{"TransactionIdleMs": 2000},
	}
	if r.customers {
		add(standingRoute)
		config["Tenants"] = tenants(version)
	}
	config["Routes"] = routes
	r.mu.Lock()
	r.version = version
	r.mu.Unlock()
	r.platform.Put("op", "config", config)
	r.acked = append(r.acked, time.Now())
}

// required returns the newest version that must be in force at a time, 0 if none, and the
// newest version that was stored.
func (r *configRun) required(at time.Time) (version, newest int) {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	for version < len(r.acked) && at.Sub(r.acked[version]) > applyTime {
		version++
	}
	return version, len(r.acked)
}

// inTouch reports whether a host and the store were not disturbed for contactTime.
func (r *configRun) inTouch(h *host, at time.Time) bool {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	return at.Sub(r.disturbed[h.name]) >= contactTime && at.Sub(r.storeDisturbed) >= contactTime
}

// starting returns how often the host's process was started.
func (r *configRun) starting(h *host) int {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	return r.starts[h.name]
}

// askRoute starts a session of a route with a key that all versions hold.
func (r *configRun) askRoute(h *host, version int) string {
	key := "u"
	if r.customers {
		key = newKey("steady", version)
	}
	return r.ask(h, fmt.Sprint("extra-", version), key)
}

// ask starts a session at a host and returns the answer, empty if there was none.
func (r *configRun) ask(h *host, database, key string) string {
	conn, err := net.DialTimeout("tcp", h.front, probeTimeout)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(probeTimeout))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, key); err != nil {
		return ""
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return ""
	}
	answer = strings.TrimSpace(answer)
	words := strings.Fields(answer)
	r.configMu.Lock()
	r.answers[strings.Join(words[:min(2, len(words))], " ")]++
	r.configMu.Unlock()
	return answer
}

// probe asks a host for routes until the run ends, and checks both sentences of the rule on
// configurations: a change is in force in time, and no host goes back within one start.
func (r *configRun) probe(h *host) {
	seen, seenAt, start := 0, time.Time{}, r.starting(h)
	for r.ctx.Err() == nil {
		time.Sleep(probeInterval/2 + rand.N(probeInterval))
		if s := r.starting(h); s != start {
			seen, start = 0, s
		}
		_, newest := r.required(time.Now())
		if answer := r.askRoute(h, newest); strings.HasPrefix(answer, "READY") && newest > seen {
			seen, seenAt = newest, time.Now()
		}
		sent := time.Now()
		version, newest := r.required(sent)
		r.check(h, sent, version, newest)
		sent = time.Now()
		if seen > newest-keptRoutes && seen > 0 && sent.Sub(seenAt) > downgradeSlack {
			if answer := r.askRoute(h, seen); isUnknown(answer) && r.starting(h) == start && !r.removed(seen) {
				r.addViolation("CONFIG: %s answered %q for the route of version %d, which it had served %v before", h.name, answer, seen, sent.Sub(seenAt))
			}
		}
	}
}

// check asks for the route that the newest required version added, and the one that it
// removed.
func (r *configRun) check(h *host, sent time.Time, version, newest int) {
	if version == 0 {
		return
	}
	if version > newest-keptRoutes {
		answer := r.askRoute(h, version)
		if answer != "" && !strings.HasPrefix(answer, "READY") && r.inTouch(h, sent) && !r.removed(version) {
			r.violate(h, sent, version, answer)
		}
	}
	if gone := version - keptRoutes; gone > 0 {
		if answer := r.askRoute(h, gone); strings.HasPrefix(answer, "READY") && r.inTouch(h, sent) {
			r.violate(h, sent, version, answer)
		}
	}
}

// removed reports whether a later version removed the route of a version.
func (r *configRun) removed(version int) bool {
	_, newest := r.required(time.Now())
	return version <= newest-keptRoutes
}

func (r *configRun) violate(h *host, sent time.Time, version int, answer string) {
	r.configMu.Lock()
	age := sent.Sub(r.acked[version-1])
	r.configMu.Unlock()
	r.addViolation("CONFIG: %s at %s answered %q; version %d was acknowledged %v before", h.name, sent.UTC().Format(time.RFC3339Nano), answer, version, age)
}

// isUnknown reports whether an answer says that a database has no route.
func isUnknown(answer string) bool {
	return strings.HasPrefix(answer, "ERROR NODATABASE")
}

// disturb notes that a host is disturbed until now.
func (r *configRun) disturb(h *host, until time.Time) {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	if until.After(r.disturbed[h.name]) {
		r.disturbed[h.name] = until
	}
}

// victims returns random hosts: some of all, those of a zone, or the first in the order in
// which hosts follow each other, of a zone or of all.
func (r *configRun) victims() []*host {
	var found []*host
	zone := fmt.Sprint("zone-", r.random.IntN(len(r.zones)))
	ofZone := slices.DeleteFunc(slices.Clone(r.infos), func(h gossip.HostInfo) bool { return h.Zone != zone })
	switch r.random.IntN(4) {
	case 0:
		return r.named(first(ofZone, 1+r.random.IntN(len(ofZone)-1)))
	case 1:
		return r.named(first(r.infos, 1+r.random.IntN(6)))
	case 2:
		return r.named(ofZone)
	}
	share := 0.02 + 0.5*r.random.Float64()
	for _, h := range r.hosts {
		if r.random.Float64() < share {
			found = append(found, h)
		}
	}
	return found
}

func (r *configRun) named(infos []gossip.HostInfo) []*host {
	var found []*host
	for _, h := range r.hosts {
		if slices.ContainsFunc(infos, func(info gossip.HostInfo) bool { return info.Host == h.name }) {
			found = append(found, h)
		}
	}
	return found
}

// first returns the first hosts in the order in which hosts follow each other.
func first(infos []gossip.HostInfo, count int) []gossip.HostInfo {
	var found []gossip.HostInfo
	rest := slices.Clone(infos)
	for range min(count, len(infos)) {
		i := slices.IndexFunc(rest, func(h gossip.HostInfo) bool { return len(ranks.New(h, rest).Upstreams()) == 0 })
		found = append(found, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return found
}

// The faults of a host.
const (
	hostFrozen = iota
	hostSlow
	hostRestarted
	hostStopped
	hostStoreFault
	storeSilent
	hostFaults
)

// injectFaults injects random faults until the run ends. Some of them overlap.
func (r *configRun) injectFaults() {
	var running sync.WaitGroup
	defer running.Wait()
	for r.ctx.Err() == nil {
		time.Sleep(time.Duration(200+r.random.IntN(3000)) * time.Millisecond)
		span := time.Duration(500+r.random.IntN(9500)) * time.Millisecond
		hit, kind, mode := r.victims(), r.random.IntN(hostFaults), 1+r.random.IntN(faulty.Silent)
		if kind == storeSilent && r.random.IntN(3) > 0 {
			kind = hostFrozen
		}
		running.Go(func() { r.injectFault(hit, kind, mode, span) })
		if r.random.IntN(3) > 0 {
			running.Wait()
		}
	}
}

// injectFault injects one fault of some hosts, or of the store, that lasts for span.
func (r *configRun) injectFault(hit []*host, kind, mode int, span time.Duration) {
	if kind == storeSilent {
		r.configMu.Lock()
		r.storeDisturbed = time.Now().Add(span + time.Minute)
		r.configMu.Unlock()
		r.platform.SetStatus(http.StatusServiceUnavailable)
		time.Sleep(span)
		r.platform.SetStatus(0)
		r.configMu.Lock()
		r.storeDisturbed = time.Now()
		r.configMu.Unlock()
		return
	}
	var ended sync.WaitGroup
	for _, h := range hit {
		r.disturb(h, time.Now().Add(span))
		ended.Go(func() {
			r.disturbHost(h, kind, mode, span)
			r.disturb(h, time.Now())
		})
	}
	ended.Wait()
}

// disturbHost disturbs a host for a time span.
func (r *configRun) disturbHost(h *host, kind, mode int, span time.Duration) {
	switch kind {
	case hostFrozen:
		h.signal(syscall.SIGSTOP)
		time.Sleep(span)
		h.signal(syscall.SIGCONT)
	case hostSlow:
		const round, share = 100 * time.Millisecond, 10
		for began := time.Now(); time.Since(began) < span; {
			h.signal(syscall.SIGSTOP)
			time.Sleep(round - round/share)
			h.signal(syscall.SIGCONT)
			time.Sleep(round / share)
		}
	case hostRestarted, hostStopped:
		sig := syscall.SIGKILL
		if kind == hostStopped {
			sig = syscall.SIGTERM
		}
		r.restart(h, sig)
		r.configMu.Lock()
		r.starts[h.name]++
		r.configMu.Unlock()
	case hostStoreFault:
		h.storeProxy.SetMode(mode)
		time.Sleep(span)
		h.storeProxy.SetMode(faulty.Forward)
		h.storeProxy.ResetConnections()
	}
}

// newConfigRun starts the hosts of a run.
func newConfigRun(t *testing.T, program string, seed uint64, zones []int, length time.Duration, customers bool) *configRun {
	t.Helper()
	r := &configRun{zones: zones, disturbed: map[string]time.Time{}, starts: map[string]int{}, served: map[string][]span{}, answers: map[string]int{}}
	r.customers, r.operations = customers, map[string]operation{}
	if seed%3 == 0 {
		r.large = largeConfiguration
	}
	r.t, r.random, r.program, r.platform, r.group = t, rand.New(rand.NewPCG(seed, 1)), program, platd.New(), qgroup.New("g", 3)
	var stop context.CancelFunc
	r.ctx, stop = context.WithTimeout(t.Context(), length)
	t.Cleanup(stop)
	if err := r.platform.Serve(t.Context(), "g", r.group); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.platform.Close)
	store := r.listen(r.platform.Handler())
	r.store()
	for z, count := range zones {
		for i := range count {
			name, zone := fmt.Sprintf("front-%d-%d", z, i+1), fmt.Sprint("zone-", z)
			r.infos = append(r.infos, gossip.New(name, "", zone, 0))
			r.addHostIn(name, zone, len(zones), store, store, fmt.Sprintf("DrainTimeoutMs = 10000\nConfigApplyMs = %d", applyTime.Milliseconds()))
			r.disturbed[name] = time.Now()
		}
	}
	return r
}

// play changes the configuration, probes all hosts and disturbs some until the run ends.
func (r *configRun) play(disturb func()) {
	var done sync.WaitGroup
	for _, h := range r.hosts {
		done.Go(func() { r.probe(h) })
		if r.customers {
			done.Go(func() { r.probeKeys(h) })
			done.Go(func() { r.exceed(h) })
		}
	}
	changes := rand.New(rand.NewPCG(r.random.Uint64(), 2))
	done.Go(func() {
		for r.ctx.Err() == nil {
			time.Sleep(time.Duration(300+changes.IntN(2700)) * time.Millisecond)
			r.store()
		}
	})
	disturb()
	done.Wait()
	for _, h := range r.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		_ = h.process.Wait()
		h.storeProxy.Close()
	}
	r.checkNames()
	r.checkLimits()
}

// spread returns how long after its acknowledgement each change came into force on the hosts,
// in ascending order, from their logs.
func (r *configRun) spread() []time.Duration {
	var all []time.Duration
	for _, h := range r.hosts {
		for _, l := range bytes.Split(h.output.Bytes(), []byte("\n")) {
			var line struct {
				Time     time.Time
				Message  string
				From, To int
			}
			if json.Unmarshal(l, &line) != nil || line.Message != "plan adopted" || line.From == 0 {
				continue
			}
			for v := line.From + 1; v <= line.To; v++ {
				all = append(all, line.Time.Sub(r.acked[v-1]))
			}
		}
	}
	slices.Sort(all)
	return all
}

// report reports the violations as test errors, and writes the logs of the hosts to files if
// there were any.
func (r *configRun) report(seed uint64) {
	all := r.spread()
	if len(all) == 0 {
		r.t.Fatal("no change came into force")
	}
	r.t.Logf("seed %d: %d versions, in force after %v in the median, %v at the 99th percentile, %v at most; answers %v, %d statements refused for their key",
		seed, len(r.acked), all[len(all)/2], all[len(all)*99/100], all[len(all)-1], r.answers, r.refusedKeys)
	for _, v := range r.violations {
		r.t.Error(v)
	}
	if len(r.violations) > 0 || os.Getenv("PISTACHIOTRAY_SOAK_KEEP") != "" {
		folder := filepath.Join(os.TempDir(), strings.NewReplacer("/", "-", " ", "-").Replace(r.t.Name()))
		_ = os.MkdirAll(folder, 0o700)
		for _, h := range r.hosts {
			_ = os.WriteFile(filepath.Join(folder, h.name+".log"), h.output.Bytes(), 0o600)
		}
		r.t.Logf("logs: %s", folder)
	}
}

// TestSoakConfiguration changes the configuration while hosts of a deployment in six zones are
// disturbed. PISTACHIOTRAY_SOAK_CONFIG sets the number of seeds and makes the runs longer and
// as large as strih-pool-grown, and PISTACHIOTRAY_SOAK_FROM sets the first one. The configurations
// of seeds with odd numbers have customers, so that the run of one seed has them.
func TestSoakConfiguration(t *testing.T) {
	t.Parallel()
	n, from, zones, length := 1, 1, shortZones, 25*time.Second
	if byHand(&n, &from, "PISTACHIOTRAY_SOAK_CONFIG") {
		zones, length = grownZones, 45*time.Second
	}
	program := buildProgram(t)
	for i := range n {
		seed := uint64(from + i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := newConfigRun(t, program, seed, zones, length, seed%2 == 1)
			r.play(r.injectFaults)
			r.report(seed)
		})
	}
}

// TestSoakConfigurationWhileUpstreamHostsAreSilent stops most hosts of a zone, the first ones in
// the order in which hosts follow each other.
func TestSoakConfigurationWhileUpstreamHostsAreSilent(t *testing.T) {
	t.Parallel()
	const seed, length = 1, 28 * time.Second
	zones := []int{2, 12, 2}
	r := newConfigRun(t, buildProgram(t), seed, zones, length, false)
	r.play(func() {
		time.Sleep(5 * time.Second)
		ofZone := slices.DeleteFunc(slices.Clone(r.infos), func(h gossip.HostInfo) bool { return h.Zone != "zone-1" })
		r.injectFault(r.named(first(ofZone, 10)), hostFrozen, 0, 20*time.Second)
	})
	r.report(seed)
}
