// Package ctrl polls one member of a database group for its report, and fences and
// promotes the member.
package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/pistachiotray/pistachiotray/connection/adapt"
	"github.com/pistachiotray/pistachiotray/process/report"
)

// Control is the control connection to a member. It is opened on first use, and
// reopened by the first use after it broke. It does not count as one of the member's
// slots.
type Control struct {
	member  string
	dsn     string
	host    string
	adapter adapt.Adapter
	// mu guards conn. It is locked while a statement runs.
	mu sync.Mutex
	// conn is nil until the first use and after a failure.
	conn *pgconn.PgConn
}

// New returns the control connection of a host to a member. dsn is a connection string
// in pgconn's form. New does not connect.
func New(member, dsn, host string) *Control {
	return &Control{member: member, dsn: dsn, host: host, adapter: adapt.New()}
}

// Poll returns the member's report and the time at which the report was requested.
func (c *Control) Poll(ctx context.Context) (report.Report, time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked := time.Now()
	r, err := c.ask(ctx, c.adapter.PositionSQL())
	return r, asked, err
}

// Fence makes the member promise the term to this host, and then returns the
// member's report. If the member refuses, Fence returns both an error and the
// report, which contains the member's own term.
func (c *Control) Fence(ctx context.Context, term uint64) (report.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order(ctx, c.adapter.FenceSQL(term, c.host))
}

// Promote makes the member the primary of the term, and then returns the member's
// report. If the member refuses, it returns both an error and the report.
func (c *Control) Promote(ctx context.Context, term uint64) (report.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order(ctx, c.adapter.PromoteSQL(term, c.host))
}

// order runs a statement that fences or promotes the member. It then requests the
// member's report, even if the statement failed, and returns the report. The caller
// holds the lock.
func (c *Control) order(ctx context.Context, text string) (report.Report, error) {
	_, refusal := c.exec(ctx, text)
	r, err := c.ask(ctx, c.adapter.PositionSQL())
	if refusal != nil {
		return r, errors.Wrap(refusal, "Control.order")
	}
	return r, err
}

// ask runs the statement that asks for the member's report. The caller holds the lock.
func (c *Control) ask(ctx context.Context, text string) (report.Report, error) {
	row, err := c.exec(ctx, text)
	if err != nil {
		return report.Report{}, errors.Wrap(err, "Control.ask")
	}
	return c.adapter.Decode(c.member, row)
}

// exec runs one statement and returns the first row of its answer, nil if there is none.
// The caller holds the lock.
func (c *Control) exec(ctx context.Context, text string) ([][]byte, error) {
	if err := c.connect(ctx); err != nil {
		return nil, err
	}
	results, err := c.conn.Exec(ctx, text).ReadAll()
	if err != nil {
		c.dropBroken()
		return nil, err
	}
	for _, r := range results {
		if len(r.Rows) > 0 {
			return r.Rows[0], nil
		}
	}
	return nil, nil
}

// connect opens the connection if it is not open. The caller holds the lock.
func (c *Control) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	conn, err := pgconn.Connect(ctx, c.dsn)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

// dropBroken sets conn to nil if the connection has failed. The caller holds the
// lock.
func (c *Control) dropBroken() {
	if c.conn != nil && c.conn.IsClosed() {
		c.conn = nil
	}
}

// Close closes the connection. A later use opens it again.
func (c *Control) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Millisecond)
	defer stop()
	_ = c.conn.Close(ctx)
	c.conn = nil
}
