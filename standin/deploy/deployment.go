// Package deploy runs hosts, and stand-ins of the platform and of database groups,
// in one process.
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

// loopback is the IP address that the platform, members and hosts listen on.
const loopback = "127.0.0.1"

// Deployment is a small deployment in this process. DSN and HostCount may be called
// by any goroutine at any time, all other methods by one goroutine at a time.
type Deployment struct {
	log            *zap.Logger
	infrastructure *infra.Infrastructure
	// hosts[i] is nil while host i is stopped.
	hosts []*host.Host
	// settings are the hosts' settings with the addresses that they listen on.
	settings []conf.Settings
	// slots and connectDelay are those of each member.
	slots          int
	connectDelay   time.Duration
	adjustSettings func(i int, s conf.Settings) conf.Settings
	databases      []string
	hostCount      int
}

// WithDatabases returns an option that sets the names of the databases. Each
// database has a group of its own.
func WithDatabases(names ...string) func(*Deployment) {
	return func(d *Deployment) { d.databases = names }
}

// WithHosts returns an option that sets the number of hosts.
func WithHosts(n int) func(*Deployment) {
	return func(d *Deployment) { d.hostCount = n }
}

// WithSlots returns an option that sets the number of slots of each member and
// how long one takes to open.
func WithSlots(n int, connectDelay time.Duration) func(*Deployment) {
	return func(d *Deployment) { d.slots, d.connectDelay = n, connectDelay }
}

// WithSettings returns an option that sets a function which adjusts the settings
// of host i before the host is created.
func WithSettings(f func(i int, s conf.Settings) conf.Settings) func(*Deployment) {
	return func(d *Deployment) { d.adjustSettings = f }
}

// WithLog returns an option that sets the log. Each host logs to a child of it that
// has the host's name.
func WithLog(log *zap.Logger) func(*Deployment) {
	return func(d *Deployment) { d.log = log }
}

// New starts a deployment. By default it has three hosts and the database
// "fittings", whose group has three members with five slots each. ctx bounds the
// start.
func New(ctx context.Context, options ...func(*Deployment)) (*Deployment, error) {
	d := &Deployment{
		log: zap.NewNop(), slots: 5,
		databases: []string{"fittings"}, hostCount: 3,
		adjustSettings: func(_ int, s conf.Settings) conf.Settings { return s },
	}
	for _, o := range options {
		o(d)
	}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	d.infrastructure, err = infra.New(ctx, loopback+":0", d.databases, nil, d.slots, d.connectDelay)
	if err != nil {
		return err
	}
	for i := range d.hostCount {
		if err := d.makeHost(i); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		h.Start(ctx)
	}
	return nil
}

// makeHost creates host i and registers it with the platform. start calls it for
// all hosts before it starts any of them. The host's addresses are stored in its
// settings, so that Restart uses them again.
func (d *Deployment) makeHost(i int) error {
	settings := conf.Defaults()
	settings.Host = fmt.Sprintf("host-%d", i)
	settings.Zone = fmt.Sprintf("zone-%d", i%3)
	settings.Platform = d.infrastructure.URL()
	settings.Listen, settings.PeerListen, settings.OperatorListen = loopback+":0", loopback+":0", loopback+":0"
	settings = d.adjustSettings(i, settings)
	h, err := host.New(settings, d.log.Named(settings.Host))
	if err != nil {
		return err
	}
	settings.Listen, settings.PeerListen, settings.OperatorListen = h.Addresses()
	d.settings = append(d.settings, settings)
	d.hosts = append(d.hosts, h)
	scheme := "http://"
	if settings.PeerTLSCertFile != "" {
		scheme = "https://"
	}
	d.infrastructure.Platform().SetHost(settings.Host, scheme+settings.PeerListen, settings.Zone, false)
	return nil
}

// Platform returns the stand-in of the platform.
func (d *Deployment) Platform() *plat.Platform {
	return d.infrastructure.Platform()
}

// PlatformURL returns the platform's URL.
func (d *Deployment) PlatformURL() string {
	return d.infrastructure.URL()
}

// Group returns the stand-in of the group of the database name, or nil if there is
// no such database.
func (d *Deployment) Group(name string) *pgset.ReplicaSet {
	return d.infrastructure.Group(name)
}

// HostCount returns the number of hosts, including stopped ones.
func (d *Deployment) HostCount() int {
	return len(d.hosts)
}

// Host returns host i, or nil if it is stopped.
func (d *Deployment) Host(i int) *host.Host {
	return d.hosts[i]
}

// Settings returns the settings of host i, with the addresses that it listens on.
func (d *Deployment) Settings(i int) conf.Settings {
	return d.settings[i]
}

// DSN returns a connection string for a database through host i, without TLS.
func (d *Deployment) DSN(i int, database string) string {
	return fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", d.settings[i].Listen, database)
}

// Kill stops host i as a crash would. It has no effect if the host is stopped.
func (d *Deployment) Kill(i int) {
	if h := d.hosts[i]; h != nil {
		d.hosts[i] = nil
		h.Kill()
	}
}

// Stop drains and closes host i. It returns the number of requests and callers
// that remained after the drain, or 0 if the host is stopped already.
func (d *Deployment) Stop(ctx context.Context, i int) int {
	h := d.hosts[i]
	if h == nil {
		return 0
	}
	d.hosts[i] = nil
	n := h.Drain(ctx)
	h.Close()
	return n
}

// Restart kills host i if it is running, and starts it again on the same addresses
// with the other hosts as seeds.
func (d *Deployment) Restart(ctx context.Context, i int) error {
	d.Kill(i)
	for j, other := range d.settings {
		if j != i {
			d.settings[i].Seeds = append(d.settings[i].Seeds, other.PeerListen)
		}
	}
	h, err := host.New(d.settings[i], d.log.Named(d.settings[i].Host))
	if err != nil {
		return err
	}
	d.hosts[i] = h
	h.Start(ctx)
	return nil
}

// Close kills the hosts and stops the groups and the platform.
func (d *Deployment) Close() {
	for i := range d.hosts {
		d.Kill(i)
	}
	if d.infrastructure != nil {
		d.infrastructure.Close()
	}
}
