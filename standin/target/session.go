package target

import (
	"context"
	"database/sql"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/pistachiotray/pistachiotray/standin/sqldb"
)

// result is the result of one statement.
type result struct {
	columns []column
	rows    [][]any
	// tag is the command tag.
	tag string
	// empty is set if the text has no statement.
	empty bool
	// copyInsert is set for COPY ... FROM STDIN. It is the INSERT statement up to
	// the list of values, which is run for each row received.
	copyInsert string
	// copyOut is set for COPY ... TO STDOUT.
	copyOut bool
}

// column is the name and type of a result's column.
type column struct {
	name string
	oid  uint32
}

// session runs the statements of one connection and holds the connection's
// transaction and settings. All methods but interrupt are called by the connection's goroutine.
type session struct {
	target *Target
	conn   *sql.Conn
	ctx    context.Context
	// mu guards cancel, which cancels the running statement and is nil if there
	// is none.
	mu            sync.Mutex
	cancel        context.CancelFunc
	inTransaction bool
	// failed is set if the open transaction was aborted by an error.
	failed bool
	// readOnly is set if the open transaction is read-only.
	readOnly bool
	// writes are the write statements of the open transaction.
	writes []statement
	// settings maps the names of settings, in lower case, to their values.
	settings map[string]string
	// epoch is the epoch of the target when the session began.
	epoch int
}

// newSession returns a session on the current tables. It must be closed.
func newSession(ctx context.Context, t *Target) (*session, error) {
	t.mu.Lock()
	db, epoch := t.db, t.epoch
	t.mu.Unlock()
	c, err := db.Conn(ctx)
	if err != nil {
		return nil, err
	}
	return &session{target: t, conn: c, ctx: ctx, epoch: epoch, settings: map[string]string{}}, nil
}

func (s *session) close() {
	if s.inTransaction {
		_, _ = s.conn.ExecContext(context.Background(), "ROLLBACK")
	}
	_ = s.conn.Close()
}

// interrupt cancels the running statement, if there is one. It may be called by
// any goroutine.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// startStatement returns a context for one statement, which interrupt cancels. The
// caller must call endStatement when the statement has ended.
func (s *session) startStatement() context.Context {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	return ctx
}

func (s *session) endStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	s.cancel = nil
}

// status returns the transaction status that ReadyForQuery reports.
func (s *session) status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.inTransaction:
		return 'T'
	}
	return 'I'
}

var (
	// keywordPattern matches leading comments and the first word.
	keywordPattern = regexp.MustCompile(`^(?:\s|--[^\n]*\n|/\*(?s:.*?)\*/)*(\w+)`)
	// setPattern captures the name and the value of a SET statement.
	setPattern = regexp.MustCompile(`(?is)^\s*set\s+(?:session\s+|local\s+)?([\w.]+)\s*(?:=|\s+to\s)\s*'?([^']*?)'?\s*$`)
	// copyPattern captures the table, the columns and the direction of a COPY.
	copyPattern = regexp.MustCompile(`(?is)^\s*copy\s+([\w."]+)\s*(?:\(([^)]*)\))?\s+(from\s+stdin|to\s+stdout)`)
	// copySelectPattern captures the query of COPY (query) TO STDOUT.
	copySelectPattern = regexp.MustCompile(`(?is)^\s*copy\s+\((.*)\)\s+to\s+stdout`)
	// positionSetting is the setting by which hosts read a member's report.
	positionSetting = "pistachiotray.position"
)

// keywordOf returns the first word of a statement in upper case, skipping
// comments, or "" if there is none.
func keywordOf(text string) string {
	m := keywordPattern.FindStringSubmatch(text)
	if m == nil {
		return ""
	}
	return strings.ToUpper(m[1])
}

// run runs one statement. As in PostgreSQL, a statement that fails aborts the open
// transaction, and an aborted transaction accepts only statements that end it.
func (s *session) run(text string, args []any) (*result, error) {
	keyword := keywordOf(text)
	if s.failed && keyword != "ROLLBACK" && keyword != "COMMIT" && keyword != "END" && keyword != "ABORT" {
		return nil, &sqlError{"25P02", "current transaction is aborted, commands ignored until end of transaction block"}
	}
	res, err := s.dispatch(keyword, text, args)
	if err != nil && s.inTransaction {
		s.failed = true
	}
	return res, err
}

