package slot

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/connection/pipe"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// smallBody is the length in bytes up to which a body is written before any
// answer is read; a longer one is written beside the reading.
const smallBody = 16 << 10

// trusted is how long after its last use a slot is taken to be alive: what is
// written to a dead one counts as sent, and may have run.
const trusted = 500 * time.Millisecond

// sink takes an answer as it is read.
type sink interface {
	// Append adds a part. It returns true where the slot has to pause.
	Append(p []byte) bool
	// Pause waits until the part read so far has been released.
	Pause(ctx context.Context) error
	// Flush releases the part read so far at once.
	Flush()
	// Input waits for the caller's COPY data and tells whether it is the last.
	Input(ctx context.Context) ([]byte, bool, error)
}

// run is the state of one call in the slot.
type run struct {
	slot     *Slot
	call     call.Call
	sink     sink
	script   *pipe.Pipeline
	out      []byte
	wrapped  bool
	status   byte
	row      [][]byte
	conflict bool
	noTable  bool
	refused  bool
	commitNo []byte
	part     []byte
	got      bool
	kept     []byte
}

// Run sends a call and passes its answer to the sink. Every failure is told
// apart in the result: nothing sent, or sent and not fully answered.
func (s *Slot) Run(ctx context.Context, c call.Call, out sink) result.Result {
	if time.Since(s.used) > trusted && !s.Alive() {
		s.failed = true
		return result.Result{Failure: result.Unsent}
	}
	s.occupy(c.ID)
	defer func() {
		s.occupy("")
		s.used = time.Now()
	}()
	if c.Key != "" && c.Begins && !s.marked {
		s.marked = s.createMarker()
	}
	r := s.attempt(ctx, c, out)
	if r.noTable && s.createMarker() {
		r = s.attempt(ctx, c, out)
	}
	return r.finish(ctx)
}

func (s *Slot) attempt(ctx context.Context, c call.Call, out sink) *run {
	r := &run{slot: s, call: c, sink: out, script: pipe.New()}
	r.build()
	r.exchange(ctx)
	if r.wrapped && !s.failed {
		r.endWrapped(ctx)
	}
	return r
}

// keptAnswer is the longest answer, in bytes, that is kept with a key.
const keptAnswer = 4 << 10

// endWrapped ends the transaction that was put around a request with a key:
// the answer is kept with the key, and both are committed with the request.
func (r *run) endWrapped(ctx context.Context) {
	r.out = nil
	switch {
	case r.status != result.Open || r.refused || r.conflict || r.noTable:
		r.query("ROLLBACK", pipe.Commit)
	default:
		if len(r.kept) <= keptAnswer {
			r.query(r.slot.adapter.StoreAnswerSQL(r.call.Key, hex.EncodeToString(r.kept)), pipe.Commit)
		}
		r.query("COMMIT", pipe.Commit)
	}
	r.position()
	r.exchange(ctx)
}

func (r *run) build() {
	s := r.slot
	if !r.call.InTransaction {
		r.ready()
	}
	r.wrapped = r.call.Key != "" && !r.call.InTransaction && !r.call.Begins
	if r.wrapped {
		r.query("BEGIN", pipe.Prepare)
		r.query(s.adapter.InsertMarkerSQL(r.call.Key, s.now().Unix()), pipe.Marker)
	}
	r.body()
	if r.call.Key != "" && r.call.Begins && !r.call.InTransaction {
		r.query(s.adapter.InsertMarkerSQL(r.call.Key, s.now().Unix()), pipe.Marker)
	}
	if !r.call.Copy && !r.wrapped {
		r.position()
	}
	s.dirty = s.dirty || r.call.Dirty
	if r.call.ChangesSettings {
		s.known = false
	}
}

// ready brings the slot's settings and mode to what the call needs.
func (r *run) ready() {
	s := r.slot
	if s.dirty || len(s.prepared) > preparedLimit {
		r.query("DISCARD ALL", pipe.Prepare)
		r.message(&pgproto3.Parse{Name: positionName, Query: s.adapter.PositionSQL()}, 'P', pipe.Prepare)
		r.message(&pgproto3.Sync{}, 'S', pipe.Prepare)
		s.dirty = false
		s.known = true
		s.settings = nil
		s.readOnly = false
		clear(s.prepared)
	}
	if !s.sameSettings(r.call.Settings) {
		r.applySettings()
	}
	if r.call.Class.Read != s.readOnly {
		r.setMode()
	}
}

