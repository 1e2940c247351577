package target

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/standin/sqldb"
)

// describeColumns returns the columns of a statement's result, without rows. It
// asks SQLite for the columns of a read, with NULL for all parameters. Writes
// are not run and have no columns here, even with RETURNING.
func (s *session) describeColumns(p *preparedStatement) (*result, error) {
	keyword := keywordOf(p.text)
	if keyword == "SHOW" {
		return s.runSetting(keyword, p.text)
	}
	if !isRead(keyword) {
		return &result{}, nil
	}
	query := sleepPattern.ReplaceAllString(sqldb.Translate(p.text), "''")
	text := "SELECT * FROM (" + strings.TrimRight(query, "; \n\t") + ") LIMIT 0"
	if keyword != "SELECT" && keyword != "VALUES" {
		text = query
	}
	args := make([]any, len(parameterTypes(p)))
	rows, err := s.conn.QueryContext(s.ctx, text, args...)
	if err != nil {
		return nil, toSQLError(err)
	}
	defer func() { _ = rows.Close() }()
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, toSQLError(err)
	}
	res := &result{}
	for _, t := range types {
		res.columns = append(res.columns, column{t.Name(), oidOf(t.DatabaseTypeName())})
	}
	return res, nil
}

// sendRowDescription sends the columns of a result, if it has any, with the given
// result formats. The result of COPY ... TO STDOUT needs no description.
func (c *conn) sendRowDescription(res *result, formats []int16) {
	if len(res.columns) == 0 || res.copyOut {
		return
	}
	m := &pgproto3.RowDescription{}
	for i, col := range res.columns {
		m.Fields = append(m.Fields, pgproto3.FieldDescription{
			Name: []byte(col.name), DataTypeOID: col.oid, DataTypeSize: -1, TypeModifier: -1, Format: formatAt(formats, i),
		})
	}
	c.backend.Send(m)
}

// sendRows sends some rows of a result in the given result formats, or in COPY's
// text format for COPY ... TO STDOUT.
func (c *conn) sendRows(res *result, rows [][]any, formats []int16) {
	if res.copyOut {
		c.sendCopyRows(rows)
		return
	}
	for _, row := range rows {
		m := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for i, v := range row {
			m.Values[i] = encodeValue(v, res.columns[i].oid, formatAt(formats, i))
		}
		c.backend.Send(m)
	}
}

// sendCopyRows sends rows in the text format of COPY ... TO STDOUT.
func (c *conn) sendCopyRows(rows [][]any) {
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0}})
	for _, row := range rows {
		fields := make([]string, len(row))
		for i, v := range row {
			fields[i] = `\N`
			if v != nil {
				fields[i] = string(encodeText(v))
			}
		}
		c.backend.Send(&pgproto3.CopyData{Data: []byte(strings.Join(fields, "\t") + "\n")})
	}
	c.backend.Send(&pgproto3.CopyDone{})
}

// sendComplete sends the message that ends the result of a statement.
func (c *conn) sendComplete(res *result) {
	if res.empty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
}
