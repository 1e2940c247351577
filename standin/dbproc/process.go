// Package dbproc implements a member of a database group as a process of its own. It speaks
// the platform's line protocol, replicates to the other members over TCP, and registers
// itself in the platform's store.
package dbproc

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/standin/ctlmsg"
	"github.com/pistachiotray/pistachiotray/standin/ledger"
)

// pollInterval is the time between two requests for the member's state.
const pollInterval = 10 * time.Millisecond

// Process holds the settings of a member's process.
type Process struct {
	Group, ID, Zone string
	Started         int64
	// Registered is the address in the member's registration. Listen is the address for
	// hosts, and Replication the one for other members.
	Registered, Listen, Replication string
	// Ledger is the address of the ledger, and Store that of the platform's store.
	Ledger, Store string
	// Peers holds the addresses at which the other members receive entries.
	Peers []string
	Slots int
	// Connect and Work are how long a new connection and a statement take a slot.
	Connect, Work time.Duration
	// Ship is the delay of replication, and Lag the time from the receipt of an entry
	// until reads see it.
	Ship, Lag time.Duration
	// Heartbeat is the time between two registrations.
	Heartbeat time.Duration
	// Drain is how long the member serves after the store has accepted that it is
	// draining.
	Drain time.Duration
	// AckLate makes a demoted leader, until another member is promoted, send the entries that it
	// has to replicas, and acknowledge commits that it accepted while it led.
	AckLate bool
	// AckAlone makes the leader acknowledge commits that no replica has received, to verify
	// that the loss is detected.
	AckAlone bool
}

// Run runs the member until it has drained after SIGTERM, or the ledger ends it.
func (p Process) Run() error {
	client, err := rpc.Dial("tcp", p.Ledger)
	if err != nil {
		return errors.Wrap(err, "connect to the ledger")
	}
	m := &member{Process: p, ledger: client, slots: make(chan struct{}, p.Slots), changed: make(chan struct{}), matched: make([]int, len(p.Peers))}
	m.call(ctlmsg.Message{Kind: ctlmsg.Start})
	wire, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for hosts")
	}
	replication, err := net.Listen("tcp", p.Replication)
	if err != nil {
		return errors.Wrap(err, "listen for members")
	}
	s := rpc.NewServer()
	if err := s.RegisterName("Member", receiver{m}); err != nil {
		return err
	}
	go s.Accept(replication)
	go m.accept(wire)
	for i := range p.Peers {
		go m.ship(i)
	}
	go func() {
		for range time.Tick(pollInterval) {
			m.mu.Lock()
			m.call(ctlmsg.Message{Kind: ctlmsg.State})
			m.mu.Unlock()
		}
	}()
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	m.register(terminated)
	return nil
}

// register keeps the registration up to date. It returns after the member has drained.
func (m *member) register(terminated <-chan os.Signal) {
	state := "ready"
	var drained <-chan time.Time
	for sequence := 1; ; sequence++ {
		m.mu.Lock()
		leads, changed := m.leads, m.roleChanged
		m.mu.Unlock()
		role := "replica"
		if leads {
			role = "primary"
		}
		accepted := m.post(map[string]any{
			"Id": m.ID, "ServiceName": m.Group, "Address": m.Registered, "Zone": m.Zone, "Version": "v1", "Slots": m.Slots,
			"MemberState": state, "DatabaseRole": role, "born": m.Started, "Sequence": sequence, "ColdRemainingMs": 0,
		})
		if accepted && state == "draining" && drained == nil {
			drained = time.After(m.Drain)
		}
		select {
		case <-terminated:
			state = "draining"
		case <-drained:
			m.post(map[string]any{"Id": m.ID, "Leave": true})
			return
		case <-changed:
		case <-time.After(m.Heartbeat):
		}
	}
}

// post sends a registration and reports whether the store accepted it.
func (m *member) post(value map[string]any) bool {
	encoded, err := json.Marshal(value)
	if err != nil {
		return false
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Store+"/register", bytes.NewReader(encoded))
	if err != nil {
		return false
	}
	r.Close = true
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// member is the state of the process.
type member struct {
	Process
	slots chan struct{}
	// mu guards the fields below. It is held during calls to the ledger.
	mu     sync.Mutex
	ledger *rpc.Client
	log    []string
	term   uint64
	leads  bool
	// ships means that the member sends its entries to the others and acknowledges commits.
	ships bool
	// pauseTerm is the term for which the member stopped receiving, or 0.
	pauseTerm uint64
	// applied is the number of entries that reads see, and values holds their values.
	applied int
	values  map[string]string
	// connections is the number of connections of hosts.
	connections int
	// matched holds how many entries each peer is known to have received in the term.
	matched []int
	// changed is closed and replaced when the fields above change, and roleChanged when
	// the member begins or ceases to lead.
	changed, roleChanged chan struct{}
}

// call sends a request to the ledger and adopts the state in the answer. It reports whether
// the request was carried out. The caller holds the lock. The process exits if the ledger
// does not know it any more.
func (m *member) call(request ctlmsg.Message) bool {
	request.Group, request.Member, request.Started = m.Group, m.ID, m.Started
	var answer ctlmsg.Message
	if err := m.ledger.Call(ledger.Service, request, &answer); err != nil {
		os.Exit(1)
	}
	switch request.Kind {
	case ctlmsg.Start:
		m.log = answer.Entries
		m.apply(len(m.log))
	case ctlmsg.Append, ctlmsg.Receive:
		if have := len(m.log) - request.From; answer.OK && have < len(request.Entries) {
			m.log = append(m.log, request.Entries[have:]...)
		}
	}
	if answer.Length < len(m.log) {
		m.log = m.log[:answer.Length:answer.Length]
		if m.applied > len(m.log) {
			m.applied, m.values = 0, nil
			m.apply(len(m.log))
		}
	}
	ships := answer.Leads || m.AckLate && answer.Demoted
	if answer.Term != m.term || answer.Leads != m.leads || ships != m.ships {
		m.ships = ships
		if answer.Term != m.term {
			m.pauseTerm = 0
			clear(m.matched)
		}
		if m.leads || answer.Leads {
			m.apply(len(m.log))
		}
		m.term = answer.Term
		if m.roleChanged == nil || m.leads != answer.Leads {
			m.leads = answer.Leads
			if m.roleChanged != nil {
				close(m.roleChanged)
			}
			m.roleChanged = make(chan struct{})
		}
		m.notify()
	}
	return answer.OK
}

// apply lets reads see the first n entries of the log; the caller holds the lock.
func (m *member) apply(n int) {
	if m.values == nil {
		m.values = map[string]string{}
	}
	for ; m.applied < min(n, len(m.log)); m.applied++ {
		for _, w := range writesOf(m.log[m.applied]) {
			m.values[w.item] = w.value
		}
	}
}

// notify wakes what waits for a change; the caller holds the lock.
func (m *member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
