// Package config keeps the configuration in force at this host.
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
	// rowPrefix begins the key of each version's row.
	rowPrefix = "ConfigVersion/"
	// objectPrefix begins the name of each version's body.
	objectPrefix = "config/"
	// bodiesKept is how many bodies a host keeps for its peers.
	bodiesKept = 4
	// fetchTimeout bounds one try to fetch a body.
	fetchTimeout = 3 * time.Second
	// fetchPause is the pause between two tries.
	fetchPause = 100 * time.Millisecond
	// defaultPoll is the mean time between two looks at the store.
	defaultPoll = time.Second
)

// store holds the versions' rows and bodies.
type store interface {
	// Scan returns rows by prefix.
	Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error)
	// GetObject returns an object.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Config follows the newest accepted version and never goes back.
type Config struct {
	log    *zap.Logger
	store  store
	peers  func(ctx context.Context, version uint64) ([]byte, bool)
	adopt  func(from, to uint64)
	poll   time.Duration
	force  atomic.Pointer[policy.Policy]
	newest atomic.Uint64
	wake   chan struct{}
	mu     sync.Mutex
	bodies map[uint64][]byte
	stop   context.CancelFunc
	ctx    context.Context
	done   sync.WaitGroup
}

// WithPoll returns an option that sets the mean time between two looks at the
// store. A fleet shares what one host sees, so it may be long in a large one.
func WithPoll(d time.Duration) func(*Config) {
	return func(c *Config) { c.poll = d }
}

// WithOnChange returns an option that is told of each change of version.
func WithOnChange(f func(from, to uint64)) func(*Config) {
	return func(c *Config) { c.adopt = f }
}

// New returns a configuration without any file, version 0.
func New(log *zap.Logger, s store, options ...func(*Config)) *Config {
	ctx, stop := context.WithCancel(context.Background())
	c := &Config{
		log: log, store: s, poll: defaultPoll, wake: make(chan struct{}, 1),
		bodies: map[uint64][]byte{}, ctx: ctx, stop: stop,
		adopt: func(uint64, uint64) {},
		peers: func(context.Context, uint64) ([]byte, bool) { return nil, false },
	}
	for _, o := range options {
		o(c)
	}
	c.force.Store(policy.New(0))
	return c
}

// RowKey returns the key of a version's row. Keys sort as the numbers do.
func RowKey(version uint64) string {
	return fmt.Sprintf("%s%012d", rowPrefix, version)
}

// RowPrefix returns what the key of each version's row begins with.
func RowPrefix() string {
	return rowPrefix
}

// ObjectName returns the name of the body that a publication made for a
// version. It holds the publication, so that two publishers never share one.
func ObjectName(version uint64, publication string) string {
	return fmt.Sprintf("%s%012d-%s", objectPrefix, version, publication)
}

// ParseRowKey returns the number in the key of a version's row.
func ParseRowKey(key string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, rowPrefix), 10, 64)
	return n, wrap.If(err, "Number")
}

// Start begins to follow the store; peers are asked for a body that the store
// does not give.
func (c *Config) Start(peers func(ctx context.Context, version uint64) ([]byte, bool)) {
	c.peers = peers
	c.done.Go(c.follow)
	c.done.Go(c.look)
}

// Policy returns the configuration in force.
func (c *Config) Policy() *policy.Policy {
	return c.force.Load()
}

// Newest returns the highest version known to be accepted, in force or not.
func (c *Config) Newest() uint64 {
	return c.newest.Load()
}

// Learn takes the number of an accepted version that somebody knows. A lower
// one than known changes nothing.
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
	case c.wake <- struct{}{}:
	default:
	}
}

// Body returns the body of a version that this host keeps.
func (c *Config) Body(version uint64) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.bodies[version]
	return b, ok
}

// look reads the highest number from the store now and then.
func (c *Config) look() {
	for c.ctx.Err() == nil {
		rows, err := c.store.Scan(c.ctx, rowPrefix, true)
		if err == nil && len(rows) > 0 {
			if n, err := ParseRowKey(rows[len(rows)-1].Key); err == nil {
				c.Learn(n)
			}
		}
		c.pause(c.poll/2 + rand.N(c.poll))
	}
}

func (c *Config) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// follow fetches each newest version and puts it in force.
func (c *Config) follow() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.wake:
		}
		for c.ctx.Err() == nil && c.newest.Load() > c.Policy().Version() {
			if !c.fetch(c.newest.Load()) {
				c.pause(fetchPause)
			}
		}
	}
}

func (c *Config) fetch(version uint64) bool {
	ctx, stop := context.WithTimeout(c.ctx, fetchTimeout)
	defer stop()
	if body, ok := c.peers(ctx, version); ok && c.put(version, body) {
		return true
	}
	rows, err := c.store.Scan(ctx, RowKey(version), true)
	if err != nil || len(rows) == 0 {
		return false
	}
	body, err := c.store.GetObject(ctx, string(rows[0].Value))
	return err == nil && c.put(version, body)
}

// put puts a version in force, unless a later one is.
func (c *Config) put(version uint64, body []byte) bool {
	b, err := bundle.Decode(body)
	if err != nil || b.Version != version {
		c.log.Error("configuration body does not fit its version", zap.Uint64("Version", version), zap.Error(err))
		return false
	}
	p, err := b.Policy()
	if err != nil {
		c.log.Error("configuration can't be read", zap.Uint64("Version", version), zap.Error(err))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.Policy().Version()
	if version <= from {
		return true
	}
	c.force.Store(p)
	c.bodies[version] = body
	for v := range c.bodies {
		if v+bodiesKept <= version {
			delete(c.bodies, v)
		}
	}
	c.log.Info("configuration in force", zap.Uint64("Version", version))
	c.adopt(from, version)
	return true
}

// Close ends the following.
func (c *Config) Close() {
	c.stop()
	c.done.Wait()
}
