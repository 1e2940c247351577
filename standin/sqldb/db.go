// Package sqldb implements the tables of one stand-in member as an SQLite
// database in memory.
package sqldb

import (
	"context"
	"database/sql"
	"fmt"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/pistachiotray/pistachiotray/process/wrap"
	_ "modernc.org/sqlite" // registers the driver "sqlite"
)

// busyTimeout is how long a statement waits for a lock that another connection
// holds.
const busyTimeout = 5 * time.Second

// lastID is the number of the newest database. The number is part of the
// database's name, so that each database is separate.
var lastID atomic.Uint64

// DB is a database in memory. All its connections see the same committed data.
type DB struct {
	pool *sql.DB
}

// New returns an empty database.
func New() (*DB, error) {
	name := fmt.Sprintf("file:/standin%d?vfs=memdb&_pragma=busy_timeout(%d)", lastID.Add(1), busyTimeout.Milliseconds())
	pool, err := sql.Open("sqlite", name)
	if err != nil {
		return nil, errors.Wrap(err, "open SQLite database")
	}
	pool.SetMaxIdleConns(64)
	if err := pool.Ping(); err != nil {
		return nil, errors.Wrap(err, "connect to SQLite database")
	}
	return &DB{pool: pool}, nil
}

// Conn returns a connection for the caller's sole use until it is closed.
func (d *DB) Conn(ctx context.Context) (*sql.Conn, error) {
	c, err := d.pool.Conn(ctx)
	return c, wrap.If(err, "connect to SQLite database")
}

// Close closes the database and discards its contents.
func (d *DB) Close() {
	_ = d.pool.Close()
}

// rewritePattern matches parameters and casts, which Translate rewrites, and string
// literals, which it leaves as they are.
var rewritePattern = regexp.MustCompile(`'(?:[^']|'')*'|\$(\d+)|::\w+`)

// Translate rewrites a PostgreSQL statement for SQLite: it replaces parameters ($1)
// by SQLite's form (?1) and removes casts (::type).
func Translate(text string) string {
	if !strings.ContainsAny(text, "$:") {
		return text
	}
	return rewritePattern.ReplaceAllStringFunc(text, func(m string) string {
		switch m[0] {
		case '$':
			return "?" + m[1:]
		case ':':
			return ""
		}
		return m
	})
}
