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

const checkUsage = `Check validates service files and prints every error with its file and line. With
--explain it prints how requests of each class are handled.`

func checkCommand() *cobra.Command {
	var explain bool
	c := &cobra.Command{
		Use: "check FILE…", Short: "Check service files", Long: checkUsage,
		Example: "  pistachiotray check --explain docs/examples/fittings.toml", Args: cobra.MinimumNArgs(1),
	}
	c.Flags().BoolVar(&explain, "explain", false, "print how requests of each class are handled")
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

// readFiles parses service files. It returns the parsed files, and the content
// of each file by service. The error lists the problems of all files.
func readFiles(names []string) ([]file.File, map[string]string, error) {
	var files []file.File
	var problems []error
	contents := map[string]string{}
	for _, name := range names {
		content, err := os.ReadFile(name)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		f, err := file.New(filepath.Base(name), content)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		if _, exists := contents[f.Service]; exists {
			problems = append(problems, errors.Errorf("%s:1: service %s is in another file too", name, f.Service))
		}
		files = append(files, f)
		contents[f.Service] = string(content)
	}
	return files, contents, errors.Join(problems...)
}

// printFile prints that a service file is valid and, with explain, describes
// each of its classes.
func printFile(c *cobra.Command, f file.File, explain bool) error {
	if _, err := fmt.Fprintf(c.OutOrStdout(), "service %s: %d classes, no fault\n", f.Service, len(f.Rules)); err != nil || !explain {
		return err
	}
	for _, r := range f.Rules {
		if _, err := fmt.Fprintf(c.OutOrStdout(), "  %s\n    recognised by %s\n    gets %s\n", r.Class.Name, describeCriteria(r), describeHandling(r.Class)); err != nil {
			return err
		}
	}
	return nil
}

// describeCriteria describes which requests a rule matches, as text for the
// output.
func describeCriteria(r rule.Rule) string {
	parts := []string{"database " + strings.Join(r.Databases, " or ")}
	for _, p := range [][2]string{{"user", r.User}, {"application", r.Application}, {"label", r.Label}} {
		if p[1] != "" {
			parts = append(parts, p[0]+" "+p[1])
		}
	}
	return strings.Join(parts, ", ")
}

// describeHandling describes how requests of a class are handled, as text for the
// output.
func describeHandling(cl class.Class) string {
	parts := []string{"a primary's slot, and an answer once a majority holds what it wrote"}
	if cl.Read {
		parts = []string{"a replica that has the session's own work"}
	}
	if cl.MaxAge > 0 {
		parts = append(parts, fmt.Sprintf("data at most %s old", cl.MaxAge))
	}
	if cl.Once {
		parts = append(parts, "at most one run, by a key")
	}
	if cl.Repeatable {
		parts = append(parts, "runs again after a failure")
	}
	if cl.Long {
		parts = append(parts, "never the last slot of a member")
	}
	parts = append(parts, fmt.Sprintf("a refusal at once where it would take over %s", cl.Deadline), fmt.Sprintf("weight %d", cl.Weight))
	return strings.Join(parts, "; ")
}
