package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/standin/replay"
)

const replayUsage = `Replay runs recorded traces against the decision code on a virtual clock. It prints
each stated outcome with the measured one, and exits with code 1 if any was
missed. docs/TRACES.md describes the format.`

func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "replay FILE…", Short: "Run recorded traces and check their stated outcomes",
		Long: replayUsage, Example: "  pistachiotray replay testdata/traces/*.jsonl",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			missed := 0
			for _, name := range files {
				n, err := replayFile(c, name)
				if err != nil {
					return err
				}
				missed += n
			}
			if missed > 0 {
				return errors.Errorf("%d stated outcomes were missed", missed)
			}
			return nil
		},
	}
}

// replayFile runs one trace, prints its stated and measured outcomes, and
// returns the number of those that were missed.
func replayFile(c *cobra.Command, name string) (int, error) {
	trace, err := os.ReadFile(name)
	if err != nil {
		return 0, errors.Wrap(err, "replay")
	}
	r, err := replay.New(name, trace)
	if err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", r.Name(), r.About()); err != nil {
		return 0, err
	}
	missed := 0
	for _, o := range r.Run() {
		if !o.Met {
			missed++
		}
		if _, err := fmt.Fprintln(c.OutOrStdout(), "  "+o.String()); err != nil {
			return 0, err
		}
	}
	return missed, nil
}
