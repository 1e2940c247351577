package promo

import (
	"cmp"
	"context"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/report"
	"github.com/pistachiotray/pistachiotray/process/sleep"
	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// gather stops all targets but the given ones from receiving and returns their
// reports. Complete tells that none is missing.
func (p *Promoter) gather(ctx context.Context, but ...string) (reports []report.Report, complete bool) {
	term := p.crew.Term() + 1
	for {
		var highest uint64
		reports, complete, highest = p.pauseAll(ctx, but, term)
		if complete || ctx.Err() != nil {
			return reports, complete
		}
		term = max(term, highest+1)
		sleep.For(ctx, look)
	}
}

func (p *Promoter) pauseAll(ctx context.Context, but []string, term uint64) ([]report.Report, bool, uint64) {
	type outcome struct {
		report report.Report
		err    error
	}
	targets := p.crew.Targets()
	results := make(chan outcome, len(targets))
	pause := stmt.New(stmt.ProxyID, stmt.Pause, "").WithName("", strconv.FormatUint(term, 10))
	asked := 0
	for _, t := range targets {
		if slices.Contains(but, t.ID) {
			continue
		}
		asked++
		go func() {
			ctx, stop := context.WithTimeout(ctx, stepTimeout)
			defer stop()
			r, err := p.crew.Report(ctx, t, pause)
			results <- outcome{r, err}
		}()
	}
	var reports []report.Report
	var highest uint64
	for range asked {
		o := <-results
		if o.err != nil {
			p.log.Info("target not paused", zap.Uint64("Term", term), zap.String("Error", o.err.Error()))
			continue
		}
		highest = max(highest, o.report.Term)
		if o.report.Held >= term {
			reports = append(reports, o.report)
		} else {
			p.log.Info("target not held", zap.Uint64("Term", term), zap.Any("Report", o.report))
		}
	}
	return reports, len(reports) == asked && asked >= p.crew.Size()-len(but), highest
}

// choose returns the report of the target that holds most; among those that
// hold as much the noted one, then one that stays, then the first by name. The
// same reports always give the same target.
func choose(reports []report.Report, noted string) (report.Report, bool) {
	if len(reports) == 0 {
		return report.Report{}, false
	}
	return slices.MaxFunc(reports, func(a, b report.Report) int {
		return cmp.Or(
			a.Received.Compare(b.Received),
			first(a.Member == noted, b.Member == noted),
			first(!a.Leaving, !b.Leaving),
			cmp.Compare(b.Member, a.Member),
		)
	}), true
}

// first orders what holds before what does not.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
