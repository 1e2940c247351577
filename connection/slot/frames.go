package slot

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/connection/frame"
)

// sqlState returns the SQLSTATE of an ErrorResponse, or "" if it can't be decoded.
func sqlState(p []byte) string {
	var e pgproto3.ErrorResponse
	if e.Decode(frame.Body(p)) != nil {
		return ""
	}
	return e.Code
}

// column returns a column of a DataRow frame, or "" if there is none.
func column(p []byte, i int) string {
	var row pgproto3.DataRow
	if row.Decode(frame.Body(p)) != nil || len(row.Values) <= i {
		return ""
	}
	return string(row.Values[i])
}

// parseName returns the name of the statement that a Parse frame creates.
func parseName(p []byte) string {
	name, _, _ := bytes.Cut(frame.Body(p), []byte{0})
	return string(name)
}

// bindStatement returns the name of the statement that a Bind frame uses.
func bindStatement(p []byte) string {
	_, rest, _ := bytes.Cut(frame.Body(p), []byte{0})
	name, _, _ := bytes.Cut(rest, []byte{0})
	return string(name)
}

// describeStatement returns the name of the statement that a Describe frame asks
// about. It reports false for a Describe of a portal.
func describeStatement(p []byte) (string, bool) {
	body := frame.Body(p)
	if len(body) == 0 || body[0] != 'S' {
		return "", false
	}
	name, _, _ := bytes.Cut(body[1:], []byte{0})
	return string(name), true
}
