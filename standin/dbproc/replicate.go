package dbproc

import (
	"net"
	"net/rpc"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/standin/ctlmsg"
)

const (
	// dialTimeout bounds connecting to a peer, and shipTimeout the wait for its answer.
	dialTimeout = 400 * time.Millisecond
	shipTimeout = 3 * time.Second
	// retryPause is the pause after a peer did not receive.
	retryPause = 20 * time.Millisecond
	// idlePause is the longest pause between two requests to a peer.
	idlePause = 500 * time.Millisecond
)

var errNoAnswer = errors.New("the peer does not answer")

// ship sends the log to a peer whenever this member ships it.
func (m *member) ship(peer int) {
	for {
		m.mu.Lock()
		ships, changed := m.ships, m.changed
		m.mu.Unlock()
		if !ships {
			<-changed
			continue
		}
		connection, err := net.DialTimeout("tcp", m.Peers[peer], dialTimeout)
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		client := rpc.NewClient(connection)
		for err == nil {
			err = m.shipOnce(client, peer)
		}
		_ = client.Close()
		time.Sleep(retryPause)
	}
}

// shipOnce sends the entries that a peer lacks, or an empty request while that is not known.
// It waits for entries if the peer has all. It returns an error if the peer does not answer
// or this member does not ship.
func (m *member) shipOnce(client *rpc.Client, peer int) error {
	m.mu.Lock()
	request := ctlmsg.Message{Kind: ctlmsg.Ship, Term: m.term, From: m.matched[peer]}
	request.Entries = m.log[min(request.From, len(m.log)):]
	ships, changed := m.ships, m.changed
	m.mu.Unlock()
	if !ships {
		return errNoAnswer
	}
	if len(request.Entries) == 0 {
		select {
		case <-changed:
			return nil
		case <-time.After(idlePause):
		}
	}
	time.Sleep(m.Ship)
	var answer ctlmsg.Message
	call := client.Go("Member.Receive", request, &answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-time.After(shipTimeout):
		return errNoAnswer
	}
	if call.Error != nil {
		return call.Error
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != request.Term || answer.Term != request.Term {
		return errNoAnswer
	}
	m.matched[peer] = min(answer.Length, len(m.log))
	if !answer.OK {
		return errNoAnswer
	}
	m.notify()
	return nil
}

// receiver serves the leader.
type receiver struct{ member *member }

// Receive adds entries to the log, unless the member stopped receiving.
func (r receiver) Receive(request ctlmsg.Message, answer *ctlmsg.Message) error {
	m := r.member
	m.mu.Lock()
	defer m.mu.Unlock()
	m.call(ctlmsg.Message{Kind: ctlmsg.State})
	before := len(m.log)
	if !m.leads && m.pauseTerm <= request.Term {
		answer.OK = m.call(ctlmsg.Message{Kind: ctlmsg.Receive, Term: request.Term, From: request.From, Entries: request.Entries})
	}
	answer.Term, answer.Length = m.term, len(m.log)
	if n := len(m.log); n > before {
		time.AfterFunc(m.Lag, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.apply(n)
		})
	}
	return nil
}

// received reports whether a peer is known to have the entry with an index; the caller
// holds the lock.
func (m *member) received(index int) bool {
	return m.AckAlone || slices.ContainsFunc(m.matched, func(n int) bool { return n > index })
}
