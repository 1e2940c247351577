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

// resolveClass returns the class that the configuration in force assigns to a
// request of this session with a label.
func (c *client) resolveClass(group, user, label string) class.Class {
	return c.front.policies.Policy().Resolve(group, user, c.session.Application, label)
}

// serve runs one batch and sends its answer to the caller. An error ends the
// connection.
func (c *client) serve(b batch) error {
	c.copyReady = b.copyReady
	defer c.releaseCopyInput()
	body, prepare, s, err := c.analyze(b)
	if err != nil {
		return c.refuse(err)
	}
	if b.flush {
		if err := c.checkFlush(b); err != nil {
			return c.refuse(err)
		}
		body = append(body, syncFrame...)
	}
	if c.session.TransactionLost {
		return c.serveLostTransaction(s, b)
	}
	if err := c.checkSetting(s, b); err != nil {
		return c.refuse(err)
	}
	req, err := c.newCall(body, prepare, s)
	if err != nil {
		return c.refuse(err)
	}
	return c.exchange(req, s, b)
}

// checkSetting returns a fault if a batch changes a setting and the session would then keep too
// much. The batch has not run then.
func (c *client) checkSetting(s scan.Scan, b batch) error {
	if s.Setting == "" || s.Reset {
		return nil
	}
	count, size := c.session.WithSetting(s.Setting, b.statement(), false).Kept()
	if size > c.kept && (count > c.front.valueLimit || size > c.front.sessionLimit) {
		return fault.New(code.MessageTooLarge, "the session keeps too many prepared statements and settings")
	}
	return nil
}

// releaseCopyInput lets readLoop handle the COPY data that follows the batch. It has
// no effect when called again.
func (c *client) releaseCopyInput() {
	if c.copyReady != nil {
		close(c.copyReady)
		c.copyReady = nil
	}
}

var syncFrame = []byte{'S', 0, 0, 0, 4}

// checkFlush returns a fault unless the Flush that ends the batch can be sent to the
// target as a Sync. This is possible inside a transaction, or if the batch executes
// nothing: a Sync then has the same effect.
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

// serveLostTransaction answers a batch after the session's transaction was lost. It
// refuses the batch unless the batch ends the transaction. A batch that does is
// answered like a ROLLBACK.
func (c *client) serveLostTransaction(s scan.Scan, b batch) error {
	text := strings.ToUpper(strings.TrimSpace(b.query))
	if s.Ends || strings.HasPrefix(text, "ROLLBACK") || strings.HasPrefix(text, "ABORT") {
		c.session = c.session.WithStatus('I', false)
		response := []byte{'C', 0, 0, 0, 13}
		response = append(response, "ROLLBACK\x00"...)
		return c.write(append(response, readyFrame('I')...))
	}
	return c.refuse(fault.New(code.TransactionLost, "end the lost transaction with ROLLBACK first"))
}

// refuse sends a fault to the caller as an error and keeps the connection open. If a
// transaction is open, it is lost: the session is ended at the owner, and the caller
// must end the transaction before it sends other requests. An error that is not a
// fault is returned, which ends the connection.
func (c *client) refuse(err error) error {
	f, ok := err.(*fault.Fault)
	if !ok {
		return err
	}
	response := errorFrame(f, "ERROR")
	if c.session.Status == 'T' && f.Code != code.TransactionLost {
		c.front.backend.Leave(c.session.Group, c.session.ID)
		c.session = c.session.WithTransactionLost()
	}
	return c.write(append(response, readyFrame(c.session.Status)...))
}

// newCall returns the call of a batch. If the call begins a transaction, its class
// and idempotency key are stored in the session for the rest of that transaction.
func (c *client) newCall(body []byte, prepare map[string][]byte, s scan.Scan) (call.Call, error) {
	c.session = c.session.WithNextRequest()
	now := c.front.now()
	k, err := c.classOf(s)
	if err != nil {
		return call.Call{}, err
	}
	inTransaction := c.session.Status != 'I'
	id := c.session.ID + "/" + newID()[:8] + itoa(int(c.session.Sequence))
	key, err := c.idempotencyKey(k, s, inTransaction)
	if err != nil {
		return call.Call{}, err
	}
	req := call.New(id, c.session.ID, c.session.Group, k).
		WithBody(body).
		WithState(prepare, c.session.Settings()).
		WithScan(s).
		WithFloor(c.session.Floor).
		WithFreshFloor(k.Read && !c.session.FloorKnown && !inTransaction).
		WithTimes(now, now.Add(k.Deadline)).
		WithKey(key).
		WithInTransaction(inTransaction)
	if !inTransaction {
		req = req.WithEnds(true)
	}
	if s.Begins && !s.Ends && !inTransaction {
		c.session = c.session.WithTransaction(k, key)
	}
	return req, nil
}

