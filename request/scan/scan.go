// Package scan finds in a request's text the few words that decide how it is
// pooled. It is no parser: where it errs, it errs to the careful side.
package scan

import (
	"regexp"
	"strings"
	"sync"
)

// textLimit is how many bytes of a text are looked at for words.
const textLimit = 64 << 10

var (
	labelPattern   = regexp.MustCompile(`/\*\s*(\w+)\s*=\s*'([^']{1,128})'(?:\s*,\s*(\w+)\s*=\s*'([^']{1,128})')?\s*\*/`)
	commentPattern = regexp.MustCompile(`(?s)^(?:\s|--[^\n]*\n|/\*.*?\*/)+`)
	beginPattern   = regexp.MustCompile(`(?i)^(?:begin|start\s+transaction)\b([^;]*);?`)
	endPattern     = regexp.MustCompile(`(?i)\b(?:commit|end|prepare\s+transaction)\b`)
	dirtyPattern   = regexp.MustCompile(`(?i)\b(?:temp|temporary|listen|pg_advisory_lock\w*|declare|load)\b`)
	copyPattern    = regexp.MustCompile(`(?i)\bcopy\b`)
	setPattern     = regexp.MustCompile(`(?is)^set\s+(?:session\s+)?(\w[\w.]*)\s*(?:=|\s+to\s|\s)\s*(.+?);?\s*$`)
	resetPattern   = regexp.MustCompile(`(?is)^reset\s+(\w[\w.]*)\s*;?\s*$`)
)

// Scan is what was found in one text. A Scan is immutable.
type Scan struct {
	// Label is the value of a comment /*Label='…'*/, or empty.
	Label string
	// Key is the value of a comment /*RequestKey='…'*/, or empty.
	Key string
	// Begins tells that the text begins a transaction.
	Begins bool
	// ReadOnly tells that the transaction it begins is read only.
	ReadOnly bool
	// ReadWrite tells that the text asks for a transaction that may write.
	ReadWrite bool
	// Ends tells that the text may commit a transaction.
	Ends bool
	// Copy tells that the text may start a COPY.
	Copy bool
	// Dirty tells that the text may leave state in its slot.
	Dirty bool
	// Setting is the name of the setting that the text changes, or empty.
	Setting string
	// Reset tells that the setting goes back to its default; the name ALL
	// stands for every setting.
	Reset bool
	// Many tells that the text may hold several statements.
	Multiple bool
}

// remembered bounds the texts whose scans are kept, and rememberedBytes the
// length of each.
const (
	remembered      = 4096
	rememberedBytes = 4 << 10
)

var (
	memoryMu sync.RWMutex
	memory   = map[string]Scan{}
)

// New looks at one text. Scans of short texts are kept, since applications
// send the same ones again and again; where there are too many, all are
// dropped.
func New(text string) Scan {
	memoryMu.RLock()
	s, ok := memory[text]
	memoryMu.RUnlock()
	if ok {
		return s
	}
	s = look(text)
	if len(text) > rememberedBytes {
		return s
	}
	memoryMu.Lock()
	defer memoryMu.Unlock()
	if len(memory) >= remembered {
		clear(memory)
	}
	memory[text] = s
	return s
}

func look(text string) Scan {
	s := Scan{}
	if len(text) > textLimit {
		text = text[:textLimit]
		s.Dirty = true
	}
	s = s.withLabels(text)
	bare := commentPattern.ReplaceAllString(text, "")
	s = s.withTransaction(bare)
	s.Copy = copyPattern.MatchString(bare)
	s.Dirty = s.Dirty || dirtyPattern.MatchString(bare)
	s.Multiple = strings.Contains(strings.TrimRight(bare, "; \t\r\n"), ";")
	return s.withSetting(bare)
}

func (s Scan) withLabels(text string) Scan {
	if !strings.Contains(text, "/*") {
		return s
	}
	for _, m := range labelPattern.FindAllStringSubmatch(text, -1) {
		s = s.withLabel(m[1], m[2]).withLabel(m[3], m[4])
	}
	return s
}

func (s Scan) withLabel(name, value string) Scan {
	switch name {
	case "Label":
		s.Label = value
	case "RequestKey":
		s.Key = value
	}
	return s
}

func (s Scan) withTransaction(bare string) Scan {
	if m := beginPattern.FindStringSubmatch(bare); m != nil {
		options := strings.ToLower(strings.Join(strings.Fields(m[1]), " "))
		s.Begins = true
		s.ReadOnly = strings.Contains(options, "read only")
	}
	lower := bare
	if len(lower) > 0 {
		s.Ends = endPattern.MatchString(lower)
		s.ReadWrite = readWritePattern.MatchString(lower)
	}
	return s
}

var readWritePattern = regexp.MustCompile(`(?i)\bread\s+write\b|transaction_read_only`)

func (s Scan) withSetting(bare string) Scan {
	if m := resetPattern.FindStringSubmatch(bare); m != nil {
		s.Setting = strings.ToUpper(m[1])
		s.Reset = true
		return s
	}
	if strings.EqualFold(strings.TrimRight(bare, "; \t\r\n"), "discard all") {
		s.Setting = "ALL"
		s.Reset = true
		return s
	}
	m := setPattern.FindStringSubmatch(bare)
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

// Merge returns what holds of a batch that has both texts.
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
