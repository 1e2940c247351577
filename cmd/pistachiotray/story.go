package main

import (
	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/process/reqlog"
)

func storyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "story ID|CALLER|DATABASE",
		Short:   "Print the log lines about one request or target",
		Long:    "Story reads log lines of any number of hosts from standard input. For a request, it prints\nthose that show how it ended, and what its hosts logged shortly before. For an acknowledged\ncommit, it adds what the host knew of the group, and each later replacement of its leader.\nFor a target, it prints the replacements in which the target was ordered to lead. For a caller\nor a database, it prints refusals, and how the configuration had reached the host before, as it\ndoes for a request whose key belongs to no customer. Lines name the customer of a request.",
		Example: "  cat host-*.log | pistachiotray story 7aab2b61007120b5",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			s, err := reqlog.New(c.InOrStdin(), arguments[0])
			if err != nil {
				return err
			}
			if !s.Found() {
				return errors.Errorf("no line tells of request, target, caller or database %q: routine lines are sampled, see docs/OPERATIONS.md", arguments[0])
			}
			return s.Write(c.OutOrStdout())
		},
	}
}
