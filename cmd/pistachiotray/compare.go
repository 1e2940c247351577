package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/standin/compar"
	"github.com/pistachiotray/pistachiotray/standin/replay"
)

const compareUsage = `Compare runs each trace under several policies for sharing slots and prints a
table of the results. With --plots it also writes a PNG for each label.`

func compareCommand() *cobra.Command {
	var plots string
	var labels []string
	c := &cobra.Command{
		Use: "compare FILE…", Short: "Compare policies on the same traces", Long: compareUsage,
		Example: "  pistachiotray compare --label Crest --plots docs testdata/traces/vaahtera-crest.jsonl",
		Args:    cobra.MinimumNArgs(1),
	}
	c.Flags().StringVar(&plots, "plots", "", "folder for the plots; if empty, none are written")
	c.Flags().StringSliceVar(&labels, "label", []string{"Order", "Batch", "Crest"}, "label to show; may be given again")
	c.RunE = func(c *cobra.Command, names []string) error {
		for _, name := range names {
			if err := compareFile(c, name, plots, labels); err != nil {
				return err
			}
		}
		return nil
	}
	return c
}

// compareFile prints a comparison of the policies on one trace. If plots is not
// empty, it writes a plot to that folder for each label that the trace
// contains.
func compareFile(c *cobra.Command, name, plots string, labels []string) error {
	trace, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "compare")
	}
	r, err := replay.New(name, trace)
	if err != nil {
		return err
	}
	comparison := compar.New(r)
	if _, err := fmt.Fprintf(c.OutOrStdout(), "%s: %s\n\n", r.Name(), r.About()); err != nil {
		return err
	}
	rows := comparison.Rows(labels...)
	for _, row := range rows {
		if _, err := fmt.Fprintln(c.OutOrStdout(), row); err != nil {
			return err
		}
	}
	if plots == "" {
		return nil
	}
	for _, label := range labels {
		if r.HasLabel(label) {
			if _, err := comparison.Plot(plots, label); err != nil {
				return err
			}
		}
	}
	return nil
}
