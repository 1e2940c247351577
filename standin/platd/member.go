package platd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/platform/lines"
	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/target"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
	"github.com/pistachiotray/pistachiotray/request/stmt"
	"github.com/pistachiotray/pistachiotray/standin/qgroup"
)

// registerEvery is the time between two looks at what the members register.
const registerEvery = 50 * time.Millisecond

// member is an open connection of a stand-in group.
type member interface {
	Run(ctx context.Context, batch []stmt.Stmt) ([]reply.Reply, error)
	Report(ctx context.Context, s stmt.Stmt) (report.Report, error)
	Close()
}

// WithProxy returns an option for Serve that has each member registered at
// another address, behind which it is reached.
func WithProxy(before func(address string) string) func(*Server) {
	return func(w *Server) { w.proxy = before }
}

// Serve serves a group's members on loopback and registers them until the
// context ends.
func (w *Server) Serve(ctx context.Context, name string, b *qgroup.Group, options ...func(*Server)) error {
	for _, o := range options {
		o(w)
	}
	for _, t := range b.Targets() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		w.listeners = append(w.listeners, l)
		w.addresses[t.ID] = w.proxy(l.Addr().String())
		go w.accept(ctx, l, b, t)
	}
	w.mu.Lock()
	w.bands[name] = b
	w.mu.Unlock()
	go w.register(ctx, b)
	return nil
}

// register keeps the members' registrations up to date.
func (w *Server) register(ctx context.Context, b *qgroup.Group) {
	known := map[string]target.Target{}
	for ctx.Err() == nil {
		up := map[string]bool{}
		for _, t := range b.Targets() {
			up[t.ID] = true
			if before, ok := known[t.ID]; ok && before == t {
				continue
			}
			known[t.ID] = t
			state, role := "ready", "replica"
			if t.Leaving {
				state = "draining"
			}
			if t.Primary {
				role = "primary"
			}
			w.Put("servers", t.ID, map[string]any{
				"ServiceName": t.Group, "Address": w.addresses[t.ID], "Zone": t.Zone, "Version": "v1", "Slots": t.Slots,
				"MemberState": state, "DatabaseRole": role, "born": t.Started, "Sequence": 1, "ColdRemainingMs": 0,
			})
		}
		for id := range known {
			if !up[id] {
				delete(known, id)
				w.Delete("servers", id)
			}
		}
		time.Sleep(registerEvery)
	}
}

func (w *Server) accept(ctx context.Context, l net.Listener, b *qgroup.Group, t target.Target) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(ctx, c, b, t)
	}
}

// serve answers one connection to a member.
func serve(ctx context.Context, c net.Conn, b *qgroup.Group, t target.Target) {
	defer func() { _ = c.Close() }()
	r := bufio.NewScanner(c)
	if !r.Scan() {
		return
	}
	f := strings.Fields(r.Text())
	if len(f) < 3 || f[0] != "START" || f[1] != t.Group || len(f) > 3 && f[3] != t.ID {
		_, _ = c.Write(lines.AppendError(nil, code.NotRunWrongTarget, t.ID))
		return
	}
	m, err := b.From(0).Connect(ctx, t)
	switch {
	case errors.Is(err, conns.ErrTargetFull):
		_, _ = c.Write(lines.AppendError(nil, code.TooManyCallers, t.ID))
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		// A dark member's machine still accepts connections here, and nothing
		// answers on them.
		r.Scan()
		return
	case err != nil:
		return
	}
	defer m.Close()
	at, err := m.Report(ctx, stmt.New(stmt.ProxyID, stmt.Unknown, ""))
	if err != nil {
		return
	}
	if _, err := c.Write(lines.AppendReady(nil, reply.Idle, at.Received)); err != nil {
		return
	}
	for r.Scan() {
		out, ok := answer(ctx, m, r.Text())
		if !ok {
			return
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// answer runs one line and returns the messages that answer it.
func answer(ctx context.Context, m member, line string) ([]byte, bool) {
	rest, ok := strings.CutPrefix(line, "QUERY ")
	id, text, _ := strings.Cut(rest, " ")
	if !ok {
		return nil, false
	}
	s := parse(id, text)
	if s.Kind == stmt.Pause || s.Kind == stmt.Resume || s.Kind == stmt.Status {
		r, err := m.Report(ctx, s)
		if err != nil {
			return nil, false
		}
		role := "replica"
		if r.Primary {
			role = "primary"
		}
		row := fmt.Sprintf("%s %d %d.%d %d 0 0 0", role, r.Term, r.Received.Term, r.Received.Position, r.Held)
		return lines.AppendReply(nil, reply.Reply{Rows: []string{row}, Signature: reply.NoSignature, Status: reply.Idle, Mark: r.Received}), true
	}
	replies, err := m.Run(ctx, []stmt.Stmt{s})
	if err != nil {
		return nil, false
	}
	return lines.AppendReply(nil, replies[0]), true
}

// parse decodes what a host sends to a member.
func parse(id, text string) stmt.Stmt {
	var s stmt.Stmt
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		at, rest, _ := strings.Cut(rest, " ")
		m, err := lines.ParseMark(at)
		if err != nil {
			return stmt.New(id, stmt.Unknown, text)
		}
		return parse(id, rest).WithAfter(m)
	}
	f := strings.SplitN(text, " ", 3)
	for len(f) < 3 {
		f = append(f, "")
	}
	kinds := map[string]int{
		"COMMIT": stmt.Commit, "ROLLBACK": stmt.Rollback, "READ": stmt.Read, "WRITE": stmt.Write, "SET": stmt.Set,
		"EXECUTE": stmt.Execute, "DEALLOCATE": stmt.Deallocate, "RESET": stmt.Reset, "RESUME": stmt.Resume, "STATUS": stmt.Status, "BEGIN": stmt.Begin,
	}
	s = stmt.New(id, kinds[f[0]], text).WithName(f[1], f[2])
	switch {
	case text == "BEGIN READ":
		s.Kind = stmt.BeginRead
	case f[0] == "PAUSE":
		s = stmt.New(id, stmt.Pause, text).WithName("", f[1])
	case f[0] == "PREPARE":
		kind, shape, _ := strings.Cut(f[2], " ")
		s = stmt.New(id, stmt.Prepare, text).WithName(f[1], shape).WithWrites(kind == "WRITE")
	case f[0] == "EXECUTE":
		s = s.WithWrites(strings.HasPrefix(f[1], "w-"))
	}
	return s
}
