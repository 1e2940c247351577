package main

import (
	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/process/reqlog"
)

// storyCommand prints what log lines tell of one request.
func storyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "story ID",
		Short:   "Print what log lines tell of one request",
		Long:    "Story reads log lines of any number of hosts on standard input and prints those\nthat tell how a request ended, with what its hosts noticed in the time before.",
		Example: "  cat host-*.log | pistachiotray story 7aab2b61007120b5",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			s, err := reqlog.New(c.InOrStdin(), arguments[0])
			if err != nil {
				return err
			}
			if !s.Found() {
				return errors.Errorf("no line tells of request %q: routine lines are sampled, see docs/OPERATIONS.md", arguments[0])
			}
			return s.Write(c.OutOrStdout())
		},
	}
}
