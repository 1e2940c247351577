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

// lastID is the number of the newest database; it keeps their names distinct.
var lastID atomic.Uint64

// DB is a database in memory that its connections share: each sees what the
// others have committed.
type DB struct {
	pool *sql.DB
}

// New returns an empty database.
func New() (*DB, error) {
	name := fmt.Sprintf("file:/standin%d?vfs=memdb&_pragma=busy_timeout(%d)", lastID.Add(1), busyTimeout.Milliseconds())
	pool, err := sql.Open("sqlite", name)
	if err != nil {
		return nil, errors.Wrap(err, "New")
	}
	pool.SetMaxIdleConns(64)
	if err := pool.Ping(); err != nil {
		return nil, errors.Wrap(err, "New")
	}
	return &DB{pool: pool}, nil
}

// Conn returns a connection for the caller's sole use until it is closed.
func (d *DB) Conn(ctx context.Context) (*sql.Conn, error) {
	c, err := d.pool.Conn(ctx)
	return c, wrap.If(err, "DB.Conn")
}

// Close closes the database, whose contents are lost.
func (d *DB) Close() {
	_ = d.pool.Close()
}

// rewritePattern matches what Translate replaces, and string literals, in which
// nothing is replaced.
var rewritePattern = regexp.MustCompile(`'(?:[^']|'')*'|\$(\d+)|::\w+`)

// Translate replaces PostgreSQL's parameters ($1) by SQLite's (?1) and removes
// casts (::type).
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
