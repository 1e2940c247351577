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

// auditRecord is one record of the audit trail. Missing is the number of
// records that were lost directly before this one.
type auditRecord struct {
	At      time.Time
	Host    string
	Number  uint64
	Kind    string
	Group   string
	Detail  string
	Missing uint64
}

func auditCommand() *cobra.Command {
	var r remote
	var since time.Duration
	var group string
	var follow bool
	c := &cobra.Command{
		Use: "audit", Short: "Read the audit trail", Args: cobra.NoArgs,
		Long:    "Audit prints the changes that hosts recorded: starts, configurations, replacements of primaries, drains. A record also shows how many records before it were lost because the store was unavailable.",
		Example: "  pistachiotray audit --since 1h --group fittings --follow",
	}
	r.addPlatformFlags(c)
	c.Flags().DurationVar(&since, "since", time.Hour, "how far back to read")
	c.Flags().StringVar(&group, "group", "", "print only changes of this group")
	c.Flags().BoolVar(&follow, "follow", false, "print new records until the timeout")
	c.RunE = func(c *cobra.Command, _ []string) error {
		return r.run(c, func(ctx context.Context) error {
			return readAudit(ctx, c, &r, time.Now().Add(-since), group, follow)
		})
	}
	return c
}

// readAudit prints the records of a group, or of all groups if group is empty.
// It reads the objects whose first record was made at or after the time start.
// If follow is true, it then reads new objects until the context ends.
func readAudit(ctx context.Context, c *cobra.Command, r *remote, start time.Time, group string, follow bool) error {
	const pollInterval = time.Second
	store := r.newStore()
	after := fmt.Sprintf("%s%013d", audit.Prefix(), start.UnixMilli())
	for {
		last, err := printAuditObjects(ctx, c, r, store, after, group)
		if err != nil || !follow {
			return err
		}
		after = last
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// printAuditObjects prints the records of the objects whose names are greater
// than after. It returns the name of the last of these objects. If there are
// none, it returns the value of after.
func printAuditObjects(ctx context.Context, c *cobra.Command, r *remote, store *guard.Breaker, after, group string) (string, error) {
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

// printRecord prints the record in one line of an audit object. If group is not
// empty, it skips records of other groups.
func printRecord(c *cobra.Command, r *remote, line []byte, group string) error {
	var rec auditRecord
	if err := json.Unmarshal(line, &rec); err != nil {
		return err
	}
	if group != "" && rec.Group != group {
		return nil
	}
	if r.asJSON {
		_, err := c.OutOrStdout().Write(line)
		return err
	}
	missing := ""
	if rec.Missing > 0 {
		missing = fmt.Sprintf(" (%d records before it are missing)", rec.Missing)
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "%s %s %s %s %s%s\n", rec.At.Format(time.RFC3339Nano), rec.Host, rec.Kind, rec.Group, rec.Detail, missing)
	return err
}
