package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/connection/front"
	"github.com/pistachiotray/pistachiotray/process/budget"
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/standin/twins"
	"github.com/pistachiotray/pistachiotray/version/policy"
)

// backend answers every request at once with a ReadyForQuery alone.
type backend struct{}

func (backend) Submit(c call.Call) *answer.Answer {
	a := answer.New()
	run := a.Begin()
	a.Append(run, []byte{'Z', 0, 0, 0, 5, 'I'})
	a.Finish(mark.New(1, uint64(len(c.Body))), 'I', false)
	return a
}
func (backend) Forget(string)                               {}
func (backend) Cancel(string)                               {}
func (backend) Leave(string, string)                        {}
func (backend) Detach(string, string)                       {}
func (backend) Attach(context.Context, string, string) bool { return false }
func (backend) Admit(string, float64) (time.Duration, bool) { return 0, true }
func (backend) Policy() *policy.Policy                      { return policy.New(0) }
func (backend) Has(group string) bool                       { return group != "missing" }

// encode returns encoded messages, one after another.
func encode(t testing.TB, messages ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var p []byte
	for _, m := range messages {
		var err error
		if p, err = m.Encode(p); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

// FuzzMessages sends arbitrary bytes as a caller. Afterwards the connection must end
// and no longer be counted.
func FuzzMessages(f *testing.F) {
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "clerk", "database": "d"}}
	f.Add(encode(f, startup, &pgproto3.Query{String: "SELECT 1"}, &pgproto3.Terminate{}))
	f.Add(encode(f, startup,
		&pgproto3.Parse{Name: "s", Query: "SELECT $1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Flush{},
		&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("1")}}, &pgproto3.Execute{}, &pgproto3.Sync{},
		&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{}))
	f.Add(encode(f, startup, &pgproto3.Query{String: "COPY t FROM STDIN"}, &pgproto3.CopyData{Data: []byte("1\n")}, &pgproto3.CopyDone{}))
	f.Add(encode(f, &pgproto3.SSLRequest{}, startup))
	f.Add(encode(f, &pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	b := backend{}
	f.Fuzz(func(t *testing.T, p []byte) {
		memory := budget.New(zap.NewNop(), 1<<20, budget.WithWait(time.Millisecond))
		server := front.New("h", zap.NewNop(), b, b, b, front.WithMessageLimit(1<<16), front.WithBudget(memory), front.WithSessionLimits(10, 1<<16))
		callerEnd, hostEnd := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			server.Handle(hostEnd)
		}()
		go func() { _, _ = io.Copy(io.Discard, callerEnd) }()
		_, _ = callerEnd.Write(p)
		_ = callerEnd.Close()
		<-done
		if open, _ := server.Callers(); open != 0 {
			t.Fatalf("%d callers remain", open)
		}
		if used(memory) != 0 {
			t.Fatalf("%d bytes were not returned", used(memory))
		}
	})
}

// used returns how much of a budget is drawn.
func used(b *budget.Budget) int64 {
	return reflect.ValueOf(b.Metrics()).FieldByName("Used").Int()
}

// Whatever a caller draws must be returned however its connection ends, also if the budget
// closes it.
func TestEndedCallersReturnTheirMemory(t *testing.T) {
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "clerk", "database": "d"}}
	long := strings.Repeat("x", 400<<10)
	for name, messages := range map[string][]pgproto3.FrontendMessage{
		"simple":           {startup, &pgproto3.Query{String: "SELECT '" + long + "'"}, &pgproto3.Terminate{}},
		"prepared":         {startup, &pgproto3.Parse{Name: "s", Query: long}, &pgproto3.Sync{}, &pgproto3.Parse{Name: "t", Query: long}, &pgproto3.Sync{}},
		"never executed":   {startup, &pgproto3.Parse{Name: "s", Query: long}, &pgproto3.Parse{Name: "s", Query: long}},
		"setting":          {startup, &pgproto3.Query{String: "SET a.b = '" + long + "'"}, &pgproto3.Query{String: "RESET ALL"}},
		"over the message": {startup, &pgproto3.Query{String: long + long + long}},
		"copy data":        {startup, &pgproto3.CopyData{Data: []byte(long)}, &pgproto3.Terminate{}},
	} {
		for _, cut := range []int{0, 1, 100 << 10} {
			t.Run(fmt.Sprintf("%s, without the last %d bytes", name, cut), func(t *testing.T) {
				memory := budget.New(zap.NewNop(), 3<<20, budget.WithWait(20*time.Millisecond))
				b := backend{}
				server := front.New("h", zap.NewNop(), b, b, b, front.WithMessageLimit(1<<20), front.WithBudget(memory))
				text := encode(t, messages...)
				var callers sync.WaitGroup
				for range 5 {
					callerEnd, hostEnd := net.Pipe()
					callers.Go(func() { server.Handle(hostEnd) })
					go func() { _, _ = io.Copy(io.Discard, callerEnd) }()
					callers.Go(func() {
						_, _ = callerEnd.Write(text[:len(text)-cut])
						_ = callerEnd.Close()
					})
				}
				callers.Wait()
				if used(memory) != 0 {
					t.Errorf("%d bytes were not returned", used(memory))
				}
			})
		}
	}
}

// slowBackend answers a request after delay, or with a ReadyForQuery when it is canceled.
type slowBackend struct {
	backend
	delay    time.Duration
	mu       sync.Mutex
	canceled map[string]func()
}

