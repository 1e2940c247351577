// Package groups keeps the list of database groups and their members.
package groups

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/adapt"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/wrap"
)

// rowPrefix is the prefix of the key of each group's row in the table service.
const rowPrefix = "Group/"

// entry is one group as it is stored in its row.
type entry struct {
	Name    string
	Members []member
	Slots   int
}

type member struct {
	Name    string
	Address string
}

// table reads rows of the platform's table service.
type table interface {
	// Scan returns the rows whose key begins with a prefix, only the last one if
	// last is true.
	Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error)
}

// Groups is the list of groups as last loaded. It stays in use while the table
// service is down.
type Groups struct {
	table    table
	user     string
	password string
	adapter  adapt.Adapter
	entries  atomic.Pointer[map[string]entry]
}

// New returns an empty list, which Load reads from the table. The user and the
// password are the credentials for the targets.
func New(t table, user, password string) *Groups {
	g := &Groups{table: t, user: user, password: password}
	g.entries.Store(&map[string]entry{})
	return g
}

// Load replaces the list by the rows of the table.
func (g *Groups) Load(ctx context.Context) error {
	rows, err := g.table.Scan(ctx, rowPrefix, false)
	if err != nil {
		return errors.Wrap(err, "Groups.Load")
	}
	entries := make(map[string]entry, len(rows))
	for _, r := range rows {
		var e entry
		if err := json.Unmarshal(r.Value, &e); err != nil {
			return errors.Wrapf(err, "Groups.Load: row %s", r.Key)
		}
		entries[e.Name] = e
	}
	g.entries.Store(&entries)
	return nil
}

// Export returns the list encoded for a host that can't read the table, nil if
// the list is empty.
func (g *Groups) Export() []byte {
	entries := *g.entries.Load()
	if len(entries) == 0 {
		return nil
	}
	body, err := json.Marshal(entries)
	if err != nil {
		return nil
	}
	return body
}

// Import sets the list that another host exported, unless this host has a list
// already.
func (g *Groups) Import(body []byte) error {
	entries := map[string]entry{}
	if err := json.Unmarshal(body, &entries); err != nil {
		return errors.Wrap(err, "Groups.Import")
	}
	if len(*g.entries.Load()) == 0 {
		g.entries.Store(&entries)
	}
	return nil
}

// Row returns the row of a group whose members are given as name=address.
func Row(name string, slots int, members ...string) (record.Row, error) {
	e := entry{Name: name, Slots: slots}
	for _, m := range members {
		n, address, ok := strings.Cut(m, "=")
		if !ok {
			return record.Row{}, errors.Errorf("Row: member %q is not of the form name=address", m)
		}
		e.Members = append(e.Members, member{n, address})
	}
	value, err := json.Marshal(e)
	return record.New(rowPrefix+name, value), wrap.If(err, "Row")
}

// Has reports whether there is a group of that name.
func (g *Groups) Has(name string) bool {
	_, ok := (*g.entries.Load())[name]
	return ok
}

// Names returns the names of all groups, in no particular order.
func (g *Groups) Names() []string {
	entries := *g.entries.Load()
	names := make([]string, 0, len(entries))
	for n := range entries {
		names = append(names, n)
	}
	return names
}

// Members returns the names and connection strings of a group's members, and the
// slots per member; ok is false if there is no such group.
func (g *Groups) Members(name string) (names, addresses []string, slots int, ok bool) {
	e, ok := (*g.entries.Load())[name]
	if !ok {
		return nil, nil, 0, false
	}
	for _, m := range e.Members {
		names = append(names, m.Name)
		addresses = append(addresses, g.dsn(m.Address, g.user, name))
	}
	return names, addresses, e.Slots, true
}

// ControlDSNs returns the connection strings of the control connections to a
// group's members, on which reports and orders go, in the order of Members.
func (g *Groups) ControlDSNs(name string) []string {
	e := (*g.entries.Load())[name]
	var addresses []string
	for _, m := range e.Members {
		addresses = append(addresses, g.dsn(m.Address, g.adapter.ControlUser(), name))
	}
	return addresses
}

func (g *Groups) dsn(address, user, database string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		host, port = address, "5432"
	}
	out := fmt.Sprintf("host=%s port=%s user=%s database=%s sslmode=prefer", host, port, user, database)
	if g.password != "" {
		out += fmt.Sprintf(" password='%s'", strings.ReplaceAll(strings.ReplaceAll(g.password, `\`, `\\`), `'`, `\'`))
	}
	return out
}