func (r *run) applySettings() {
	s := r.slot
	r.query("RESET ALL", pipe.Prepare)
	s.readOnly = false
	for _, statement := range r.call.Settings {
		r.query(statement, pipe.Prepare)
	}
	s.settings = r.call.Settings
	s.known = true
}

func (r *run) setMode() {
	r.slot.readOnly = r.call.Class.Read
	mode := "off"
	if r.slot.readOnly {
		mode = "on"
	}
	r.query("SET default_transaction_read_only = "+mode, pipe.Prepare)
}

// body adds the caller's messages. Statements that the slot holds already are
// not sent again.
func (r *run) body() {
	prepared := map[string]bool{}
	rest := r.call.Body
	for len(rest) > 0 {
		kind, p, next, ok := frame.Split(rest)
		if !ok {
			return
		}
		rest = next
		r.add(kind, p, prepared)
	}
}

func (r *run) add(kind byte, p []byte, prepared map[string]bool) {
	switch kind {
	case 'P':
		r.parse(p, prepared)
	case 'B':
		r.need(bindStatement(p), prepared)
		r.raw(kind, p, pipe.Caller)
	case 'D':
		if name, ok := describeStatement(p); ok {
			r.need(name, prepared)
		}
		r.raw(kind, p, pipe.Caller)
	case 'C':
		r.closing(p)
	case 'H':
		r.out = append(r.out, p...)
	default:
		r.raw(kind, p, pipe.Caller)
	}
}

func (r *run) parse(p []byte, prepared map[string]bool) {
	name := parseName(p)
	if name != "" && r.slot.prepared[name] {
		r.script.AddLocal(mustEncode(&pgproto3.ParseComplete{}))
		return
	}
	prepared[name] = true
	if name != "" {
		r.slot.prepared[name] = true
	}
	r.raw('P', p, pipe.Caller)
}

// need prepares a statement that the session has and the slot lacks.
func (r *run) need(name string, prepared map[string]bool) {
	if prepared[name] || (name != "" && r.slot.prepared[name]) {
		return
	}
	p, ok := r.call.Prepare[name]
	if !ok {
		return
	}
	prepared[name] = true
	if name != "" {
		r.slot.prepared[name] = true
	}
	r.raw('P', p, pipe.Prepare)
}

// closing answers the closing of a statement itself: the slot keeps it.
func (r *run) closing(p []byte) {
	if frame.Body(p)[0] == 'S' {
		r.script.AddLocal(mustEncode(&pgproto3.CloseComplete{}))
		return
	}
	r.raw('C', p, pipe.Caller)
}

// position asks for the member's report in the same pipeline. A portal ends
// with its transaction; where the caller's goes on, it is closed.
func (r *run) position() {
	r.raw('B', positionBind, pipe.Position)
	r.raw('E', positionExecute, pipe.Position)
	if r.call.InTransaction || r.call.Begins {
		r.raw('C', positionClose, pipe.Position)
	}
	r.raw('S', positionSync, pipe.Position)
}

// The messages that ask for a member's report.
var (
	positionBind    = mustEncode(&pgproto3.Bind{DestinationPortal: positionName, PreparedStatement: positionName})
	positionExecute = mustEncode(&pgproto3.Execute{Portal: positionName})
	positionClose   = mustEncode(&pgproto3.Close{ObjectType: 'P', Name: positionName})
	positionSync    = mustEncode(&pgproto3.Sync{})
)

func (r *run) query(text string, part int) {
	r.message(&pgproto3.Query{String: text}, 'Q', part)
}

func (r *run) message(m pgproto3.FrontendMessage, kind byte, part int) {
	r.raw(kind, mustEncode(m), part)
}

func (r *run) raw(kind byte, p []byte, part int) {
	r.out = append(r.out, p...)
	r.script.Expect(kind, part)
}
