package slot

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/connection/pipe"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// inlineWriteBytes is the maximum length of a pipeline that is written before any
// answer is read. A longer pipeline is written while the answers are read.
const inlineWriteBytes = 16 << 10

// trustedIdle is how long after its last use a slot is assumed to be alive. After a
// longer time the connection is checked before a call is sent. A call that is
// written to a dead connection would count as sent, and have to be treated as one
// that may have run.
const trustedIdle = 500 * time.Millisecond

// sink receives the answer of a call while it is read from the target.
type sink interface {
	// Append adds data. It returns true if the slot has to call Pause before it reads
	// more.
	Append(p []byte) bool
	// Pause waits until the data added so far has been released to the caller.
	Pause(ctx context.Context) error
	// Flush releases the data added so far to the caller at once.
	Flush()
	// Input waits for COPY data of the caller, and reports whether it is the last.
	Input(ctx context.Context) ([]byte, bool, error)
}

// run is the state of one call in the slot.
type run struct {
	slot     *Slot
	call     call.Call
	sink     sink
	pipeline *pipe.Pipeline
	// request is the encoded pipeline to write to the target.
	request []byte
	// wrapped means that the proxy begins and commits a transaction around the
	// request, so that the request and its key are committed together.
	wrapped bool
	// status is the transaction status in the last ReadyForQuery that answered the
	// caller, a marker or a commit.
	status byte
	// reportRow is the row with the member's report, nil until it was read.
	reportRow [][]byte
	// keyConflict means that the key already was in the marker table.
	keyConflict bool
	// noMarkerTable means that the target has no marker table yet.
	noMarkerTable bool
	// errored means that the target answered with an error.
	errored bool
	// parsed holds the names of the statements that the run prepares.
	parsed []string
	// preparing is set while prepare runs, and refused means that the target refused one of its
	// messages.
	preparing, refused bool
	// commitError is the ErrorResponse to the commit of a wrapped request.
	commitError []byte
	// buf is the read buffer.
	buf []byte
	// sent means that something may have reached the target.
	sent bool
	// answer is the answer to a wrapped request, to be stored with its key.
	answer []byte
}

// Run sends a call and passes its answer to the sink. If Run fails, Result.Failure
// is Unsent if nothing of the call was sent, Overflow if the caller abandoned the
// answer, and Lost if the call was sent, in part or whole, and not fully answered.
func (s *Slot) Run(ctx context.Context, c call.Call, to sink) result.Result {
	if time.Since(s.lastUsed) > trustedIdle && !s.Alive() {
		s.failed = true
		return result.Result{Failure: result.Unsent}
	}
	s.setCurrent(c.ID)
	defer func() {
		s.setCurrent("")
		s.lastUsed = time.Now()
	}()
	if c.Key != "" && c.Begins && !s.markerTableExists {
		s.markerTableExists = s.createMarkerTable()
	}
	r := s.attempt(ctx, c, to)
	if r.noMarkerTable && s.createMarkerTable() {
		r = s.attempt(ctx, c, to)
	}
	return r.result(ctx)
}

// attempt runs a call once. If a request has a key and neither begins a transaction
// nor runs inside one, it is wrapped in a transaction, which ends after its answer.
func (s *Slot) attempt(ctx context.Context, c call.Call, to sink) *run {
	r := &run{slot: s, call: c, sink: to, pipeline: pipe.New()}
	if !c.InTransaction && !r.prepare(ctx) {
		return r
	}
	r.build()
	r.exchange(ctx)
	if r.wrapped && !s.failed {
		r.endWrapped(ctx)
	}
	return r
}

// prepare brings the slot to the settings and access mode of the call, before the call is sent:
// a target runs the call also if it refused a setting. If prepare fails, it returns false, and
// nothing of the call was sent. The error with which the target refused is then the answer.
func (r *run) prepare(ctx context.Context) bool {
	r.prepareSession()
	if len(r.request) == 0 {
		return true
	}
	r.preparing = true
	r.exchange(ctx)
	r.preparing = false
	r.request, r.sent = nil, false
	if r.refused && !r.slot.failed {
		r.errored, r.status = true, result.Idle
		if r.call.Key == "" {
			r.forward(ctx, mustEncode(&pgproto3.ReadyForQuery{TxStatus: r.status}))
		}
	}
	return !r.refused && !r.slot.failed
}

