// Package infra runs stand-ins of the platform and of database groups.
package infra

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/cloud"
	"github.com/pistachiotray/pistachiotray/process/groups"
	"github.com/pistachiotray/pistachiotray/standin/pgset"
	"github.com/pistachiotray/pistachiotray/standin/plat"
)

// loopback is the IP address that members listen on.
const loopback = "127.0.0.1"

// Infrastructure runs the stand-ins of one platform and of its database groups in
// this process.
type Infrastructure struct {
	platform *plat.Platform
	server   *http.Server
	// url is the platform's URL.
	url string
	// replicaSets maps the name of each database to its group.
	replicaSets map[string]*pgset.ReplicaSet
}

// New starts a platform that listens on the address listen, and a group of three
// members for each database. hosts are the hosts that the platform lists at the
// start, in the form name=URL,zone. slots is the number of slots of each member,
// and connectDelay is how long a member takes to open a slot.
func New(ctx context.Context, listen string, databases, hosts []string, slots int, connectDelay time.Duration) (*Infrastructure, error) {
	i := &Infrastructure{platform: plat.New(), replicaSets: map[string]*pgset.ReplicaSet{}}
	for _, h := range hosts {
		name, rest, ok := strings.Cut(h, "=")
		url, zone, _ := strings.Cut(rest, ",")
		if !ok || url == "" {
			return nil, errors.Errorf("host %q is not of the form name=URL,zone", h)
		}
		i.platform.SetHost(name, url, zone, false)
	}
	if err := i.startPlatform(listen); err != nil {
		return nil, err
	}
	for _, name := range databases {
		if err := i.startGroup(ctx, name, slots, connectDelay); err != nil {
			i.Close()
			return nil, err
		}
	}
	return i, nil
}

func (i *Infrastructure) startPlatform(listen string) error {
	const headerTimeout = 5 * time.Second
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "start platform stand-in")
	}
	i.url = "http://" + l.Addr().String()
	i.server = &http.Server{Handler: i.platform, ReadHeaderTimeout: headerTimeout}
	go func() { _ = i.server.Serve(l) }()
	return nil
}

// startGroup starts the group of the database name and registers it with the
// platform.
func (i *Infrastructure) startGroup(ctx context.Context, name string, slots int, connectDelay time.Duration) error {
	replicaSet, err := pgset.New(name, loopback, slots, connectDelay)
	if err != nil {
		return err
	}
	i.replicaSets[name] = replicaSet
	var members []string
	for _, m := range replicaSet.Members() {
		members = append(members, m.Name()+"="+m.Address())
	}
	row, err := groups.Row(name, slots, members...)
	if err != nil {
		return err
	}
	return cloud.New(i.url, http.DefaultClient).Commit(ctx, row)
}

// Platform returns the stand-in of the platform.
func (i *Infrastructure) Platform() *plat.Platform {
	return i.platform
}

// URL returns the platform's URL.
func (i *Infrastructure) URL() string {
	return i.url
}

// Group returns the stand-in of the group of the database name, or nil if there is
// no such database.
func (i *Infrastructure) Group(name string) *pgset.ReplicaSet {
	return i.replicaSets[name]
}

// SetLag sets how long a log entry takes to reach each member of each group (ship),
// and then to be applied to its tables (apply).
func (i *Infrastructure) SetLag(ship, apply time.Duration) {
	for _, r := range i.replicaSets {
		r.SetLag(ship, apply)
	}
}

// Lines returns a line with the platform's URL and a line with the address of each
// member, sorted.
func (i *Infrastructure) Lines() []string {
	lines := []string{"platform " + i.url}
	for name, r := range i.replicaSets {
		for _, m := range r.Members() {
			lines = append(lines, "member "+m.Name()+" of "+name+" "+m.Address())
		}
	}
	slices.Sort(lines)
	return lines
}

// Close stops the groups and the platform.
func (i *Infrastructure) Close() {
	for _, r := range i.replicaSets {
		r.Close()
	}
	_ = i.server.Close()
}
