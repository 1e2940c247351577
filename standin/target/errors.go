package target

import (
	"context"
	"strings"

	"github.com/go-faster/errors"
)

// sqlError is an error with an SQLSTATE.
type sqlError struct {
	sqlState string
	message  string
}

// Error returns the message.
func (e *sqlError) Error() string {
	return e.message
}

// toSQLError turns an error of SQLite into one with the SQLSTATE that PostgreSQL
// reports in the same case.
func toSQLError(err error) error {
	text := err.Error()
	switch {
	case errors.Is(err, context.Canceled) || strings.Contains(text, "interrupted"):
		return &sqlError{"57014", "canceling statement due to user request"}
	case strings.Contains(text, "UNIQUE constraint"):
		return &sqlError{"23505", text}
	case strings.Contains(text, "no such table"):
		return &sqlError{"42P01", text}
	case strings.Contains(text, "no such column"):
		return &sqlError{"42703", text}
	case strings.Contains(text, "syntax error"), strings.Contains(text, "incomplete input"):
		return &sqlError{"42601", text}
	case strings.Contains(text, "locked"), strings.Contains(text, "busy"):
		return &sqlError{"40001", "could not serialize access due to concurrent update"}
	case strings.Contains(text, "constraint"):
		return &sqlError{"23514", text}
	}
	return &sqlError{"XX000", text}
}
