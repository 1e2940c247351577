// Package groups loads the list of database groups and their members.
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

// entry is one group as stored in its row. Slots is the number of slots of each
// member.
type entry struct {
	Name    string
	Members []member
	Slots   int
}

// member is one target of a group. Address is host:port, or a host alone.
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

// Groups is the list of groups as last loaded or imported. It remains available
// while the table service is down.
type Groups struct {
	table    table
	user     string
	password string
	adapter  adapt.Adapter
	entries  atomic.Pointer[map[string]entry]
}

// New returns an empty list, which Load or Import fills. The user and the
// password are the credentials for the targets.
func New(t table, user, password string) *Groups {
	g := &Groups{table: t, user: user, password: password}
	g.entries.Store(&map[string]entry{})
	return g
}

// Load replaces the list with the rows of the table. On an error the list
// remains as it was.
func (g *Groups) Load(ctx context.Context) error {
	rows, err := g.table.Scan(ctx, rowPrefix, false)
	if err != nil {
		return errors.Wrap(err, "read the rows of groups")
	}
	entries := make(map[string]entry, len(rows))
	for _, r := range rows {
		var e entry
		if err := json.Unmarshal(r.Value, &e); err != nil {
			return errors.Wrapf(err, "decode row %s", r.Key)
		}
		entries[e.Name] = e
	}
	g.entries.Store(&entries)
	return nil
}

// Export returns the encoded list, for a host that cannot read the table, or
// nil if the list is empty.
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

// Import sets the list to one that another host exported, unless this list has
// entries already.
func (g *Groups) Import(body []byte) error {
	entries := map[string]entry{}
	if err := json.Unmarshal(body, &entries); err != nil {
		return errors.Wrap(err, "decode the groups of another host")
	}
	if len(*g.entries.Load()) == 0 {
		g.entries.Store(&entries)
	}
	return nil
}

// Row returns the table row of a group, to be written to the table. Each member
// is given as name=address.
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

// Has reports whether the list contains a group.
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

// Members returns the names and connection strings of a group's members, and
// the number of slots per member. ok is false if there is no such group.
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
// group's members, in the order of Members. The control connections carry
// status reports and orders such as promotions.
func (g *Groups) ControlDSNs(name string) []string {
	e := (*g.entries.Load())[name]
	var addresses []string
	for _, m := range e.Members {
		addresses = append(addresses, g.dsn(m.Address, g.adapter.ControlUser(), name))
	}
	return addresses
}

// dsn returns a connection string. An address without a port gets the port
// 5432.
func (g *Groups) dsn(address, user, database string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		host, port = address, "5432"
	}
	dsn := fmt.Sprintf("host=%s port=%s user=%s database=%s sslmode=prefer", host, port, user, database)
	if g.password != "" {
		dsn += fmt.Sprintf(" password='%s'", strings.ReplaceAll(strings.ReplaceAll(g.password, `\`, `\\`), `'`, `\'`))
	}
	return dsn
}
