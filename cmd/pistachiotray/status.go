package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// hostView is the part of a host's answer to status that is printed as text.
// With --json, the whole answer is printed.
type hostView struct {
	Host          string
	Ready         bool
	Why           string
	Version       uint64
	NewestVersion uint64
	Callers       int
	PlatformUp    bool
	Groups        map[string]groupView
	Hosts         []struct {
		Host  string
		Zone  string
		State string
	}
}

// groupView is the part of hostView about one group. Wrong is the group's
// current problem, and Since is the time at which it began. Both are empty if
// there is none.
type groupView struct {
	Owner   string
	Owned   bool
	Primary string
	Term    uint64
	Waiting int
	Running int
	Wrong   string
	Since   string
	Members []struct {
		Member     string
		Primary    bool
		Usable     bool
		LagEntries uint64
		SlotsOpen  int
		SlotsFree  int
	}
}

func statusCommand() *cobra.Command {
	var r remote
	c := &cobra.Command{
		Use: "status", Short: "Show hosts, groups and current problems",
		Long:    "Status shows the state of one or more hosts and their groups, and the current problems with their start time and reason.",
		Example: "  pistachiotray status --operator 127.0.0.1:6434", Args: cobra.NoArgs,
	}
	r.addOperatorFlags(c)
	r.addCommonFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		return r.run(c, func(ctx context.Context) error {
			var all []json.RawMessage
			var lines []string
			for _, address := range r.operators {
				var raw json.RawMessage
				if err := r.queryHost(ctx, address, &raw, "status"); err != nil {
					return errors.Wrap(err, address)
				}
				var v hostView
				if err := json.Unmarshal(raw, &v); err != nil {
					return err
				}
				all = append(all, raw)
				lines = append(lines, v.lines()...)
			}
			return r.print(c, all, lines...)
		})
	}
	return c
}

// lines returns the text output: one line for the host, one for each host in
// its view of the fleet, and several for each group that it owns.
func (v hostView) lines() []string {
	ready := "ready"
	if !v.Ready {
		ready = "not ready: " + v.Why
	}
	lines := []string{fmt.Sprintf("host %s %s, configuration %d of %d, %d callers, platform up %t",
		v.Host, ready, v.Version, v.NewestVersion, v.Callers, v.PlatformUp)}
	for _, h := range v.Hosts {
		lines = append(lines, fmt.Sprintf("  sees %s in %s: %s", h.Host, h.Zone, h.State))
	}
	for _, name := range slices.Sorted(maps.Keys(v.Groups)) {
		if g := v.Groups[name]; g.Owned {
			lines = append(lines, g.lines(name)...)
		}
	}
	return lines
}

func (g groupView) lines(name string) []string {
	lines := []string{fmt.Sprintf("  owns %s: primary %s, term %d, %d waiting, %d running", name, g.Primary, g.Term, g.Waiting, g.Running)}
	if g.Wrong != "" {
		lines = append(lines, fmt.Sprintf("    WRONG since %s: %s", g.Since, g.Wrong))
	}
	for _, m := range g.Members {
		role := "replica"
		if m.Primary {
			role = "primary"
		}
		lines = append(lines, fmt.Sprintf("    %s %s, usable %t, %d entries behind, %d of %d slots in use",
			role, m.Member, m.Usable, m.LagEntries, m.SlotsOpen-m.SlotsFree, m.SlotsOpen))
	}
	return lines
}

// commandResult is a host's answer to drain or switch.
type commandResult struct {
	Done   bool
	Detail string
}

func drainCommand() *cobra.Command {
	var r remote
	c := &cobra.Command{
		Use: "drain", Short: "Stop a host gracefully", Args: cobra.NoArgs,
		Long:    "Drain makes a host leave the fleet, hand over its groups, finish the requests in progress and disconnect idle callers.",
		Example: "  pistachiotray drain --operator 127.0.0.1:6434 --timeout 60s",
	}
	r.addOperatorFlags(c)
	r.addCommonFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		return r.run(c, func(ctx context.Context) error { return r.sendCommand(ctx, c, "drain") })
	}
	return c
}

func switchCommand() *cobra.Command {
	var r remote
	c := &cobra.Command{
		Use: "switch GROUP MEMBER", Short: "Make another member the primary by a planned switchover", Args: cobra.ExactArgs(2),
		Long:    "Switch holds new writes of a group, waits until those in progress have ended, and then makes MEMBER the primary. Give the operator address of the host that owns the group.",
		Example: "  pistachiotray switch fittings fittings-1 --operator 127.0.0.1:6434",
	}
	r.addOperatorFlags(c)
	r.addCommonFlags(c)
	c.RunE = func(c *cobra.Command, arguments []string) error {
		return r.run(c, func(ctx context.Context) error { return r.sendCommand(ctx, c, "switch", arguments...) })
	}
	return c
}

// sendCommand sends a command to one host after the other and prints the
// results. It stops with an error at the first host that does not carry out the
// command.
func (r *remote) sendCommand(ctx context.Context, c *cobra.Command, name string, arguments ...string) error {
	for _, address := range r.operators {
		var result commandResult
		if err := r.queryHost(ctx, address, &result, name, arguments...); err != nil {
			return errors.Wrap(err, address)
		}
		if err := r.print(c, result, address+": "+result.Detail); err != nil {
			return err
		}
		if !result.Done {
			return errors.Errorf("%s: not done: %s", address, result.Detail)
		}
	}
	return nil
}
