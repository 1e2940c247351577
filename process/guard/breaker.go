// Package guard protects the host and the platform during outages of the
// platform's services, by time limits, retries with backoff and a circuit
// breaker.
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
	// callTimeout is the time limit of one call to the platform.
	callTimeout = 2 * time.Second
	// failuresToOpen is the number of consecutive failures that open the breaker.
	failuresToOpen = 5
	// openTimeout is how long the breaker stays open before it lets one call
	// through as a test.
	openTimeout = 2 * time.Second
	// maxAttempts is the maximum number of attempts of a read.
	maxAttempts = 3
	// firstRetryPause is the mean pause before the second attempt. Later pauses
	// grow exponentially.
	firstRetryPause = 50 * time.Millisecond
)

// platform is the client of the platform's services.
type platform interface {
	// Scan returns the rows whose key begins with prefix, in the order of their
	// keys. If last is true, it returns only the last of these rows.
	Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error)
	// Commit writes rows atomically if the stored rows still have the given
	// versions. Otherwise it writes none and returns cloud.ErrConflict.
	Commit(ctx context.Context, rows ...record.Row) error
	// PutObject writes an object unless one of that name exists.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the content of an object, or cloud.ErrNotFound if there
	// is none of that name.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns, in ascending order, the object names that begin with
	// prefix and are greater than after.
	ListObjects(ctx context.Context, prefix, after string) ([]string, error)
	// Hosts returns the platform's list of hosts.
	Hosts(ctx context.Context) ([]gossip.HostInfo, error)
}

// Breaker is a circuit breaker in front of the platform. It limits the time of
// each call and stops calling while the platform is down. It retries reads
// after a pause with jitter. It never retries a write, since a write whose
// answer was lost may have taken effect.
type Breaker struct {
	platform platform
	breaker  *gobreaker.CircuitBreaker[any]
	// calls counts the calls made. failed counts the calls that returned an
	// error.
	calls  atomic.Int64
	failed atomic.Int64
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

// NotSent reports whether an error means that the breaker rejected the call
// without sending it to the platform.
func NotSent(err error) bool {
	return errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests)
}

// Up reports whether the breaker is closed, that is, lets all calls through.
func (b *Breaker) Up() bool {
	return b.breaker.State() == gobreaker.StateClosed
}

// Calls returns the number of calls made to the platform, and how many of them
// returned an error. Conflicts and objects that were not found count as errors
// here, although they do not open the breaker.
func (b *Breaker) Calls() (made, failed int64) {
	return b.calls.Load(), b.failed.Load()
}

// call makes one call through the breaker, limited to callTimeout.
func call[T any](ctx context.Context, b *Breaker, f func(context.Context) (T, error)) (T, error) {
	var zero T
	result, err := b.breaker.Execute(func() (any, error) {
		ctx, stop := context.WithTimeout(ctx, callTimeout)
		defer stop()
		b.calls.Add(1)
		result, err := f(ctx)
		if err != nil {
			b.failed.Add(1)
		}
		return result, err
	})
	if err != nil {
		return zero, err
	}
	return result.(T), nil
}

// callWithRetries makes a read, and retries it after an error unless the
// breaker rejected the call or the object was not found.
func callWithRetries[T any](ctx context.Context, b *Breaker, f func(context.Context) (T, error)) (T, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstRetryPause
	return backoff.Retry(ctx, func() (T, error) {
		result, err := call(ctx, b, f)
		if err != nil && (NotSent(err) || errors.Is(err, cloud.ErrNotFound)) {
			return result, backoff.Permanent(err)
		}
		return result, err
	}, backoff.WithBackOff(pause), backoff.WithMaxTries(maxAttempts))
}

// Scan returns the rows whose key begins with prefix, in the order of their
// keys. If last is true, it returns only the last of these rows.
func (b *Breaker) Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error) {
	return callWithRetries(ctx, b, func(ctx context.Context) ([]record.Row, error) { return b.platform.Scan(ctx, prefix, last) })
}

// Commit writes rows atomically if the stored rows still have the given
// versions. Otherwise it writes none and returns cloud.ErrConflict.
func (b *Breaker) Commit(ctx context.Context, rows ...record.Row) error {
	_, err := call(ctx, b, func(ctx context.Context) (bool, error) { return true, b.platform.Commit(ctx, rows...) })
	return err
}

// PutObject writes an object unless one of that name exists.
func (b *Breaker) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := call(ctx, b, func(ctx context.Context) (bool, error) { return true, b.platform.PutObject(ctx, name, body) })
	return err
}

// GetObject returns the content of an object, or cloud.ErrNotFound if there is
// none of that name.
func (b *Breaker) GetObject(ctx context.Context, name string) ([]byte, error) {
	return callWithRetries(ctx, b, func(ctx context.Context) ([]byte, error) { return b.platform.GetObject(ctx, name) })
}

// ListObjects returns, in ascending order, the object names that begin with
// prefix and are greater than after.
func (b *Breaker) ListObjects(ctx context.Context, prefix, after string) ([]string, error) {
	return callWithRetries(ctx, b, func(ctx context.Context) ([]string, error) { return b.platform.ListObjects(ctx, prefix, after) })
}

// Hosts returns the platform's list of hosts.
func (b *Breaker) Hosts(ctx context.Context) ([]gossip.HostInfo, error) {
	return callWithRetries(ctx, b, func(ctx context.Context) ([]gossip.HostInfo, error) { return b.platform.Hosts(ctx) })
}
