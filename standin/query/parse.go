// Package query decodes the statements that hosts send to members.
package query

import (
	"strings"

	"github.com/pistachiotray/pistachiotray/platform/lines"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// Parse decodes the text of a statement that a host sent to a member. A
// statement that it can't decode has the kind Unknown.
func Parse(id, text string) stmt.Stmt {
	var s stmt.Stmt
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		at, rest, _ := strings.Cut(rest, " ")
		m, err := lines.ParseMark(at)
		if err != nil {
			return stmt.New(id, stmt.Unknown, text)
		}
		return Parse(id, rest).WithAfter(m)
	}
	fields := strings.SplitN(text, " ", 3)
	for len(fields) < 3 {
		fields = append(fields, "")
	}
	kinds := map[string]int{
		"COMMIT": stmt.Commit, "ROLLBACK": stmt.Rollback, "READ": stmt.Read, "WRITE": stmt.Write, "SET": stmt.Set,
		"EXECUTE": stmt.Execute, "DEALLOCATE": stmt.Deallocate, "RESET": stmt.Reset, "RESUME": stmt.Resume, "STATUS": stmt.Status, "BEGIN": stmt.Begin,
	}
	s = stmt.New(id, kinds[fields[0]], text).WithName(fields[1], fields[2])
	switch {
	case text == "BEGIN READ":
		s.Kind = stmt.BeginRead
	case fields[0] == "PAUSE":
		s = stmt.New(id, stmt.Pause, text).WithName("", fields[1])
	case fields[0] == "DEMOTE":
		s = stmt.New(id, stmt.Demote, text).WithName("", fields[1])
	case fields[0] == "PREPARE":
		kind, preparedText, _ := strings.Cut(fields[2], " ")
		s = stmt.New(id, stmt.Prepare, text).WithName(fields[1], preparedText).WithWrites(kind == "WRITE")
	case fields[0] == "EXECUTE":
		s = s.WithWrites(strings.HasPrefix(fields[1], "w-"))
	}
	return s
}
