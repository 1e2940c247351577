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

// SQLSTATE values that decide what a failure means.
const (
	stateUnique  = "23505"
	stateNoTable = "42P01"
)

// exchange writes the pipeline and reads all that it is owed.
func (r *run) exchange(ctx context.Context) {
	if len(r.out) <= smallBody {
		if n, err := r.slot.conn.Write(r.out); err != nil {
			r.fail(n > 0)
			return
		}
	} else {
		go func() { _, _ = r.slot.conn.Write(r.out) }()
	}
	r.got = true
	for !r.script.Done() {
		kind, p, err := r.slot.reader.Append(r.part[:0])
		if err != nil {
			r.fail(true)
			return
		}
		r.part = p
		if !r.take(ctx, kind, p) {
			return
		}
	}
}

func (r *run) fail(sent bool) {
	r.slot.failed = true
	r.got = sent
}

// take handles one frame of the target; it returns false where the run ended.
func (r *run) take(ctx context.Context, kind byte, p []byte) bool {
	if kind == 'N' || kind == 'S' || kind == 'A' {
		return r.pass(ctx, p)
	}
	part, before := r.script.Next(kind)
	if len(before) > 0 && !r.pass(ctx, before) {
		return false
	}
	if kind == 'Z' && (part == pipe.Caller || part == pipe.Commit || part == pipe.Marker) {
		r.status = frame.Body(p)[0]
	}
	switch part {
	case pipe.Caller:
		return r.takeCaller(ctx, kind, p)
	case pipe.Prepare:
		if kind == 'E' {
			return r.pass(ctx, p)
		}
	case pipe.Marker:
		r.takeMarker(kind, p)
	case pipe.Commit:
		r.takeCommit(kind, p)
	case pipe.Position:
		r.takePosition(kind, p)
	}
	return true
}

func (r *run) takeCaller(ctx context.Context, kind byte, p []byte) bool {
	if r.conflict || r.noTable {
		return true
	}
	switch kind {
	case 'E':
		r.refused = true
	case 'Z':
		if r.call.Key != "" && !r.call.InTransaction {
			return true
		}
	case 'G':
		return r.pass(ctx, p) && r.copyIn(ctx)
	}
	if r.wrapped && len(r.kept) <= keptAnswer {
		r.kept = append(r.kept, p...)
	}
	return r.pass(ctx, p)
}

func (r *run) pass(ctx context.Context, p []byte) bool {
	if !r.sink.Append(p) {
		return true
	}
	if err := r.sink.Pause(ctx); err != nil {
		r.slot.failed = true
		return false
	}
	return true
}

// copyIn sends the caller's COPY data on to the target.
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

func (r *run) takeMarker(kind byte, p []byte) {
	if kind != 'E' {
		return
	}
	switch errorState(p) {
	case stateUnique:
		r.conflict = true
	case stateNoTable:
		r.noTable = true
	default:
		r.refused = true
		r.sink.Append(p)
	}
}

func (r *run) takeCommit(kind byte, p []byte) {
	switch kind {
	case 'E':
		r.refused = true
		r.commitNo = bytes.Clone(p)
	}
}

func (r *run) takePosition(kind byte, p []byte) {
	if kind != 'D' {
		return
	}
	var row pgproto3.DataRow
	if row.Decode(frame.Body(p)) != nil {
		return
	}
	r.row = make([][]byte, len(row.Values))
	for i, v := range row.Values {
		r.row[i] = bytes.Clone(v)
	}
}

// finish turns what was read into a result.
func (r *run) finish(ctx context.Context) result.Result {
	if r.slot.failed {
		return r.failure(ctx)
	}
	if r.noTable {
		return result.Result{Failure: result.Unsent}
	}
	if r.call.Key != "" && !r.call.InTransaction {
		r.closeAnswer()
	}
	out := r.report(result.Result{Status: r.status}).WithRefused(r.refused)
	if r.conflict {
		return r.conflicted(out)
	}
	return out
}

