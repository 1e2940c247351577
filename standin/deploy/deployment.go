// Package deploy runs a platform, database groups and hosts in one process.
package deploy

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/process/host"
	"github.com/pistachiotray/pistachiotray/standin/infra"
	"github.com/pistachiotray/pistachiotray/standin/pgset"
	"github.com/pistachiotray/pistachiotray/standin/plat"
)

// loopback is where everything listens.
const loopback = "127.0.0.1"

// Deployment is a small deployment in this process. It is used by one goroutine.
type Deployment struct {
	log       *zap.Logger
	stage     *infra.Infrastructure
	hosts     []*host.Host
	settings  []conf.Settings
	slots     int
	delay     time.Duration
	adapt     func(i int, s conf.Settings) conf.Settings
	databases []string
	hostCount int
}

// WithDatabases returns an option that names the database groups.
func WithDatabases(names ...string) func(*Deployment) {
	return func(s *Deployment) { s.databases = names }
}

// WithHosts returns an option that sets the number of hosts.
func WithHosts(n int) func(*Deployment) {
	return func(s *Deployment) { s.hostCount = n }
}

// WithSlots returns an option that sets the slots of each member and how long
// one takes to open.
func WithSlots(n int, delay time.Duration) func(*Deployment) {
	return func(s *Deployment) { s.slots, s.delay = n, delay }
}

// WithSettings returns an option that changes the settings of host i.
func WithSettings(f func(i int, s conf.Settings) conf.Settings) func(*Deployment) {
	return func(s *Deployment) { s.adapt = f }
}

// WithLog returns an option that sets the hosts' log.
func WithLog(log *zap.Logger) func(*Deployment) {
	return func(s *Deployment) { s.log = log }
}

// New starts a deployment: by default three hosts before one group of three members
// with five slots each.
func New(ctx context.Context, options ...func(*Deployment)) (*Deployment, error) {
	s := &Deployment{
		log: zap.NewNop(), slots: 5,
		databases: []string{"fittings"}, hostCount: 3,
		adapt: func(_ int, s conf.Settings) conf.Settings { return s },
	}
	for _, o := range options {
		o(s)
	}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Deployment) start(ctx context.Context) error {
	var err error
	s.stage, err = infra.New(ctx, loopback+":0", s.databases, nil, s.slots, s.delay)
	if err != nil {
		return err
	}
	for i := range s.hostCount {
		if err := s.makeHost(i); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		h.Start(ctx)
	}
	return nil
}

// makeHost makes host i and lists it, before any host starts. Its addresses
// are kept for later starts.
func (s *Deployment) makeHost(i int) error {
	c := conf.Defaults()
	c.Host = fmt.Sprintf("host-%d", i)
	c.Zone = fmt.Sprintf("zone-%d", i%3)
	c.Platform = s.stage.URL()
	c.Listen, c.PeerListen, c.OperatorListen = loopback+":0", loopback+":0", loopback+":0"
	c = s.adapt(i, c)
	h, err := host.New(c, s.log.Named(c.Host))
	if err != nil {
		return err
	}
	c.Listen, c.PeerListen, c.OperatorListen = h.Addresses()
	s.settings = append(s.settings, c)
	s.hosts = append(s.hosts, h)
	scheme := "http://"
	if c.PeerTLSCertFile != "" {
		scheme = "https://"
	}
	s.stage.Platform().SetHost(c.Host, scheme+c.PeerListen, c.Zone, false)
	return nil
}

// Platform returns the platform's stand-in.
func (s *Deployment) Platform() *plat.Platform {
	return s.stage.Platform()
}

// PlatformURL returns where the platform is reached.
func (s *Deployment) PlatformURL() string {
	return s.stage.URL()
}

// Group returns a database group's stand-in.
func (s *Deployment) Group(name string) *pgset.ReplicaSet {
	return s.stage.Group(name)
}

// HostCount returns the number of hosts, stopped ones included.
func (s *Deployment) HostCount() int {
	return len(s.hosts)
}

// Host returns host i, or nil where it is stopped.
func (s *Deployment) Host(i int) *host.Host {
	return s.hosts[i]
}

// Settings returns the settings of host i.
func (s *Deployment) Settings(i int) conf.Settings {
	return s.settings[i]
}

// DSN returns the connection string of a database by way of host i.
func (s *Deployment) DSN(i int, database string) string {
	return fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", s.settings[i].Listen, database)
}

// Kill ends host i as a crash would.
func (s *Deployment) Kill(i int) {
	if h := s.hosts[i]; h != nil {
		s.hosts[i] = nil
		h.Kill()
	}
}

// Stop ends host i in order. It returns how much remained.
func (s *Deployment) Stop(ctx context.Context, i int) int {
	h := s.hosts[i]
	if h == nil {
		return 0
	}
	s.hosts[i] = nil
	n := h.Drain(ctx)
	h.Close()
	return n
}

// Restart starts host i again.
func (s *Deployment) Restart(ctx context.Context, i int) error {
	s.Kill(i)
	for j, other := range s.settings {
		if j != i {
			s.settings[i].Seeds = append(s.settings[i].Seeds, other.PeerListen)
		}
	}
	h, err := host.New(s.settings[i], s.log.Named(s.settings[i].Host))
	if err != nil {
		return err
	}
	s.hosts[i] = h
	h.Start(ctx)
	return nil
}

// Close ends everything.
func (s *Deployment) Close() {
	for i := range s.hosts {
		s.Kill(i)
	}
	if s.stage != nil {
		s.stage.Close()
	}
}
