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

// prefix begins the key of each group's row in the table service.
const prefix = "Group/"

// entry is one group as its row has it.
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
	// Scan returns the rows whose key begins with a prefix.
	Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error)
}

// Groups is the list of groups as it was last read. What was read once stays
// in force while the table service is down.
type Groups struct {
	table    table
	user     string
	password string
	adapter  adapt.Adapter
	entries  atomic.Pointer[map[string]entry]
}

// New returns an empty list, to be read from the table. Targets are reached
// under the user's name and password.
func New(t table, user, password string) *Groups {
	g := &Groups{table: t, user: user, password: password}
	g.entries.Store(&map[string]entry{})
	return g
}

// Load reads the list anew.
func (g *Groups) Load(ctx context.Context) error {
	rows, err := g.table.Scan(ctx, prefix, false)
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

// Export returns the list for a host that can't read the table, empty where
// there is none.
func (g *Groups) Export() []byte {
	entries := *g.entries.Load()
	if len(entries) == 0 {
		return nil
	}
	text, err := json.Marshal(entries)
	if err != nil {
		return nil
	}
	return text
}

// Import takes the list of another host, unless there is one here already.
func (g *Groups) Import(text []byte) error {
	entries := map[string]entry{}
	if err := json.Unmarshal(text, &entries); err != nil {
		return errors.Wrap(err, "Groups.Import")
	}
	if len(*g.entries.Load()) == 0 {
		g.entries.Store(&entries)
	}
	return nil
}

// Row returns the row of a group with members given as name=address.
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
	return record.New(prefix+name, value), wrap.If(err, "Row")
}

// Has tells whether there is a group of that name.
func (g *Groups) Has(name string) bool {
	_, ok := (*g.entries.Load())[name]
	return ok
}

// Names returns the names of all groups, in no order.
func (g *Groups) Names() []string {
	entries := *g.entries.Load()
	names := make([]string, 0, len(entries))
	for n := range entries {
		names = append(names, n)
	}
	return names
}

// Members returns the names and connection strings of a group's members.
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

// ControlDSNs returns the connection strings on which a group's members are asked
// and ordered, in the order of Members.
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
	text := fmt.Sprintf("host=%s port=%s user=%s database=%s sslmode=prefer", host, port, user, database)
	if g.password != "" {
		text += fmt.Sprintf(" password='%s'", strings.ReplaceAll(strings.ReplaceAll(g.password, `\`, `\\`), `'`, `\'`))
	}
	return text
}
