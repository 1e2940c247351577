// Package config fetches the newest configuration version and puts it in force
// at this host.
package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/cloud"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/process/wrap"
	"github.com/pistachiotray/pistachiotray/version/bundle"
	"github.com/pistachiotray/pistachiotray/version/policy"
)

const (
	// rowPrefix is the prefix of the key of each version's row.
	rowPrefix = "ConfigVersion/"
	// objectPrefix is the prefix of the object name of each version's body.
	objectPrefix = "config/"
	// maxBodies is the number of most recent versions whose bodies a host keeps
	// for other hosts.
	maxBodies = 4
	// fetchTimeout is the time limit of one attempt to fetch a body.
	fetchTimeout = 3 * time.Second
	// retryPause is the pause before another attempt to fetch a body.
	retryPause = 100 * time.Millisecond
	// defaultPollInterval is the mean time between two polls of the store.
	defaultPollInterval = time.Second
)

// store holds a row for each version, and the bodies of the versions as
// objects. The row's value is the name of the version's object.
type store interface {
	// Scan returns the rows whose key begins with prefix, in the order of their
	// keys. If last is true, it returns only the last of these rows.
	Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error)
	// GetObject returns the content of an object, or cloud.ErrNotFound if there
	// is none of that name.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject writes an object, unless there is one of that name.
	PutObject(ctx context.Context, name string, body []byte) error
	// Commit writes all rows if the stored version of each row is still the given
	// one. Otherwise it returns cloud.ErrConflict.
	Commit(ctx context.Context, rows ...record.Row) error
}

// Config fetches the newest accepted version and puts it in force. It may skip
// versions, but never returns to an earlier one.
type Config struct {
	log   *zap.Logger
	store store
	// fetchFromPeers returns the body of a version from another host, and false
	// if none was found.
	fetchFromPeers func(ctx context.Context, version uint64) ([]byte, bool)
	onChange       func(from, to uint64)
	pollInterval   time.Duration
	// current is the configuration in force.
	current atomic.Pointer[policy.Policy]
	// newest is the highest version number known to be accepted.
	newest atomic.Uint64
	// wakeup signals fetchLoop that newest has increased.
	wakeup chan struct{}
	// mu protects bodies, which holds the bodies of recent versions, and
	// serializes changes of current.
	mu     sync.Mutex
	bodies map[uint64][]byte
	stop   context.CancelFunc
	ctx    context.Context
	loops  sync.WaitGroup
}

// WithPoll returns an option that sets the mean time between two polls of the
// store. Hosts notify each other of new version numbers, so a large fleet can
// poll less often.
func WithPoll(d time.Duration) func(*Config) {
	return func(c *Config) { c.pollInterval = d }
}

// WithOnChange returns an option that sets a function to call at each change of
// the version in force, with the earlier and the new version number. The
// function is called with the lock held and must not call Body.
func WithOnChange(f func(from, to uint64)) func(*Config) {
	return func(c *Config) { c.onChange = f }
}

// New returns a Config with version 0 in force, which contains no service
// files.
func New(log *zap.Logger, s store, options ...func(*Config)) *Config {
	ctx, stop := context.WithCancel(context.Background())
	c := &Config{
		log: log, store: s, pollInterval: defaultPollInterval, wakeup: make(chan struct{}, 1),
		bodies: map[uint64][]byte{}, ctx: ctx, stop: stop,
		onChange:       func(uint64, uint64) {},
		fetchFromPeers: func(context.Context, uint64) ([]byte, bool) { return nil, false },
	}
	for _, o := range options {
		o(c)
	}
	c.current.Store(policy.New(0))
	return c
}

// RowKey returns the key of a version's row. The keys sort like the version
// numbers.
func RowKey(version uint64) string {
	return fmt.Sprintf("%s%012d", rowPrefix, version)
}

// RowPrefix returns the prefix of the key of each version's row.
func RowPrefix() string {
	return rowPrefix
}

// ObjectName returns the object name of the body that a publication writes for
// a version. The name contains the publication's name, so that two publications
// never write the same object.
func ObjectName(version uint64, publication string) string {
	return fmt.Sprintf("%s%012d-%s", objectPrefix, version, publication)
}

// ParseRowKey returns the version number in the key of a version's row.
func ParseRowKey(key string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, rowPrefix), 10, 64)
	return n, wrap.If(err, "parse version number in row key")
}

// Start starts the loops that poll for new versions and fetch them. The
// function fetchFromPeers fetches the body of a version from other hosts, which
// are asked before the store.
func (c *Config) Start(fetchFromPeers func(ctx context.Context, version uint64) ([]byte, bool)) {
	c.fetchFromPeers = fetchFromPeers
	c.loops.Go(c.fetchLoop)
	c.loops.Go(c.pollStore)
}

// Policy returns the configuration in force.
func (c *Config) Policy() *policy.Policy {
	return c.current.Load()
}

