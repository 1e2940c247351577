// Package adapt builds the statements that ask a member for its report, fence or
// promote the member, and store idempotency keys. Their SQL is defined only here.
package adapt

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// The indexes of the numbers in a report, which is the answer to PositionSQL.
// columnCount is how many numbers a report has.
const (
	columnTerm = iota
	columnPrimary
	columnReceivedTerm
	columnReceivedPosition
	columnAppliedTerm
	columnAppliedPosition
	columnBaseTerm
	columnBasePosition
	columnLeaving
	columnSlots
	columnCount
)

// markerTable is the table of idempotency keys at each target.
const markerTable = "pistachiotray_request"

// Adapter builds the statements that are sent to members.
type Adapter struct{}

// New returns the adapter.
func New() Adapter {
	return Adapter{}
}

// ControlUser returns the user name of control connections to members.
func (Adapter) ControlUser() string {
	return "pistachiotray_control"
}

// PositionSQL returns the statement that asks a member for its report. The answer
// is one row with one text column, which contains numbers separated by single spaces.
func (Adapter) PositionSQL() string {
	return "SHOW pistachiotray.position"
}

// FenceSQL returns the statement that makes a member promise the term to a host. The
// member answers with its report, or with an error if it has promised a higher term.
func (Adapter) FenceSQL(term uint64, host string) string {
	return fmt.Sprintf("SET pistachiotray.fence = '%d %s'", term, host)
}

// PromoteSQL returns the statement that makes a member the primary of the term
// that it promised to a host.
func (Adapter) PromoteSQL(term uint64, host string) string {
	return fmt.Sprintf("SET pistachiotray.promote = '%d %s'", term, host)
}

// Decode returns the report in a row of a member's answer. The row must be in text
// format.
func (Adapter) Decode(member string, row [][]byte) (report.Report, error) {
	if len(row) != 1 {
		return report.Report{}, errors.Errorf("Adapter.Decode: %d columns in place of 1", len(row))
	}
	numbers, err := parse(row[0])
	if err != nil {
		return report.Report{}, err
	}
	return report.Report{
		Member:   member,
		Term:     numbers[columnTerm],
		Primary:  numbers[columnPrimary] == 1,
		Received: mark.New(numbers[columnReceivedTerm], numbers[columnReceivedPosition]),
		Applied:  mark.New(numbers[columnAppliedTerm], numbers[columnAppliedPosition]),
		Base:     mark.New(numbers[columnBaseTerm], numbers[columnBasePosition]),
		Leaving:  numbers[columnLeaving] == 1,
		Slots:    int(numbers[columnSlots]),
	}, nil
}

// parse returns the numbers in the text of a report.
func parse(text []byte) (numbers [columnCount]uint64, err error) {
	i := 0
	for _, c := range text {
		switch {
		case c == ' ' && i < columnCount-1:
			i++
		case c >= '0' && c <= '9':
			numbers[i] = numbers[i]*10 + uint64(c-'0')
		default:
			return numbers, errors.Errorf("Adapter.Decode: bad report %q", text)
		}
	}
	if i != columnCount-1 {
		return numbers, errors.Errorf("Adapter.Decode: %d numbers in place of %d", i+1, columnCount)
	}
	return numbers, nil
}

// CreateMarkerSQL returns the statement that creates the table of idempotency
// keys if it is missing.
func (Adapter) CreateMarkerSQL() string {
	return "CREATE TABLE IF NOT EXISTS " + markerTable +
		" (request_key text PRIMARY KEY, kind text NOT NULL, made_at bigint NOT NULL, answer text)"
}

// InsertMarkerSQL returns the statement that adds the key of a request. It must run in
// the request's transaction. at is the current time in seconds since 1970.
func (Adapter) InsertMarkerSQL(key string, at int64) string {
	return fmt.Sprintf("INSERT INTO %s (request_key, kind, made_at) VALUES (%s, 'ran', %d)", markerTable, quote(key), at)
}

// WithdrawMarkerSQL returns the statement that adds a key as withdrawn unless the key
// exists. The request to which the key belongs can then never commit. at is the
// current time in seconds since 1970.
func (Adapter) WithdrawMarkerSQL(key string, at int64) string {
	return fmt.Sprintf("INSERT INTO %s (request_key, kind, made_at) VALUES (%s, 'withdrawn', %d) ON CONFLICT (request_key) DO NOTHING",
		markerTable, quote(key), at)
}

// StoreAnswerSQL returns the statement that stores the answer to the request of a key,
// in hexadecimal. It must run in the request's transaction.
func (Adapter) StoreAnswerSQL(key, answer string) string {
	return fmt.Sprintf("UPDATE %s SET answer = '%s' WHERE request_key = %s", markerTable, answer, quote(key))
}

// FindMarkerSQL returns the statement that looks up a key. The columns of its row are
// the kind of the key, which is ran or withdrawn, and the stored answer.
func (Adapter) FindMarkerSQL(key string) string {
	return fmt.Sprintf("SELECT kind, answer FROM %s WHERE request_key = %s", markerTable, quote(key))
}

// TrimMarkerSQL returns the statement that deletes the keys that were added before
// a time, in seconds since 1970.
func (Adapter) TrimMarkerSQL(before int64) string {
	return fmt.Sprintf("DELETE FROM %s WHERE made_at < %d", markerTable, before)
}

// quote returns a text as an SQL string literal.
func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
