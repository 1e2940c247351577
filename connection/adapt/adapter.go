// Package adapt holds the one place that knows how a member is asked for its
// term and position, fenced and promoted, and how idempotency keys are kept.
package adapt

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// The numbers in the answer to PositionSQL, in order.
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

// markerTable holds the idempotency keys in each target.
const markerTable = "pistachiotray_request"

// Adapter gives the statements that members understand.
type Adapter struct{}

// New returns the adapter.
func New() Adapter {
	return Adapter{}
}

// ControlUser is the name under which members are asked and ordered.
func (Adapter) ControlUser() string {
	return "pistachiotray_control"
}

// PositionSQL asks a member for its report, one row with one text: numbers
// with a space between each two.
func (Adapter) PositionSQL() string {
	return "SHOW pistachiotray.position"
}

// FenceSQL makes a member promise the term to the host by; it answers as
// PositionSQL does, or with an error where it has promised more.
func (Adapter) FenceSQL(term uint64, by string) string {
	return fmt.Sprintf("SET pistachiotray.fence = '%d %s'", term, by)
}

// PromoteSQL makes a member the primary of the term that it promised to by.
func (Adapter) PromoteSQL(term uint64, by string) string {
	return fmt.Sprintf("SET pistachiotray.promote = '%d %s'", term, by)
}

// Decode reads the row of a member's answer, values in text form.
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

// parse reads the numbers of a report, with a space between each two.
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

// CreateMarkerSQL makes the table of idempotency keys where it is missing.
func (Adapter) CreateMarkerSQL() string {
	return "CREATE TABLE IF NOT EXISTS " + markerTable +
		" (request_key text PRIMARY KEY, kind text NOT NULL, made_at bigint NOT NULL, answer text)"
}

// InsertMarkerSQL adds a key in the request's own transaction. The time is in
// seconds since 1970.
func (Adapter) InsertMarkerSQL(key string, at int64) string {
	return fmt.Sprintf("INSERT INTO %s (request_key, kind, made_at) VALUES (%s, 'ran', %d)", markerTable, quote(key), at)
}

// WithdrawMarkerSQL adds a key as withdrawn where it is missing, so that the
// request that it belongs to can never commit.
func (Adapter) WithdrawMarkerSQL(key string, at int64) string {
	return fmt.Sprintf("INSERT INTO %s (request_key, kind, made_at) VALUES (%s, 'withdrawn', %d) ON CONFLICT (request_key) DO NOTHING",
		markerTable, quote(key), at)
}

// StoreAnswerSQL adds the answer of a key's request, in hexadecimal digits, in
// the request's own transaction.
func (Adapter) StoreAnswerSQL(key, answer string) string {
	return fmt.Sprintf("UPDATE %s SET answer = '%s' WHERE request_key = %s", markerTable, answer, quote(key))
}

// FindMarkerSQL asks for the kind of a key, ran or withdrawn, and its answer.
func (Adapter) FindMarkerSQL(key string) string {
	return fmt.Sprintf("SELECT kind, answer FROM %s WHERE request_key = %s", markerTable, quote(key))
}

// TrimMarkerSQL removes the keys made before the time, in seconds since 1970.
func (Adapter) TrimMarkerSQL(before int64) string {
	return fmt.Sprintf("DELETE FROM %s WHERE made_at < %d", markerTable, before)
}

func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