// classOf returns the class of a request. Inside a transaction, this is the class of
// the transaction. Outside of one, the class is changed to a read if the request
// begins a READ ONLY transaction, and to a write if the request may begin a
// transaction that can write. classOf then also checks the rate limit of the class's
// service and returns a fault if the rate is exceeded.
func (c *client) classOf(s scan.Scan) (class.Class, error) {
	if c.session.Status != 'I' {
		return c.session.Class, nil
	}
	k := c.resolveClass(c.session.Group, c.session.User, s.Label)
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

// idempotencyKey returns the key given with the request or, for a class whose
// requests run at most once, a new key. Inside a transaction it returns the key of
// the transaction. Without a key it returns "". It returns a fault if a request of a
// transaction has another key than the transaction, or if a request with a key both
// begins and ends a transaction.
func (c *client) idempotencyKey(k class.Class, s scan.Scan, inTransaction bool) (string, error) {
	if inTransaction {
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

// exchange submits a call and forwards its answer to the caller. An error ends the
// connection.
func (c *client) exchange(req call.Call, s scan.Scan, b batch) error {
	c.currentRequestID.Store(&req.ID)
	a := c.front.backend.Submit(req)
	if req.Copy {
		c.copyAnswer.Store(a)
	}
	c.releaseCopyInput()
	defer c.releaseAnswer(req.ID, a)
	errored := false
	for {
		p, done, err := a.Take(c.ctx)
		if err != nil {
			return err
		}
		if s.Setting != "" {
			errored = errored || hasError(p)
		}
		if done {
			return c.finish(a, req, s, b, p, errored)
		}
		if err := c.write(p); err != nil {
			return err
		}
	}
}

// releaseAnswer abandons the answer of a request that has ended, and drops the
// request's state at the client and the backend.
func (c *client) releaseAnswer(id string, a *answer.Answer) {
	c.currentRequestID.Store(nil)
	c.copyAnswer.Store(nil)
	a.Abandon()
	c.front.backend.Forget(id)
}

// finish ends the answer to a request, of which p is the last chunk, and updates the
// session. If the session's floor changed, the new token is sent before the
// ReadyForQuery that ends the answer.
func (c *client) finish(a *answer.Answer, req call.Call, s scan.Scan, b batch, p []byte, errored bool) error {
	position, status, f := a.Outcome()
	if f != nil {
		return c.finishFault(req, f, p)
	}
	before := c.session
	keepSettings := before.Status == 'I' || !errored && before.Status != 'E' && !rolledBack(p)
	c.setSession(c.session.WithFloor(position).WithStatus(status, keepSettings))
	if req.FreshFloor {
		c.session = c.session.WithFloor(req.Floor)
	}
	if s.Setting != "" && !errored {
		c.setSession(c.session.WithSetting(s.Setting, b.statement(), s.Reset))
	}
	response := p
	if before.Floor != c.session.Floor {
		response = insertBeforeReady(p, c.tokenFrame())
	}
	if b.flush {
		response = withoutReady(response)
	}
	return c.write(response)
}

// finishFault ends an answer with a fault. A caller that reads too slowly is
// disconnected. If the request ran inside a transaction, the transaction is lost,
// unless the request was to end it.
func (c *client) finishFault(req call.Call, f *fault.Fault, p []byte) error {
	response := append(bytes.Clone(p), errorFrame(f, "ERROR")...)
	switch {
	case f.Code == code.SlowCaller:
		_ = c.write(response)
		return f
	case req.InTransaction && !req.Ends:
		c.session = c.session.WithTransactionLost()
	default:
		c.session = c.session.WithStatus('I', false)
	}
	return c.write(append(response, readyFrame(c.session.Status)...))
}

// readyLength is the length of a ReadyForQuery frame in bytes.
const readyLength = 6

// insertBeforeReady inserts a frame before the ReadyForQuery at the end of p. Without
// a ReadyForQuery it appends the frame.
func insertBeforeReady(p, inserted []byte) []byte {
	n := len(p) - readyLength
	if n < 0 || p[n] != 'Z' {
		return append(p, inserted...)
	}
	joined := make([]byte, 0, len(p)+len(inserted))
	joined = append(joined, p[:n]...)
	joined = append(joined, inserted...)
	return append(joined, p[n:]...)
}

// withoutReady returns p without a ReadyForQuery at its end.
func withoutReady(p []byte) []byte {
	if n := len(p) - readyLength; n >= 0 && p[n] == 'Z' {
		return p[:n]
	}
	return p
}

// hasError reports whether an answer contains an ErrorResponse.
func hasError(p []byte) bool {
	return hasFrame(p, func(kind byte, _ []byte) bool { return kind == 'E' })
}

// rolledBack reports whether an answer contains a command tag of ROLLBACK, which
// PostgreSQL also sends for the COMMIT of a failed transaction.
func rolledBack(p []byte) bool {
	return hasFrame(p, func(kind byte, f []byte) bool {
		return kind == 'C' && bytes.HasPrefix(frame.Body(f), []byte("ROLLBACK"))
	})
}

func hasFrame(p []byte, match func(kind byte, message []byte) bool) bool {
	for len(p) > 0 {
		kind, message, next, ok := frame.Split(p)
		if !ok {
			return false
		}
		if match(kind, message) {
			return true
		}
		p = next
	}
	return false
}

// statement returns the text of the simple Query or of the first Parse in a batch,
// or "" if there is neither.
func (b batch) statement() string {
	if b.isSimple {
		return b.query
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
