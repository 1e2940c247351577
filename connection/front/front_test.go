package front_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/front"
	"github.com/pistachiotray/pistachiotray/request/answer"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/mark"
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
		server := front.New("h", zap.NewNop(), b, b, b, front.WithMessageLimit(1<<16))
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
	})
}
