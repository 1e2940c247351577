package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/version/class"
	"github.com/pistachiotray/pistachiotray/version/file"
	"github.com/pistachiotray/pistachiotray/version/rule"
)

const checkUsage = `Check reads service files and prints every fault with its file and line. With
--explain it prints what requests of each class will get.`

func checkCommand() *cobra.Command {
	var explain bool
	c := &cobra.Command{
		Use: "check FILE…", Short: "Check service files", Long: checkUsage,
		Example: "  pistachiotray check --explain docs/examples/fittings.toml", Args: cobra.MinimumNArgs(1),
	}
	c.Flags().BoolVar(&explain, "explain", false, "print what requests of each class will get")
	c.RunE = func(c *cobra.Command, names []string) error {
		files, _, err := readFiles(names)
		if err != nil {
			return err
		}
		for _, f := range files {
			if err := printFile(c, f, explain); err != nil {
				return err
			}
		}
		return nil
	}
	return c
}

// readFiles reads service files and returns them and their texts by service.
// The error lists the faults of all of them.
func readFiles(names []string) ([]file.File, map[string]string, error) {
	var files []file.File
	var found []error
	texts := map[string]string{}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			found = append(found, err)
			continue
		}
		f, err := file.New(filepath.Base(name), text)
		if err != nil {
			found = append(found, err)
			continue
		}
		if _, twice := texts[f.Service]; twice {
			found = append(found, errors.Errorf("%s:1: service %s is in another file too", name, f.Service))
		}
		files = append(files, f)
		texts[f.Service] = string(text)
	}
	return files, texts, errors.Join(found...)
}

func printFile(c *cobra.Command, f file.File, explain bool) error {
	if _, err := fmt.Fprintf(c.OutOrStdout(), "service %s: %d classes, no fault\n", f.Service, len(f.Rules)); err != nil || !explain {
		return err
	}
	for _, r := range f.Rules {
		if _, err := fmt.Fprintf(c.OutOrStdout(), "  %s\n    recognised by %s\n    gets %s\n", r.Class.Name, recognised(r), given(r.Class)); err != nil {
			return err
		}
	}
	return nil
}

func recognised(r rule.Rule) string {
	parts := []string{"database " + strings.Join(r.Databases, " or ")}
	for _, p := range [][2]string{{"user", r.User}, {"application", r.Application}, {"label", r.Label}} {
		if p[1] != "" {
			parts = append(parts, p[0]+" "+p[1])
		}
	}
	return strings.Join(parts, ", ")
}

// given says in words what a class gets.
func given(k class.Class) string {
	parts := []string{"a primary's slot, and an answer once a majority holds what it wrote"}
	if k.Read {
		parts = []string{"a replica that has the session's own work"}
	}
	if k.MaxAge > 0 {
		parts = append(parts, fmt.Sprintf("data at most %s old", k.MaxAge))
	}
	if k.Once {
		parts = append(parts, "at most one run, by a key")
	}
	if k.Repeatable {
		parts = append(parts, "runs again after a failure")
	}
	if k.Long {
		parts = append(parts, "never the last slot of a member")
	}
	parts = append(parts, fmt.Sprintf("a refusal at once where it would take over %s", k.Deadline), fmt.Sprintf("weight %d", k.Weight))
	return strings.Join(parts, "; ")
}
