package front

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/scan"
)

// batch is a sequence of messages that a caller sent, up to and including a Sync, a
// Flush or a simple Query. The last batch of a connection has no messages: it has
// terminate or err set.
type batch struct {
	frames []byte
	// drawn is the memory that was drawn for frames.
	drawn int
	// query is the text of a simple Query, if isSimple is set.
	query    string
	isSimple bool
	// flush means that the batch ends with a Flush.
	flush bool
	// terminate means that the caller sent Terminate.
	terminate bool
	// err is the reason why readLoop stopped reading.
	err error
	// copyReady is closed once the batch was submitted or refused. Only then can
	// copyInput decide whether to pass on or drop the COPY data that follows the
	// batch.
	copyReady chan struct{}
}

// batchLimitFactor bounds the length of a batch, as a multiple of the limit of
// one message.
const batchLimitFactor = 4

// readLoop splits the caller's messages into batches until the caller leaves or
// sends an invalid message.
func (c *client) readLoop() {
	defer close(c.batches)
	defer c.abandonCopy()
	b := newBatch()
	// Before the first batch, COPY data belongs to none and is dropped at once. It must not wait
	// for a batch that may never come, since the end of the connection would not be noticed.
	copyReady := make(chan struct{})
	close(copyReady)
	for {
		kind, frames, err := c.reader.Append(b.frames)
		if err != nil {
			c.enqueue(batch{err: err})
			return
		}
		message := frames[len(b.frames):]
		drawn := c.reader.Drawn()
		if drawn > 0 {
			c.setReadDeadline(time.Time{})
		}
		switch kind {
		case 'X':
			c.enqueue(batch{terminate: true})
			return
		case 'd', 'c', 'f':
			if !c.copyInput(kind, message, copyReady) {
				return
			}
			c.share.Return(drawn)
			continue
		case 'Q':
			b.isSimple = true
			b.query = string(bytes.TrimRight(frame.Body(message), "\x00"))
		case 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'F':
		default:
			c.enqueue(batch{err: fault.New(code.BadMessage, "unexpected message type "+strconv.QuoteRune(rune(kind)))})
			return
		}
		b.frames = frames
		b.drawn += drawn
		b.flush = kind == 'H'
		if len(b.frames) > c.front.messageLimit*batchLimitFactor {
			c.enqueue(batch{err: fault.New(code.MessageTooLarge, "too much before a Sync")})
			return
		}
		if kind == 'Q' || kind == 'S' || kind == 'H' {
			copyReady = b.copyReady
			if !c.enqueue(b) {
				return
			}
			b = newBatch()
		}
	}
}

func newBatch() batch {
	return batch{copyReady: make(chan struct{})}
}

// abandonCopy abandons the answer of the running request, if the request may have
// started a COPY. This wakes a slot that waits for the caller's data.
func (c *client) abandonCopy() {
	if a := c.copyAnswer.Load(); a != nil {
		a.Abandon()
	}
}

