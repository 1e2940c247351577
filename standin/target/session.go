package target

import (
	"context"
	"database/sql"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/standin/sqldb"
)

// sqlError is an error with an SQLSTATE.
type sqlError struct {
	state string
	text  string
}

// Error returns the text.
func (e *sqlError) Error() string {
	return e.text
}

// rows is the answer to one statement.
type rows struct {
	columns []column
	values  [][]any
	tag     string
	empty   bool
	copyIn  string
	copyOut bool
}

type column struct {
	name string
	oid  uint32
}

// session is the SQL side of one connection.
type session struct {
	target   *Target
	conn     *sql.Conn
	ctx      context.Context
	mu       sync.Mutex
	stop     context.CancelFunc
	open     bool
	failed   bool
	readOnly bool
	wrote    []statement
	settings map[string]string
	epoch    int
}

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
	if s.open {
		_, _ = s.conn.ExecContext(context.Background(), "ROLLBACK")
	}
	_ = s.conn.Close()
}

// interrupt cancels the running statement.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil {
		s.stop()
	}
}

func (s *session) begun() context.Context {
	ctx, stop := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.stop = stop
	s.mu.Unlock()
	return ctx
}

func (s *session) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
	s.stop = nil
}

func (s *session) status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.open:
		return 'T'
	}
	return 'I'
}

var (
	firstWord    = regexp.MustCompile(`^(?:\s|--[^\n]*\n|/\*(?s:.*?)\*/)*(\w+)`)
	setPattern   = regexp.MustCompile(`(?is)^\s*set\s+(?:session\s+|local\s+)?([\w.]+)\s*(?:=|\s+to\s)\s*'?([^']*?)'?\s*$`)
	copyPattern  = regexp.MustCompile(`(?is)^\s*copy\s+([\w."]+)\s*(?:\(([^)]*)\))?\s+(from\s+stdin|to\s+stdout)`)
	copySelect   = regexp.MustCompile(`(?is)^\s*copy\s+\((.*)\)\s+to\s+stdout`)
	positionName = "pistachiotray.position"
)

func wordOf(text string) string {
	m := firstWord.FindStringSubmatch(text)
	if m == nil {
		return ""
	}
	return strings.ToUpper(m[1])
}

// run executes one statement.
func (s *session) run(text string, args []any) (*rows, error) {
	word := wordOf(text)
	if s.failed && word != "ROLLBACK" && word != "COMMIT" && word != "END" && word != "ABORT" {
		return nil, &sqlError{"25P02", "current transaction is aborted, commands ignored until end of transaction block"}
	}
	out, err := s.runWord(word, text, args)
	if err != nil && s.open {
		s.failed = true
	}
	return out, err
}

func (s *session) runWord(word, text string, args []any) (*rows, error) {
	switch word {
	case "":
		return &rows{empty: true}, nil
	case "BEGIN", "START":
		return s.begin(text)
	case "COMMIT", "END":
		return s.commit()
	case "ROLLBACK", "ABORT":
		return s.rollback()
	case "SET", "RESET", "DISCARD", "SHOW", "DEALLOCATE":
		return s.setting(word, text)
	case "COPY":
		return s.copyStatement(text)
	}
	return s.query(word, text, args)
}

func (s *session) begin(text string) (*rows, error) {
	if s.open {
		return &rows{tag: "BEGIN"}, nil
	}
	if _, err := s.conn.ExecContext(s.ctx, "BEGIN"); err != nil {
		return nil, convert(err)
	}
	s.open = true
	s.readOnly = strings.Contains(strings.ToLower(text), "read only") || s.settings["default_transaction_read_only"] == "on"
	if strings.Contains(strings.ToLower(text), "read write") {
		s.readOnly = false
	}
	return &rows{tag: "BEGIN"}, nil
}

func (s *session) rollback() (*rows, error) {
	if s.open {
		_, _ = s.conn.ExecContext(context.Background(), "ROLLBACK")
	}
	s.open, s.failed, s.wrote = false, false, nil
	return &rows{tag: "ROLLBACK"}, nil
}

func (s *session) commit() (*rows, error) {
	if !s.open || s.failed {
		return s.rollback()
	}
	err := s.target.commit(s)
	s.open, s.failed, s.wrote = false, false, nil
	if err != nil {
		_, _ = s.conn.ExecContext(context.Background(), "ROLLBACK")
		return nil, err
	}
	return &rows{tag: "COMMIT"}, nil
}

