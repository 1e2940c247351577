// Package caller implements a database client that moves its session between
// hosts, as applications do.
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

// Caller is one session. It is used by one goroutine.
type Caller struct {
	conn  *pgx.Conn
	token string
}

// New connects with a connection string and starts a new session.
func New(ctx context.Context, dsn string) (*Caller, error) {
	c := &Caller{}
	return c, c.connect(ctx, dsn)
}

func (c *Caller) connect(ctx context.Context, dsn string) error {
	config, err := pgx.ParseConfig(dsn)
	if err != nil {
		return errors.Wrap(err, "Caller.connect")
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	if c.token != "" {
		config.RuntimeParams[sessionParameter] = c.token
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return errors.Wrap(err, "Caller.connect")
	}
	c.conn = conn
	return nil
}

// Reconnect closes the connection and opens one with another connection string.
// It presents the session's token unless forget is set, which starts a new
// session.
func (c *Caller) Reconnect(ctx context.Context, dsn string, forget bool) error {
	c.token = c.Token()
	if forget {
		c.token = ""
	}
	c.Drop()
	return c.connect(ctx, dsn)
}

// Token returns the session's newest token.
func (c *Caller) Token() string {
	if c.conn == nil {
		return c.token
	}
	if t := c.conn.PgConn().ParameterStatus(sessionParameter); t != "" {
		c.token = t
	}
	return c.token
}

// InTransaction reports whether the session has an open transaction.
func (c *Caller) InTransaction() bool {
	return c.conn.PgConn().TxStatus() != 'I'
}

// Conn returns the connection itself.
func (c *Caller) Conn() *pgx.Conn {
	return c.conn
}

// Exec runs a statement with the simple query protocol and returns its command
// tag, or that of the last one if the text has several.
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

// Value runs a text and returns the first column of the first row that any of
// its statements returns, or an empty string if there is none.
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

// Drop closes the connection without a Terminate message, as a client that fails
// does. The session's token is kept for Reconnect.
func (c *Caller) Drop() {
	if c.conn != nil {
		c.Token()
		_ = c.conn.PgConn().Conn().Close()
		c.conn = nil
	}
}

// Close closes the connection in order, with a Terminate message.
func (c *Caller) Close(ctx context.Context) error {
	return wrap.If(c.conn.Close(ctx), "Caller.Close")
}

// Code returns the result code that an error carries. It returns Done for nil,
// and false if the error carries no result code.
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
