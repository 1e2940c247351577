// Package front serves callers in PostgreSQL's frontend/backend protocol,
// version 3.
package front

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/budget"
	"github.com/pistachiotray/pistachiotray/process/rescue"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/version/policy"
)

const (
	// defaultMessageLimit is the maximum length of a caller's message, in bytes,
	// without WithMessageLimit.
	defaultMessageLimit = 16 << 20
	// startupTimeout bounds the time in which a new connection must have sent all
	// messages of its startup, authentication included.
	startupTimeout = 10 * time.Second
	// writeTimeout bounds the time in which a caller must take the next piece of an answer. It
	// may take up to a tenth longer, since the deadline is not renewed for each piece.
	writeTimeout = 10 * time.Second
	// pieceBytes is the size of such a piece.
	pieceBytes = 64 << 10
	// readTimeout bounds the wait for the next part of a message that is longer than the read
	// buffer.
	readTimeout = 10 * time.Second
	// defaultCallerLimit is the maximum number of connections without
	// WithCallerLimit.
	defaultCallerLimit = 10_000
	// attachTimeout bounds the wait for the owner to report whether a resumed
	// session has an open transaction.
	attachTimeout = time.Second
	// cancelWait bounds the wait for the answers to requests that were canceled because the
	// host stops.
	cancelWait = 500 * time.Millisecond
)

// backend runs the requests of callers.
type backend interface {
	// Submit starts to run a request and returns its answer at once. The answer is
	// filled while the request runs.
	Submit(c call.Call) *answer.Answer
	// Forget drops the state of a request whose answer was read or abandoned.
	Forget(id string)
	// Cancel cancels a request.
	Cancel(id string)
	// Leave ends a session that its caller closed.
	Leave(group, session string)
	// Detach reports that a session's connection was lost. An open transaction then
	// has a grace period in which the caller can resume the session.
	Detach(group, session string)
	// Attach reports that a caller resumes its session. It returns whether the
	// session has an open transaction.
	Attach(ctx context.Context, group, session string) bool
	// Admit reports whether a service may send one more request now under its limit
	// of requests per second, and if not, how long it must wait.
	Admit(service string, rate float64) (time.Duration, bool)
}

// policies provides the configuration in force.
type policies interface {
	// Policy returns the newest accepted configuration.
	Policy() *policy.Policy
}

// groups is the list of database groups.
type groups interface {
	// Has reports whether there is a group of that name.
	Has(group string) bool
}

// cancelRelay forwards cancel requests to other hosts.
type cancelRelay interface {
	// RelayCancel forwards a cancel request to the host whose number is in the pid.
	RelayCancel(pid uint32, secret []byte)
}

// Front accepts the connections of callers, passes their requests to the backend
// and sends them the answers.
type Front struct {
	host         string
	hostNumber   uint16
	log          *zap.Logger
	backend      backend
	policies     policies
	groups       groups
	relay        cancelRelay
	passwords    map[string]string
	tokenKeys    map[string][]byte
	signKeyName  string
	tls          *tls.Config
	messageLimit int
	callerLimit  int
	// budget is the memory that callers share, nil if it is not limited.
	budget *budget.Budget
	// valueLimit is the most prepared statements and settings of a session, and sessionLimit
	// the most memory that they may take, in bytes.
	valueLimit   int
	sessionLimit int
	now          func() time.Time

	stopping     atomic.Bool
	callerCount  atomic.Int64
	refusedCount atomic.Int64

	// mu guards clients, which holds the admitted callers by the pid of their cancel
	// key.
	mu       sync.Mutex
	clients  map[uint32]*client
	handlers sync.WaitGroup
}

// WithUsers returns an option that sets the passwords by user name. Callers must
// then authenticate by SCRAM-SHA-256. Without the option callers are not
// authenticated.
func WithUsers(passwords map[string]string) func(*Front) {
	return func(f *Front) { f.passwords = passwords }
}

// WithKeys returns an option that sets the keys of session tokens by name, and
// the name of the key that signs new tokens.
func WithKeys(keys map[string][]byte, signKeyName string) func(*Front) {
	return func(f *Front) { f.tokenKeys = keys; f.signKeyName = signKeyName }
}

