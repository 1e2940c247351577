// Package guard protects the host and the platform during outages of the
// platform's services, by time limits, retries and a circuit breaker.
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
	// callTimeout is the longest time that a call to the platform may take.
	callTimeout = 2 * time.Second
	// failuresToOpen is the number of consecutive failures that open the breaker.
	failuresToOpen = 5
	// openTimeout is how long the breaker stays open before it lets a call through
	// again.
	openTimeout = 2 * time.Second
	// maxAttempts is the most attempts of a read.
	maxAttempts = 3
	// firstRetryPause is the mean pause before the second attempt. Later pauses
	// grow exponentially.
	firstRetryPause = 50 * time.Millisecond
)

// platform is the client of the platform's services.
type platform interface {
	// Scan returns the rows whose key begins with a prefix, only the last one if
	// last is true.
	Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error)
	// Commit writes rows atomically if the stored rows still have the given
	// versions.
	Commit(ctx context.Context, rows ...record.Row) error
	// PutObject writes an object unless one of that name exists.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the content of an object.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns the names of objects that begin with a prefix and sort
	// after a name.
	ListObjects(ctx context.Context, prefix, after string) ([]string, error)
	// Hosts returns the platform's list of hosts.
	Hosts(ctx context.Context) ([]gossip.HostInfo, error)
}

// Breaker is a circuit breaker in front of the platform. It limits the time of
// each call and stops calling while the platform is down. Reads are retried after
// a pause with jitter. A write is tried once, since a write whose answer was lost
// may have taken effect.
type Breaker struct {
	platform platform
	breaker  *gobreaker.CircuitBreaker[any]
	calls    atomic.Int64
	failed   atomic.Int64
}

// New returns a Breaker in front of the platform.
func New(p platform) *Breaker {
	return &Breaker{platform: p, breaker: gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
		Timeout: openTimeout,
		ReadyToTrip: func(c gobreaker.Counts) bool {
			return c.ConsecutiveFailures >= failuresToOpen
		},
		IsSuccessful: func(err error) bool {
			return err == nil || errors.Is(err, cloud.ErrConflict) || errors.Is(err, cloud.ErrNotFound)
		},
	})}
}

// NotSent reports whether an error means that the breaker stopped the call, so
// that it never left this host.
func NotSent(err error) bool {
	return errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests)
}

// Up reports whether the breaker is closed, so that calls go to the platform.
func (b *Breaker) Up() bool {
	return b.breaker.State() == gobreaker.StateClosed
}

// Calls returns the number of calls that were made and of those that failed.
func (b *Breaker) Calls() (made, failed int64) {
	return b.calls.Load(), b.failed.Load()
}

// call makes one call through the breaker, with the time limit.
func call[T any](ctx context.Context, b *Breaker, f func(context.Context) (T, error)) (T, error) {
	var zero T
	out, err := b.breaker.Execute(func() (any, error) {
		ctx, stop := context.WithTimeout(ctx, callTimeout)
		defer stop()
		b.calls.Add(1)
		out, err := f(ctx)
		if err != nil {
			b.failed.Add(1)
		}
		return out, err
	})
	if err != nil {
		return zero, err
	}
	return out.(T), nil
}

// callWithRetries makes a read, which it retries after a failure that may be
// transient.
func callWithRetries[T any](ctx context.Context, b *Breaker, f func(context.Context) (T, error)) (T, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstRetryPause
	return backoff.Retry(ctx, func() (T, error) {
		out, err := call(ctx, b, f)
		if err != nil && (NotSent(err) || errors.Is(err, cloud.ErrNotFound)) {
			return out, backoff.Permanent(err)
		}
		return out, err
	}, backoff.WithBackOff(pause), backoff.WithMaxTries(maxAttempts))
}

// Scan returns the rows whose key begins with a prefix, only the last one if last
// is true.
func (b *Breaker) Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error) {
	return callWithRetries(ctx, b, func(ctx context.Context) ([]record.Row, error) { return b.platform.Scan(ctx, prefix, last) })
}

// Commit writes rows atomically if the stored rows still have the given versions.
func (b *Breaker) Commit(ctx context.Context, rows ...record.Row) error {
	_, err := call(ctx, b, func(ctx context.Context) (bool, error) { return true, b.platform.Commit(ctx, rows...) })
	return err
}

// PutObject writes an object unless one of that name exists.
func (b *Breaker) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := call(ctx, b, func(ctx context.Context) (bool, error) { return true, b.platform.PutObject(ctx, name, body) })
	return err
}

// GetObject returns the content of an object.
func (b *Breaker) GetObject(ctx context.Context, name string) ([]byte, error) {
	return callWithRetries(ctx, b, func(ctx context.Context) ([]byte, error) { return b.platform.GetObject(ctx, name) })
}

// ListObjects returns the names of objects that begin with a prefix and sort after
// a name.
func (b *Breaker) ListObjects(ctx context.Context, prefix, after string) ([]string, error) {
	return callWithRetries(ctx, b, func(ctx context.Context) ([]string, error) { return b.platform.ListObjects(ctx, prefix, after) })
}

// Hosts returns the platform's list of hosts.
func (b *Breaker) Hosts(ctx context.Context) ([]gossip.HostInfo, error) {
	return callWithRetries(ctx, b, func(ctx context.Context) ([]gossip.HostInfo, error) { return b.platform.Hosts(ctx) })
}