func (s *session) dispatch(keyword, text string, args []any) (*result, error) {
	switch keyword {
	case "":
		return &result{empty: true}, nil
	case "BEGIN", "START":
		return s.begin(text)
	case "COMMIT", "END":
		return s.commit()
	case "ROLLBACK", "ABORT":
		return s.rollback()
	case "SET", "RESET", "DISCARD", "SHOW", "DEALLOCATE":
		return s.runSetting(keyword, text)
	case "COPY":
		return s.runCopy(text)
	}
	return s.runSQL(keyword, text, args)
}

// begin starts a transaction whose access mode is given by the statement, or else
// by default_transaction_read_only. It has no effect if a transaction is open.
func (s *session) begin(text string) (*result, error) {
	if s.inTransaction {
		return &result{tag: "BEGIN"}, nil
	}
	if _, err := s.conn.ExecContext(s.ctx, "BEGIN"); err != nil {
		return nil, toSQLError(err)
	}
	s.inTransaction = true
	s.readOnly = strings.Contains(strings.ToLower(text), "read only") || s.settings["default_transaction_read_only"] == "on"
	if strings.Contains(strings.ToLower(text), "read write") {
		s.readOnly = false
	}
	return &result{tag: "BEGIN"}, nil
}

func (s *session) rollback() (*result, error) {
	if s.inTransaction {
		_, _ = s.conn.ExecContext(context.Background(), "ROLLBACK")
	}
	s.inTransaction, s.failed, s.writes = false, false, nil
	return &result{tag: "ROLLBACK"}, nil
}

// commit commits the open transaction. It rolls back if there is none or if it was
// aborted.
func (s *session) commit() (*result, error) {
	if !s.inTransaction || s.failed {
		return s.rollback()
	}
	err := s.target.commit(s)
	s.inTransaction, s.failed, s.writes = false, false, nil
	if err != nil {
		_, _ = s.conn.ExecContext(context.Background(), "ROLLBACK")
		return nil, err
	}
	return &result{tag: "COMMIT"}, nil
}

// commit commits a session's transaction to the tables and appends it to the log.
// It holds writeMu throughout, so that the tables and the log have the same order
// of transactions. If the member was fenced before the transaction is in the log,
// commit rebuilds the tables from the log and thereby undoes the transaction.
func (t *Target) commit(s *session) error {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	term, err := t.checkCommit(s)
	if err != nil {
		return err
	}
	if _, err := s.conn.ExecContext(context.Background(), "COMMIT"); err != nil {
		return toSQLError(err)
	}
	if len(s.writes) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.primary || t.term != term {
		t.rebuildLocked(t.log)
		return &sqlError{"57P01", "this member was replaced during the commit, which was taken back"}
	}
	t.appendLocked(entry{term: term, statements: s.writes})
	t.applied = len(t.log)
	return nil
}

// checkCommit returns the current term. It returns an error if the session wrote
// and the member isn't primary, or if the tables were rebuilt since the session
// began.
func (t *Target) checkCommit(s *session) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(s.writes) > 0 && !t.primary {
		return 0, &sqlError{"25006", "cannot execute COMMIT: this member is not the primary"}
	}
	if s.epoch != t.epoch {
		return 0, &sqlError{"57P01", "the member's log was cut"}
	}
	return t.term, nil
}

// isRead reports whether a statement that starts with keyword runs as a read. WITH
// counts as a read, although PostgreSQL also allows writes in it.
func isRead(keyword string) bool {
	return keyword == "SELECT" || keyword == "VALUES" || keyword == "EXPLAIN" || keyword == "WITH"
}

