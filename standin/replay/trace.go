// Package replay feeds recorded traces to the decisions on a virtual clock and
// holds what comes of them against the outcomes that the traces state. The
// format is docs/TRACES.md.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// span is a length of time, as a text such as 20ms in a trace.
type span time.Duration

// UnmarshalJSON reads a span.
func (s *span) UnmarshalJSON(p []byte) error {
	var text string
	if err := json.Unmarshal(p, &text); err != nil {
		return errors.Wrap(err, "a span of time must be a text such as \"20ms\"")
	}
	d, err := time.ParseDuration(text)
	*s = span(d)
	return err
}

func (s span) d() time.Duration { return time.Duration(s) }

// header is the first line of a trace.
type header struct {
	Trace    string
	About    string
	Seeds    int
	Slots    int
	Connect  span
	Zone     span
	Client   span
	Ship     span
	Apply    span
	Owners   int
	Until    span
	LongCap  int
	Policy   string
	Workload string
}

// line is one input or one stated outcome.
type line struct {
	At      span
	Do      string
	Session string
	ID      string `json:"Id"`
	Key     string
	Body    string
	Node    string
	Owner   int
	Via     int
	Takes   span
	For     span
	Rate    float64
	Once    bool
	Repeat  bool
	Long    bool
	Service string
	Weight  int
	Label   string
	MaxAge  span
	Left    span
	Ship    span
	Apply   span

	Expect  string
	Is      string
	AtMost  string
	AtLeast string
}

// Replay is one trace.
type Replay struct {
	name   string
	header header
	inputs []line
	wanted []line
	lie    string
}

// defaultUntil is how long a trace runs where it does not say.
const defaultUntil = 10 * time.Second

// New reads a trace. The error names the line at fault; unknown fields are
// faults.
func New(name string, text []byte) (*Replay, error) {
	r := &Replay{name: name}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		p := bytes.TrimSpace(lines.Bytes())
		if len(p) == 0 {
			continue
		}
		if err := r.add(p); err != nil {
			return nil, errors.Wrapf(err, "%s:%d", name, n)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	if r.header.Trace == "" {
		return nil, errors.Errorf("%s:1: the first line must be the header, with a Trace", name)
	}
	return r, nil
}

func (r *Replay) add(p []byte) error {
	d := json.NewDecoder(bytes.NewReader(p))
	d.DisallowUnknownFields()
	if r.header.Trace == "" {
		if err := d.Decode(&r.header); err != nil {
			return err
		}
		return r.fillHeader()
	}
	l := line{}
	if err := d.Decode(&l); err != nil {
		return err
	}
	switch {
	case l.Expect != "" && l.Do == "":
		r.wanted = append(r.wanted, l)
		return checkExpect(l)
	case l.Do != "" && l.Expect == "":
		r.inputs = append(r.inputs, l)
		return checkDo(l)
	}
	return errors.New("a line has either Do or Expect")
}

func (r *Replay) fillHeader() error {
	h := &r.header
	if h.Trace == "" {
		return errors.New("the first line must be the header, with a Trace")
	}
	if h.Slots == 0 {
		h.Slots = 5
	}
	if h.Owners == 0 {
		h.Owners = 2
	}
	if h.Seeds == 0 {
		h.Seeds = 1
	}
	if h.Until == 0 {
		h.Until = span(defaultUntil)
	}
	if h.Zone == 0 {
		h.Zone = span(500 * time.Microsecond)
	}
	if h.Client == 0 {
		h.Client = span(time.Millisecond)
	}
	return nil
}

// actions are the inputs that a trace may have.
var actions = map[string]bool{
	"Write": true, "Read": true, "Begin": true, "Statement": true, "Commit": true, "Rollback": true,
	"WriteLoad": true, "ReadLoad": true,
	"Cut": true, "Heal": true, "Pause": true, "Resume": true, "Own": true, "Disown": true, "Crash": true,
	"Switch": true, "Lag": true, "Leaving": true, "Fresh": true, "Leave": true, "Detach": true, "Cancel": true,
}

func checkDo(l line) error {
	if !actions[l.Do] {
		return errors.Errorf("unknown Do %q", l.Do)
	}
	return nil
}

// outcomes are what a trace may state.
var outcomes = map[string]bool{
	"Outcome": true, "Faults": true, "Primary": true, "ReplicaShare": true, "Gap": true, "AnswerGap": true, "Errors": true,
	"CarriedShare": true, "Refusal": true, "Quantile99": true, "ShortRatio": true, "LongShare": true,
	"Answered": true, "Unknown": true, "Refused": true,
}

func checkExpect(l line) error {
	if !outcomes[l.Expect] {
		return errors.Errorf("unknown Expect %q", l.Expect)
	}
	if l.Is == "" && l.AtMost == "" && l.AtLeast == "" {
		return errors.New("an outcome needs Is, AtMost or AtLeast")
	}
	return nil
}

// Name returns the trace's name.
func (r *Replay) Name() string {
	return r.header.Trace
}

// About says what the trace is about.
func (r *Replay) About() string {
	return r.header.About
}

// WithSeeds returns the trace with at most n seeds.
func (r *Replay) WithSeeds(n int) *Replay {
	c := *r
	c.header.Seeds = min(c.header.Seeds, n)
	return &c
}

// WithShare returns the trace as one of n hosts sees it that split slots and
// demand among them.
func (r *Replay) WithShare(n int) *Replay {
	c := *r
	c.header.Slots = max(c.header.Slots/n, 1)
	c.inputs = make([]line, len(r.inputs))
	for i, l := range r.inputs {
		l.Rate /= float64(n)
		c.inputs[i] = l
	}
	return &c
}

// HasLabel tells whether a request of the trace has the label.
func (r *Replay) HasLabel(label string) bool {
	for _, l := range r.inputs {
		if l.Label == label {
			return true
		}
	}
	return false
}
