package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxLineBytes is the longest line that a member reads.
const maxLineBytes = 2 << 20

// expected is a statement that a client sent, with what was acknowledged to the client then.
type expected struct {
	text   string
	values map[string]string
	// sent is when it was sent, and maxAge how old the data of a read may be then, negative if
	// that is not checked.
	sent   time.Time
	maxAge time.Duration
}

// commit is one commit of a group.
type commit struct {
	at     time.Time
	writes map[string]string
}

// group is a database group of one primary and two replicas, which have each commit at once.
type group struct {
	trial     *trial
	listeners []net.Listener
	// mu guards the fields below.
	mu sync.Mutex
	// commits are those of term 1, in order. The replicas have received all of them, and have
	// applied those that are older than lag.
	commits []commit
	lag     time.Duration
	// acked holds when a client learned of a commit, by its number.
	acked    map[int]time.Time
	expected map[string]expected
	// arrived holds the IDs of the statements that were passed on to members.
	arrived map[string]bool
	// broken are the violations that members have seen.
	broken []string
	// refuse returns the error with which a member fails a statement, empty to run it.
	refuse func(member int, kind string) string
	// rows and work are the rows of an item and the time that a statement about it takes.
	rows func(item string) (count int, row string)
	work func(item string) time.Duration
}

// newGroup starts the members and registers them.
func (t *trial) newGroup() (*group, error) {
	g := &group{trial: t, acked: map[int]time.Time{}, expected: map[string]expected{}, arrived: map[string]bool{}}
	g.refuse = func(int, string) string { return "" }
	g.rows = func(string) (int, string) { return 0, "" }
	g.work = func(string) time.Duration { return time.Millisecond }
	const slots = 5
	for i, zone := range []string{"brno-a", "praha-a", "ostrava-a"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		g.listeners = append(g.listeners, l)
		role := "replica"
		if i == 0 {
			role = "primary"
		}
		t.platform.Put("servers", g.id(i), map[string]any{
			"ServiceName": groupName, "Address": l.Addr().String(), "Zone": zone, "Version": "v1", "Slots": slots,
			"MemberState": "ready", "DatabaseRole": role, "born": time.Now().UnixMilli(), "Sequence": 1, "ColdRemainingMs": 0,
		})
		go g.accept(i, l)
	}
	return g, nil
}

func (g *group) id(member int) string { return fmt.Sprintf("i-%d", member) }

func (g *group) close() {
	for _, l := range g.listeners {
		_ = l.Close()
	}
}

// expect notes a statement that a client is about to send.
func (g *group) expect(id string, c *client, text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expected[id] = expected{text, maps.Clone(c.values), time.Now(), c.maxAge}
}

// hasArrived reports whether a statement was passed on to a member.
func (g *group) hasArrived(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arrived[id]
}

// noteArrival notes that a statement was passed on to a member.
func (g *group) noteArrival(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrived[id] = true
}

// violations returns what members have seen that breaks a rule.
func (g *group) violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken
}

func (g *group) accept(member int, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go g.serve(member, c)
	}
}

// memberSession is a connection to a member.
type memberSession struct {
	group            *group
	member           int
	name             string
	writer           *bufio.Writer
	values, prepared map[string]string
	// state is I, T or E. readOnly and writes belong to the open transaction.
	state    string
	readOnly bool
	writes   map[string]string
}

// serve serves a connection until it is closed, which rolls back.
func (g *group) serve(member int, c net.Conn) {
	defer func() { _ = c.Close() }()
	const bufferBytes = 64 << 10
	lines := bufio.NewScanner(c)
	lines.Buffer(nil, maxLineBytes)
	if !lines.Scan() {
		return
	}
	fields := strings.Fields(lines.Text())
	if len(fields) < 3 || fields[0] != "START" || fields[1] != groupName || len(fields) > 3 && fields[3] != g.id(member) {
		_, _ = fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", g.id(member))
		return
	}
	s := &memberSession{group: g, member: member, name: fields[2], writer: bufio.NewWriterSize(c, bufferBytes), values: map[string]string{}, prepared: map[string]string{}, state: "I"}
	s.ready()
	for s.writer.Flush() == nil && lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), "QUERY ")
		if !ok {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		s.answer(id, text)
	}
}

// ready writes the message that ends an answer.
func (s *memberSession) ready() {
	_, _ = fmt.Fprintf(s.writer, "READY %s 1.%d\r\n", s.state, s.group.applied(s.member))
}

// fail answers a statement with an error.
func (s *memberSession) fail(code string) {
	if s.state == "T" && code != "BUSY" {
		s.state = "E"
	}
	_, _ = fmt.Fprintf(s.writer, "ERROR %s i-%d\r\n", code, s.member)
}

