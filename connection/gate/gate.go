// Package gate bounds the connections of a port that anybody may connect to.
package gate

import (
	"net"
	"sync"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// logsPerSecond limits the log lines about closed connections.
const logsPerSecond = 1

// Listener is a listener with a limit of open connections. When a connection is accepted beyond
// it, the oldest one that did not prove itself is closed, or the new one if there is none, so
// that those who connect and send nothing keep nobody out.
type Listener struct {
	net.Listener
	limit int
	log   *zap.Logger
	// limiter limits the log lines.
	limiter *rate.Limiter
	// mu guards the fields below.
	mu sync.Mutex
	// open is the number of open connections, and unproven holds those that did not prove
	// themselves, the oldest first.
	open     int
	unproven []*guarded
	// closed counts the connections that were closed because there were too many.
	closed int64
}

// guarded is a connection of the listener.
type guarded struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// New returns a listener that accepts the connections of l, with at most limit of them open.
func New(log *zap.Logger, l net.Listener, limit int) *Listener {
	return &Listener{Listener: l, limit: max(limit, 1), log: log, limiter: rate.NewLimiter(logsPerSecond, logsPerSecond)}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g := &guarded{Conn: c, listener: l}
		if victim := l.admit(g); victim != nil {
			_ = victim.Close()
			if victim == g {
				continue
			}
		}
		return g, nil
	}
}

// admit adds a connection. It returns the connection to be closed, nil if there is none.
func (l *Listener) admit(g *guarded) *guarded {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	l.unproven = append(l.unproven, g)
	if l.open <= l.limit {
		return nil
	}
	l.closed++
	if l.limiter.Allow() {
		l.log.Warn("too many connections", zap.Stringer("Address", l.Addr()), zap.Int("Limit", l.limit), zap.Int64("Closed", l.closed))
	}
	return l.unproven[0]
}

// Closed returns how many connections were closed because there were too many.
func (l *Listener) Closed() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Prove notes that the connection is used as the port's protocol has it, so that it is not
// closed for another.
func (g *guarded) Prove() {
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	g.listener.forget(g)
}

// Close closes the connection. It may be called more than once.
func (g *guarded) Close() error {
	g.once.Do(func() {
		g.listener.mu.Lock()
		defer g.listener.mu.Unlock()
		g.listener.open--
		g.listener.forget(g)
	})
	return g.Conn.Close()
}

// forget removes a connection from those that did not prove themselves. The caller holds the
// lock.
func (l *Listener) forget(g *guarded) {
	for i, u := range l.unproven {
		if u == g {
			l.unproven = append(l.unproven[:i], l.unproven[i+1:]...)
			return
		}
	}
}
