// Package compar runs a trace under several scheduling policies and presents the
// results side by side.
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

// policy is one way to share slots among requests.
type policy struct {
	name    string
	options []func(*queue.Queue)
	// hosts is the number of hosts that divide slots and demand, or 0 if one host
	// has all slots.
	hosts int
}

// policies are the policies to compare. The fourth one, without options, is the
// default.
var policies = []policy{
	{name: "arrival order", options: []func(*queue.Queue){queue.WithArrivalOrder(), queue.WithoutAdmission()}},
	{name: "split among 2 hosts", hosts: 2},
	{name: "short first", options: []func(*queue.Queue){queue.WithLongDutyCycle(1), queue.WithoutAdmission()}},
	{name: "in use, duty 0.4"},
	{name: "in use, duty 1", options: []func(*queue.Queue){queue.WithLongDutyCycle(1)}},
	{name: "in use, duty 0.2", options: []func(*queue.Queue){queue.WithLongDutyCycle(0.2)}},
}

// Comparison holds the results of one trace under each policy.
type Comparison struct {
	trace *replay.Replay
	// results holds the tallies by label for each element of policies.
	results []map[string]*tally.Tally
}

// New runs a trace under each policy.
func New(r *replay.Replay) *Comparison {
	c := &Comparison{trace: r}
	for _, p := range policies {
		simulated := r
		if p.hosts > 0 {
			simulated = r.WithShare(p.hosts)
		}
		c.results = append(c.results, simulated.Tallies(group.WithQueue(p.options...)))
	}
	return c
}

// Rows returns the results as the lines of a Markdown table, with one row for each
// policy and each of the labels.
func (c *Comparison) Rows(labels ...string) []string {
	rows := []string{
		"| policy | label | asked | answered | refused at once | late or unknown | p50 | p99 | p99 refusal |",
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
	}
	for i, p := range policies {
		for _, label := range labels {
			t := c.results[i][label]
			if t == nil {
				continue
			}
			answered, refused := t.Results[code.Done], t.Results[code.NotRunOverload]
			rows = append(rows, fmt.Sprintf("| %s | %s | %d | %d | %d | %d | %s | %s | %s |", p.name, label, t.Asked, answered, refused,
				t.Asked-answered-refused, roundLatency(t.Quantile(50)), roundLatency(t.Quantile(99)), roundLatency(t.SlowestRefusal)))
		}
	}
	return rows
}

func roundLatency(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}

// lineColors holds the color of each policy's line in a plot, in the order of
// policies.
var lineColors = []color.RGBA{
	{200, 60, 50, 255},
	{230, 150, 40, 255},
	{60, 120, 200, 255},
	{30, 140, 70, 255},
	{130, 80, 170, 255},
	{90, 90, 90, 255},
}

// Plot plots the latency of a label's answered requests over the time of their
// submission, with one line for each policy. It writes a PNG file to a folder and
// returns the path of the file.
func (c *Comparison) Plot(folder, label string) (string, error) {
	const width, height = 9 * vg.Inch, 5 * vg.Inch
	p := plot.New()
	p.Title.Text = c.trace.Name() + ": " + label
	p.X.Label.Text = "asked at, s"
	p.Y.Label.Text = "answered after, ms"
	p.Legend.Top = true
	for i, po := range policies {
		t := c.results[i][label]
		if t == nil || len(t.Samples) == 0 {
			continue
		}
		line, err := plotter.NewLine(highestPerBin(t.Samples))
		if err != nil {
			return "", errors.Wrap(err, "plot the latencies of a policy")
		}
		line.Color = lineColors[i]
		p.Add(line)
		p.Legend.Add(po.name, line)
	}
	name := filepath.Join(folder, c.trace.Name()+"-"+label+".png")
	if err := p.Save(width, height, name); err != nil {
		return "", errors.Wrap(err, "save the plot")
	}
	return name, nil
}

// highestPerBin returns a point for each quarter of a second in which a request was
// submitted: X is the start of the quarter in seconds, and Y the highest latency in
// milliseconds. A sample is a submission time and a latency.
func highestPerBin(samples [][2]time.Duration) plotter.XYs {
	const bin = 250 * time.Millisecond
	highest := map[int]time.Duration{}
	last := 0
	for _, s := range samples {
		n := int(s[0] / bin)
		highest[n] = max(highest[n], s[1])
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
