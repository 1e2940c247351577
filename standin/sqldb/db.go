// Package sqldb holds the tables of one stand-in member in memory.
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
	_ "modernc.org/sqlite" // the driver of that name
)

// busyTimeout is how long a statement waits for another's lock.
const busyTimeout = 5 * time.Second

var serial atomic.Uint64

// DB is a database in memory. Its connections see each other's commits.
type DB struct {
	pool *sql.DB
}

// New returns an empty database.
func New() (*DB, error) {
	name := fmt.Sprintf("file:/standin%d?vfs=memdb&_pragma=busy_timeout(%d)", serial.Add(1), busyTimeout.Milliseconds())
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

// Conn returns a connection of its own.
func (d *DB) Conn(ctx context.Context) (*sql.Conn, error) {
	c, err := d.pool.Conn(ctx)
	return c, wrap.If(err, "DB.Conn")
}

// Close drops the database.
func (d *DB) Close() {
	_ = d.pool.Close()
}

var parameter = regexp.MustCompile(`'(?:[^']|'')*'|\$(\d+)|::\w+`)

// Translate turns PostgreSQL's parameters and casts into SQLite's.
func Translate(text string) string {
	if !strings.ContainsAny(text, "$:") {
		return text
	}
	return parameter.ReplaceAllStringFunc(text, func(m string) string {
		switch m[0] {
		case '$':
			return "?" + m[1:]
		case ':':
			return ""
		}
		return m
	})
}