// answer runs a statement and writes its answer.
func (s *memberSession) answer(id, text string) {
	defer s.ready()
	s.group.noteArrival(id)
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		var at string
		at, text, _ = strings.Cut(rest, " ")
		_, number, _ := strings.Cut(at, ".")
		if n, err := strconv.Atoi(number); err != nil || n > s.group.applied(s.member) {
			s.fail("LAGGING")
			return
		}
	}
	kind, rest, _ := strings.Cut(text, " ")
	if code := s.group.refuse(s.member, kind); code != "" {
		s.group.trial.add("member %d: %s %s is answered with %s", s.member, id, short(text), code)
		s.fail(code)
		return
	}
	name, arguments, _ := strings.Cut(rest, " ")
	signature := "-"
	switch kind {
	case "SET":
		s.values[name] = arguments
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]string{}
	case "PREPARE":
		_, s.prepared[name], _ = strings.Cut(arguments, " ")
	case "DEALLOCATE":
		delete(s.prepared, name)
	case "BEGIN":
		if s.member != 0 && rest != "READ" {
			s.fail("READONLY")
			return
		}
		s.state, s.readOnly, s.writes = "T", rest == "READ", map[string]string{}
	case "ROLLBACK":
		s.state = "I"
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		s.report()
	case "COMMIT":
		s.state = "I"
		s.group.store(s.writes)
		signature = "sig-" + id
	case "READ", "WRITE", "EXECUTE":
		if !s.run(id, kind, name, arguments) {
			return
		}
		signature = "sig-" + id
	default:
		s.fail("MALFORMED")
		return
	}
	if id != "-" {
		s.group.trial.add("member %d: ran %s %s for %s, values %v", s.member, id, short(text), s.name, s.values)
	}
	_, _ = fmt.Fprintf(s.writer, "COMPLETE %s\r\n", signature)
}

// report writes the row that a command returns.
func (s *memberSession) report() {
	role := "replica"
	if s.member == 0 {
		role = "primary"
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	_, _ = fmt.Fprintf(s.writer, "ROW %s 1 1.%d 0 0 0 1\r\n", role, len(s.group.commits))
}

// run runs a read or a write and checks it against what its client was told. It returns false
// if the statement failed.
func (s *memberSession) run(id, kind, name, arguments string) bool {
	g := s.group
	item, data, writes := name, arguments, kind == "WRITE"
	if kind == "EXECUTE" {
		if _, ok := s.prepared[name]; !ok {
			s.fail("NOSTMT")
			return false
		}
		item, data, _ = strings.Cut(arguments, " ")
		writes = data != ""
	}
	if writes && s.member != 0 {
		s.fail("READONLY")
		return false
	}
	time.Sleep(g.work(item))
	g.check(id, s.values)
	if writes && s.state == "T" {
		s.writes[item] = data
	} else if writes {
		g.store(map[string]string{item: data})
	} else if n, row := g.rows(item); n > 0 {
		for range n {
			_, _ = s.writer.WriteString("ROW " + row + "\r\n")
		}
	} else {
		_, _ = fmt.Fprintf(s.writer, "ROW %s\r\n", g.read(id, item, g.applied(s.member)))
	}
	return true
}

// store commits writes.
func (g *group) store(writes map[string]string) {
	if len(writes) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commits = append(g.commits, commit{time.Now(), maps.Clone(writes)})
}

// applied returns the number of the last commit that a member has applied.
func (g *group) applied(member int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(g.commits)
	for member != 0 && n > 0 && time.Since(g.commits[n-1].at) < g.lag {
		n--
	}
	return n
}

// read returns the value of an item after a number of commits. It notes a violation if these
// lack a commit that was acknowledged too long before the read was sent.
func (g *group) read(id, item string, applied int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.expected[id]
	for n := applied + 1; ok && n <= len(g.commits); n++ {
		if at, acked := g.acked[n]; acked && e.maxAge >= 0 && at.Before(e.sent.Add(-e.maxAge)) {
			g.violate("%s %q ran on a log that ends at 1.%d, 1.%d had been acknowledged %v before the read was sent", id, short(e.text), applied, n, e.sent.Sub(at))
			break
		}
	}
	for n := applied; n > 0; n-- {
		if v, ok := g.commits[n-1].writes[item]; ok {
			return v
		}
	}
	return ""
}

// noteAcked notes that a client has learned of the commit at a position.
func (g *group) noteAcked(position string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, number, _ := strings.Cut(position, ".")
	if n, err := strconv.Atoi(number); err == nil {
		g.acked[n] = time.Now()
	}
}

// violate notes a violation; the caller holds the lock.
func (g *group) violate(format string, values ...any) {
	violation := fmt.Sprintf(format, values...)
	g.broken = append(g.broken, violation)
	g.trial.add("VIOLATION: %s", violation)
}

// check notes a violation if a client's statement runs with other session values than were
// acknowledged to the client.
func (g *group) check(id string, values map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.expected[id]
	if !ok {
		return
	}
	if !maps.Equal(values, e.values) {
		g.violate("%s %q ran with the session values %v, acknowledged were %v", id, short(e.text), values, e.values)
	}
}
