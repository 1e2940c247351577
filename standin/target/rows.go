package target

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/standin/sqldb"
)

// columnsOf returns the columns that a statement would give, without running
// anything that writes.
func (s *session) columnsOf(p *prepared) (*rows, error) {
	word := wordOf(p.text)
	if word == "SHOW" {
		return s.setting(word, p.text)
	}
	if !isRead(word) {
		return &rows{}, nil
	}
	plain := sleepPattern.ReplaceAllString(sqldb.Translate(p.text), "''")
	text := "SELECT * FROM (" + strings.TrimRight(plain, "; \n\t") + ") LIMIT 0"
	if word != "SELECT" && word != "VALUES" {
		text = plain
	}
	args := make([]any, len(parameterTypes(p)))
	r, err := s.conn.QueryContext(s.ctx, text, args...)
	if err != nil {
		return nil, convert(err)
	}
	defer func() { _ = r.Close() }()
	types, err := r.ColumnTypes()
	if err != nil {
		return nil, convert(err)
	}
	out := &rows{}
	for _, t := range types {
		out.columns = append(out.columns, column{t.Name(), oidOf(t.DatabaseTypeName())})
	}
	return out, nil
}

// describe sends the columns of an answer.
func (c *conn) describe(out *rows, formats []int16) {
	if len(out.columns) == 0 || out.copyOut {
		return
	}
	m := &pgproto3.RowDescription{}
	for i, col := range out.columns {
		m.Fields = append(m.Fields, pgproto3.FieldDescription{
			Name: []byte(col.name), DataTypeOID: col.oid, DataTypeSize: -1, TypeModifier: -1, Format: formatOf(formats, i),
		})
	}
	c.backend.Send(m)
}

// rows sends rows of an answer.
func (c *conn) rows(out *rows, values [][]any, formats []int16) {
	if out.copyOut {
		c.copyRows(values)
		return
	}
	for _, row := range values {
		m := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for i, v := range row {
			m.Values[i] = encode(v, out.columns[i].oid, formatOf(formats, i))
		}
		c.backend.Send(m)
	}
}

func (c *conn) copyRows(values [][]any) {
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0}})
	for _, row := range values {
		fields := make([]string, len(row))
		for i, v := range row {
			fields[i] = `\N`
			if v != nil {
				fields[i] = string(text(v))
			}
		}
		c.backend.Send(&pgproto3.CopyData{Data: []byte(strings.Join(fields, "\t") + "\n")})
	}
	c.backend.Send(&pgproto3.CopyDone{})
}

func (c *conn) complete(out *rows) {
	if out.empty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(out.tag)})
}

func encode(v any, oid uint32, format int16) []byte {
	if v == nil {
		return nil
	}
	if format == 0 {
		return text(v)
	}
	switch oid {
	case oidInt8:
		if n, ok := v.(int64); ok {
			return binary.BigEndian.AppendUint64(nil, uint64(n))
		}
	case oidFloat8:
		if f, ok := v.(float64); ok {
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(f))
		}
	}
	return text(v)
}

func text(v any) []byte {
	switch v := v.(type) {
	case int64:
		return strconv.AppendInt(nil, v, 10)
	case float64:
		return strconv.AppendFloat(nil, v, 'g', -1, 64)
	case string:
		return []byte(v)
	case []byte:
		return v
	case bool:
		return strconv.AppendBool(nil, v)
	}
	return fmt.Append(nil, v)
}