func (b *slowBackend) Submit(c call.Call) *answer.Answer {
	a := answer.New()
	run := a.Begin()
	var once sync.Once
	finish := func() {
		once.Do(func() {
			a.Append(run, []byte{'Z', 0, 0, 0, 5, 'I'})
			a.Finish(mark.New(1, 1), 'I', false)
		})
	}
	time.AfterFunc(b.delay, finish)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.canceled[c.ID] = finish
	return a
}

func (b *slowBackend) Cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.canceled[id]()
}

// Callers whose next request was always there before the answer to the last one were served until
// the process exited, and requests that took longer than the stop were cut off without an answer.
func TestStopEndsBusyCallers(t *testing.T) {
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "clerk", "database": "d"}}
	for name, c := range map[string]struct {
		delay    time.Duration
		requests int
	}{"requests sent ahead": {5 * time.Millisecond, 10_000}, "a long request": {time.Hour, 1}} {
		t.Run(name, func(t *testing.T) {
			const callers = 20
			b := &slowBackend{delay: c.delay, canceled: map[string]func(){}}
			server := front.New("h", zap.NewNop(), b, b, b)
			query := encode(t, &pgproto3.Query{String: "SELECT 1"})
			for range callers {
				callerEnd, hostEnd := net.Pipe()
				go server.Handle(hostEnd)
				go func() { _, _ = io.Copy(io.Discard, callerEnd) }()
				go func() {
					_, _ = callerEnd.Write(encode(t, startup))
					for range c.requests {
						if _, err := callerEnd.Write(query); err != nil {
							return
						}
					}
				}()
			}
			for {
				b.mu.Lock()
				begun := len(b.canceled)
				b.mu.Unlock()
				if begun >= callers {
					break
				}
				time.Sleep(time.Millisecond)
			}
			ctx, stop := context.WithTimeout(t.Context(), time.Second)
			defer stop()
			if n := server.Stop(ctx); n > 0 {
				t.Errorf("%d of %d callers remain", n, callers)
			}
		})
	}
}

// Prepared statements without end are refused, and the session goes on.
func TestPreparedStatementsOfASessionAreLimited(t *testing.T) {
	b := backend{}
	server := front.New("h", zap.NewNop(), b, b, b, front.WithSessionLimits(2, 1<<20))
	callerEnd, hostEnd := net.Pipe()
	go server.Handle(hostEnd)
	defer func() { _ = callerEnd.Close() }()
	caller := pgproto3.NewFrontend(callerEnd, callerEnd)
	// untilReady returns whether there was an error before the next ReadyForQuery.
	untilReady := func() (failed bool) {
		for {
			m, err := caller.Receive()
			if err != nil {
				t.Fatal(err)
			}
			switch m.(type) {
			case *pgproto3.ErrorResponse:
				failed = true
			case *pgproto3.ReadyForQuery:
				return failed
			}
		}
	}
	send := func(messages ...pgproto3.FrontendMessage) {
		text := encode(t, messages...)
		go func() { _, _ = callerEnd.Write(text) }()
	}
	send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "clerk", "database": "d"}})
	untilReady()
	for i, want := range []bool{false, false, true, true} {
		send(&pgproto3.Parse{Name: fmt.Sprint("s", i), Query: "SELECT 1"}, &pgproto3.Sync{})
		if got := untilReady(); got != want {
			t.Errorf("statement %d was refused: %v", i, got)
		}
	}
	send(&pgproto3.Close{ObjectType: 'S', Name: "s0"}, &pgproto3.Sync{})
	untilReady()
	send(&pgproto3.Parse{Name: "s9", Query: "SELECT 1"}, &pgproto3.Sync{})
	if untilReady() {
		t.Error("a statement was refused after another was closed")
	}
}

// callLog is a backend that records the calls.
type callLog struct {
	backend
	calls chan call.Call
}

func (l callLog) Submit(c call.Call) *answer.Answer {
	l.calls <- c
	return l.backend.Submit(c)
}

// Guards against names of prepared statements that two texts share at a target: an execution ran
// the statement of another session.
func TestStatementsOfOneHashHaveNamesOfTheirOwn(t *testing.T) {
	first, second := twins.XXHash64()
	l := callLog{calls: make(chan call.Call, 10)}
	server := front.New("h", zap.NewNop(), l, l, l)
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "clerk", "database": "d"}}
	names := map[string]string{}
	for _, query := range []string{first, second, first} {
		callerEnd, hostEnd := net.Pipe()
		go server.Handle(hostEnd)
		go func() { _, _ = io.Copy(io.Discard, callerEnd) }()
		_, _ = callerEnd.Write(encode(t, startup, &pgproto3.Parse{Name: "s", Query: query}, &pgproto3.Sync{}))
		c := <-l.calls
		_ = callerEnd.Close()
		var m pgproto3.Parse
		if _, p, _, ok := frame.Split(c.Body); !ok || m.Decode(frame.Body(p)) != nil || m.Query != query {
			t.Fatalf("the call is %q", c.Body)
		}
		if other, ok := names[m.Name]; ok && other != query {
			t.Errorf("two statements have the name %q", m.Name)
		}
		if len(m.Name) > 63 {
			t.Errorf("the name %q is longer than PostgreSQL's names", m.Name)
		}
		names[m.Name] = query
	}
	if len(names) != 2 {
		t.Errorf("two statements have %d names", len(names))
	}
}