// maxStoredAnswerBytes is the length of the longest answer that is stored with a
// key.
const maxStoredAnswerBytes = 4 << 10

// endWrapped ends the transaction around a wrapped request. If the request
// succeeded, its answer is stored with the key, unless the answer is too long, and
// the transaction is committed. Otherwise it is rolled back.
func (r *run) endWrapped(ctx context.Context) {
	r.request = nil
	switch {
	case r.status != result.Open || r.errored || r.keyConflict || r.noMarkerTable:
		r.appendQuery("ROLLBACK", pipe.Commit)
	default:
		if len(r.answer) <= maxStoredAnswerBytes {
			r.appendQuery(r.slot.adapter.StoreAnswerSQL(r.call.Key, hex.EncodeToString(r.answer)), pipe.Commit)
		}
		r.appendQuery("COMMIT", pipe.Commit)
	}
	r.appendReport()
	r.exchange(ctx)
}

// build assembles the pipeline of the call. The marker of a key is inserted
// after BEGIN, in the same transaction as the request. The pipeline ends with the
// request for the member's report, with two exceptions: the data of a COPY has to
// follow its request at once, and endWrapped asks for the report after its commit.
func (r *run) build() {
	s := r.slot
	r.wrapped = r.call.Key != "" && !r.call.InTransaction && !r.call.Begins
	if r.wrapped {
		r.appendQuery("BEGIN", pipe.Prepare)
		r.appendQuery(s.adapter.InsertMarkerSQL(r.call.Key, s.now().Unix()), pipe.Marker)
	}
	r.appendBody()
	if r.call.Key != "" && r.call.Begins && !r.call.InTransaction {
		r.appendQuery(s.adapter.InsertMarkerSQL(r.call.Key, s.now().Unix()), pipe.Marker)
	}
	if !r.call.Copy && !r.wrapped {
		r.appendReport()
	}
	s.dirty = s.dirty || r.call.Dirty
	if r.call.ChangesSettings {
		s.settingsKnown = false
	}
}

// prepareSession adds the messages that set the settings and the access mode of the
// call. A slot that is dirty or has too many prepared statements is reset first.
func (r *run) prepareSession() {
	s := r.slot
	if s.dirty || len(s.prepared) > preparedLimit {
		r.appendQuery("DISCARD ALL", pipe.Prepare)
		r.appendEncoded(&pgproto3.Parse{Name: positionName, Query: s.adapter.PositionSQL()}, 'P', pipe.Prepare)
		r.appendEncoded(&pgproto3.Sync{}, 'S', pipe.Prepare)
		s.dirty = false
		s.settingsKnown = true
		s.settings = nil
		s.readOnly = false
		clear(s.prepared)
	}
	if !s.sameSettings(r.call.Settings) {
		r.applySettings()
	}
	if r.call.Class.Read != s.readOnly {
		r.applyMode()
	}
}

// applySettings replaces the slot's settings with those of the call.
func (r *run) applySettings() {
	s := r.slot
	r.appendQuery("RESET ALL", pipe.Prepare)
	s.readOnly = false
	for _, statement := range r.call.Settings {
		r.appendQuery(statement, pipe.Prepare)
	}
	s.settings = r.call.Settings
	s.settingsKnown = true
}

// applyMode sets the access mode of the slot to that of the call's class: read-only
// or read-write.
func (r *run) applyMode() {
	r.slot.readOnly = r.call.Class.Read
	mode := "off"
	if r.slot.readOnly {
		mode = "on"
	}
	r.appendQuery("SET default_transaction_read_only = "+mode, pipe.Prepare)
}

// appendBody adds the caller's messages. It omits the Parse of a statement that is
// already prepared in the slot.
func (r *run) appendBody() {
	prepared := map[string]bool{}
	rest := r.call.Body
	for len(rest) > 0 {
		kind, p, next, ok := frame.Split(rest)
		if !ok {
			return
		}
		rest = next
		r.appendMessage(kind, p, prepared)
	}
}

