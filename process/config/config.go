// Package config follows the newest configuration version and keeps the one in
// force at this host.
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

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/wrap"
	"github.com/pistachiotray/pistachiotray/version/bundle"
	"github.com/pistachiotray/pistachiotray/version/policy"
)

const (
	// rowPrefix is the prefix of the key of each version's row.
	rowPrefix = "ConfigVersion/"
	// objectPrefix is the prefix of the object name of each version's body.
	objectPrefix = "config/"
	// maxBodies is the number of bodies that a host keeps for other hosts.
	maxBodies = 4
	// fetchTimeout is the longest time that one attempt to fetch a body may take.
	fetchTimeout = 3 * time.Second
	// retryPause is the pause between two attempts.
	retryPause = 100 * time.Millisecond
	// defaultPollInterval is the mean time between two polls of the store.
	defaultPollInterval = time.Second
)

// store is where the rows and the bodies of the versions are stored.
type store interface {
	// Scan returns the rows whose key begins with a prefix, only the last one if
	// last is true.
	Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error)
	// GetObject returns the content of an object.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Config follows the newest accepted version. It never returns to an earlier one.
type Config struct {
	log          *zap.Logger
	store        store
	peers        func(ctx context.Context, version uint64) ([]byte, bool)
	onChange     func(from, to uint64)
	pollInterval time.Duration
	current      atomic.Pointer[policy.Policy]
	newest       atomic.Uint64
	wakeup       chan struct{}
	// mu protects bodies and serializes changes of current.
	mu     sync.Mutex
	bodies map[uint64][]byte
	stop   context.CancelFunc
	ctx    context.Context
	loops  sync.WaitGroup
}

// WithPoll returns an option that sets the mean time between two polls of the
// store. Hosts pass the number of a new version on to each other, so a large
// fleet may poll less often.
func WithPoll(d time.Duration) func(*Config) {
	return func(c *Config) { c.pollInterval = d }
}

// WithOnChange returns an option that sets a function that is called at each
// change of the version in force.
func WithOnChange(f func(from, to uint64)) func(*Config) {
	return func(c *Config) { c.onChange = f }
}

// New returns a Config with version 0 in force, which has no files.
func New(log *zap.Logger, s store, options ...func(*Config)) *Config {
	ctx, stop := context.WithCancel(context.Background())
	c := &Config{
		log: log, store: s, pollInterval: defaultPollInterval, wakeup: make(chan struct{}, 1),
		bodies: map[uint64][]byte{}, ctx: ctx, stop: stop,
		onChange: func(uint64, uint64) {},
		peers:    func(context.Context, uint64) ([]byte, bool) { return nil, false },
	}
	for _, o := range options {
		o(c)
	}
	c.current.Store(policy.New(0))
	return c
}

// RowKey returns the key of a version's row. Keys sort in the order of the
// version numbers.
func RowKey(version uint64) string {
	return fmt.Sprintf("%s%012d", rowPrefix, version)
}

// RowPrefix returns the prefix of the key of each version's row.
func RowPrefix() string {
	return rowPrefix
}

// ObjectName returns the object name of the body that a publication writes for a
// version. It contains the publication's name, so that two publishers never
// write the same object.
func ObjectName(version uint64, publication string) string {
	return fmt.Sprintf("%s%012d-%s", objectPrefix, version, publication)
}

// ParseRowKey returns the version number in the key of a version's row.
func ParseRowKey(key string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, rowPrefix), 10, 64)
	return n, wrap.If(err, "ParseRowKey")
}

// Start starts to follow the newest version. The function peers fetches the body
// of a version from other hosts, which are asked before the store.
func (c *Config) Start(peers func(ctx context.Context, version uint64) ([]byte, bool)) {
	c.peers = peers
	c.loops.Go(c.fetchLoop)
	c.loops.Go(c.pollStore)
}

// Policy returns the configuration in force.
func (c *Config) Policy() *policy.Policy {
	return c.current.Load()
}

// Newest returns the highest version known to be accepted, in force or not.
func (c *Config) Newest() uint64 {
	return c.newest.Load()
}

// Learn records the number of an accepted version, as another host reports it. A
// number that is not higher than the highest known one has no effect.
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
// around the mean.
func (c *Config) pollStore() {
	for c.ctx.Err() == nil {
		rows, err := c.store.Scan(c.ctx, rowPrefix, true)
		if err == nil && len(rows) > 0 {
			if n, err := ParseRowKey(rows[len(rows)-1].Key); err == nil {
				c.Learn(n)
			}
		}
		c.sleep(c.pollInterval/2 + rand.N(c.pollInterval))
	}
}

func (c *Config) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// fetchLoop fetches the newest version whenever it changes, and puts it in force.
func (c *Config) fetchLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.wakeup:
		}
		for c.ctx.Err() == nil && c.newest.Load() > c.Policy().Version() {
			if !c.fetch(c.newest.Load()) {
				c.sleep(retryPause)
			}
		}
	}
}

// fetch fetches a version's body from other hosts or from the store and applies
// it. It reports whether that succeeded.
func (c *Config) fetch(version uint64) bool {
	ctx, stop := context.WithTimeout(c.ctx, fetchTimeout)
	defer stop()
	if body, ok := c.peers(ctx, version); ok && c.apply(version, body) {
		return true
	}
	rows, err := c.store.Scan(ctx, RowKey(version), true)
	if err != nil || len(rows) == 0 {
		return false
	}
	body, err := c.store.GetObject(ctx, string(rows[0].Value))
	return err == nil && c.apply(version, body)
}

// apply puts a version in force unless a later one is in force already. It
// returns false if the body is not valid for the version.
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

// Close stops following new versions.
func (c *Config) Close() {
	c.stop()
	c.loops.Wait()
}
