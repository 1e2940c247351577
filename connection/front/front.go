// Package front serves callers with PostgreSQL's protocol, version 3.
package front

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/version/policy"
)

const (
	// defaultLimit is the longest message of a caller, in bytes.
	defaultLimit = 16 << 20
	// startupTimeout bounds the time from a connection to its first request.
	startupTimeout = 10 * time.Second
	// writeTimeout bounds the wait for a caller that does not read.
	writeTimeout = 10 * time.Second
	// defaultCallers bounds the number of connections.
	defaultCallers = 10_000
	// attachTimeout bounds the question whether a returning session has an
	// open transaction.
	attachTimeout = time.Second
)

// backend takes the requests of callers.
type backend interface {
	// Submit takes a request and returns its answer.
	Submit(c call.Call) *answer.Answer
	// Forget drops a request whose answer was taken.
	Forget(id string)
	// Cancel cancels a request.
	Cancel(id string)
	// Leave ends a session on purpose.
	Leave(group, session string)
	// Detach tells that a session lost its connection.
	Detach(group, session string)
	// Attach tells that a session came back; it returns whether the session
	// has an open transaction.
	Attach(ctx context.Context, group, session string) bool
	// Admit tells whether a service may send one more request now, and if not,
	// after how long.
	Admit(service string, rate float64) (time.Duration, bool)
}

// policies gives the configuration in force.
type policies interface {
	// Policy returns the newest accepted configuration.
	Policy() *policy.Policy
}

// directory knows the groups.
type directory interface {
	// Has tells whether there is a group of that name.
	Has(group string) bool
}

// relay passes a cancel request on to the host that it is meant for.
type relay interface {
	// RelayCancel sends a cancel request of another host's caller there.
	RelayCancel(pid uint32, secret []byte)
}

// Front accepts callers and moves their bytes.
type Front struct {
	host     string
	number   uint16
	log      *zap.Logger
	backend  backend
	policies policies
	groups   directory
	relay    relay
	users    map[string]string
	keys     map[string][]byte
	keyName  string
	tls      *tls.Config
	limit    int
	most     int
	now      func() time.Time

	stopping atomic.Bool
	callers  atomic.Int64
	refused  atomic.Int64

	mu      sync.Mutex
	clients map[uint32]*client
	done    sync.WaitGroup
}

// WithUsers returns an option that asks callers for their SCRAM-SHA-256
// password; without it every caller is let in.
func WithUsers(users map[string]string) func(*Front) {
	return func(f *Front) { f.users = users }
}

// WithKeys returns an option that sets the keys of session tokens by name and
// the name of the one to sign with.
func WithKeys(keys map[string][]byte, sign string) func(*Front) {
	return func(f *Front) { f.keys = keys; f.keyName = sign }
}

// WithTLS returns an option that offers TLS to callers.
func WithTLS(c *tls.Config) func(*Front) {
	return func(f *Front) { f.tls = c }
}

// WithMessageLimit returns an option that sets the longest message, in bytes.
func WithMessageLimit(n int) func(*Front) {
	return func(f *Front) { f.limit = n }
}

// WithCallerLimit returns an option that bounds the number of connections.
func WithCallerLimit(n int) func(*Front) {
	return func(f *Front) { f.most = n }
}

// New returns a front of the host.
func New(host string, log *zap.Logger, b backend, p policies, d directory, options ...func(*Front)) *Front {
	f := &Front{
		host: host, log: log, backend: b, policies: p, groups: d, limit: defaultLimit, most: defaultCallers,
		now: time.Now, clients: map[uint32]*client{},
		keys: map[string][]byte{"none": []byte(host)}, keyName: "none",
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// SetRelay sets where cancel requests for other hosts are passed on to, and
// the number of this host in its callers' keys. It is called before Serve.
func (f *Front) SetRelay(r relay, number uint16) {
	f.relay = r
	f.number = number
}

// Serve accepts connections until the listener is closed.
func (f *Front) Serve(l net.Listener) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		f.done.Go(func() { f.Handle(n) })
	}
}

// Handle serves one connection to its end.
func (f *Front) Handle(n net.Conn) {
	defer func() { _ = n.Close() }()
	f.callers.Add(1)
	defer f.callers.Add(-1)
	c := newClient(f, n)
	if err := c.startup(); err != nil {
		f.log.Debug("caller not admitted", zap.Error(err))
		return
	}
	if c.pid == 0 {
		return
	}
	defer f.remove(c)
	c.run()
}

func (f *Front) add(c *client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients[c.pid] = c
}

func (f *Front) remove(c *client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.clients, c.pid)
}

// Callers returns the number of connections, and of those refused.
func (f *Front) Callers() (open, refused int64) {
	return f.callers.Load(), f.refused.Load()
}

// CancelKey cancels what the caller with the key runs, and reports whether the
// key is that of a caller here.
func (f *Front) CancelKey(pid uint32, secret []byte) bool {
	f.mu.Lock()
	c := f.clients[pid]
	f.mu.Unlock()
	if c == nil || string(c.secret) != string(secret) {
		return false
	}
	if id := c.current.Load(); id != nil {
		f.backend.Cancel(*id)
	}
	return true
}

// Stop ends callers that are idle, now and as they fall idle, and waits until
// all are gone or the context ends. It returns how many remained.
func (f *Front) Stop(ctx context.Context) int {
	f.stopping.Store(true)
	const every = 10 * time.Millisecond
	for {
		f.mu.Lock()
		for _, c := range f.clients {
			c.stopIfIdle()
		}
		n := len(f.clients)
		f.mu.Unlock()
		if n == 0 {
			return 0
		}
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
			timer.Stop()
			return n
		case <-timer.C:
		}
	}
}

// Abort closes every connection at once, as a crash would.
func (f *Front) Abort() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.clients {
		c.abort()
	}
}
