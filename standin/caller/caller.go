// Package caller implements a database client that can continue its session at
// another host, as applications do.
package caller

import (
	"context"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/pistachiotray/pistachiotray/process/wrap"
	"github.com/pistachiotray/pistachiotray/request/code"
)

// sessionParameter is the connection parameter that carries the session token.
const sessionParameter = "pistachiotray.session"

// Caller is a client with one connection and the token of its session. It must not
// be used by several goroutines at once.
type Caller struct {
	// conn is nil after Drop.
	conn *pgx.Conn
	// token is the newest session token that Token read, or empty for a new session.
	token string
}

// New connects with a connection string and starts a session.
func New(ctx context.Context, dsn string) (*Caller, error) {
	c := &Caller{}
	return c, c.connect(ctx, dsn)
}

// connect opens a connection. The connection continues the session of c.token, or
// starts a new session if c.token is empty.
func (c *Caller) connect(ctx context.Context, dsn string) error {
	config, err := pgx.ParseConfig(dsn)
	if err != nil {
		return errors.Wrap(err, "parse connection string")
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	if c.token != "" {
		config.RuntimeParams[sessionParameter] = c.token
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return errors.Wrap(err, "open connection")
	}
	c.conn = conn
	return nil
}

// Reconnect drops the connection and opens one with another connection string. The
// new connection continues the session. If forget is set and Drop was called before, it
// starts a new session. Without an earlier Drop, forget has no effect, because the
// token is read again from the connection that Reconnect drops.
func (c *Caller) Reconnect(ctx context.Context, dsn string, forget bool) error {
	c.token = c.Token()
	if forget {
		c.token = ""
	}
	c.Drop()
	return c.connect(ctx, dsn)
}

// Token returns the newest session token that the host sent, and stores it for
// Reconnect.
func (c *Caller) Token() string {
	if c.conn == nil {
		return c.token
	}
	if t := c.conn.PgConn().ParameterStatus(sessionParameter); t != "" {
		c.token = t
	}
	return c.token
}

// InTransaction reports whether the session has an open transaction, even if an
// error has aborted it.
func (c *Caller) InTransaction() bool {
	return c.conn.PgConn().TxStatus() != 'I'
}

// Conn returns the connection, or nil after Drop.
func (c *Caller) Conn() *pgx.Conn {
	return c.conn
}

// Exec runs the statements in text with the simple query protocol. It returns the
// command tag of the last statement, or "" if the text has no statement.
func (c *Caller) Exec(ctx context.Context, text string) (string, error) {
	results, err := c.conn.PgConn().Exec(ctx, text).ReadAll()
	if err != nil {
		return "", err
	}
	if len(results) == 0 {
		return "", nil
	}
	return results[len(results)-1].CommandTag.String(), nil
}

// Value runs the statements in text with the simple query protocol. It returns the
// first column of the first row that a statement returned, or "" if there are no
// rows.
func (c *Caller) Value(ctx context.Context, text string) (string, error) {
	results, err := c.conn.PgConn().Exec(ctx, text).ReadAll()
	if err != nil {
		return "", err
	}
	for _, r := range results {
		if len(r.Rows) > 0 {
			return string(r.Rows[0][0]), nil
		}
	}
	return "", nil
}

// Drop stores the session token for Reconnect, and then closes the connection
// without a Terminate message, as a crash of the client would.
func (c *Caller) Drop() {
	if c.conn != nil {
		c.Token()
		_ = c.conn.PgConn().Conn().Close()
		c.conn = nil
	}
}

// Close sends a Terminate message and closes the connection.
func (c *Caller) Close(ctx context.Context) error {
	return wrap.If(c.conn.Close(ctx), "close connection")
}

// Code returns the result code that the detail of a PostgreSQL error begins with,
// and true. It returns Done and true for a nil error, and false if the error has no
// result code.
func Code(err error) (code.Code, bool) {
	if err == nil {
		return code.Done, true
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return 0, false
	}
	for _, c := range code.All() {
		if strings.HasPrefix(e.Detail, "Result "+c.Name()+" ") {
			return c, true
		}
	}
	return 0, false
}
