package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/process/audit"
	"github.com/pistachiotray/pistachiotray/process/guard"
)

// auditLine is one record of the trail.
type auditLine struct {
	At      time.Time
	Host    string
	Number  uint64
	Kind    string
	Group   string
	Detail  string
	Missing uint64
}

func auditCommand() *cobra.Command {
	var r reach
	var since time.Duration
	var group string
	var follow bool
	c := &cobra.Command{
		Use: "audit", Short: "Read the trail of changes", Args: cobra.NoArgs,
		Long:    "Audit prints the changes that hosts recorded: starts, configurations, replacements, drains. A count of missing records says what an outage of the store cost.",
		Example: "  pistachiotray audit --since 1h --group fittings --follow",
	}
	r.platformFlags(c)
	c.Flags().DurationVar(&since, "since", time.Hour, "how far back to read")
	c.Flags().StringVar(&group, "group", "", "only changes of this group")
	c.Flags().BoolVar(&follow, "follow", false, "go on until the timeout")
	c.RunE = func(c *cobra.Command, _ []string) error {
		return r.with(c, func(ctx context.Context) error {
			return readTrail(ctx, c, &r, time.Now().Add(-since), group, follow)
		})
	}
	return c
}

func readTrail(ctx context.Context, c *cobra.Command, r *reach, from time.Time, group string, follow bool) error {
	const every = time.Second
	store := r.store()
	after := fmt.Sprintf("%s%013d", audit.Prefix(), from.UnixMilli())
	for {
		next, err := printTrail(ctx, c, r, store, after, group)
		if err != nil || !follow {
			return err
		}
		after = next
		select {
		case <-time.After(every):
		case <-ctx.Done():
			return nil
		}
	}
}

// printTrail prints the records of the objects after a name and returns the
// last object's name.
func printTrail(ctx context.Context, c *cobra.Command, r *reach, store *guard.Breaker, after, group string) (string, error) {
	names, err := store.ListObjects(ctx, audit.Prefix(), after)
	if err != nil {
		return after, err
	}
	for _, name := range names {
		body, err := store.GetObject(ctx, name)
		if err != nil {
			return after, err
		}
		for line := range bytes.Lines(body) {
			if err := printRecord(c, r, line, group); err != nil {
				return after, err
			}
		}
		after = name
	}
	return after, nil
}

func printRecord(c *cobra.Command, r *reach, line []byte, group string) error {
	var l auditLine
	if err := json.Unmarshal(line, &l); err != nil {
		return err
	}
	if group != "" && l.Group != group {
		return nil
	}
	if r.asJSON {
		_, err := c.OutOrStdout().Write(line)
		return err
	}
	gap := ""
	if l.Missing > 0 {
		gap = fmt.Sprintf(" (%d records before it are missing)", l.Missing)
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "%s %s %s %s %s%s\n", l.At.Format(time.RFC3339Nano), l.Host, l.Kind, l.Group, l.Detail, gap)
	return err
}
