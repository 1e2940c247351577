// Package marker marks the registrations of hosts that the coordinator of the customers' limits
// no longer hears, so that they don't count for the limits after a restart of all hosts.
package marker

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/sleep"
)

const (
	// interval is the time between two questions for a silent host, so that no more than one
	// host is marked per second.
	interval = time.Second
	// maxPause bounds the pause after failed writes. It starts at interval and doubles with
	// each failure in a row, as the store may be away.
	maxPause = 8 * time.Second
)

// limits tells which hosts are silent.
type limits interface {
	// Silent returns a host that should be marked. It reports false if there is none, and
	// waits as long as no customer has a limit.
	Silent(ctx context.Context) (host string, ok bool)
}

// registry writes the registrations.
type registry interface {
	// MarkUnheard marks a host, unless its registration needs no mark.
	MarkUnheard(ctx context.Context, host string) error
}

// Marker marks silent hosts. It holds no lock during a write.
type Marker struct {
	log      *zap.Logger
	limits   limits
	registry registry
}

// New returns a marker of the hosts that the limits name.
func New(log *zap.Logger, l limits, rg registry) *Marker {
	return &Marker{log: log, limits: l, registry: rg}
}

// Run marks silent hosts until the context ends.
func (m *Marker) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = interval, maxPause
	pause.Multiplier, pause.RandomizationFactor = 2, 0
	for wait := interval; sleep.For(ctx, wait); {
		wait = interval
		host, ok := m.limits.Silent(ctx)
		if !ok {
			continue
		}
		err := m.registry.MarkUnheard(ctx, host)
		if err == nil {
			pause.Reset()
			continue
		}
		wait = pause.NextBackOff()
		if ctx.Err() == nil {
			// The pauses bound the number of these lines.
			m.log.Warn("host not marked as unheard", zap.String("Peer", host), zap.Duration("Pause", wait), zap.String("Error", err.Error()))
		}
	}
}