func (r *run) failure(ctx context.Context) result.Result {
	switch {
	case !r.got:
		return result.Result{Failure: result.Unsent}
	case ctx.Err() == nil && r.sinkLeft():
		return result.Result{Failure: result.Overflow}
	}
	return result.Result{Failure: result.Lost}
}

// sinkLeft tells whether the run ended because its caller left.
func (r *run) sinkLeft() bool {
	l, ok := r.sink.(interface{ Abandoned() bool })
	return ok && l.Abandoned()
}

// closeAnswer ends the answer of a run whose transaction the proxy ended.
func (r *run) closeAnswer() {
	if r.conflict || r.noTable {
		return
	}
	if r.commitNo != nil {
		r.sink.Append(r.commitNo)
	}
	r.sink.Append(mustEncode(&pgproto3.ReadyForQuery{TxStatus: r.status}))
}

func (r *run) report(out result.Result) result.Result {
	if r.row == nil {
		return out
	}
	rep, err := r.slot.adapter.Decode(r.slot.member, r.row)
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

// conflicted asks what kind of key stood in the way.
func (r *run) conflicted(out result.Result) result.Result {
	if r.status != result.Idle {
		if !r.slot.Rollback() {
			r.slot.failed = true
			return result.Result{Failure: result.Lost}
		}
		out.Status = result.Idle
	}
	return r.slot.find(r.call, out, r.sink)
}

// find looks a key up and adds to the result what it is and how far the
// member's log went then.
// An answer that was kept with the key is passed to the sink.
func (s *Slot) find(c call.Call, out result.Result, to sink) result.Result {
	r := &run{slot: s, call: c, script: pipe.New()}
	r.query(s.adapter.FindMarkerSQL(c.Key), pipe.Marker)
	r.position()
	if _, err := s.conn.Write(r.out); err != nil {
		s.failed = true
		return result.Result{Failure: result.Lost}
	}
	kind, answer := "", ""
	for !r.script.Done() {
		k, p, err := s.reader.Append(r.part[:0])
		if err != nil {
			s.failed = true
			return result.Result{Failure: result.Lost}
		}
		r.part = p
		part, _ := r.script.Next(k)
		if part == pipe.Marker && k == 'D' {
			kind, answer = column(p, 0), column(p, 1)
		}
		if part == pipe.Position {
			r.takePosition(k, p)
		}
	}
	restored := kind == "ran" && restore(c, answer, to)
	return r.report(out).WithConflict(kind != "").WithWithdrawn(kind == "withdrawn").WithRestored(restored)
}

// restore passes an answer that was kept with a key to the sink. That of a
// COMMIT needs none to be kept. It reports false where there is none.
func restore(c call.Call, answer string, to sink) bool {
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

// Settle withdraws a call's key unless it is in the marker table, and says
// which of the two it found.
// The answer of a request that ran goes to the sink where it is known.
func (s *Slot) Settle(c call.Call, to sink) result.Result {
	if !s.createMarker() || !s.simple("SET default_transaction_read_only = off") {
		return result.Result{Failure: result.Lost}
	}
	s.readOnly = false
	if !s.simple(s.adapter.WithdrawMarkerSQL(c.Key, s.now().Unix())) {
		return result.Result{Failure: result.Lost}
	}
	return s.find(c, result.Result{Status: result.Idle}, to)
}

func (s *Slot) createMarker() bool {
	return s.simple(s.adapter.CreateMarkerSQL())
}

// simple runs a statement and reports whether it ended without an error.
func (s *Slot) simple(text string) bool {
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

func column(p []byte, i int) string {
	var row pgproto3.DataRow
	if row.Decode(frame.Body(p)) != nil || len(row.Values) <= i {
		return ""
	}
	return string(row.Values[i])
}

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

// describeStatement returns the statement that a Describe frame names.
func describeStatement(p []byte) (string, bool) {
	body := frame.Body(p)
	if len(body) == 0 || body[0] != 'S' {
		return "", false
	}
	name, _, _ := bytes.Cut(body[1:], []byte{0})
	return string(name), true
}
