package ledger_test

import (
	"io"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/standin/ctlmsg"
	"github.com/pistachiotray/pistachiotray/standin/ledger"
)

const promoteTime = 10 * time.Millisecond

// group starts a ledger with a group of three members, of which a leads. It returns a
// function that sends a request of a member.
func group(t *testing.T) (*ledger.Ledger, func(ctlmsg.Message) ctlmsg.Message) {
	t.Helper()
	is := is.New(t)
	l, err := ledger.New(promoteTime, io.Discard)
	is.NoErr(err)
	t.Cleanup(l.Close)
	client, err := rpc.Dial("tcp", l.Address())
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	for _, id := range []string{"a", "b", "c"} {
		l.Started("g", id, 1, "")
	}
	return l, func(m ctlmsg.Message) ctlmsg.Message {
		var answer ctlmsg.Message
		m.Group, m.Started = "g", 1
		is.NoErr(client.Call(ledger.Service, m, &answer))
		return answer
	}
}

// commit appends an entry that b receives, and acknowledges it.
func commit(is *is.I, send func(ctlmsg.Message) ctlmsg.Message) {
	entry := []string{"1.1 id\nitem 1"}
	is.True(send(ctlmsg.Message{Kind: ctlmsg.Append, Member: "a", Term: 1, Entries: entry}).OK)
	is.True(send(ctlmsg.Message{Kind: ctlmsg.Receive, Member: "b", Term: 1, Entries: entry}).OK)
	is.True(send(ctlmsg.Message{Kind: ctlmsg.Ack, Member: "a", Term: 1, Caller: "host-0"}).OK)
}

func TestPromotionWithoutAnAcknowledgedCommitIsReported(t *testing.T) {
	is := is.New(t)
	l, send := group(t)
	commit(is, send)
	answered, err := l.Order("g", "c", "host-1", 7)
	is.NoErr(err)
	is.True(answered)
	time.Sleep(5 * promoteTime)
	is.Equal(len(l.Lost()), 1)
	for _, part := range []string{"g: c", "host-1 token 7", "1.1 id", "by a to host-0", "b (up true)"} {
		is.True(strings.Contains(l.Lost()[0], part))
	}
	is.Equal(send(ctlmsg.Message{Kind: ctlmsg.State, Member: "b"}).Length, 0)
	is.True(!send(ctlmsg.Message{Kind: ctlmsg.Ack, Member: "a", Term: 1}).OK)
}

func TestPromotionWithAllAcknowledgedCommits(t *testing.T) {
	is := is.New(t)
	l, send := group(t)
	commit(is, send)
	_, err := l.Order("g", "b", "host-1", 7)
	is.NoErr(err)
	time.Sleep(5 * promoteTime)
	is.Equal(len(l.Lost()), 0)
	state := send(ctlmsg.Message{Kind: ctlmsg.State, Member: "b"})
	is.True(state.Leads)
	is.Equal(state.Term, uint64(2))
}

func TestOrdersAreRefused(t *testing.T) {
	is := is.New(t)
	l, _ := group(t)
	_, err := l.Order("g", "b", "host-1", 7)
	is.NoErr(err)
	_, err = l.Order("g", "c", "host-2", 6)
	is.True(err != nil) // a lower token
	l.Ended("g", "c")
	_, err = l.Order("g", "c", "host-2", 8)
	is.True(err != nil) // the member does not run
}

func TestDemotedLeaderLeadsAgainAfterARestart(t *testing.T) {
	for name, id := range map[string]string{"same ID": "a", "other ID": "d"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, send := group(t)
			commit(is, send)
			is.True(send(ctlmsg.Message{Kind: ctlmsg.Demote, Member: "a", Term: 2}).OK)
			is.True(!send(ctlmsg.Message{Kind: ctlmsg.Append, Member: "a", Term: 1, Entries: []string{"1.2 x"}}).OK)
			l.Ended("g", "a")
			l.Started("g", id, 1, "a")
			state := send(ctlmsg.Message{Kind: ctlmsg.State, Member: id})
			is.True(state.Leads)
			is.Equal(state.Length, 1)
		})
	}
}
