package main

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	platformconf "github.com/pistachiotray/pistachiotray/platform/conf"
	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/request/code"
)

func pagesCommand() *cobra.Command {
	return &cobra.Command{
		Use: "pages FOLDER", Short: "Write the documentation pages that are generated from the code", Hidden: true,
		Long: "Pages writes SETTINGS.md and RESULTS.md.", Example: "  pistachiotray pages docs", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			const mode = 0o644
			for name, page := range map[string]string{"SETTINGS.md": conf.Markdown() + platformconf.Markdown(), "RESULTS.md": code.Markdown()} {
				if err := os.WriteFile(filepath.Join(arguments[0], name), []byte(page), mode); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
