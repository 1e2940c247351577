package front

import (
	"bytes"
	"strings"

	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/scan"
	"github.com/pistachiotray/pistachiotray/version/class"
)

func (c *client) class(group, user, label string) class.Class {
	return c.front.policies.Policy().Resolve(group, user, c.session.Application, label)
}

// serve runs one batch and gives the caller its answer. An error ends the
// connection.
func (c *client) serve(b batch) error {
	c.ready = b.ready
	defer c.announce()
	body, prepare, s, err := c.look(b)
	if err != nil {
		return c.refuse(err)
	}
	if b.flushed {
		if err := c.checkFlush(b); err != nil {
			return c.refuse(err)
		}
		body = append(body, syncFrame...)
	}
	if c.session.TransactionLost {
		return c.serveGone(s, b)
	}
	req, err := c.request(body, prepare, s)
	if err != nil {
		return c.refuse(err)
	}
	return c.exchange(req, s, b)
}

// announce tells the reader that COPY data of the batch may be passed on.
func (c *client) announce() {
	if c.ready != nil {
		close(c.ready)
		c.ready = nil
	}
}

var syncFrame = []byte{'S', 0, 0, 0, 4}

// checkFlush lets a Flush through where it does the same as a Sync: where
// nothing is executed, or inside a transaction.
func (c *client) checkFlush(b batch) error {
	if c.session.Status != 'I' {
		return nil
	}
	rest := b.frames
	for len(rest) > 0 {
		kind, _, next, ok := frame.Split(rest)
		if !ok || kind == 'E' {
			return fault.New(code.NotSupported, "Flush after Execute outside of a transaction")
		}
		rest = next
	}
	return nil
}

// serveGone answers for a transaction that was lost until the caller ends it.
func (c *client) serveGone(s scan.Scan, b batch) error {
	text := strings.ToUpper(strings.TrimSpace(b.simple))
	if s.Ends || strings.HasPrefix(text, "ROLLBACK") || strings.HasPrefix(text, "ABORT") {
		c.session = c.session.WithStatus('I', false)
		out := []byte{'C', 0, 0, 0, 13}
		out = append(out, "ROLLBACK\x00"...)
		return c.write(append(out, readyFrame('I')...))
	}
	return c.refuse(fault.New(code.TransactionLost, "end the lost transaction with ROLLBACK first"))
}

// refuse tells the caller of a fault and goes on.
func (c *client) refuse(err error) error {
	f, ok := err.(*fault.Fault)
	if !ok {
		return err
	}
	out := errorFrame(f, "ERROR")
	if c.session.Status == 'T' && f.Code != code.TransactionLost {
		c.front.backend.Leave(c.session.Group, c.session.ID)
		c.session = c.session.WithTransactionLost()
	}
	return c.write(append(out, readyFrame(c.session.Status)...))
}

// request makes a call of a batch.
func (c *client) request(body []byte, prepare map[string][]byte, s scan.Scan) (call.Call, error) {
	c.session = c.session.WithNextRequest()
	now := c.front.now()
	k, err := c.classFor(s)
	if err != nil {
		return call.Call{}, err
	}
	inside := c.session.Status != 'I'
	id := c.session.ID + "/" + newID()[:8] + itoa(int(c.session.Sequence))
	key, err := c.keyFor(k, s, inside)
	if err != nil {
		return call.Call{}, err
	}
	out := call.New(id, c.session.ID, c.session.Group, k).
		WithBody(body).
		WithState(prepare, c.session.Settings()).
		WithScan(s).
		WithFloor(c.session.Floor).
		WithFreshFloor(k.Read && !c.session.FloorKnown && !inside).
		WithTimes(now, now.Add(k.Deadline)).
		WithKey(key).
		WithInTransaction(inside)
	if !inside {
		out = out.WithEnds(true)
	}
	if s.Begins && !s.Ends && !inside {
		c.session = c.session.WithTransaction(k, key)
	}
	return out, nil
}

func (c *client) classFor(s scan.Scan) (class.Class, error) {
	if c.session.Status != 'I' {
		return c.session.Class, nil
	}
	k := c.class(c.session.Group, c.session.User, s.Label)
	if s.Begins && s.ReadOnly {
		k = k.WithRead(k.MaxAge)
	}
	if s.ReadWrite && k.Read {
		k = k.WithWrite()
	}
	if wait, ok := c.front.backend.Admit(k.Service, k.RatePerSecond); !ok {
		f := fault.New(code.NotRunLimit, "service "+k.Service+" is over its rate at this host")
		return k, f.WithRetryAfter(wait)
	}
	return k, nil
}

