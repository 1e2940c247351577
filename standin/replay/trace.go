// Package replay runs recorded traces against the decision code on a virtual
// clock and compares the results with the outcomes that the traces state.
// docs/TRACES.md describes the format.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// duration is a time.Duration that a trace writes as a string such as "20ms".
type duration time.Duration

// UnmarshalJSON parses a duration string.
func (d *duration) UnmarshalJSON(p []byte) error {
	var text string
	if err := json.Unmarshal(p, &text); err != nil {
		return errors.Wrap(err, "a duration must be a string such as \"20ms\"")
	}
	parsed, err := time.ParseDuration(text)
	*d = duration(parsed)
	return err
}

// d returns the duration as a time.Duration.
func (d duration) d() time.Duration { return time.Duration(d) }

// header is the first line of a trace. The field names are part of the format,
// which docs/TRACES.md describes.
type header struct {
	Trace    string
	About    string
	Seeds    int
	Slots    int
	Connect  duration
	Zone     duration
	Client   duration
	Ship     duration
	Apply    duration
	Owners   int
	Until    duration
	LongCap  int
	Policy   string
	Workload string
}

// line is any line after the header. Either Do is set, and the line is an input, or
// Expect is set, and the line states an outcome. The field names are part of the
// format.
type line struct {
	At      duration
	Do      string
	Session string
	ID      string `json:"Id"`
	Key     string
	Body    string
	Node    string
	Owner   int
	Via     int
	Takes   duration
	For     duration
	Rate    float64
	Once    bool
	Repeat  bool
	Long    bool
	Service string
	Weight  int
	Label   string
	MaxAge  duration
	Left    duration
	Ship    duration
	Apply   duration

	Expect  string
	Is      string
	AtMost  string
	AtLeast string
}

// Replay is one trace. It is immutable.
type Replay struct {
	name         string
	header       header
	inputs       []line
	expectations []line
	defect       string
}

// defaultUntil is how long a trace is simulated if its header has no Until.
const defaultUntil = 10 * time.Second

// New parses a trace. name is the file name that errors contain, with the number of
// the faulty line. A line with an unknown field is an error.
func New(name string, trace []byte) (*Replay, error) {
	r := &Replay{name: name}
	lines := bufio.NewScanner(bytes.NewReader(trace))
	for n := 1; lines.Scan(); n++ {
		p := bytes.TrimSpace(lines.Bytes())
		if len(p) == 0 {
			continue
		}
		if err := r.addLine(p); err != nil {
			return nil, errors.Wrapf(err, "%s:%d", name, n)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	if r.header.Trace == "" {
		return nil, errors.Errorf("%s:1: the first line must be a header with the field \"Trace\"", name)
	}
	return r, nil
}

// addLine parses one line and adds it to the trace. The first line is the header;
// each later one is an input or a stated outcome.
func (r *Replay) addLine(p []byte) error {
	d := json.NewDecoder(bytes.NewReader(p))
	d.DisallowUnknownFields()
	if r.header.Trace == "" {
		if err := d.Decode(&r.header); err != nil {
			return err
		}
		return r.setHeaderDefaults()
	}
	l := line{}
	if err := d.Decode(&l); err != nil {
		return err
	}
	switch {
	case l.Expect != "" && l.Do == "":
		r.expectations = append(r.expectations, l)
		return checkExpect(l)
	case l.Do != "" && l.Expect == "":
		r.inputs = append(r.inputs, l)
		return checkDo(l)
	}
	return errors.New("a line has either Do or Expect")
}

// setHeaderDefaults sets the header's missing values. It returns an error if the
// header has no Trace.
func (r *Replay) setHeaderDefaults() error {
	h := &r.header
	if h.Trace == "" {
		return errors.New("the first line must be a header with the field \"Trace\"")
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
		h.Until = duration(defaultUntil)
	}
	if h.Zone == 0 {
		h.Zone = duration(500 * time.Microsecond)
	}
	if h.Client == 0 {
		h.Client = duration(time.Millisecond)
	}
	return nil
}

// knownActions holds the allowed values of Do.
var knownActions = map[string]bool{
	"Write": true, "Read": true, "Begin": true, "Statement": true, "Commit": true, "Rollback": true,
	"WriteLoad": true, "ReadLoad": true,
	"Cut": true, "Heal": true, "Pause": true, "Resume": true, "Own": true, "Disown": true, "Crash": true,
	"Switch": true, "Lag": true, "Leaving": true, "Fresh": true, "Leave": true, "Detach": true, "Cancel": true,
}

// checkDo returns an error if the value of Do is unknown.
func checkDo(l line) error {
	if !knownActions[l.Do] {
		return errors.Errorf("unknown Do %q", l.Do)
	}
	return nil
}

// knownOutcomes holds the allowed values of Expect.
var knownOutcomes = map[string]bool{
	"Outcome": true, "Faults": true, "Primary": true, "ReplicaShare": true, "Gap": true, "AnswerGap": true, "Errors": true,
	"CarriedShare": true, "Refusal": true, "Quantile99": true, "ShortRatio": true, "LongShare": true,
	"Answered": true, "Unknown": true, "Refused": true,
}

// checkExpect returns an error if the value of Expect is unknown or no bound is
// given.
func checkExpect(l line) error {
	if !knownOutcomes[l.Expect] {
		return errors.Errorf("unknown Expect %q", l.Expect)
	}
	if l.Is == "" && l.AtMost == "" && l.AtLeast == "" {
		return errors.New("an outcome needs Is, AtMost or AtLeast")
	}
	return nil
}

// Name returns the name in the trace's header.
func (r *Replay) Name() string {
	return r.header.Trace
}

// About returns the trace's description.
func (r *Replay) About() string {
	return r.header.About
}

// WithSeeds returns the trace with its number of seeds limited to n.
func (r *Replay) WithSeeds(n int) *Replay {
	c := *r
	c.header.Seeds = min(c.header.Seeds, n)
	return &c
}

// WithShare returns the trace for one of n hosts that divide the slots and the rates
// of the loads equally. The host has at least one slot.
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

// HasLabel reports whether a request of the trace has the label.
func (r *Replay) HasLabel(label string) bool {
	for _, l := range r.inputs {
		if l.Label == label {
			return true
		}
	}
	return false
}
