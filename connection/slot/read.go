package slot

import (
	"bytes"
	"context"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/connection/pipe"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/result"
)

// The SQLSTATEs that distinguish failures of statements on the marker table.
const (
	sqlStateUniqueViolation = "23505"
	sqlStateUndefinedTable  = "42P01"
)

// exchange writes the pipeline and reads all the answers to it. A long pipeline
// is written by a goroutine of its own, since the target may stop reading until
// its answers are read.
func (r *run) exchange(ctx context.Context) {
	if len(r.out) <= inlineWriteBytes {
		if n, err := r.slot.conn.Write(r.out); err != nil {
			r.fail(n > 0)
			return
		}
	} else {
		go func() { _, _ = r.slot.conn.Write(r.out) }()
	}
	r.sent = true
	for !r.pipeline.Done() {
		kind, p, err := r.slot.reader.Append(r.buf[:0])
		if err != nil {
			r.fail(true)
			return
		}
		r.buf = p
		if !r.handleFrame(ctx, kind, p) {
			return
		}
	}
}

// fail marks the slot as broken. sent means that something may have reached the
// target.
func (r *run) fail(sent bool) {
	r.slot.failed = true
	r.sent = sent
}

// handleFrame handles one frame of the target. It returns false if the run has
// ended.
func (r *run) handleFrame(ctx context.Context, kind byte, p []byte) bool {
	if kind == 'N' || kind == 'S' || kind == 'A' {
		return r.forward(ctx, p)
	}
	origin, local := r.pipeline.Next(kind)
	if len(local) > 0 && !r.forward(ctx, local) {
		return false
	}
	if kind == 'Z' && (origin == pipe.Caller || origin == pipe.Commit || origin == pipe.Marker) {
		r.status = frame.Body(p)[0]
	}
	switch origin {
	case pipe.Caller:
		return r.handleCaller(ctx, kind, p)
	case pipe.Prepare:
		if kind == 'E' {
			return r.forward(ctx, p)
		}
	case pipe.Marker:
		r.handleMarker(kind, p)
	case pipe.Commit:
		r.handleCommit(kind, p)
	case pipe.Position:
		r.handlePosition(kind, p)
	}
	return true
}

// handleCaller forwards a frame of the answer to the caller's own messages. The
// ReadyForQuery of a request with a key is withheld until its transaction was
// committed.
func (r *run) handleCaller(ctx context.Context, kind byte, p []byte) bool {
	if r.keyConflict || r.noMarkerTable {
		return true
	}
	switch kind {
	case 'E':
		r.errored = true
	case 'Z':
		if r.call.Key != "" && !r.call.InTransaction {
			return true
		}
	case 'G':
		return r.forward(ctx, p) && r.copyIn(ctx)
	}
	if r.wrapped && len(r.answer) <= maxStoredAnswerBytes {
		r.answer = append(r.answer, p...)
	}
	return r.forward(ctx, p)
}

// forward appends a frame to the sink and waits while the sink is full. It
// returns false if that wait fails, for example because the caller left. The rest
// of the answer is then not read, so that the slot can't be used any more.
func (r *run) forward(ctx context.Context, p []byte) bool {
	if !r.sink.Append(p) {
		return true
	}
	if err := r.sink.Pause(ctx); err != nil {
		r.slot.failed = true
		return false
	}
	return true
}

// copyIn sends the caller's COPY data to the target until the data ends.
func (r *run) copyIn(ctx context.Context) bool {
	r.sink.Flush()
	for {
		p, end, err := r.sink.Input(ctx)
		if err == nil {
			_, err = r.slot.conn.Write(p)
		}
		if err != nil {
			r.slot.failed = true
			return false
		}
		if end {
			return true
		}
	}
}

