package host

import (
	"runtime"
	"strconv"
	"time"

	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/process/health"
)

// figures are the host's metrics under /debug/vars. docs/OPERATIONS.md describes
// each of them.
type figures struct {
	Host           string
	Ready          bool
	Why            string `json:",omitempty"`
	Version        uint64
	NewestVersion  uint64
	Callers        int64
	CallersRefused int64
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
	Groups         map[string]groupFigures
}

// groupFigures are the metrics of one group.
type groupFigures struct {
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

func (h *Host) figures() figures {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	f := figures{
		Host: h.settings.Host, Version: h.config.Policy().Version(), NewestVersion: h.config.Newest(),
		Requests: h.engine.Requests(), TasksWaiting: h.pool.Waiting(), Goroutines: runtime.NumGoroutine(),
		MemoryBytes: memory.Sys - memory.HeapReleased, PlatformUp: h.platform.Up(),
		Suspicions: h.fleet.Suspicions(), Groups: map[string]groupFigures{},
	}
	f.Ready, f.Why = h.Ready()
	f.Callers, f.CallersRefused = h.front.Callers()
	f.PlatformCalls, f.PlatformFailed = h.platform.Calls()
	f.AuditWaiting, f.AuditWritten, f.AuditDropped = h.trail.Counts()
	h.engine.Inspect(func(g *group.Group) { f.Groups[g.Name()] = h.groupFigures(g) })
	return f
}

func (h *Host) groupFigures(g *group.Group) groupFigures {
	out := groupFigures{
		Owner: h.engine.Owner(g.Name()), Owned: g.Active(), Confirmed: g.Confirmed().String(),
		Counters: g.Counters(), Members: g.Members(),
	}
	out.Primary, out.Term = g.Primary()
	out.Waiting, out.Running, out.Confirming, out.Open = g.Counts()
	wrong, since := g.Problem()
	out.Wrong = wrong
	if wrong != "" {
		out.Since = since.UTC().Format(time.RFC3339)
	}
	return out
}

func formatUint(n uint64) string {
	return strconv.FormatUint(n, 10)
}