// Newest returns the highest version number known to be accepted, even if that
// version is not in force here yet.
func (c *Config) Newest() uint64 {
	return c.newest.Load()
}

// Learn records the number of an accepted version, from the store or another
// host, and wakes the loop that fetches it. A number that is not higher than
// Newest has no effect.
func (c *Config) Learn(version uint64) {
	for {
		known := c.newest.Load()
		if version <= known {
			return
		}
		if c.newest.CompareAndSwap(known, version) {
			break
		}
	}
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Body returns the body of a version, and false if this host does not keep it.
func (c *Config) Body(version uint64) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.bodies[version]
	return b, ok
}

// pollStore polls the store for the highest version number, at random intervals
// whose mean is about pollInterval.
func (c *Config) pollStore() {
	for c.ctx.Err() == nil {
		if err := c.poll(); err != nil && c.ctx.Err() == nil {
			c.log.Info("newest version not read", zap.Error(err))
		}
		sleep.For(c.ctx, c.pollInterval/2+rand.N(c.pollInterval))
	}
}

// poll reads the highest version number in the store. It writes the versions that were
// accepted after it again: a store that was restored from a copy lacks them and would give
// their numbers out again, so that the next versions would never come into force.
func (c *Config) poll() error {
	rows, err := c.store.Scan(c.ctx, rowPrefix, true)
	if err != nil {
		return err
	}
	head, name := uint64(0), ""
	if len(rows) > 0 {
		name = string(rows[len(rows)-1].Value)
		if head, err = ParseRowKey(rows[len(rows)-1].Key); err != nil {
			return err
		}
	}
	c.Learn(head)
	if head >= c.Policy().Version() {
		return nil
	}
	if body, ok := c.Body(head); ok && objectName(body) != name {
		return errors.Errorf("version %d was given out again, for %q instead of %q", head, name, objectName(body))
	}
	for version := head + 1; version <= c.Policy().Version(); version++ {
		if body, ok := c.Body(version); ok {
			c.log.Warn("accepted version missing in the store, writing it again", zap.Uint64("Version", version), zap.Uint64("Head", head))
			if err := c.writeAgain(version, body); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeAgain writes a version that was accepted before, unless the store has its number.
func (c *Config) writeAgain(version uint64, body []byte) error {
	ctx, stop := context.WithTimeout(c.ctx, fetchTimeout)
	defer stop()
	name := objectName(body)
	if err := c.store.PutObject(ctx, name, body); err != nil {
		return errors.Wrap(err, "Config.writeAgain")
	}
	err := c.store.Commit(ctx, record.New(RowKey(version), []byte(name)))
	if errors.Is(err, cloud.ErrConflict) {
		// Another host was faster, or another version got the number, which the
		// next poll finds out.
		return nil
	}
	return wrap.If(err, "Config.writeAgain")
}

// objectName returns the object name of a version's body, or an empty string if the body
// is invalid.
func objectName(body []byte) string {
	b, err := bundle.Decode(body)
	if err != nil {
		return ""
	}
	return ObjectName(b.Version, b.Publication)
}

// fetchLoop fetches the newest version whenever its number increases, and
// retries until a version at least as new is in force.
func (c *Config) fetchLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.wakeup:
		}
		for c.ctx.Err() == nil && c.newest.Load() > c.Policy().Version() {
			if !c.fetch(c.newest.Load()) {
				sleep.For(c.ctx, retryPause)
			}
		}
	}
}

// fetch gets the body of a version from other hosts or else from the store, and
// applies it. It reports whether the body was found and valid.
func (c *Config) fetch(version uint64) bool {
	ctx, stop := context.WithTimeout(c.ctx, fetchTimeout)
	defer stop()
	if body, ok := c.fetchFromPeers(ctx, version); ok && c.apply(version, body) {
		return true
	}
	rows, err := c.store.Scan(ctx, RowKey(version), true)
	if err != nil || len(rows) == 0 {
		return false
	}
	body, err := c.store.GetObject(ctx, string(rows[0].Value))
	return err == nil && c.apply(version, body)
}

// apply puts a version in force, unless this version or a later one is in force
// already. It returns false if the body is invalid or of another version.
func (c *Config) apply(version uint64, body []byte) bool {
	b, err := bundle.Decode(body)
	if err != nil || b.Version != version {
		c.log.Error("configuration body is invalid or of another version", zap.Uint64("Version", version), zap.Error(err))
		return false
	}
	p, err := b.Policy()
	if err != nil {
		c.log.Error("configuration is invalid", zap.Uint64("Version", version), zap.Error(err))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.Policy().Version()
	if version <= from {
		return true
	}
	c.current.Store(p)
	c.bodies[version] = body
	for v := range c.bodies {
		if v+maxBodies <= version {
			delete(c.bodies, v)
		}
	}
	c.log.Info("configuration in force", zap.Uint64("Version", version))
	c.onChange(from, version)
	return true
}

// Close stops the loops. The version in force stays available.
func (c *Config) Close() {
	c.stop()
	c.loops.Wait()
}
