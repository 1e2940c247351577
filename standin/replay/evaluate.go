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

// maxShownViolations is the number of broken promises that the outcome "Faults"
// lists.
const maxShownViolations = 3

// checkViolations returns the outcome that every trace states implicitly: that no
// promise was broken.
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

// evaluateLoad compares the outcomes that concern sharing of slots under load. The
// ratios of short and long requests need another run of the trace, without the
// long requests or without the load of short ones.
func (r *Replay) evaluateLoad(l line, rs results, t *tally.Tally, options []func(*group.Group)) expect.Outcome {
	switch l.Expect {
	case "CarriedShare":
		return l.compareNumber(l.Label, r.carriedShare(l, t))
	case "ShortRatio":
		aloneResults := r.simulateSeeds(func(o line) bool { return !o.Long }, options...)
		latency := t.Quantile(99)
		aloneLatency := aloneResults.tallies[l.Label].Quantile(99)
		return l.compareNumber(l.Label, float64(latency)/float64(aloneLatency))
	case "LongShare":
		aloneResults := r.simulateSeeds(func(o line) bool { return o.Long || o.Rate == 0 }, options...)
		return l.compareNumber(l.Label, ratio(rs.tallies[l.Label].Results[code.Done], aloneResults.tallies[l.Label].Results[code.Done]))
	}
	return expect.New(l.Expect, "", "unknown", false)
}

// carriedShare returns the slot time of the requests that were answered, as a
// share of the slot time that was possible: the capacity of the slots of the
// members that may serve the label during its demand peak, or the slot time of
// all requests if that is less.
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

// compareText compares an outcome whose value is a word.
func (l line) compareText(about, measured string, ok bool) expect.Outcome {
	if !ok {
		measured = "no answer"
	}
	return expect.New(l.title(about), "is "+l.Is, measured, measured == l.Is)
}

// compareNumber compares an outcome whose value is a number.
func (l line) compareNumber(about string, measured float64) expect.Outcome {
	return l.compareBounds(about, measured, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) },
		strconv.FormatFloat(measured, 'f', 3, 64))
}

// compareDuration compares an outcome whose value is a duration.
func (l line) compareDuration(about string, measured time.Duration) expect.Outcome {
	return l.compareBounds(about, float64(measured), func(text string) (float64, error) {
		d, err := time.ParseDuration(text)
		return float64(d), err
	}, measured.Round(10*time.Microsecond).String())
}

// compareBounds compares a measured value with the bounds Is, AtMost and AtLeast
// of the line. A bound that parse rejects is not met.
func (l line) compareBounds(about string, measured float64, parse func(string) (float64, error), shown string) expect.Outcome {
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
