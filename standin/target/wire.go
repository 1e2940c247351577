package target

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Object identifiers of the types that the stand-in knows.
const (
	oidBytea  = 17
	oidInt8   = 20
	oidText   = 25
	oidFloat8 = 701
)

type prepared struct {
	text     string
	oids     []uint32
	position bool
}

type portal struct {
	stmt    *prepared
	args    []any
	formats []int16
	out     *rows
	next    int
}

func oidOf(declared string) uint32 {
	switch d := strings.ToUpper(declared); {
	case strings.Contains(d, "INT"):
		return oidInt8
	case strings.Contains(d, "REAL"), strings.Contains(d, "DOUBLE"), strings.Contains(d, "FLOAT"):
		return oidFloat8
	case strings.Contains(d, "BLOB"), strings.Contains(d, "BYTEA"):
		return oidBytea
	}
	return oidText
}

func (c *conn) loop() {
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return
		}
		if !c.handle(m) {
			return
		}
	}
}

// handle answers one message; it returns false where the connection ends.
func (c *conn) handle(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Query:
		c.simple(m.String)
		return c.ready()
	case *pgproto3.Sync:
		c.failed = false
		if !c.session.open {
			clear(c.portals)
		}
		return c.ready()
	case *pgproto3.Flush:
		return c.backend.Flush() == nil
	}
	if c.failed {
		return true
	}
	if err := c.extended(m); err != nil {
		c.failed = true
		c.sendError(err)
	}
	return true
}

func (c *conn) ready() bool {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.status()})
	return c.backend.Flush() == nil
}

func (c *conn) sendError(err error) {
	state := "XX000"
	var e *sqlError
	if errors.As(err, &e) {
		state = e.state
	}
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: state, Message: err.Error()})
}

// simple runs the statements of a simple query, as one transaction unless the
// text has its own.
func (c *conn) simple(text string) {
	parts := split(text)
	if len(parts) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	mine := len(parts) > 1 && !c.session.open && !hasOwnTransaction(parts)
	if mine {
		_, _ = c.session.begin("BEGIN")
	}
	err := c.each(parts)
	if mine && err != nil {
		_, _ = c.session.rollback()
	} else if mine {
		_, err = c.session.commit()
	}
	if err != nil {
		c.sendError(err)
	}
}

func hasOwnTransaction(parts []string) bool {
	for _, p := range parts {
		switch wordOf(p) {
		case "BEGIN", "START", "COMMIT", "ROLLBACK", "END":
			return true
		}
	}
	return false
}

func (c *conn) each(parts []string) error {
	for _, p := range parts {
		out, err := c.session.run(p, nil)
		if err == nil && out.copyIn != "" {
			out, err = c.receiveCopy(out.copyIn)
		}
		if err != nil {
			return err
		}
		c.describe(out, nil)
		c.rows(out, out.values, nil)
		c.complete(out)
	}
	return nil
}

func (c *conn) receiveCopy(insert string) (*rows, error) {
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0}})
	if err := c.backend.Flush(); err != nil {
		return nil, err
	}
	var data strings.Builder
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			data.Write(m.Data)
		case *pgproto3.CopyDone:
			return c.session.copyRows(insert, data.String())
		case *pgproto3.CopyFail:
			return nil, &sqlError{"57014", "COPY from stdin failed: " + m.Message}
		}
	}
}

// split cuts a text at its semicolons, but for those in quotes.
func split(text string) []string {
	var parts []string
	start, quote := 0, byte(0)
	for i := range len(text) {
		switch ch := text[i]; {
		case quote != 0:
			if ch == quote {
				quote = 0
			}
		case ch == '\'' || ch == '"':
			quote = ch
		case ch == ';':
			parts = appendPart(parts, text[start:i])
			start = i + 1
		}
	}
	return appendPart(parts, text[start:])
}

func appendPart(parts []string, p string) []string {
	if wordOf(p) == "" {
		return parts
	}
	return append(parts, p)
}

func (c *conn) extended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if _, ok := c.stmts[m.Name]; ok && m.Name != "" {
			return &sqlError{"42P05", "prepared statement \"" + m.Name + "\" already exists"}
		}
		oids := append([]uint32(nil), m.ParameterOIDs...)
		c.stmts[m.Name] = &prepared{text: m.Query, oids: oids, position: strings.EqualFold(m.Query, "show "+positionName)}
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describeObject(m)
	case *pgproto3.Execute:
		return c.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.stmts, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (c *conn) statement(name string) (*prepared, error) {
	s, ok := c.stmts[name]
	if !ok {
		return nil, &sqlError{"26000", "prepared statement \"" + name + "\" does not exist"}
	}
	return s, nil
}

