package target

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/standin/sqldb"
)

// describeColumns returns the columns of a statement's result, without rows. It
// runs no statement that writes.
func (s *session) describeColumns(p *preparedStatement) (*result, error) {
	keyword := keywordOf(p.text)
	if keyword == "SHOW" {
		return s.runSetting(keyword, p.text)
	}
	if !isRead(keyword) {
		return &result{}, nil
	}
	plain := sleepPattern.ReplaceAllString(sqldb.Translate(p.text), "''")
	text := "SELECT * FROM (" + strings.TrimRight(plain, "; \n\t") + ") LIMIT 0"
	if keyword != "SELECT" && keyword != "VALUES" {
		text = plain
	}
	args := make([]any, len(parameterTypes(p)))
	r, err := s.conn.QueryContext(s.ctx, text, args...)
	if err != nil {
		return nil, toSQLError(err)
	}
	defer func() { _ = r.Close() }()
	types, err := r.ColumnTypes()
	if err != nil {
		return nil, toSQLError(err)
	}
	out := &result{}
	for _, t := range types {
		out.columns = append(out.columns, column{t.Name(), oidOf(t.DatabaseTypeName())})
	}
	return out, nil
}

// sendRowDescription sends the columns of a result, if it has any.
func (c *conn) sendRowDescription(out *result, formats []int16) {
	if len(out.columns) == 0 || out.copyOut {
		return
	}
	m := &pgproto3.RowDescription{}
	for i, col := range out.columns {
		m.Fields = append(m.Fields, pgproto3.FieldDescription{
			Name: []byte(col.name), DataTypeOID: col.oid, DataTypeSize: -1, TypeModifier: -1, Format: formatAt(formats, i),
		})
	}
	c.backend.Send(m)
}

// sendRows sends rows of a result.
func (c *conn) sendRows(out *result, values [][]any, formats []int16) {
	if out.copyOut {
		c.sendCopyRows(values)
		return
	}
	for _, row := range values {
		m := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for i, v := range row {
			m.Values[i] = encodeValue(v, out.columns[i].oid, formatAt(formats, i))
		}
		c.backend.Send(m)
	}
}

// sendCopyRows sends rows in the text format of COPY ... TO STDOUT.
func (c *conn) sendCopyRows(values [][]any) {
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0}})
	for _, row := range values {
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

func (c *conn) sendComplete(out *result) {
	if out.empty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(out.tag)})
}