// appendMessage adds one message of the caller. prepared holds the names of the
// statements that the pipeline prepares.
func (r *run) appendMessage(kind byte, p []byte, prepared map[string]bool) {
	switch kind {
	case 'P':
		r.appendParse(p, prepared)
	case 'B':
		r.ensurePrepared(bindStatement(p), prepared)
		r.appendRaw(kind, p, pipe.Caller)
	case 'D':
		if name, ok := describeStatement(p); ok {
			r.ensurePrepared(name, prepared)
		}
		r.appendRaw(kind, p, pipe.Caller)
	case 'C':
		r.appendClose(p)
	case 'H':
		r.request = append(r.request, p...)
	default:
		r.appendRaw(kind, p, pipe.Caller)
	}
}

// appendParse adds a Parse, or the proxy's own ParseComplete if the statement is
// already prepared in the slot.
func (r *run) appendParse(p []byte, prepared map[string]bool) {
	name := parseName(p)
	if r.slot.hasPrepared(name, p) {
		r.pipeline.AddLocal(mustEncode(&pgproto3.ParseComplete{}))
		return
	}
	r.sendParse(name, p, pipe.Caller, prepared)
}

// ensurePrepared adds the Parse of a statement that is prepared in the session but
// not in the slot.
func (r *run) ensurePrepared(name string, prepared map[string]bool) {
	p, ok := r.call.Prepare[name]
	if prepared[name] || !ok || r.slot.hasPrepared(name, p) {
		return
	}
	r.sendParse(name, p, pipe.Prepare, prepared)
}

// sendParse adds a Parse. A host of an earlier version may give two statements the same name, so
// that another statement of that name is closed first.
func (r *run) sendParse(name string, p []byte, origin int, prepared map[string]bool) {
	prepared[name] = true
	if name != "" {
		if _, taken := r.slot.prepared[name]; taken {
			r.appendEncoded(&pgproto3.Close{ObjectType: 'S', Name: name}, 'C', pipe.Prepare)
		}
		r.slot.prepared[name] = sha256.Sum256(p)
		r.parsed = append(r.parsed, name)
	}
	r.appendRaw('P', p, origin)
}

// forgetParsed records that it is not known whether the statements of this run were prepared.
func (r *run) forgetParsed() {
	for _, name := range r.parsed {
		r.slot.prepared[name] = [sha256.Size]byte{}
	}
}

// appendClose adds a Close. The Close of a statement is not sent, but answered by
// the proxy, since the slot keeps the statement for other sessions.
func (r *run) appendClose(p []byte) {
	if frame.Body(p)[0] == 'S' {
		r.pipeline.AddLocal(mustEncode(&pgproto3.CloseComplete{}))
		return
	}
	r.appendRaw('C', p, pipe.Caller)
}

// appendReport adds the messages that ask for the member's report. The portal that
// they open ends with the transaction, so it is closed explicitly if the caller's
// transaction continues.
func (r *run) appendReport() {
	r.appendRaw('B', positionBind, pipe.Position)
	r.appendRaw('E', positionExecute, pipe.Position)
	if r.call.InTransaction || r.call.Begins {
		r.appendRaw('C', positionClose, pipe.Position)
	}
	r.appendRaw('S', positionSync, pipe.Position)
}

// The messages that ask for a member's report.
var (
	positionBind    = mustEncode(&pgproto3.Bind{DestinationPortal: positionName, PreparedStatement: positionName})
	positionExecute = mustEncode(&pgproto3.Execute{Portal: positionName})
	positionClose   = mustEncode(&pgproto3.Close{ObjectType: 'P', Name: positionName})
	positionSync    = mustEncode(&pgproto3.Sync{})
)

func (r *run) appendQuery(text string, origin int) {
	r.appendEncoded(&pgproto3.Query{String: text}, 'Q', origin)
}

func (r *run) appendEncoded(m pgproto3.FrontendMessage, kind byte, origin int) {
	r.appendRaw(kind, mustEncode(m), origin)
}

// appendRaw adds an encoded message and expects its answer. kind is the message's
// type.
func (r *run) appendRaw(kind byte, p []byte, origin int) {
	r.request = append(r.request, p...)
	r.pipeline.Expect(kind, origin)
}
