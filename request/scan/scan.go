// Package scan finds the keywords in the text of a request that decide how the
// request uses pooled connections. It doesn't parse SQL: a keyword inside a literal
// or a name counts too. These approximations err on the side of caution.
package scan

import (
	"regexp"
	"strings"
	"sync"
)

// maxScannedBytes is the number of bytes at the start of a text that are searched
// for keywords.
const maxScannedBytes = 64 << 10

var (
	// labelPattern matches a comment with one or two name='value' pairs.
	labelPattern = regexp.MustCompile(`/\*\s*(\w+)\s*=\s*'([^']{1,128})'(?:\s*,\s*(\w+)\s*=\s*'([^']{1,128})')?\s*\*/`)
	// commentPattern matches whitespace and comments at the start of a text.
	commentPattern = regexp.MustCompile(`(?s)^(?:\s|--[^\n]*\n|/\*.*?\*/)+`)
	// beginPattern captures the options of a BEGIN or START TRANSACTION.
	beginPattern = regexp.MustCompile(`(?i)^(?:begin|start\s+transaction)\b([^;]*);?`)
	endPattern   = regexp.MustCompile(`(?i)\b(?:commit|end|prepare\s+transaction)\b`)
	// dirtyPattern matches statements that may leave state in the slot which a
	// reset of settings doesn't remove.
	dirtyPattern = regexp.MustCompile(`(?i)\b(?:temp|temporary|listen|pg_advisory_lock\w*|declare|load)\b`)
	copyPattern  = regexp.MustCompile(`(?i)\bcopy\b`)
	// setPattern captures the name and the value of a SET, resetPattern the name
	// of a RESET.
	setPattern   = regexp.MustCompile(`(?is)^set\s+(?:session\s+)?(\w[\w.]*)\s*(?:=|\s+to\s|\s)\s*(.+?);?\s*$`)
	resetPattern = regexp.MustCompile(`(?is)^reset\s+(\w[\w.]*)\s*;?\s*$`)
)

// Scan is the result of scanning one text. A Scan is immutable.
type Scan struct {
	// Label is the value of a comment /*Label='…'*/, or empty.
	Label string
	// Key is the value of a comment /*RequestKey='…'*/, or empty.
	Key string
	// Begins means that the text begins a transaction.
	Begins bool
	// ReadOnly means that the text begins a READ ONLY transaction.
	ReadOnly bool
	// ReadWrite means that the text may request a transaction that can write.
	ReadWrite bool
	// Ends means that the text may commit a transaction.
	Ends bool
	// Copy means that the text may start a COPY.
	Copy bool
	// Dirty means that the text may leave state in the slot that a reset of
	// settings doesn't remove, for example a temporary table.
	Dirty bool
	// Setting is the upper-case name of the setting that the text changes, or
	// empty.
	Setting string
	// Reset means that the text resets the setting to its default. If Setting is
	// ALL, the text resets every setting.
	Reset bool
	// Multiple means that the text may contain several statements.
	Multiple bool
}

const (
	// maxCacheEntries is the number of cached scans at which the cache is
	// cleared.
	maxCacheEntries = 4096
	// maxCachedTextBytes is the length of the longest text whose scan is cached.
	maxCachedTextBytes = 4 << 10
)

// cache holds scans by text; cacheMu guards it.
var (
	cacheMu sync.RWMutex
	cache   = map[string]Scan{}
)

// New scans a text. Scans of short texts are cached, since applications send the
// same texts repeatedly. A full cache is cleared.
func New(text string) Scan {
	cacheMu.RLock()
	s, ok := cache[text]
	cacheMu.RUnlock()
	if ok {
		return s
	}
	s = analyze(text)
	if len(text) > maxCachedTextBytes {
		return s
	}
	cacheMu.Lock()
	defer cacheMu.Unlock()
	if len(cache) >= maxCacheEntries {
		clear(cache)
	}
	cache[text] = s
	return s
}