// commit commits a session's transaction and appends it to the log, so that
// both have one order. A member that was fenced meanwhile takes it back.
func (t *Target) commit(s *session) error {
	t.write.Lock()
	defer t.write.Unlock()
	term, err := t.mayCommit(s)
	if err != nil {
		return err
	}
	if _, err := s.conn.ExecContext(context.Background(), "COMMIT"); err != nil {
		return convert(err)
	}
	if len(s.wrote) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.primary || t.term != term {
		t.remakeLocked(t.log)
		return &sqlError{"57P01", "this member was replaced during the commit, which was taken back"}
	}
	t.appendLocked(entry{term: term, statements: s.wrote})
	t.applied = len(t.log)
	return nil
}

func (t *Target) mayCommit(s *session) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(s.wrote) > 0 && !t.primary {
		return 0, &sqlError{"25006", "cannot execute COMMIT: this member is not the primary"}
	}
	if s.epoch != t.epoch {
		return 0, &sqlError{"57P01", "the member's log was cut"}
	}
	return t.term, nil
}

func isRead(word string) bool {
	return word == "SELECT" || word == "VALUES" || word == "EXPLAIN" || word == "WITH"
}

func (s *session) query(word, text string, args []any) (*rows, error) {
	if isRead(word) {
		return s.fetch(word, text, args)
	}
	if (s.open && s.readOnly) || (!s.open && s.settings["default_transaction_read_only"] == "on") {
		return nil, &sqlError{"25006", "cannot execute " + word + " in a read-only transaction"}
	}
	s.target.mu.Lock()
	leads := s.target.primary
	s.target.mu.Unlock()
	if !leads {
		return nil, &sqlError{"25006", "cannot execute " + word + ": this member is not the primary"}
	}
	if s.open {
		return s.write(word, text, args)
	}
	return s.autocommit(word, text, args)
}

func (s *session) autocommit(word, text string, args []any) (*rows, error) {
	if _, err := s.conn.ExecContext(s.ctx, "BEGIN IMMEDIATE"); err != nil {
		return nil, convert(err)
	}
	out, err := s.write(word, text, args)
	if err == nil {
		err = s.target.commit(s)
	}
	s.wrote = nil
	if err != nil {
		_, _ = s.conn.ExecContext(context.Background(), "ROLLBACK")
		return nil, err
	}
	return out, nil
}

func (s *session) write(word, text string, args []any) (*rows, error) {
	translated := sqldb.Translate(text)
	var out *rows
	var err error
	if strings.Contains(strings.ToUpper(text), "RETURNING") {
		out, err = s.fetch(word, text, args)
	} else {
		out, err = s.exec(word, translated, args)
	}
	if err == nil {
		s.wrote = append(s.wrote, statement{translated, args})
	}
	return out, err
}

func (s *session) exec(word, text string, args []any) (*rows, error) {
	ctx := s.begun()
	defer s.ended()
	text, err := sleep(ctx, text)
	if err != nil {
		return nil, convert(err)
	}
	r, err := s.conn.ExecContext(ctx, text, args...)
	if err != nil {
		return nil, convert(err)
	}
	n, _ := r.RowsAffected()
	return &rows{tag: tagOf(word, text, n)}, nil
}

func tagOf(word, text string, n int64) string {
	switch word {
	case "INSERT":
		return "INSERT 0 " + strconv.FormatInt(n, 10)
	case "UPDATE", "DELETE":
		return word + " " + strconv.FormatInt(n, 10)
	case "CREATE", "DROP", "ALTER":
		if f := strings.Fields(strings.ToUpper(text)); len(f) > 1 {
			return word + " " + f[1]
		}
	}
	return word
}

func (s *session) fetch(word, text string, args []any) (*rows, error) {
	ctx := s.begun()
	defer s.ended()
	text, err := sleep(ctx, text)
	if err != nil {
		return nil, convert(err)
	}
	r, err := s.conn.QueryContext(ctx, sqldb.Translate(text), args...)
	if err != nil {
		return nil, convert(err)
	}
	defer func() { _ = r.Close() }()
	out, err := collect(r)
	if err != nil {
		return nil, convert(err)
	}
	out.tag = fmt.Sprintf("SELECT %d", len(out.values))
	if !isRead(word) {
		out.tag = tagOf(word, text, int64(len(out.values)))
	}
	return out, nil
}

func collect(r *sql.Rows) (*rows, error) {
	types, err := r.ColumnTypes()
	if err != nil {
		return nil, err
	}
	out := &rows{}
	for _, t := range types {
		out.columns = append(out.columns, column{t.Name(), oidOf(t.DatabaseTypeName())})
	}
	for r.Next() {
		values := make([]any, len(types))
		pointers := make([]any, len(types))
		for i := range values {
			pointers[i] = &values[i]
		}
		if err := r.Scan(pointers...); err != nil {
			return nil, err
		}
		out.values = append(out.values, values)
	}
	return out, r.Err()
}

// convert gives an error of the tables the SQLSTATE that PostgreSQL gives.
func convert(err error) error {
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
