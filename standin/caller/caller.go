// Package caller holds a client of a database that moves between hosts as
// applications do.
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

// sessionParameter is the name under which the session token travels.
const sessionParameter = "pistachiotray.session"

// Caller is one session. It is used by one goroutine.
type Caller struct {
	conn  *pgx.Conn
	token string
}

// New connects by a connection string as a new session.
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

// Reconnect connects anew by another connection string, with the session's token;
// without it where forget is set.
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

// Exec runs a statement by the simple protocol and returns its tag.
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

// Value runs a statement and returns the first column of its first row; an
// empty text where there is none.
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

// Drop closes the connection without a word.
func (c *Caller) Drop() {
	if c.conn != nil {
		c.Token()
		_ = c.conn.PgConn().Conn().Close()
		c.conn = nil
	}
}

// Close ends the session.
func (c *Caller) Close(ctx context.Context) error {
	return wrap.If(c.conn.Close(ctx), "Caller.Close")
}

// Code returns the numbered result in an error: Done where there is none, and
// false where the error carries no number.
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
