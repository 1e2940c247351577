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

// maxShownViolations limits the number of violations that the outcome "Faults"
// lists.
const maxShownViolations = 3

// checkViolations returns the outcome "Faults", which is met if no promise was broken.
// It is checked for every trace, although traces don't state it.
func (r *Replay) checkViolations(rs results) expect.Outcome {
	measured := strconv.Itoa(len(rs.violations))
	for i, v := range rs.violations {
		if i < maxShownViolations {
			measured += "; " + v
		}
	}
	return expect.New("Faults", "0", measured, len(rs.violations) == 0)
}

// evaluate compares one stated outcome with the results of the runs.
func (r *Replay) evaluate(l line, rs results, options []func(*group.Group)) expect.Outcome {
	t := rs.tallies[l.Label]
	if t == nil {
		t = tally.New()
	}
	switch l.Expect {
	case "Outcome":
		result, ok := rs.codes[l.ID]
		return l.compareText(l.ID, result.Name(), ok)
	case "Primary":
		return l.compareText("", rs.primary, true)
	case "Faults":
		return l.compareNumber("", float64(len(rs.violations)))
	case "Gap":
		return l.compareDuration("", percentile99(rs.failoverGaps))
	case "AnswerGap":
		return l.compareDuration("", percentile99(rs.writeGaps))
	case "ReplicaShare":
		return l.compareNumber(l.Label, ratio(t.AtReplica, t.Results[code.Done]))
	case "Errors":
		o := l.compareNumber(l.Label, float64(t.Errors()))
		o.Measured += " " + strings.Join(t.ResultNames(), " ")
		return o
	case "Answered":
		return l.compareNumber(l.Label, float64(t.Results[code.Done]))
	case "Unknown":
		return l.compareNumber(l.Label, float64(t.Results[code.OutcomeUnknown]))
	case "Refused":
		return l.compareNumber(l.Label, float64(t.Results[code.NotRunOverload]))
	case "Refusal":
		return l.compareDuration(l.Label, t.SlowestRefusal)
	case "Quantile99":
		return l.compareDuration(l.Label, t.Quantile(99))
	}
	return r.evaluateLoad(l, rs, t, options)
}

// evaluateLoad compares an outcome about the sharing of slots under load.
// ShortRatio simulates the trace again without long requests, and LongShare without
// the loads of short requests.
func (r *Replay) evaluateLoad(l line, rs results, t *tally.Tally, options []func(*group.Group)) expect.Outcome {
	switch l.Expect {
	case "CarriedShare":
		return l.compareNumber(l.Label, r.carriedShare(l, t))
	case "ShortRatio":
		shortResults := r.simulateSeeds(func(o line) bool { return !o.Long }, options...)
		latency := t.Quantile(99)
		aloneLatency := shortResults.tallies[l.Label].Quantile(99)
		return l.compareNumber(l.Label, float64(latency)/float64(aloneLatency))
	case "LongShare":
		longResults := r.simulateSeeds(func(o line) bool { return o.Long || o.Rate == 0 }, options...)
		return l.compareNumber(l.Label, ratio(rs.tallies[l.Label].Results[code.Done], longResults.tallies[l.Label].Results[code.Done]))
	}
	return expect.New(l.Expect, "", "unknown", false)
}

// carriedShare returns the slot time of the label's requests that were answered in
// time, as a share of the possible slot time. The possible slot time is the smaller
// of two values: the expected slot time of all requests of the label's loads, and
// the capacity of one member's slots from the start of the first of these loads to
// the end of the last.
func (r *Replay) carriedShare(l line, t *tally.Tally) float64 {
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
	possible := min(offered, capacity) * time.Duration(r.header.Seeds)
	return float64(t.ServedTime) / float64(possible)
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// compareText compares an outcome whose value is a word. ok means that there is a
// measured value.
func (l line) compareText(subject, measured string, ok bool) expect.Outcome {
	if !ok {
		measured = "no answer"
	}
	return expect.New(l.title(subject), "is "+l.Is, measured, measured == l.Is)
}

// compareNumber compares an outcome whose value is a number.
func (l line) compareNumber(subject string, measured float64) expect.Outcome {
	return l.compareBounds(subject, measured, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) },
		strconv.FormatFloat(measured, 'f', 3, 64))
}

// compareDuration compares an outcome whose value is a duration.
func (l line) compareDuration(subject string, measured time.Duration) expect.Outcome {
	return l.compareBounds(subject, float64(measured), func(text string) (float64, error) {
		d, err := time.ParseDuration(text)
		return float64(d), err
	}, measured.Round(10*time.Microsecond).String())
}

// compareBounds compares a measured value with the bounds Is, AtMost and AtLeast
// of the line. A bound that parse rejects is not met. shown is the measured value as
// text.
func (l line) compareBounds(subject string, measured float64, parse func(string) (float64, error), shown string) expect.Outcome {
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
	return expect.New(l.title(subject), stated, shown, met)
}

// title returns the name of the line's outcome, followed by the request or label
// that it concerns, if any.
func (l line) title(subject string) string {
	if subject == "" {
		return l.Expect
	}
	return l.Expect + " " + subject
}