// enqueue queues a batch for run. It waits while another batch is queued. It returns
// false if the connection has ended.
func (c *client) enqueue(b batch) bool {
	select {
	case c.batches <- b:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// copyInput passes a COPY message of the caller to the running request. Callers may
// send COPY data before they receive CopyInResponse, so copyInput waits until the
// batch was submitted or refused. It drops data that arrives after the request
// ended, as PostgreSQL does. It returns false if the connection has ended.
func (c *client) copyInput(kind byte, p []byte, copyReady chan struct{}) bool {
	select {
	case <-copyReady:
	case <-c.ctx.Done():
		return false
	}
	a := c.copyAnswer.Load()
	if a == nil {
		return true
	}
	return a.AddInput(context.WithoutCancel(c.ctx), bytes.Clone(p), kind != 'd') == nil
}

// analyze scans the statements of a batch and replaces the caller's names of
// prepared statements with their names at the target. It returns the messages to
// send to the target, the Parse frames of the prepared statements that these
// messages use, by name at the target, and the merged scan of all statements.
func (c *client) analyze(b batch) (body []byte, prepared map[string][]byte, s scan.Scan, err error) {
	if b.isSimple && b.frames[0] == 'Q' {
		return b.frames, nil, scan.New(b.query), nil
	}
	prepared = map[string][]byte{}
	rest := b.frames
	first := true
	for len(rest) > 0 {
		kind, p, next, ok := frame.Split(rest)
		if !ok {
			return nil, nil, s, fault.New(code.BadMessage, "a message is cut off")
		}
		rest = next
		message, stmtScan, hasScan, err := c.rewrite(kind, p, prepared)
		if err != nil {
			return nil, nil, s, err
		}
		body = append(body, message...)
		if hasScan && first {
			s, first = stmtScan, false
		} else if hasScan {
			s = s.Merge(stmtScan)
		}
	}
	if b.isSimple {
		s = s.Merge(scan.New(b.query))
	}
	return body, prepared, s, nil
}

// rewrite returns a message of the extended protocol in the form that is sent to the
// target, and the scan of the statement that the message contains or names. The form
// is empty for a Flush, which is not sent. hasScan is false for a message without a
// known statement.
func (c *client) rewrite(kind byte, p []byte, prepared map[string][]byte) (message []byte, s scan.Scan, hasScan bool, err error) {
	errMalformed := fault.New(code.BadMessage, "a message can't be read")
	switch kind {
	case 'P':
		var m pgproto3.Parse
		if m.Decode(frame.Body(p)) != nil {
			return nil, s, false, errMalformed
		}
		query := m.Query
		p, err := c.registerStatement(&m)
		return p, scan.New(query), true, err
	case 'B':
		var m pgproto3.Bind
		if m.Decode(frame.Body(p)) != nil {
			return nil, s, false, errMalformed
		}
		s, hasScan = c.resolveStatement(&m.PreparedStatement, prepared)
		return encode(&m), s, hasScan, nil
	case 'D':
		var m pgproto3.Describe
		if m.Decode(frame.Body(p)) != nil {
			return nil, s, false, errMalformed
		}
		if m.ObjectType == 'S' {
			s, hasScan = c.resolveStatement(&m.Name, prepared)
		}
		return encode(&m), s, hasScan, nil
	case 'C':
		var m pgproto3.Close
		if m.Decode(frame.Body(p)) != nil {
			return nil, s, false, errMalformed
		}
		if m.ObjectType == 'S' {
			c.setSession(c.session.WithoutPrepared(m.Name))
		}
		return p, s, false, nil
	case 'H':
		return nil, s, false, nil
	case 'F':
		return nil, s, false, fault.New(code.NotSupported, "function calls")
	}
	return p, s, false, nil
}

// registerStatement adds a prepared statement to the session and returns the Parse
// frame to send to the target. At the target, a named statement has a name derived
// from its text and parameter types. Sessions that prepare the same statement can
// therefore share it in a slot. It returns a fault if the session keeps too many.
func (c *client) registerStatement(m *pgproto3.Parse) ([]byte, error) {
	name := m.Name
	targetName := ""
	if name != "" {
		targetName = sharedStatementName(m)
	}
	m.Name = targetName
	p := encode(m)
	return p, c.keep(c.session.WithPrepared(name, targetName, p))
}

// sharedStatementName returns a name derived from the statement's text and
// parameter types. The hash must be cryptographic: a caller who finds two texts with
// one hash could have a statement of its choice run in place of another session's.
func sharedStatementName(m *pgproto3.Parse) string {
	h := sha256.New()
	_, _ = io.WriteString(h, m.Query)
	for _, oid := range m.ParameterOIDs {
		_, _ = io.WriteString(h, "\x00"+strconv.FormatUint(uint64(oid), 10))
	}
	return "pt_" + base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// resolveStatement replaces the caller's name of a prepared statement with the
// statement's name at the target, adds its Parse frame to prepared, and returns the
// scan of its text. It reports false if the session has no such statement or the
// Parse frame can't be decoded.
func (c *client) resolveStatement(name *string, prepared map[string][]byte) (scan.Scan, bool) {
	targetName, p, ok := c.session.Prepared(*name)
	if !ok {
		return scan.Scan{}, false
	}
	*name = targetName
	prepared[targetName] = p
	var m pgproto3.Parse
	if m.Decode(frame.Body(p)) != nil {
		return scan.Scan{}, false
	}
	return scan.New(m.Query), true
}

// encode returns an encoded message, or nil if the message can't be encoded.
func encode(m pgproto3.FrontendMessage) []byte {
	p, err := m.Encode(nil)
	if err != nil {
		return nil
	}
	return p
}
