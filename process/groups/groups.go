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

// group is a database group as stored in its row. Slots is the number of slots
// of each member.
type group struct {
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
	// Scan returns the rows whose key begins with prefix, in the order of their
	// keys. If last is true, it returns only the last of these rows.
	Scan(ctx context.Context, prefix string, last bool) ([]record.Row, error)
}

// Groups is the list of groups as last loaded or imported. It remains available
// while the table service is down.
type Groups struct {
	table    table
	user     string
	password string
	adapter  adapt.Adapter
	byName   atomic.Pointer[map[string]group]
}

// New returns an empty list, which Load or Import fills. The user and the
// password are the credentials for the targets.
func New(t table, user, password string) *Groups {
	g := &Groups{table: t, user: user, password: password}
	g.byName.Store(&map[string]group{})
	return g
}

// Load replaces the list by the groups in the table. On an error, the list
// remains as it was.
func (g *Groups) Load(ctx context.Context) error {
	rows, err := g.table.Scan(ctx, rowPrefix, false)
	if err != nil {
		return errors.Wrap(err, "read the groups from the table")
	}
	groups := make(map[string]group, len(rows))
	for _, r := range rows {
		var e group
		if err := json.Unmarshal(r.Value, &e); err != nil {
			return errors.Wrapf(err, "decode row %s", r.Key)
		}
		groups[e.Name] = e
	}
	g.byName.Store(&groups)
	return nil
}

// Export returns the encoded list, for a host that cannot read the table, or
// nil if the list is empty.
func (g *Groups) Export() []byte {
	groups := *g.byName.Load()
	if len(groups) == 0 {
		return nil
	}
	body, err := json.Marshal(groups)
	if err != nil {
		return nil
	}
	return body
}

// Import replaces an empty list by the list that another host exported. If this
// list is not empty, it remains as it was.
func (g *Groups) Import(body []byte) error {
	groups := map[string]group{}
	if err := json.Unmarshal(body, &groups); err != nil {
		return errors.Wrap(err, "decode the groups of another host")
	}
	if len(*g.byName.Load()) == 0 {
		g.byName.Store(&groups)
	}
	return nil
}

// Row returns the table row of a group, to be written to the table. Each member
// is given as name=address.
func Row(name string, slots int, members ...string) (record.Row, error) {
	e := group{Name: name, Slots: slots}
	for _, m := range members {
		n, address, ok := strings.Cut(m, "=")
		if !ok {
			return record.Row{}, errors.Errorf("member %q is not of the form name=address", m)
		}
		e.Members = append(e.Members, member{n, address})
	}
	value, err := json.Marshal(e)
	return record.New(rowPrefix+name, value), wrap.If(err, "encode the row of a group")
}

// Has reports whether the list contains a group.
func (g *Groups) Has(name string) bool {
	_, ok := (*g.byName.Load())[name]
	return ok
}

// Names returns the names of all groups, in no particular order.
func (g *Groups) Names() []string {
	groups := *g.byName.Load()
	names := make([]string, 0, len(groups))
	for n := range groups {
		names = append(names, n)
	}
	return names
}

// Members returns the names and connection strings of a group's members, and
// the number of slots per member. ok is false if there is no such group.
func (g *Groups) Members(name string) (names, dsns []string, slots int, ok bool) {
	e, ok := (*g.byName.Load())[name]
	if !ok {
		return nil, nil, 0, false
	}
	for _, m := range e.Members {
		names = append(names, m.Name)
		dsns = append(dsns, g.dsn(m.Address, g.user, name))
	}
	return names, dsns, e.Slots, true
}

// ControlDSNs returns the connection strings of the control connections to a
// group's members, in the order of Members. The control connections carry
// status reports and orders such as promotions.
func (g *Groups) ControlDSNs(name string) []string {
	e := (*g.byName.Load())[name]
	var dsns []string
	for _, m := range e.Members {
		dsns = append(dsns, g.dsn(m.Address, g.adapter.ControlUser(), name))
	}
	return dsns
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