// runSQL runs a read or a write on the tables. It refuses a write in a read-only
// transaction, and if the member is not the primary.
func (s *session) runSQL(keyword, text string, args []any) (*result, error) {
	if isRead(keyword) {
		return s.queryRows(keyword, text, args)
	}
	if (s.inTransaction && s.readOnly) || (!s.inTransaction && s.settings["default_transaction_read_only"] == "on") {
		return nil, &sqlError{"25006", "cannot execute " + keyword + " in a read-only transaction"}
	}
	s.target.mu.Lock()
	isPrimary := s.target.primary
	s.target.mu.Unlock()
	if !isPrimary {
		return nil, &sqlError{"25006", "cannot execute " + keyword + ": this member is not the primary"}
	}
	if s.inTransaction {
		return s.runWrite(keyword, text, args)
	}
	return s.autocommit(keyword, text, args)
}

// autocommit runs a write in a transaction of its own.
func (s *session) autocommit(keyword, text string, args []any) (*result, error) {
	if _, err := s.conn.ExecContext(s.ctx, "BEGIN IMMEDIATE"); err != nil {
		return nil, toSQLError(err)
	}
	res, err := s.runWrite(keyword, text, args)
	if err == nil {
		err = s.target.commit(s)
	}
	s.writes = nil
	if err != nil {
		_, _ = s.conn.ExecContext(context.Background(), "ROLLBACK")
		return nil, err
	}
	return res, nil
}

// runWrite runs a write and records it in s.writes, from where the commit copies
// it to the log.
func (s *session) runWrite(keyword, text string, args []any) (*result, error) {
	translated := sqldb.Translate(text)
	var res *result
	var err error
	if strings.Contains(strings.ToUpper(text), "RETURNING") {
		res, err = s.queryRows(keyword, text, args)
	} else {
		res, err = s.runExec(keyword, translated, args)
	}
	if err == nil {
		s.writes = append(s.writes, statement{translated, args})
	}
	return res, err
}

func (s *session) runExec(keyword, text string, args []any) (*result, error) {
	ctx := s.startStatement()
	defer s.endStatement()
	text, err := sleep(ctx, text)
	if err != nil {
		return nil, toSQLError(err)
	}
	r, err := s.conn.ExecContext(ctx, text, args...)
	if err != nil {
		return nil, toSQLError(err)
	}
	n, _ := r.RowsAffected()
	return &result{tag: commandTag(keyword, text, n)}, nil
}

// commandTag returns the command tag that PostgreSQL sends for a statement that
// affected n rows. Statements of unknown kinds have their keyword as the tag.
func commandTag(keyword, text string, n int64) string {
	switch keyword {
	case "INSERT":
		return "INSERT 0 " + strconv.FormatInt(n, 10)
	case "UPDATE", "DELETE":
		return keyword + " " + strconv.FormatInt(n, 10)
	case "CREATE", "DROP", "ALTER":
		if f := strings.Fields(strings.ToUpper(text)); len(f) > 1 {
			return keyword + " " + f[1]
		}
	}
	return keyword
}

// queryRows runs a statement that returns rows.
func (s *session) queryRows(keyword, text string, args []any) (*result, error) {
	ctx := s.startStatement()
	defer s.endStatement()
	text, err := sleep(ctx, text)
	if err != nil {
		return nil, toSQLError(err)
	}
	rows, err := s.conn.QueryContext(ctx, sqldb.Translate(text), args...)
	if err != nil {
		return nil, toSQLError(err)
	}
	defer func() { _ = rows.Close() }()
	res, err := collectRows(rows)
	if err != nil {
		return nil, toSQLError(err)
	}
	res.tag = fmt.Sprintf("SELECT %d", len(res.rows))
	if !isRead(keyword) {
		res.tag = commandTag(keyword, text, int64(len(res.rows)))
	}
	return res, nil
}

func collectRows(rows *sql.Rows) (*result, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	res := &result{}
	for _, t := range types {
		res.columns = append(res.columns, column{t.Name(), oidOf(t.DatabaseTypeName())})
	}
	for rows.Next() {
		row := make([]any, len(types))
		pointers := make([]any, len(types))
		for i := range row {
			pointers[i] = &row[i]
		}
		if err := rows.Scan(pointers...); err != nil {
			return nil, err
		}
		res.rows = append(res.rows, row)
	}
	return res, rows.Err()
}
