package target

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a statement that was prepared with a Parse message.
type preparedStatement struct {
	text string
	// oids are the declared types of the first parameters. 0 means undeclared.
	oids []uint32
	// showsPosition is set if the statement is SHOW pistachiotray.position.
	showsPosition bool
}

// portal is a prepared statement with its arguments, as created by a Bind message.
type portal struct {
	stmt *preparedStatement
	args []any
	// formats are the result formats, see formatAt.
	formats []int16
	// result is nil until the portal is first executed.
	result *result
	// nextRow is the index of the first row that was not sent yet.
	nextRow int
}

// receiveLoop handles messages until Terminate or until the connection fails.
func (c *conn) receiveLoop() {
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

// handle handles one message and returns false if the connection has failed.
// After an error in the extended protocol, messages are skipped until Sync.
func (c *conn) handle(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Query:
		c.runSimpleQuery(m.String)
		return c.sendReady()
	case *pgproto3.Sync:
		c.skipToSync = false
		if !c.session.inTransaction {
			clear(c.portals)
		}
		return c.sendReady()
	case *pgproto3.Flush:
		return c.backend.Flush() == nil
	}
	if c.skipToSync {
		return true
	}
	if err := c.handleExtended(m); err != nil {
		c.skipToSync = true
		c.sendError(err)
	}
	return true
}

func (c *conn) sendReady() bool {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.status()})
	return c.backend.Flush() == nil
}

func (c *conn) sendError(err error) {
	sqlState := "XX000"
	var e *sqlError
	if errors.As(err, &e) {
		sqlState = e.sqlState
	}
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: sqlState, Message: err.Error()})
}

// runSimpleQuery runs the statements of a simple query. Several statements run as
// one transaction, unless a transaction is open already or hasTransactionControl
// returns true for them.
func (c *conn) runSimpleQuery(text string) {
	statements := splitStatements(text)
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	implicit := len(statements) > 1 && !c.session.inTransaction && !hasTransactionControl(statements)
	if implicit {
		_, _ = c.session.begin("BEGIN")
	}
	err := c.runStatements(statements)
	if implicit && err != nil {
		_, _ = c.session.rollback()
	} else if implicit {
		_, err = c.session.commit()
	}
	if err != nil {
		c.sendError(err)
	}
}

// hasTransactionControl reports whether one of the statements begins or ends a
// transaction. It doesn't recognize ABORT.
func hasTransactionControl(statements []string) bool {
	for _, text := range statements {
		switch keywordOf(text) {
		case "BEGIN", "START", "COMMIT", "ROLLBACK", "END":
			return true
		}
	}
	return false
}

// runStatements runs statements and sends their results, up to the first error.
func (c *conn) runStatements(statements []string) error {
	for _, text := range statements {
		res, err := c.session.run(text, nil)
		if err == nil && res.copyInsert != "" {
			res, err = c.receiveCopy(res.copyInsert)
		}
		if err != nil {
			return err
		}
		if keywordOf(text) == "DISCARD" {
			clear(c.statements)
			clear(c.portals)
		}
		c.sendRowDescription(res, nil)
		c.sendRows(res, res.rows, nil)
		c.sendComplete(res)
	}
	return nil
}

// receiveCopy receives the rows of COPY ... FROM STDIN and inserts them. insert is
// the INSERT statement up to the list of values.
func (c *conn) receiveCopy(insert string) (*result, error) {
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
			return c.session.insertCopyRows(insert, data.String())
		case *pgproto3.CopyFail:
			return nil, &sqlError{"57014", "COPY from stdin failed: " + m.Message}
		}
	}
}

// splitStatements splits a text at its semicolons, except those in quotes, and
// omits empty statements. It doesn't recognize comments.
func splitStatements(text string) []string {
	var statements []string
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
			statements = appendStatement(statements, text[start:i])
			start = i + 1
		}
	}
	return appendStatement(statements, text[start:])
}

// appendStatement appends text unless it is empty or has only comments.
func appendStatement(statements []string, text string) []string {
	if keywordOf(text) == "" {
		return statements
	}
	return append(statements, text)
}

// handleExtended handles a message of the extended query protocol. It ignores
// other messages.
func (c *conn) handleExtended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if _, ok := c.statements[m.Name]; ok && m.Name != "" {
			return &sqlError{"42P05", "prepared statement \"" + m.Name + "\" already exists"}
		}
		oids := append([]uint32(nil), m.ParameterOIDs...)
		c.statements[m.Name] = &preparedStatement{text: m.Query, oids: oids, showsPosition: strings.EqualFold(m.Query, "show "+positionSetting)}
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describeObject(m)
	case *pgproto3.Execute:
		return c.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.statements, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (c *conn) findStatement(name string) (*preparedStatement, error) {
	s, ok := c.statements[name]
	if !ok {
		return nil, &sqlError{"26000", "prepared statement \"" + name + "\" does not exist"}
	}
	return s, nil
}

func (c *conn) bind(m *pgproto3.Bind) error {
	s, err := c.findStatement(m.PreparedStatement)
	if err != nil {
		return err
	}
	p := &portal{stmt: s, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, v := range m.Parameters {
		arg, err := decodeValue(v, formatAt(m.ParameterFormatCodes, i), oidAt(s.oids, i))
		if err != nil {
			return err
		}
		p.args = append(p.args, arg)
	}
	c.portals[m.DestinationPortal] = p
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *conn) describeObject(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, ok := c.portals[m.Name]
		if !ok {
			return &sqlError{"34000", "portal \"" + m.Name + "\" does not exist"}
		}
		return c.describePortal(p)
	}
	s, err := c.findStatement(m.Name)
	if err != nil {
		return err
	}
	c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: parameterTypes(s)})
	res, err := c.session.describeColumns(s)
	if err != nil {
		return err
	}
	if len(res.columns) == 0 {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.sendRowDescription(res, nil)
	return nil
}

// parameterTypes returns the types of a statement's parameters. Parameters without
// a declared type are text.
func parameterTypes(s *preparedStatement) []uint32 {
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
	res, err := c.session.describeColumns(p.stmt)
	if err != nil {
		return err
	}
	if len(res.columns) == 0 {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.sendRowDescription(res, p.formats)
	return nil
}

// execute runs a portal when it is executed for the first time, and sends the rows
// that were not sent yet.
func (c *conn) execute(m *pgproto3.Execute) error {
	p, ok := c.portals[m.Portal]
	if !ok {
		return &sqlError{"34000", "portal \"" + m.Portal + "\" does not exist"}
	}
	if p.result == nil {
		if p.stmt.showsPosition && !c.session.failed {
			p.result = c.session.positionResult()
			return c.sendPortalRows(p, m.MaxRows)
		}
		res, err := c.session.run(p.stmt.text, p.args)
		if err == nil && res.copyInsert != "" {
			res, err = c.receiveCopy(res.copyInsert)
		}
		if err != nil {
			return err
		}
		p.result = res
	}
	return c.sendPortalRows(p, m.MaxRows)
}

// sendPortalRows sends the rows of a portal that were not sent yet, but at most
// maxRows if maxRows is not 0. If rows remain, it sends PortalSuspended.
func (c *conn) sendPortalRows(p *portal, maxRows uint32) error {
	rest := p.result.rows[p.nextRow:]
	if maxRows > 0 && len(rest) > int(maxRows) {
		c.sendRows(p.result, rest[:maxRows], p.formats)
		p.nextRow += int(maxRows)
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.sendRows(p.result, rest, p.formats)
	p.nextRow = len(p.result.rows)
	c.sendComplete(p.result)
	return nil
}
