package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/dbproc"
	"github.com/pistachiotray/pistachiotray/standin/faulty"
)

// slot is the place of a member: an address that successive members have.
type slot struct {
	run         *cluster
	group       string
	index, zone int
	// storeProxy is the proxy between the member and the store, hostProxy the one through
	// which hosts reach it, and peerProxies those through which each member does.
	storeProxy, hostProxy *faulty.Proxy
	peerProxies           []*faulty.Proxy
	output                *bytes.Buffer
	// mu guards the fields below.
	mu      sync.Mutex
	id      string
	started int64
	process *exec.Cmd
	// ended is closed when the process has ended.
	ended    chan struct{}
	up       bool
	released bool
	// skew is how far the clock of the next process is ahead.
	skew time.Duration
	// hidden means that the next process does not reach the store.
	hidden bool
}

// start starts a process of the member with the log of the member before.
func (m *slot) start(id, before string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.run
	m.id, m.started = id, time.Now().Add(m.skew).UnixMilli()
	if m.hidden {
		m.storeProxy.SetMode(faulty.Silent)
	}
	p := dbproc.Process{
		Group: m.group, ID: id, Zone: fmt.Sprintf("zone-%d", m.zone), Started: m.started,
		Registered: c.address(hostNet, 1, m.index), Listen: c.address(directNet, 1, m.index), Replication: c.address(replicationNet, 1, m.index),
		Ledger: c.ledger.Address(), Store: m.storeProxy.Address(), Slots: c.size.slots, Connect: c.size.connect, Work: c.size.work,
		Ship: c.size.ship, Lag: c.size.lag, Heartbeat: heartbeat, Drain: 7 * time.Second, AckAlone: c.ackAlone, AckLate: c.ackLate,
	}
	first := m.index / groupSize * groupSize
	for peer := first; peer < first+groupSize; peer++ {
		if peer != m.index {
			p.Peers = append(p.Peers, c.address(peerNet, m.index-first+1, peer))
		}
	}
	settings, err := json.Marshal(p)
	if err != nil {
		c.t.Error(err)
	}
	c.ledger.Started(m.group, id, m.started, before)
	m.process = exec.Command(os.Args[0])
	m.process.Env = append(os.Environ(), memberVariable+"="+string(settings))
	m.process.Stdout, m.process.Stderr = m.output, m.output
	if err := m.process.Start(); err != nil {
		c.t.Error(err)
		return
	}
	m.up, m.ended = true, make(chan struct{})
	process, ended := m.process, m.ended
	go func() {
		_ = process.Wait()
		c.ledger.Ended(m.group, id)
		m.mu.Lock()
		released := m.released
		m.up, m.released = false, false
		m.mu.Unlock()
		m.setLinks(faulty.Refuse, nil)
		close(ended)
		if released && c.t.Context().Err() == nil {
			m.restart(false)
		}
	}()
	time.AfterFunc(100*time.Millisecond, m.openLinks)
}

// signal sends a signal to the member's process.
func (m *slot) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.up {
		_ = m.process.Process.Signal(sig)
	}
}

// release makes the process drain and end. A new member then starts at its address.
func (m *slot) release() {
	m.mu.Lock()
	m.released = m.up
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
}

// setNext sets the skew of the clock of the next process and whether it is hidden.
func (m *slot) setNext(skew time.Duration, hidden bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skew, m.hidden = skew, hidden
}

// currentID returns the ID of the member.
func (m *slot) currentID() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.id
}

// kill kills the process and waits until it has ended.
func (m *slot) kill() {
	m.mu.Lock()
	m.released = false
	m.mu.Unlock()
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

// restart starts a process with the log of the one before, under its ID or a new one, if
// that has ended.
func (m *slot) restart(sameID bool) {
	m.mu.Lock()
	before, up, ended := m.id, m.up, m.ended
	m.mu.Unlock()
	if up {
		return
	}
	<-ended
	switch {
	case sameID:
		m.start(before, before)
	default:
		m.start(m.run.newID(), before)
	}
}

// setLinks sets the mode of the links from the given hosts, or of all links but that to the
// store if hosts is nil.
func (m *slot) setLinks(mode int, hosts []int) {
	for _, i := range hosts {
		m.hostProxy.SetClientMode(m.run.hosts[i].name, mode)
	}
	if hosts == nil {
		m.hostProxy.SetMode(mode)
		m.setReplication(mode)
	}
}

// setReplication sets the mode of the links through which the member receives entries.
func (m *slot) setReplication(mode int) {
	for _, p := range m.peerProxies {
		p.SetMode(mode)
	}
}

// setSending sets the mode of the links through which the member sends entries.
func (m *slot) setSending(mode int) {
	first := m.index / groupSize * groupSize
	for _, o := range m.run.slots[first : first+groupSize] {
		if o != m {
			o.peerProxies[m.index-first].SetMode(mode)
		}
	}
}

// repair ends all faults of the member's process and links.
func (m *slot) repair() {
	m.signal(syscall.SIGCONT)
	m.openLinks()
	m.storeProxy.SetMode(faulty.Forward)
}

// openLinks ends the faults of the links to hosts and members. The links to a process that
// has ended are refused.
func (m *slot) openLinks() {
	mode := faulty.Refuse
	m.mu.Lock()
	if m.up {
		mode = faulty.Forward
	}
	m.mu.Unlock()
	m.hostProxy.ClearClientModes()
	m.setLinks(mode, nil)
	m.setSending(faulty.Forward)
}
