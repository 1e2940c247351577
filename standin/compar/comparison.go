// Package compar plays the same traces under several policies and shows them
// beside each other.
package compar

import (
	"fmt"
	"image/color"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/pistachiotray/pistachiotray/process/group"
	"github.com/pistachiotray/pistachiotray/process/queue"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/standin/replay"
	"github.com/pistachiotray/pistachiotray/standin/tally"
)

// policy is one way to share slots.
type policy struct {
	name    string
	options []func(*queue.Queue)
	split   int
}

// policies are the ways that are compared; the fourth is the one in use.
var policies = []policy{
	{name: "arrival order", options: []func(*queue.Queue){queue.WithArrivalOrder(), queue.WithoutAdmission()}},
	{name: "split among 2 hosts", split: 2},
	{name: "short first", options: []func(*queue.Queue){queue.WithLongDutyCycle(1), queue.WithoutAdmission()}},
	{name: "in use, duty 0.4"},
	{name: "in use, duty 1", options: []func(*queue.Queue){queue.WithLongDutyCycle(1)}},
	{name: "in use, duty 0.2", options: []func(*queue.Queue){queue.WithLongDutyCycle(0.2)}},
}

// Comparison is a comparison over one trace.
type Comparison struct {
	trace   *replay.Replay
	results []map[string]*tally.Tally
}

// New plays a trace under each policy.
func New(r *replay.Replay) *Comparison {
	v := &Comparison{trace: r}
	for _, p := range policies {
		played := r
		if p.split > 0 {
			played = r.WithShare(p.split)
		}
		v.results = append(v.results, played.Tallies(group.WithQueue(p.options...)))
	}
	return v
}

// Rows returns the results as lines of a Markdown table, one for each policy
// and label.
func (v *Comparison) Rows(labels ...string) []string {
	rows := []string{
		"| policy | label | asked | answered | refused at once | late or unknown | p50 | p99 | p99 refusal |",
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
	}
	for i, p := range policies {
		for _, label := range labels {
			t := v.results[i][label]
			if t == nil {
				continue
			}
			answered, refused := t.Results[code.Done], t.Results[code.NotRunOverload]
			rows = append(rows, fmt.Sprintf("| %s | %s | %d | %d | %d | %d | %s | %s | %s |", p.name, label, t.Asked, answered, refused,
				t.Asked-answered-refused, round(t.Quantile(50)), round(t.Quantile(99)), round(t.SlowestRefusal)))
		}
	}
	return rows
}

func round(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}

// colors tell the policies apart.
var colors = []color.RGBA{
	{200, 60, 50, 255},
	{230, 150, 40, 255},
	{60, 120, 200, 255},
	{30, 140, 70, 255},
	{130, 80, 170, 255},
	{90, 90, 90, 255},
}

// Plot writes the latency of a label's answers over the time of their asking
// as a PNG into a folder, and returns the file's name.
func (v *Comparison) Plot(folder, label string) (string, error) {
	const width, height = 9 * vg.Inch, 5 * vg.Inch
	p := plot.New()
	p.Title.Text = v.trace.Name() + ": " + label
	p.X.Label.Text = "asked at, s"
	p.Y.Label.Text = "answered after, ms"
	p.Legend.Top = true
	for i, way := range policies {
		t := v.results[i][label]
		if t == nil || len(t.Samples) == 0 {
			continue
		}
		line, err := plotter.NewLine(smoothed(t.Samples))
		if err != nil {
			return "", errors.Wrap(err, "Comparison.Plot")
		}
		line.Color = colors[i]
		p.Add(line)
		p.Legend.Add(way.name, line)
	}
	name := filepath.Join(folder, v.trace.Name()+"-"+label+".png")
	if err := p.Save(width, height, name); err != nil {
		return "", errors.Wrap(err, "Comparison.Plot")
	}
	return name, nil
}

// smoothed returns the highest latency in each quarter of a second.
func smoothed(waits [][2]time.Duration) plotter.XYs {
	const bin = 250 * time.Millisecond
	highest := map[int]time.Duration{}
	last := 0
	for _, w := range waits {
		n := int(w[0] / bin)
		highest[n] = max(highest[n], w[1])
		last = max(last, n)
	}
	var points plotter.XYs
	for n := range last + 1 {
		if d, ok := highest[n]; ok {
			points = append(points, plotter.XY{X: float64(n) * bin.Seconds(), Y: float64(d) / float64(time.Millisecond)})
		}
	}
	return points
}