// handleMarker handles a frame of the answer to the insert of a key. An existing
// key and a missing marker table are noted and not forwarded as errors.
func (r *run) handleMarker(kind byte, p []byte) {
	if kind != 'E' {
		return
	}
	switch errorState(p) {
	case sqlStateUniqueViolation:
		r.keyConflict = true
	case sqlStateUndefinedTable:
		r.noMarkerTable = true
	default:
		r.errored = true
		r.sink.Append(p)
	}
}

func (r *run) handleCommit(kind byte, p []byte) {
	switch kind {
	case 'E':
		r.errored = true
		r.commitError = bytes.Clone(p)
	}
}

func (r *run) handlePosition(kind byte, p []byte) {
	if kind != 'D' {
		return
	}
	var row pgproto3.DataRow
	if row.Decode(frame.Body(p)) != nil {
		return
	}
	r.reportRow = make([][]byte, len(row.Values))
	for i, v := range row.Values {
		r.reportRow[i] = bytes.Clone(v)
	}
}

// result returns the outcome of the run.
func (r *run) result(ctx context.Context) result.Result {
	if r.slot.failed {
		return r.failure(ctx)
	}
	if r.noMarkerTable {
		return result.Result{Failure: result.Unsent}
	}
	if r.call.Key != "" && !r.call.InTransaction {
		r.finishAnswer()
	}
	out := r.withReport(result.Result{Status: r.status}).WithRefused(r.errored)
	if r.keyConflict {
		return r.resolveConflict(out)
	}
	return out
}

// failure returns the result of a run that broke the slot.
func (r *run) failure(ctx context.Context) result.Result {
	switch {
	case !r.sent:
		return result.Result{Failure: result.Unsent}
	case ctx.Err() == nil && r.callerLeft():
		return result.Result{Failure: result.Overflow}
	}
	return result.Result{Failure: result.Lost}
}

// callerLeft reports whether the run ended because its caller left.
func (r *run) callerLeft() bool {
	l, ok := r.sink.(interface{ Abandoned() bool })
	return ok && l.Abandoned()
}

// finishAnswer appends the end of the answer to a request whose transaction was
// ended by the proxy: the error of the commit, if any, and ReadyForQuery.
func (r *run) finishAnswer() {
	if r.keyConflict || r.noMarkerTable {
		return
	}
	if r.commitError != nil {
		r.sink.Append(r.commitError)
	}
	r.sink.Append(mustEncode(&pgproto3.ReadyForQuery{TxStatus: r.status}))
}

// withReport adds the member's report, if it was read, to a result. On a primary
// the mark is the end of its log, since the run may have written up to there.
func (r *run) withReport(out result.Result) result.Result {
	if r.reportRow == nil {
		return out
	}
	rep, err := r.slot.adapter.Decode(r.slot.member, r.reportRow)
	if err != nil {
		return out
	}
	out = out.WithMember(rep.Term, rep.Primary)
	out.Mark = rep.Applied
	if rep.Primary {
		out.Mark = rep.Received
	}
	return out
}

// resolveConflict handles a key that was in the marker table before: it rolls
// back and looks the key up.
func (r *run) resolveConflict(out result.Result) result.Result {
	if r.status != result.Idle {
		if !r.slot.Rollback() {
			r.slot.failed = true
			return result.Result{Failure: result.Lost}
		}
		out.Status = result.Idle
	}
	return r.slot.findMarker(r.call, out, r.sink)
}

// findMarker looks up a key in the marker table. It adds to the result whether
// the key belongs to a request that ran or was withdrawn, and the member's log
// position at that time. An answer that was stored with the key is passed to the
// sink.
func (s *Slot) findMarker(c call.Call, out result.Result, to sink) result.Result {
	r := &run{slot: s, call: c, pipeline: pipe.New()}
	r.appendQuery(s.adapter.FindMarkerSQL(c.Key), pipe.Marker)
	r.appendReport()
	if _, err := s.conn.Write(r.out); err != nil {
		s.failed = true
		return result.Result{Failure: result.Lost}
	}
	kind, answer := "", ""
	for !r.pipeline.Done() {
		k, p, err := s.reader.Append(r.buf[:0])
		if err != nil {
			s.failed = true
			return result.Result{Failure: result.Lost}
		}
		r.buf = p
		origin, _ := r.pipeline.Next(k)
		if origin == pipe.Marker && k == 'D' {
			kind, answer = column(p, 0), column(p, 1)
		}
		if origin == pipe.Position {
			r.handlePosition(k, p)
		}
	}
	restored := kind == "ran" && replayAnswer(c, answer, to)
	return r.withReport(out).WithConflict(kind != "").WithWithdrawn(kind == "withdrawn").WithRestored(restored)
}

