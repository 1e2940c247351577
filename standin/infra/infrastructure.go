// Package infra holds the stand-ins of the platform and of database groups.
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

// loopback is where members listen.
const loopback = "127.0.0.1"

// Infrastructure is one platform with database groups, reached over loopback.
type Infrastructure struct {
	platform *plat.Platform
	server   *http.Server
	url      string
	trios    map[string]*pgset.ReplicaSet
}

// New starts a platform at the address and a group of three members for each
// database. Hosts are listed as name=URL,zone.
func New(ctx context.Context, listen string, databases, hosts []string, slots int, delay time.Duration) (*Infrastructure, error) {
	s := &Infrastructure{platform: plat.New(), trios: map[string]*pgset.ReplicaSet{}}
	for _, h := range hosts {
		name, rest, ok := strings.Cut(h, "=")
		url, zone, _ := strings.Cut(rest, ",")
		if !ok || url == "" {
			return nil, errors.Errorf("New: host %q is not of the form name=URL,zone", h)
		}
		s.platform.SetHost(name, url, zone, false)
	}
	if err := s.startPlatform(listen); err != nil {
		return nil, err
	}
	for _, name := range databases {
		if err := s.startGroup(ctx, name, slots, delay); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *Infrastructure) startPlatform(listen string) error {
	const headerTimeout = 5 * time.Second
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "Infrastructure.startPlatform")
	}
	s.url = "http://" + l.Addr().String()
	s.server = &http.Server{Handler: s.platform, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

func (s *Infrastructure) startGroup(ctx context.Context, name string, slots int, delay time.Duration) error {
	t, err := pgset.New(name, loopback, slots, delay)
	if err != nil {
		return err
	}
	s.trios[name] = t
	var members []string
	for _, m := range t.Members() {
		members = append(members, m.Name()+"="+m.Address())
	}
	r, err := groups.Row(name, slots, members...)
	if err != nil {
		return err
	}
	return cloud.New(s.url, http.DefaultClient).Commit(ctx, r)
}

// Platform returns the platform's stand-in.
func (s *Infrastructure) Platform() *plat.Platform {
	return s.platform
}

// URL returns where the platform is reached.
func (s *Infrastructure) URL() string {
	return s.url
}

// Group returns a database group's stand-in.
func (s *Infrastructure) Group(name string) *pgset.ReplicaSet {
	return s.trios[name]
}

// SetLag sets the lag of all members of all groups.
func (s *Infrastructure) SetLag(ship, apply time.Duration) {
	for _, t := range s.trios {
		t.SetLag(ship, apply)
	}
}

// Lines says where the platform and each member listen.
func (s *Infrastructure) Lines() []string {
	lines := []string{"platform " + s.url}
	for name, t := range s.trios {
		for _, m := range t.Members() {
			lines = append(lines, "member "+m.Name()+" of "+name+" "+m.Address())
		}
	}
	slices.Sort(lines)
	return lines
}

// Close ends everything.
func (s *Infrastructure) Close() {
	for _, t := range s.trios {
		t.Close()
	}
	_ = s.server.Close()
}
