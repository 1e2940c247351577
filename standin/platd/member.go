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
	"github.com/pistachiotray/pistachiotray/standin/query"
)

// registerInterval is the time between two updates of the members'
// registrations.
const registerInterval = 50 * time.Millisecond

// maxLineBytes is the length of the longest line that a member reads: a statement of 1 MiB,
// with what a host adds to it.
const maxLineBytes = 1<<20 + 1<<10

// connection is an open connection to a member of a stand-in group.
type connection interface {
	Run(ctx context.Context, batch []stmt.Stmt) ([]reply.Reply, error)
	Report(ctx context.Context, s stmt.Stmt) (report.Report, error)
	Close()
}

// WithProxy returns an option for Serve that registers the members at other
// addresses. proxyFor receives the address on which a member listens and returns
// the address to register, such as that of a proxy.
func WithProxy(proxyFor func(address string) string) func(*Server) {
	return func(s *Server) { s.proxyFor = proxyFor }
}

// Serve listens on loopback for each member of a group until Close, and keeps the
// members' registrations up to date until the context ends.
func (s *Server) Serve(ctx context.Context, name string, g *qgroup.Group, options ...func(*Server)) error {
	for _, o := range options {
		o(s)
	}
	for _, t := range g.Targets() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, l)
		s.addresses[t.ID] = s.proxyFor(l.Addr().String())
		go s.accept(ctx, l, g, t)
	}
	s.mu.Lock()
	s.groups[name] = g
	s.mu.Unlock()
	go s.register(ctx, g)
	return nil
}

// register writes a member's registration when it changes, and deletes it when the
// member is down. It returns after the context has ended.
func (s *Server) register(ctx context.Context, g *qgroup.Group) {
	registered := map[string]target.Target{}
	era := s.currentEra()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		if e := s.currentEra(); e != era {
			// The restored store may lack registrations, or have deleted ones.
			registered, era = s.registeredTargets(), e
		}
		up := map[string]bool{}
		for _, t := range g.Targets() {
			up[t.ID] = true
			if before, ok := registered[t.ID]; ok && before == t {
				continue
			}
			registered[t.ID] = t
			state, role := "ready", "replica"
			if t.Leaving {
				state = "draining"
			}
			if t.Primary {
				role = "primary"
			}
			s.Put("servers", t.ID, map[string]any{
				"ServiceName": t.Group, "Address": s.addresses[t.ID], "Zone": t.Zone, "Version": "v1", "Slots": t.Slots,
				"MemberState": state, "DatabaseRole": role, "born": t.Started, "Sequence": sequence, "ColdRemainingMs": 0,
			})
		}
		for id := range registered {
			if !up[id] {
				delete(registered, id)
				s.Delete("servers", id)
			}
		}
		time.Sleep(registerInterval)
	}
}

// registeredTargets returns a zero Target for each member that has a registration.
func (s *Server) registeredTargets() map[string]target.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	registered := map[string]target.Target{}
	for id := range s.rows {
		if id[0] == "servers" {
			registered[id[1]] = target.Target{}
		}
	}
	return registered
}

// currentEra returns the store's era.
func (s *Server) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// accept serves the connections to one member until its listener is closed.
func (s *Server) accept(ctx context.Context, l net.Listener, g *qgroup.Group, t target.Target) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveMember(ctx, c, g, t)
	}
}

// serveMember serves one connection to a member until either side closes it.
func (s *Server) serveMember(ctx context.Context, c net.Conn, g *qgroup.Group, t target.Target) {
	defer func() { _ = c.Close() }()
	lineScanner := bufio.NewScanner(c)
	lineScanner.Buffer(nil, maxLineBytes)
	if !lineScanner.Scan() {
		return
	}
	fields := strings.Fields(lineScanner.Text())
	if len(fields) < 3 || fields[0] != "START" || fields[1] != t.Group || len(fields) > 3 && fields[3] != t.ID {
		_, _ = c.Write(lines.AppendError(nil, code.NotRunWrongTarget, t.ID))
		return
	}
	name := fields[2]
	s.recordConnection(name)
	conn, err := g.From(0).Connect(ctx, t)
	switch {
	case errors.Is(err, conns.ErrTargetFull):
		_, _ = c.Write(lines.AppendError(nil, code.TooManyCallers, t.ID))
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		// A silent member's listener still accepts connections. Such a connection
		// gets no answer and is closed at the next line from the host.
		lineScanner.Scan()
		return
	case err != nil:
		return
	}
	defer conn.Close()
	initial, err := conn.Report(ctx, stmt.New(stmt.ProxyID, stmt.Unknown, ""))
	if err != nil {
		return
	}
	if _, err := c.Write(lines.AppendReady(nil, reply.Idle, initial.Received)); err != nil {
		return
	}
	for lineScanner.Scan() {
		answer, ok := s.answerLine(ctx, conn, name, lineScanner.Text())
		if !ok {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// answerLine runs the statement in one line, which arrived on a connection with the given
// name, and returns the encoded answer. It returns false if the connection must be closed
// without an answer.
func (s *Server) answerLine(ctx context.Context, conn connection, name, line string) ([]byte, bool) {
	rest, ok := strings.CutPrefix(line, "QUERY ")
	id, text, _ := strings.Cut(rest, " ")
	if !ok {
		return nil, false
	}
	s.recordStatement(id, name)
	st := query.Parse(id, text)
	if st.Kind == stmt.Pause || st.Kind == stmt.Resume || st.Kind == stmt.Status || st.Kind == stmt.Demote {
		r, err := conn.Report(ctx, st)
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
	replies, err := conn.Run(ctx, []stmt.Stmt{st})
	if err != nil {
		return nil, false
	}
	return lines.AppendReply(nil, replies[0]), true
}
