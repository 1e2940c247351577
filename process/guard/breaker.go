// Package guard shields the platform's services against their own outages.
package guard

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/sony/gobreaker/v2"

	"github.com/pistachiotray/pistachiotray/connection/cloud"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/record"
)

const (
	// callTimeout bounds each call to the platform.
	callTimeout = 2 * time.Second
	// failuresToOpen is how many failures in a row open the breaker.
	failuresToOpen = 5
	// openTime is how long the breaker stays open before it tries again.
	openTime = 2 * time.Second
	// triesMost is how often a read is tried.
	triesMost = 3
	// firstPause is the pause before the second try; later ones are longer.
	firstPause = 50 * time.Millisecond
)

// platform is what the platform offers.
type platform interface {
	// Scan returns the rows whose key begins with a prefix.
	Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error)
	// Commit writes rows where all have the versions given.
	Commit(ctx context.Context, rows ...record.Row) error
	// PutObject writes an object unless it exists.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns an object.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns names of objects.
	ListObjects(ctx context.Context, prefix, after string) ([]string, error)
	// Hosts returns the list of hosts.
	Hosts(ctx context.Context) ([]gossip.HostInfo, error)
}

// Breaker gives each call a time limit and stops calling while the platform is
// down. Reads are tried again after a pause with jitter; a write is tried
// once, since a write without an answer may have taken effect.
type Breaker struct {
	platform platform
	breaker  *gobreaker.CircuitBreaker[any]
	calls    atomic.Int64
	failures atomic.Int64
}

// New returns a Breaker for the platform.
func New(p platform) *Breaker {
	return &Breaker{platform: p, breaker: gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
		Timeout: openTime,
		ReadyToTrip: func(c gobreaker.Counts) bool {
			return c.ConsecutiveFailures >= failuresToOpen
		},
		IsSuccessful: func(err error) bool {
			return err == nil || errors.Is(err, cloud.ErrConflict) || errors.Is(err, cloud.ErrNotFound)
		},
	})}
}

// NotSent tells whether an error means that the call never left this host.
func NotSent(err error) bool {
	return errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests)
}

// Up tells whether calls reach the platform.
func (v *Breaker) Up() bool {
	return v.breaker.State() == gobreaker.StateClosed
}

// Calls returns how many calls were made and how many failed.
func (v *Breaker) Calls() (made, failed int64) {
	return v.calls.Load(), v.failures.Load()
}

func guard[T any](ctx context.Context, v *Breaker, f func(context.Context) (T, error)) (T, error) {
	var zero T
	out, err := v.breaker.Execute(func() (any, error) {
		ctx, stop := context.WithTimeout(ctx, callTimeout)
		defer stop()
		v.calls.Add(1)
		out, err := f(ctx)
		if err != nil {
			v.failures.Add(1)
		}
		return out, err
	})
	if err != nil {
		return zero, err
	}
	return out.(T), nil
}

// read tries a read again after a failure that may pass.
func read[T any](ctx context.Context, v *Breaker, f func(context.Context) (T, error)) (T, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	return backoff.Retry(ctx, func() (T, error) {
		out, err := guard(ctx, v, f)
		if err != nil && (NotSent(err) || errors.Is(err, cloud.ErrNotFound)) {
			return out, backoff.Permanent(err)
		}
		return out, err
	}, backoff.WithBackOff(pause), backoff.WithMaxTries(triesMost))
}

// Scan returns the rows whose key begins with a prefix.
func (v *Breaker) Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error) {
	return read(ctx, v, func(ctx context.Context) ([]record.Row, error) { return v.platform.Scan(ctx, prefix, last) })
}

// Commit writes rows where all have the versions given.
func (v *Breaker) Commit(ctx context.Context, rows ...record.Row) error {
	_, err := guard(ctx, v, func(ctx context.Context) (bool, error) { return true, v.platform.Commit(ctx, rows...) })
	return err
}

// PutObject writes an object unless it exists.
func (v *Breaker) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := guard(ctx, v, func(ctx context.Context) (bool, error) { return true, v.platform.PutObject(ctx, name, body) })
	return err
}

// GetObject returns an object.
func (v *Breaker) GetObject(ctx context.Context, name string) ([]byte, error) {
	return read(ctx, v, func(ctx context.Context) ([]byte, error) { return v.platform.GetObject(ctx, name) })
}

// ListObjects returns names of objects.
func (v *Breaker) ListObjects(ctx context.Context, prefix, after string) ([]string, error) {
	return read(ctx, v, func(ctx context.Context) ([]string, error) { return v.platform.ListObjects(ctx, prefix, after) })
}

// Hosts returns the list of hosts.
func (v *Breaker) Hosts(ctx context.Context) ([]gossip.HostInfo, error) {
	return read(ctx, v, func(ctx context.Context) ([]gossip.HostInfo, error) { return v.platform.Hosts(ctx) })
}