// analyze scans a text without using the cache. A text longer than
// maxScannedBytes is marked as dirty, since its end is not searched.
func analyze(text string) Scan {
	s := Scan{}
	if len(text) > maxScannedBytes {
		text = text[:maxScannedBytes]
		s.Dirty = true
	}
	s = s.withLabels(text)
	stripped := commentPattern.ReplaceAllString(text, "")
	s = s.withTransaction(stripped)
	s.Copy = copyPattern.MatchString(stripped)
	s.Dirty = s.Dirty || dirtyPattern.MatchString(stripped)
	s.Multiple = strings.Contains(strings.TrimRight(stripped, "; \t\r\n"), ";")
	return s.withSetting(stripped)
}

// withLabels returns the scan with the label and the key from the comments of a
// text.
func (s Scan) withLabels(text string) Scan {
	if !strings.Contains(text, "/*") {
		return s
	}
	for _, m := range labelPattern.FindAllStringSubmatch(text, -1) {
		s = s.withLabel(m[1], m[2]).withLabel(m[3], m[4])
	}
	return s
}

// withLabel returns the scan with one name='value' pair of a comment applied.
// Unknown names are ignored.
func (s Scan) withLabel(name, value string) Scan {
	switch name {
	case "Label":
		s.Label = value
	case "RequestKey":
		s.Key = value
	}
	return s
}

// withTransaction returns the scan with the properties Begins, ReadOnly, Ends and
// ReadWrite of a text without leading comments.
func (s Scan) withTransaction(stripped string) Scan {
	if m := beginPattern.FindStringSubmatch(stripped); m != nil {
		options := strings.ToLower(strings.Join(strings.Fields(m[1]), " "))
		s.Begins = true
		s.ReadOnly = strings.Contains(options, "read only")
	}
	statement := stripped
	if len(statement) > 0 {
		s.Ends = endPattern.MatchString(statement)
		s.ReadWrite = readWritePattern.MatchString(statement)
	}
	return s
}

// readWritePattern matches READ WRITE and any use of the setting
// transaction_read_only, since a SET of it may allow the transaction to write.
var readWritePattern = regexp.MustCompile(`(?i)\bread\s+write\b|transaction_read_only`)

// withSetting returns the scan with the setting that a SET, RESET or DISCARD ALL
// changes. SET LOCAL, SET TRANSACTION and SET CONSTRAINTS don't outlast the
// transaction, so they are not recorded. A SET is not recorded either if the text
// may contain several statements.
func (s Scan) withSetting(stripped string) Scan {
	if m := resetPattern.FindStringSubmatch(stripped); m != nil {
		s.Setting = strings.ToUpper(m[1])
		s.Reset = true
		return s
	}
	if strings.EqualFold(strings.TrimRight(stripped, "; \t\r\n"), "discard all") {
		s.Setting = "ALL"
		s.Reset = true
		return s
	}
	m := setPattern.FindStringSubmatch(stripped)
	if m == nil || s.Multiple {
		return s
	}
	name := strings.ToUpper(m[1])
	if name == "LOCAL" || name == "TRANSACTION" || name == "CONSTRAINTS" {
		return s
	}
	s.Setting = name
	return s
}

// Merge returns the scan of a batch that contains the texts of s and o. A label, key
// or setting of s takes precedence over that of o.
func (s Scan) Merge(o Scan) Scan {
	if s.Label == "" {
		s.Label = o.Label
	}
	if s.Key == "" {
		s.Key = o.Key
	}
	if s.Setting == "" {
		s.Setting = o.Setting
		s.Reset = o.Reset
	}
	s.Begins = s.Begins || o.Begins
	s.ReadOnly = s.ReadOnly || o.ReadOnly
	s.ReadWrite = s.ReadWrite || o.ReadWrite
	s.Ends = s.Ends || o.Ends
	s.Copy = s.Copy || o.Copy
	s.Dirty = s.Dirty || o.Dirty
	s.Multiple = true
	return s
}