// keyFor returns the idempotency key of a request, or none.
func (c *client) keyFor(k class.Class, s scan.Scan, inside bool) (string, error) {
	if inside {
		if s.Key != "" && s.Key != c.session.Key {
			return "", fault.New(code.NotSupported, "the key of a transaction belongs on its BEGIN")
		}
		return c.session.Key, nil
	}
	key := s.Key
	if key == "" && k.Once {
		key = c.session.ID + "/" + itoa(int(c.session.Sequence)) + "/" + newID()[:8]
	}
	if key != "" && s.Begins && s.Ends {
		return "", fault.New(code.NotSupported, "a request with a key can't begin and end a transaction itself")
	}
	return key, nil
}

// exchange submits a call and passes its answer to the caller.
func (c *client) exchange(req call.Call, s scan.Scan, b batch) error {
	c.current.Store(&req.ID)
	a := c.front.backend.Submit(req)
	if req.Copy {
		c.copying.Store(a)
	}
	c.announce()
	defer c.finished(req.ID, a)
	failed := false
	for {
		p, done, err := a.Take(c.ctx)
		if err != nil {
			return err
		}
		if s.Setting != "" {
			failed = failed || hasError(p)
		}
		if done {
			return c.conclude(a, req, s, b, p, failed)
		}
		if err := c.write(p); err != nil {
			return err
		}
	}
}

func (c *client) finished(id string, a *answer.Answer) {
	c.current.Store(nil)
	c.copying.Store(nil)
	a.Abandon()
	c.front.backend.Forget(id)
}

// conclude sends the last part of an answer, with the session's new token
// before the ReadyForQuery that ends it.
func (c *client) conclude(a *answer.Answer, req call.Call, s scan.Scan, b batch, p []byte, failed bool) error {
	seen, status, f := a.Outcome()
	if f != nil {
		return c.concludeFault(req, f, p)
	}
	before := c.session
	good := before.Status == 'I' || !failed && before.Status != 'E' && !rolledBack(p)
	c.session = c.session.WithFloor(seen).WithStatus(status, good)
	if req.FreshFloor {
		c.session = c.session.WithFloor(req.Floor)
	}
	if s.Setting != "" && !failed {
		c.session = c.session.WithSetting(s.Setting, b.text(), s.Reset)
	}
	out := p
	if before.Floor != c.session.Floor {
		out = insertBeforeReady(p, c.tokenFrame())
	}
	if b.flushed {
		out = withoutReady(out)
	}
	return c.write(out)
}

func (c *client) concludeFault(req call.Call, f *fault.Fault, p []byte) error {
	out := append(bytes.Clone(p), errorFrame(f, "ERROR")...)
	switch {
	case f.Code == code.SlowCaller:
		_ = c.write(out)
		return f
	case req.InTransaction && !req.Ends:
		c.session = c.session.WithTransactionLost()
	default:
		c.session = c.session.WithStatus('I', false)
	}
	return c.write(append(out, readyFrame(c.session.Status)...))
}

// readyLength is the length of a ReadyForQuery frame in bytes.
const readyLength = 6

func insertBeforeReady(p, inserted []byte) []byte {
	n := len(p) - readyLength
	if n < 0 || p[n] != 'Z' {
		return append(p, inserted...)
	}
	out := make([]byte, 0, len(p)+len(inserted))
	out = append(out, p[:n]...)
	out = append(out, inserted...)
	return append(out, p[n:]...)
}

func withoutReady(p []byte) []byte {
	if n := len(p) - readyLength; n >= 0 && p[n] == 'Z' {
		return p[:n]
	}
	return p
}

func hasError(p []byte) bool {
	return hasFrame(p, func(kind byte, _ []byte) bool { return kind == 'E' })
}

// rolledBack tells whether an answer says that a transaction was rolled back.
func rolledBack(p []byte) bool {
	return hasFrame(p, func(kind byte, f []byte) bool {
		return kind == 'C' && bytes.HasPrefix(frame.Body(f), []byte("ROLLBACK"))
	})
}

func hasFrame(p []byte, wanted func(kind byte, f []byte) bool) bool {
	for len(p) > 0 {
		kind, f, next, ok := frame.Split(p)
		if !ok {
			return false
		}
		if wanted(kind, f) {
			return true
		}
		p = next
	}
	return false
}

// text returns the text of a batch with a single statement.
func (b batch) text() string {
	if b.isSimple {
		return b.simple
	}
	rest := b.frames
	for len(rest) > 0 {
		kind, p, next, ok := frame.Split(rest)
		if !ok {
			return ""
		}
		if kind == 'P' {
			_, after, _ := bytes.Cut(frame.Body(p), []byte{0})
			text, _, _ := bytes.Cut(after, []byte{0})
			return string(text)
		}
		rest = next
	}
	return ""
}
