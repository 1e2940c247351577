package target

import (
	"context"
	"strings"

	"github.com/go-faster/errors"
)

// sqlError is an error that is sent to the client with an SQLSTATE.
type sqlError struct {
	sqlState string
	message  string
}

func (e *sqlError) Error() string {
	return e.message
}

// toSQLError converts an error of SQLite, or of a canceled context, to one with the
// SQLSTATE that PostgreSQL reports in the same case. Any other error becomes an
// internal error, XX000.
func toSQLError(err error) error {
	message := err.Error()
	switch {
	case errors.Is(err, context.Canceled) || strings.Contains(message, "interrupted"):
		return &sqlError{"57014", "canceling statement due to user request"}
	case strings.Contains(message, "UNIQUE constraint"):
		return &sqlError{"23505", message}
	case strings.Contains(message, "no such table"):
		return &sqlError{"42P01", message}
	case strings.Contains(message, "no such column"):
		return &sqlError{"42703", message}
	case strings.Contains(message, "syntax error"), strings.Contains(message, "incomplete input"):
		return &sqlError{"42601", message}
	case strings.Contains(message, "locked"), strings.Contains(message, "busy"):
		return &sqlError{"40001", "could not serialize access due to concurrent update"}
	case strings.Contains(message, "constraint"):
		return &sqlError{"23514", message}
	}
	return &sqlError{"XX000", message}
}
