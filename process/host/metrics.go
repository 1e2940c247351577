package host

import (
	"runtime"
	"strconv"
	"time"

	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/process/health"
)

// metrics are the host's metrics, published under /debug/vars and in the answer
// to the command status. docs/OPERATIONS.md describes each field.
type metrics struct {
	Host           string
	Ready          bool
	Why            string `json:",omitempty"`
	Version        uint64
	NewestVersion  uint64
	Callers        int64
	CallersRefused int64
	CallerMemory   any
	Requests       int
	TasksWaiting   int
	Goroutines     int
	MemoryBytes    uint64
	PlatformUp     bool
	PlatformCalls  int64
	PlatformFailed int64
	AuditWaiting   int
	AuditWritten   uint64
	AuditDropped   uint64
	Suspicions     int
	Groups         map[string]groupMetrics
}

// groupMetrics are the metrics of one group. Wrong is the group's current
// problem, and Since is the time at which it began. Both are empty if there is
// none.
type groupMetrics struct {
	Owner      string
	Owned      bool
	Primary    string
	Term       uint64
	Confirmed  string
	Waiting    int
	Running    int
	Confirming int
	Open       int
	Wrong      string `json:",omitempty"`
	Since      string `json:",omitempty"`
	Counters   map[string]int64
	Members    []health.Status
}

func (h *Host) metrics() metrics {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	m := metrics{
		Host: h.settings.Host, Version: h.config.Policy().Version(), NewestVersion: h.config.Newest(),
		Requests: h.engine.Requests(), TasksWaiting: h.pool.Waiting(), Goroutines: runtime.NumGoroutine(),
		MemoryBytes: memory.Sys - memory.HeapReleased, PlatformUp: h.platform.Up(),
		Suspicions: h.fleet.Suspicions(), Groups: map[string]groupMetrics{},
	}
	m.Ready, m.Why = h.Ready()
	m.Callers, m.CallersRefused = h.front.Callers()
	m.CallerMemory = h.front.Memory()
	m.PlatformCalls, m.PlatformFailed = h.platform.Calls()
	m.AuditWaiting, m.AuditWritten, m.AuditDropped = h.trail.Counts()
	h.engine.Inspect(func(g *group.Group) { m.Groups[g.Name()] = h.groupMetrics(g) })
	return m
}

// groupMetrics returns the metrics of a group. The caller holds the group's
// lock.
func (h *Host) groupMetrics(g *group.Group) groupMetrics {
	m := groupMetrics{
		Owner: h.engine.Owner(g.Name()), Owned: g.Active(), Confirmed: g.Confirmed().String(),
		Counters: g.Counters(), Members: g.Members(),
	}
	m.Primary, m.Term = g.Primary()
	m.Waiting, m.Running, m.Confirming, m.Open = g.Counts()
	wrong, since := g.Problem()
	m.Wrong = wrong
	if wrong != "" {
		m.Since = since.UTC().Format(time.RFC3339)
	}
	return m
}

func formatUint(n uint64) string {
	return strconv.FormatUint(n, 10)
}
