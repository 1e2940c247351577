package front

import (
	"bytes"
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/scan"
)

// batch is what a caller sent up to a Sync or a simple Query.
type batch struct {
	frames   []byte
	simple   string
	isSimple bool
	flushed  bool
	leave    bool
	err      error
	// ready is closed once the batch's request can take COPY data, or never will.
	ready chan struct{}
}

// batchLimit is how long a batch may be, in bytes, as a multiple of the limit
// of one message.
const batchLimit = 4

// read cuts the caller's messages into batches until the caller leaves.
func (c *client) read() {
	defer close(c.batches)
	defer c.hangUp()
	b := newBatch()
	ready := b.ready
	for {
		kind, p, err := c.reader.Append(b.frames)
		if err != nil {
			c.push(batch{err: err})
			return
		}
		added := p[len(b.frames):]
		switch kind {
		case 'X':
			c.push(batch{leave: true})
			return
		case 'd', 'c', 'f':
			if !c.copyInput(kind, added, ready) {
				return
			}
			continue
		case 'Q':
			b.isSimple = true
			b.simple = string(bytes.TrimRight(frame.Body(added), "\x00"))
		case 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'F':
		default:
			c.push(batch{err: fault.New(code.BadMessage, "unexpected message type "+strconv.QuoteRune(rune(kind)))})
			return
		}
		b.frames = p
		b.flushed = kind == 'H'
		if len(b.frames) > c.front.limit*batchLimit {
			c.push(batch{err: fault.New(code.MessageTooLarge, "too much before a Sync")})
			return
		}
		if kind == 'Q' || kind == 'S' || kind == 'H' {
			ready = b.ready
			if !c.push(b) {
				return
			}
			b = newBatch()
		}
	}
}

func newBatch() batch {
	return batch{ready: make(chan struct{})}
}

// hangUp tells what waits for the caller that it left.
func (c *client) hangUp() {
	if a := c.copying.Load(); a != nil {
		a.Abandon()
	}
}

func (c *client) push(b batch) bool {
	select {
	case c.batches <- b:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// copyInput passes COPY data to the request that takes it; data that comes
// after its request ended is dropped, as PostgreSQL does.
// Callers may send data before they are told that it is welcome.
func (c *client) copyInput(kind byte, p []byte, ready chan struct{}) bool {
	select {
	case <-ready:
	case <-c.ctx.Done():
		return false
	}
	a := c.copying.Load()
	if a == nil {
		return true
	}
	return a.AddInput(context.WithoutCancel(c.ctx), bytes.Clone(p), kind != 'd') == nil
}

// look scans the texts of a batch and rewrites the names of its prepared
// statements. It returns the body for the slot and what it relies on.
func (c *client) look(b batch) (body []byte, prepare map[string][]byte, s scan.Scan, err error) {
	if b.isSimple && b.frames[0] == 'Q' {
		return b.frames, nil, scan.New(b.simple), nil
	}
	prepare = map[string][]byte{}
	rest := b.frames
	first := true
	for len(rest) > 0 {
		kind, p, next, ok := frame.Split(rest)
		if !ok {
			return nil, nil, s, fault.New(code.BadMessage, "a message is cut off")
		}
		rest = next
		rewritten, found, has, err := c.rewrite(kind, p, prepare)
		if err != nil {
			return nil, nil, s, err
		}
		body = append(body, rewritten...)
		if has && first {
			s, first = found, false
		} else if has {
			s = s.Merge(found)
		}
	}
	if b.isSimple {
		s = s.Merge(scan.New(b.simple))
	}
	return body, prepare, s, nil
}

// rewrite gives one message of the extended protocol its form for slots.
func (c *client) rewrite(kind byte, p []byte, prepare map[string][]byte) (out []byte, s scan.Scan, has bool, err error) {
	bad := fault.New(code.BadMessage, "a message can't be read")
	switch kind {
	case 'P':
		var m pgproto3.Parse
		if m.Decode(frame.Body(p)) != nil {
			return nil, s, false, bad
		}
		return c.parse(&m), scan.New(m.Query), true, nil
	case 'B':
		var m pgproto3.Bind
		if m.Decode(frame.Body(p)) != nil {
			return nil, s, false, bad
		}
		s, has = c.rely(&m.PreparedStatement, prepare)
		return encode(&m), s, has, nil
	case 'D':
		var m pgproto3.Describe
		if m.Decode(frame.Body(p)) != nil {
			return nil, s, false, bad
		}
		if m.ObjectType == 'S' {
			s, has = c.rely(&m.Name, prepare)
		}
		return encode(&m), s, has, nil
	case 'C':
		var m pgproto3.Close
		if m.Decode(frame.Body(p)) != nil {
			return nil, s, false, bad
		}
		if m.ObjectType == 'S' {
			c.session = c.session.WithoutPrepared(m.Name)
		}
		return p, s, false, nil
	case 'H':
		return nil, s, false, nil
	case 'F':
		return nil, s, false, fault.New(code.NotSupported, "function calls")
	}
	return p, s, false, nil
}

// parse notes a statement with the session. Named ones go by a name made from
// their text, so that sessions with the same statement share it in a slot.
func (c *client) parse(m *pgproto3.Parse) []byte {
	name := m.Name
	inSlot := ""
	if name != "" {
		inSlot = slotName(m)
	}
	m.Name = inSlot
	p := encode(m)
	c.session = c.session.WithPrepared(name, inSlot, p)
	return p
}

func slotName(m *pgproto3.Parse) string {
	d := xxhash.New()
	_, _ = d.WriteString(m.Query)
	for _, oid := range m.ParameterOIDs {
		_, _ = d.WriteString("\x00" + strconv.FormatUint(uint64(oid), 10))
	}
	return "pt_" + strconv.FormatUint(d.Sum64(), 16) + "_" + strconv.Itoa(len(m.Query))
}

// rely replaces a statement's name by its name in slots.
func (c *client) rely(name *string, prepare map[string][]byte) (scan.Scan, bool) {
	inSlot, p, ok := c.session.Prepared(*name)
	if !ok {
		return scan.Scan{}, false
	}
	*name = inSlot
	prepare[inSlot] = p
	var m pgproto3.Parse
	if m.Decode(frame.Body(p)) != nil {
		return scan.Scan{}, false
	}
	return scan.New(m.Query), true
}

func encode(m pgproto3.FrontendMessage) []byte {
	p, err := m.Encode(nil)
	if err != nil {
		return nil
	}
	return p
}
