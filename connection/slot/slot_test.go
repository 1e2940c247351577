package slot_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/connection/slot"
	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/result"
	"github.com/pistachiotray/pistachiotray/standin/target"
	"github.com/pistachiotray/pistachiotray/version/class"
)

// rows collects the first column of the rows of an answer.
type rows struct{ values []string }

func (r *rows) Append(p []byte) bool {
	for len(p) > 0 {
		kind, f, rest, ok := frame.Split(p)
		if !ok {
			return false
		}
		var row pgproto3.DataRow
		if kind == 'D' && row.Decode(frame.Body(f)) == nil {
			r.values = append(r.values, string(row.Values[0]))
		}
		p = rest
	}
	return false
}
func (r *rows) Pause(context.Context) error                 { return nil }
func (r *rows) Flush()                                      {}
func (r *rows) Input(context.Context) ([]byte, bool, error) { return nil, true, nil }

// encode returns encoded messages, one after another.
func encode(messages ...pgproto3.FrontendMessage) []byte {
	var p []byte
	for _, m := range messages {
		p, _ = m.Encode(p)
	}
	return p
}

// Guards against names that two statements share in a slot, as hosts of an earlier version may
// choose them: an execution ran the statement of another session.
func TestStatementsThatShareANameRunAsPrepared(t *testing.T) {
	is := is.New(t)
	member, err := target.New("m", "127.0.0.1:0")
	is.NoErr(err)
	defer member.Kill()
	member.Join([]*target.Target{member})
	s, err := slot.New(t.Context(), "m", "postgres://clerk@"+member.Address()+"/d?sslmode=disable")
	is.NoErr(err)
	defer s.Close()
	const name = "pt_1_8"
	parse := func(query string) []byte { return encode(&pgproto3.Parse{Name: name, Query: query}) }
	execute := encode(&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{})
	for i, c := range []struct {
		query string
		body  []byte
		want  []string
	}{
		{"SELECT 1", append(parse("SELECT 1"), execute...), []string{"1"}},
		{"SELECT 2", execute, []string{"2"}},
		{"SELECT 2", append(parse("SELECT 2"), execute...), []string{"2"}},
		{"SELECT 1", append(parse("SELECT 1"), execute...), []string{"1"}},
		{"SELECT", append(parse("SELECT"), execute...), nil},
		{"SELECT 1", execute, []string{"1"}},
		{"SELECT 1", execute, []string{"1"}},
	} {
		got := &rows{}
		cl := call.New("c", "s", "g", class.Class{}).WithBody(c.body)
		cl.Prepare = map[string][]byte{name: parse(c.query)}
		r := s.Run(t.Context(), cl, got)
		t.Log(i, c.query, r)
		is.Equal(r.Failure, result.Result{}.Failure)
		is.Equal(got.values, c.want)
	}
}