// replayAnswer passes an answer that was stored with a key to the sink. The
// answer to a simple COMMIT is the same each time and is not stored. It reports
// false if there is no answer.
func replayAnswer(c call.Call, answer string, to sink) bool {
	p, err := hex.DecodeString(answer)
	switch {
	case c.InTransaction && len(c.Body) > 0 && c.Body[0] == 'Q':
		p = mustEncode(&pgproto3.CommandComplete{CommandTag: []byte("COMMIT")})
	case err != nil || len(p) == 0 || c.InTransaction:
		return false
	}
	to.Append(p)
	to.Append(mustEncode(&pgproto3.ReadyForQuery{TxStatus: result.Idle}))
	return true
}

// Settle finds out whether a call with a key ran. Unless the key is in the marker
// table, it is inserted as withdrawn, so that the call can never commit. The
// result reports whether the key's request ran or was withdrawn. If it ran and its
// answer was stored, the answer is passed to the sink.
func (s *Slot) Settle(c call.Call, to sink) result.Result {
	if !s.createMarkerTable() || !s.exec("SET default_transaction_read_only = off") {
		return result.Result{Failure: result.Lost}
	}
	s.readOnly = false
	if !s.exec(s.adapter.WithdrawMarkerSQL(c.Key, s.now().Unix())) {
		return result.Result{Failure: result.Lost}
	}
	return s.findMarker(c, result.Result{Status: result.Idle}, to)
}

func (s *Slot) createMarkerTable() bool {
	return s.exec(s.adapter.CreateMarkerSQL())
}

// exec runs a statement and reports whether it succeeded.
func (s *Slot) exec(text string) bool {
	if _, err := s.conn.Write(mustEncode(&pgproto3.Query{String: text})); err != nil {
		s.failed = true
		return false
	}
	ok := true
	var buffer []byte
	for {
		kind, p, err := s.reader.Append(buffer[:0])
		if err != nil {
			s.failed = true
			return false
		}
		buffer = p
		if kind == 'E' {
			ok = false
		}
		if kind == 'Z' {
			return ok
		}
	}
}

func errorState(p []byte) string {
	var e pgproto3.ErrorResponse
	if e.Decode(frame.Body(p)) != nil {
		return ""
	}
	return e.Code
}

// column returns a column of a DataRow frame, or "" if there is none.
func column(p []byte, i int) string {
	var row pgproto3.DataRow
	if row.Decode(frame.Body(p)) != nil || len(row.Values) <= i {
		return ""
	}
	return string(row.Values[i])
}

// parseName returns the name of the statement that a Parse frame creates.
func parseName(p []byte) string {
	name, _, _ := bytes.Cut(frame.Body(p), []byte{0})
	return string(name)
}

// bindStatement returns the name of the statement that a Bind frame uses.
func bindStatement(p []byte) string {
	_, rest, _ := bytes.Cut(frame.Body(p), []byte{0})
	name, _, _ := bytes.Cut(rest, []byte{0})
	return string(name)
}

// describeStatement returns the name of the statement that a Describe frame asks
// about. It reports false for a Describe of a portal.
func describeStatement(p []byte) (string, bool) {
	body := frame.Body(p)
	if len(body) == 0 || body[0] != 'S' {
		return "", false
	}
	name, _, _ := bytes.Cut(body[1:], []byte{0})
	return string(name), true
}