func (c *conn) bind(m *pgproto3.Bind) error {
	s, err := c.statement(m.PreparedStatement)
	if err != nil {
		return err
	}
	p := &portal{stmt: s, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, v := range m.Parameters {
		arg, err := decode(v, formatOf(m.ParameterFormatCodes, i), oidAt(s.oids, i))
		if err != nil {
			return err
		}
		p.args = append(p.args, arg)
	}
	c.portals[m.DestinationPortal] = p
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func oidAt(oids []uint32, i int) uint32 {
	if i < len(oids) {
		return oids[i]
	}
	return 0
}

func formatOf(formats []int16, i int) int16 {
	switch len(formats) {
	case 0:
		return 0
	case 1:
		return formats[0]
	}
	if i < len(formats) {
		return formats[i]
	}
	return 0
}

func decode(v []byte, format int16, oid uint32) (any, error) {
	if v == nil {
		return nil, nil
	}
	if format == 0 {
		return decodeText(string(v), oid), nil
	}
	switch {
	case oid == oidText || oid == 0 && len(v) != 8 && len(v) != 4:
		return string(v), nil
	case oid == oidFloat8 && len(v) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(v)), nil
	case len(v) == 8:
		return int64(binary.BigEndian.Uint64(v)), nil
	case len(v) == 4:
		return int64(int32(binary.BigEndian.Uint32(v))), nil
	case oid == oidBytea:
		return append([]byte(nil), v...), nil
	}
	return nil, &sqlError{"08P01", "binary parameter of an unknown type"}
}

func decodeText(v string, oid uint32) any {
	switch oid {
	case 20, 21, 23:
		if n, err := strconv.ParseInt(v, 10, 64); err == nil {
			return n
		}
	case 700, oidFloat8, 1700:
		if f, err := strconv.ParseFloat(v, 64); err == nil {
			return f
		}
	}
	return v
}

func (c *conn) describeObject(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, ok := c.portals[m.Name]
		if !ok {
			return &sqlError{"34000", "portal \"" + m.Name + "\" does not exist"}
		}
		return c.describePortal(p)
	}
	s, err := c.statement(m.Name)
	if err != nil {
		return err
	}
	c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: parameterTypes(s)})
	out, err := c.session.columnsOf(s)
	if err != nil {
		return err
	}
	if len(out.columns) == 0 {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.describe(out, nil)
	return nil
}

// parameterTypes gives the declared types; what was not declared is text.
func parameterTypes(s *prepared) []uint32 {
	n := len(s.oids)
	for i := 1; strings.Contains(s.text, fmt.Sprintf("$%d", i)); i++ {
		n = max(n, i)
	}
	types := make([]uint32, n)
	for i := range types {
		types[i] = oidText
		if i < len(s.oids) && s.oids[i] != 0 {
			types[i] = s.oids[i]
		}
	}
	return types
}

func (c *conn) describePortal(p *portal) error {
	out, err := c.session.columnsOf(p.stmt)
	if err != nil {
		return err
	}
	if len(out.columns) == 0 {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.describe(out, p.formats)
	return nil
}

func (c *conn) execute(m *pgproto3.Execute) error {
	p, ok := c.portals[m.Portal]
	if !ok {
		return &sqlError{"34000", "portal \"" + m.Portal + "\" does not exist"}
	}
	if p.out == nil {
		if p.stmt.position && !c.session.failed {
			p.out = c.session.position()
			return c.send(p, m.MaxRows)
		}
		out, err := c.session.run(p.stmt.text, p.args)
		if err == nil && out.copyIn != "" {
			out, err = c.receiveCopy(out.copyIn)
		}
		if err != nil {
			return err
		}
		p.out = out
	}
	return c.send(p, m.MaxRows)
}

// send sends the rows of a portal that were not sent yet, at most as many as
// asked for; 0 stands for all.
func (c *conn) send(p *portal, most uint32) error {
	rest := p.out.values[p.next:]
	if most > 0 && len(rest) > int(most) {
		c.rows(p.out, rest[:most], p.formats)
		p.next += int(most)
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.rows(p.out, rest, p.formats)
	p.next = len(p.out.values)
	c.complete(p.out)
	return nil
}
