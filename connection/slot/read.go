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

// exchange writes the pipeline and reads all answers to it. A pipeline of more than
// inlineWriteBytes is written by a separate goroutine, since the target may stop
// reading until its answers are read.
func (r *run) exchange(ctx context.Context) {
	if len(r.request) <= inlineWriteBytes {
		if n, err := r.slot.conn.Write(r.request); err != nil {
			r.fail(n > 0)
			return
		}
	} else {
		go func() { _, _ = r.slot.conn.Write(r.request) }()
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

// fail marks the slot as broken. sent means that part of the pipeline may have
// reached the target.
func (r *run) fail(sent bool) {
	r.slot.failed = true
	r.sent = sent
}

// handleFrame handles one frame of the target. It returns false if the slot broke,
// so that the run can't continue.
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
			return r.handleRefusal(ctx, p)
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

// handleRefusal handles the error with which the target refused a message of the proxy: what is set
// and prepared in the slot is not known any more. While the slot is prepared, only the first error
// is forwarded, from which others may follow.
func (r *run) handleRefusal(ctx context.Context, p []byte) bool {
	r.slot.dirty = true
	if r.preparing && r.refused {
		return true
	}
	r.refused = r.preparing
	return r.forward(ctx, p)
}

// handleCaller forwards a frame of the answer to the caller's own messages. For a
// request with a key outside of a transaction, it does not forward the
// ReadyForQuery: finishAnswer sends one at the end of the run. If the key exists
// already or the marker table is missing, it drops the frame.
func (r *run) handleCaller(ctx context.Context, kind byte, p []byte) bool {
	if r.keyConflict || r.noMarkerTable {
		return true
	}
	switch kind {
	case 'E':
		r.errored = true
		r.forgetParsed()
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

// forward appends a frame to the sink and waits while the sink is full. If the wait
// fails, for example because the caller left, forward returns false and marks the
// slot as broken, since the rest of the answer is not read.
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

// copyIn sends the caller's COPY data to the target until the data ends. If reading
// or sending the data fails, it marks the slot as broken and returns false.
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

// handleMarker handles a frame of the answer to the insert of a key. It records an
// existing key or a missing marker table, and forwards other errors to the caller.
func (r *run) handleMarker(kind byte, p []byte) {
	if kind != 'E' {
		return
	}
	switch sqlState(p) {
	case sqlStateUniqueViolation:
		r.keyConflict = true
	case sqlStateUndefinedTable:
		r.noMarkerTable = true
	default:
		r.errored = true
		r.forgetParsed()
		r.sink.Append(p)
	}
}

// handleCommit handles a frame of the answer to what endWrapped sends.
func (r *run) handleCommit(kind byte, p []byte) {
	switch kind {
	case 'E':
		r.errored = true
		r.commitError = bytes.Clone(p)
	}
}

// handlePosition stores the row of the member's report.
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
	answered := r.withReport(result.Result{Status: r.status}).WithTargetError(r.errored)
	if r.keyConflict {
		return r.resolveConflict(answered)
	}
	return answered
}

// failure returns the result of a run that broke the slot: Unsent if nothing was
// sent, Overflow if the caller abandoned the answer before the context ended, and
// otherwise Lost.
func (r *run) failure(ctx context.Context) result.Result {
	switch {
	case !r.sent:
		return result.Result{Failure: result.Unsent}
	case ctx.Err() == nil && r.callerLeft():
		return result.Result{Failure: result.Overflow}
	}
	return result.Result{Failure: result.Lost}
}

// callerLeft reports whether the caller has abandoned the answer. It returns false
// if the sink has no method Abandoned.
func (r *run) callerLeft() bool {
	l, ok := r.sink.(interface{ Abandoned() bool })
	return ok && l.Abandoned()
}

// finishAnswer appends the end of the answer to a request with a key: the error of
// the commit, if any, and ReadyForQuery. It appends nothing after a key conflict,
// since findMarker then supplies the answer.
func (r *run) finishAnswer() {
	if r.keyConflict || r.noMarkerTable {
		return
	}
	if r.commitError != nil {
		r.sink.Append(r.commitError)
	}
	r.sink.Append(mustEncode(&pgproto3.ReadyForQuery{TxStatus: r.status}))
}

// withReport adds the member's report, if it was read, to a result. For a primary,
// the log position in the result is the end of the primary's log, since the run may
// have written up to there.
func (r *run) withReport(res result.Result) result.Result {
	if r.reportRow == nil {
		return res
	}
	rep, err := r.slot.adapter.Decode(r.slot.member, r.reportRow)
	if err != nil {
		return res
	}
	res = res.WithMember(rep.Term, rep.Primary)
	res.Mark = rep.Applied
	if rep.Primary {
		res.Mark = rep.Received
	}
	return res
}

// resolveConflict handles a key that already was in the marker table: it rolls back
// the run's transaction and returns what findMarker finds.
func (r *run) resolveConflict(res result.Result) result.Result {
	if r.status != result.Idle {
		if !r.slot.Rollback() {
			r.slot.failed = true
			return result.Result{Failure: result.Lost}
		}
		res.Status = result.Idle
	}
	return r.slot.findMarker(r.call, res, r.sink)
}

// findMarker looks up the call's key in the marker table. It returns res with the
// member's report, and with whether the key exists and whether it is marked as
// withdrawn. An answer that was stored with the key is passed to the sink.
func (s *Slot) findMarker(c call.Call, res result.Result, to sink) result.Result {
	r := &run{slot: s, call: c, pipeline: pipe.New()}
	r.appendQuery(s.adapter.FindMarkerSQL(c.Key), pipe.Marker)
	r.appendReport()
	if _, err := s.conn.Write(r.request); err != nil {
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
	return r.withReport(res).WithConflict(kind != "").WithWithdrawn(kind == "withdrawn").WithRestored(restored)
}

// replayAnswer passes an answer that was stored with a key, in hexadecimal, to the
// sink. The answer to a COMMIT by a simple Query is not stored, since it is always
// the same. replayAnswer returns false if there is no answer to pass.
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

// ResolveOutcome determines the outcome of a call with a key. If the key is not in the marker
// table, it is inserted as withdrawn, so that the call can never commit. The result
// reports whether the call ran or was withdrawn. If the call ran and its answer was
// stored, the answer is passed to the sink.
func (s *Slot) ResolveOutcome(c call.Call, to sink) result.Result {
	if !s.createMarkerTable() || !s.exec("SET default_transaction_read_only = off") {
		return result.Result{Failure: result.Lost}
	}
	s.readOnly = false
	if !s.exec(s.adapter.WithdrawMarkerSQL(c.Key, s.now().Unix())) {
		return result.Result{Failure: result.Lost}
	}
	return s.findMarker(c, result.Result{Status: result.Idle}, to)
}

// createMarkerTable creates the marker table if it is missing. It reports whether
// the table exists now.
func (s *Slot) createMarkerTable() bool {
	return s.exec(s.adapter.CreateMarkerSQL())
}

// exec runs a statement, discards its rows and reports whether it succeeded.
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
