package replay

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/standin/expect"
	"github.com/pistachiotray/pistachiotray/standin/tally"
)

// shownFaults is how many broken promises a finding names.
const shownFaults = 3

// judgeFaults states for every trace that no promise is broken.
func (r *Replay) judgeFaults(c course) expect.Outcome {
	measured := strconv.Itoa(len(c.faults))
	for i, f := range c.faults {
		if i < shownFaults {
			measured += "; " + f
		}
	}
	return expect.New("Faults", "0", measured, len(c.faults) == 0)
}

// judge holds one stated outcome against what the runs gave.
func (r *Replay) judge(l line, c course, options []func(*group.Group)) expect.Outcome {
	t := c.tallies[l.Label]
	if t == nil {
		t = tally.New()
	}
	switch l.Expect {
	case "Outcome":
		k, ok := c.codes[l.ID]
		return l.text(l.ID, k.Name(), ok)
	case "Primary":
		return l.text("", c.primary, true)
	case "Faults":
		return l.number("", float64(len(c.faults)))
	case "Gap":
		return l.span("", quantile99(c.gaps))
	case "AnswerGap":
		return l.span("", quantile99(c.pauses))
	case "ReplicaShare":
		return l.number(l.Label, ratio(t.AtReplica, t.Results[code.Done]))
	case "Errors":
		f := l.number(l.Label, float64(t.Errors()))
		f.Measured += " " + strings.Join(t.ResultNames(), " ")
		return f
	case "Answered":
		return l.number(l.Label, float64(t.Results[code.Done]))
	case "Unknown":
		return l.number(l.Label, float64(t.Results[code.OutcomeUnknown]))
	case "Refused":
		return l.number(l.Label, float64(t.Results[code.NotRunOverload]))
	case "Refusal":
		return l.span(l.Label, t.SlowestRefusal)
	case "Quantile99":
		return l.span(l.Label, t.Quantile(99))
	}
	return r.judgeLoad(l, c, t, options)
}

func (r *Replay) judgeLoad(l line, c course, t *tally.Tally, options []func(*group.Group)) expect.Outcome {
	switch l.Expect {
	case "CarriedShare":
		return l.number(l.Label, r.carried(l, t))
	case "ShortRatio":
		lone := r.play(func(o line) bool { return !o.Long }, options...)
		beside := t.Quantile(99)
		alone := lone.tallies[l.Label].Quantile(99)
		return l.number(l.Label, float64(beside)/float64(alone))
	case "LongShare":
		lone := r.play(func(o line) bool { return o.Long || o.Rate == 0 }, options...)
		return l.number(l.Label, ratio(c.tallies[l.Label].Results[code.Done], lone.tallies[l.Label].Results[code.Done]))
	}
	return expect.New(l.Expect, "", "unknown", false)
}

// carried returns the time in slots of what was answered as a share of what
// the slots of the members that may serve the label could carry while its
// crest lasts, or of all that was asked where that is less.
func (r *Replay) carried(l line, t *tally.Tally) float64 {
	var offered, end time.Duration
	begin := time.Duration(math.MaxInt64)
	for _, i := range r.inputs {
		if i.Label != l.Label || i.Rate == 0 {
			continue
		}
		offered += time.Duration(i.For.d().Seconds() * i.Rate * float64(i.Takes))
		begin = min(begin, i.At.d())
		end = max(end, i.At.d()+i.For.d())
	}
	capacity := (end - begin) * time.Duration(r.header.Slots)
	most := min(offered, capacity) * time.Duration(r.header.Seeds)
	return float64(t.ServedTime) / float64(most)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// text judges an outcome that is a word.
func (l line) text(about, measured string, ok bool) expect.Outcome {
	if !ok {
		measured = "no answer"
	}
	return expect.New(l.title(about), "is "+l.Is, measured, measured == l.Is)
}

// number judges an outcome that is a number.
func (l line) number(about string, measured float64) expect.Outcome {
	return l.bounds(about, measured, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) },
		strconv.FormatFloat(measured, 'f', 3, 64))
}

// span judges an outcome that is a length of time.
func (l line) span(about string, measured time.Duration) expect.Outcome {
	return l.bounds(about, float64(measured), func(text string) (float64, error) {
		d, err := time.ParseDuration(text)
		return float64(d), err
	}, measured.Round(10*time.Microsecond).String())
}

func (l line) bounds(about string, measured float64, parse func(string) (float64, error), shown string) expect.Outcome {
	met := true
	stated := ""
	for _, b := range []struct {
		word, text string
		holds      func(bound float64) bool
	}{
		{"is", l.Is, func(bound float64) bool { return measured == bound }},
		{"at most", l.AtMost, func(bound float64) bool { return measured <= bound }},
		{"at least", l.AtLeast, func(bound float64) bool { return measured >= bound }},
	} {
		if b.text == "" {
			continue
		}
		bound, err := parse(b.text)
		met = met && err == nil && b.holds(bound)
		stated += fmt.Sprintf("%s %s ", b.word, b.text)
	}
	return expect.New(l.title(about), stated, shown, met)
}

func (l line) title(about string) string {
	if about == "" {
		return l.Expect
	}
	return l.Expect + " " + about
}
