package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Long:    "Version prints the module's version and the Go version that built it.",
		Example: "  pistachiotray version",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				_, err := fmt.Fprintln(c.OutOrStdout(), "pistachiotray unknown")
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "pistachiotray", info.Main.Version, info.GoVersion)
			return err
		},
	}
}