// WithTLS returns an option that offers TLS to callers.
func WithTLS(c *tls.Config) func(*Front) {
	return func(f *Front) { f.tls = c }
}

// WithMessageLimit returns an option that sets the maximum length of a message,
// in bytes.
func WithMessageLimit(n int) func(*Front) {
	return func(f *Front) { f.messageLimit = n }
}

// WithCallerLimit returns an option that bounds the number of connections.
func WithCallerLimit(n int) func(*Front) {
	return func(f *Front) { f.callerLimit = n }
}

// WithBudget returns an option that sets the memory that callers share.
func WithBudget(b *budget.Budget) func(*Front) {
	return func(f *Front) { f.budget = b }
}

// WithSessionLimits returns an option that bounds the number of the prepared statements and
// settings of a session, and the memory that they may take, in bytes.
func WithSessionLimits(values, size int) func(*Front) {
	return func(f *Front) { f.valueLimit, f.sessionLimit = values, size }
}

// New returns the front of a host. Without WithKeys, the host's name is the key that
// signs session tokens.
func New(host string, log *zap.Logger, b backend, p policies, g groups, options ...func(*Front)) *Front {
	f := &Front{
		host: host, log: log, backend: b, policies: p, groups: g, messageLimit: defaultMessageLimit, callerLimit: defaultCallerLimit,
		valueLimit: math.MaxInt, sessionLimit: math.MaxInt,
		now: time.Now, clients: map[uint32]*client{},
		tokenKeys: map[string][]byte{"none": []byte(host)}, signKeyName: "none",
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// SetRelay sets the relay for cancel requests that belong to other hosts, and the
// number of this host, which is the upper half of the pids in its callers' cancel
// keys. It must be called before Serve.
func (f *Front) SetRelay(r cancelRelay, hostNumber uint16) {
	f.relay = r
	f.hostNumber = hostNumber
}

// Serve accepts connections until the listener is closed.
func (f *Front) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		f.handlers.Go(func() { rescue.Run(f.log, func() { f.Handle(conn) }) })
	}
}

// Handle serves one connection until it ends.
func (f *Front) Handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	f.callerCount.Add(1)
	defer f.callerCount.Add(-1)
	c := newClient(f, conn)
	defer c.share.Leave()
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

// Callers returns the number of open connections, and how many connections were
// refused since the start.
func (f *Front) Callers() (open, refused int64) {
	return f.callerCount.Load(), f.refusedCount.Load()
}

// Memory returns the state of the memory that callers share.
func (f *Front) Memory() any {
	if f.budget == nil {
		return nil
	}
	return f.budget.Metrics()
}

// CancelByKey cancels the request that runs for the caller with a cancel key, if any.
// It reports whether the key belongs to a caller of this host.
func (f *Front) CancelByKey(pid uint32, secret []byte) bool {
	f.mu.Lock()
	c := f.clients[pid]
	f.mu.Unlock()
	if c == nil || string(c.secret) != string(secret) {
		return false
	}
	c.cancel()
	return true
}

// Stop refuses new callers, ends each connection as soon as it is idle, and waits
// until all callers have left or the context ends. It then cancels the requests that still
// run, so that their callers are answered, and waits for that for up to cancelWait. It returns
// how many callers remained.
func (f *Front) Stop(ctx context.Context) int {
	f.stopping.Store(true)
	if f.awaitLeft(ctx) == 0 {
		return 0
	}
	f.mu.Lock()
	for _, c := range f.clients {
		c.cancel()
	}
	f.mu.Unlock()
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelWait)
	defer stop()
	return f.awaitLeft(ctx)
}

// awaitLeft ends each connection as soon as it is idle, until all callers have left or the
// context ends. It returns how many remained.
func (f *Front) awaitLeft(ctx context.Context) int {
	const pollInterval = 10 * time.Millisecond
	for {
		f.mu.Lock()
		for _, c := range f.clients {
			c.stopIfIdle()
		}
		n := len(f.clients)
		f.mu.Unlock()
		if n == 0 || !sleep.For(ctx, pollInterval) {
			return n
		}
	}
}

// Abort closes the connections of all admitted callers at once, as a crash of the
// process would. It neither closes nor detaches their sessions.
func (f *Front) Abort() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.clients {
		c.abort()
	}
}
