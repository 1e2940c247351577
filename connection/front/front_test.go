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

// backend answers every request at once with an empty ReadyForQuery.
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

// FuzzMessages sends any bytes as a caller and expects the connection to end.
func FuzzMessages(f *testing.F) {
	hello := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "clerk", "database": "d"}}
	f.Add(encode(f, hello, &pgproto3.Query{String: "SELECT 1"}, &pgproto3.Terminate{}))
	f.Add(encode(f, hello,
		&pgproto3.Parse{Name: "s", Query: "SELECT $1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Flush{},
		&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("1")}}, &pgproto3.Execute{}, &pgproto3.Sync{},
		&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{}))
	f.Add(encode(f, hello, &pgproto3.Query{String: "COPY t FROM STDIN"}, &pgproto3.CopyData{Data: []byte("1\n")}, &pgproto3.CopyDone{}))
	f.Add(encode(f, &pgproto3.SSLRequest{}, hello))
	f.Add(encode(f, &pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	b := backend{}
	f.Fuzz(func(t *testing.T, p []byte) {
		host := front.New("h", zap.NewNop(), b, b, b, front.WithMessageLimit(1<<16))
		mine, theirs := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			host.Handle(theirs)
		}()
		go func() { _, _ = io.Copy(io.Discard, mine) }()
		_, _ = mine.Write(p)
		_ = mine.Close()
		<-done
		if open, _ := host.Callers(); open != 0 {
			t.Fatalf("%d callers remain", open)
		}
	})
}
