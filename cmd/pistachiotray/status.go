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

// hostView is what status prints of a host; other fields are kept for JSON.
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
	var r reach
	c := &cobra.Command{
		Use: "status", Short: "Show hosts, groups and what is wrong now",
		Long:    "Status asks one or more hosts what they know: themselves, their groups, and what is wrong now, since when and why.",
		Example: "  pistachiotray status --operator 127.0.0.1:6434", Args: cobra.NoArgs,
	}
	r.operatorFlags(c)
	r.commonFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		return r.with(c, func(ctx context.Context) error {
			var all []json.RawMessage
			var lines []string
			for _, address := range r.operators {
				var raw json.RawMessage
				if err := r.ask(ctx, address, &raw, "status"); err != nil {
					return errors.Wrap(err, address)
				}
				var v hostView
				if err := json.Unmarshal(raw, &v); err != nil {
					return err
				}
				all = append(all, raw)
				lines = append(lines, v.lines()...)
			}
			return r.show(c, all, lines...)
		})
	}
	return c
}

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

func explainCommand() *cobra.Command {
	var r reach
	c := &cobra.Command{
		Use: "explain SESSION|REQUEST|GROUP", Short: "Show what was decided for a session, a request or a group",
		Long:    "Explain prints the recent decisions that a host remembers. Ask the owner of the session's group.",
		Example: "  pistachiotray explain fittings --operator 127.0.0.1:6434", Args: cobra.ExactArgs(1),
	}
	r.operatorFlags(c)
	r.commonFlags(c)
	c.RunE = func(c *cobra.Command, arguments []string) error {
		return r.with(c, func(ctx context.Context) error {
			var all []string
			for _, address := range r.operators {
				var lines []string
				if err := r.ask(ctx, address, &lines, "explain", arguments[0]); err != nil {
					return errors.Wrap(err, address)
				}
				all = append(all, lines...)
			}
			slices.Sort(all)
			return r.show(c, all, all...)
		})
	}
	return c
}

// ordered is the answer to a command that orders something.
type ordered struct {
	Done   bool
	Detail string
}

func drainCommand() *cobra.Command {
	var r reach
	c := &cobra.Command{
		Use: "drain", Short: "Stop a host in order", Args: cobra.NoArgs,
		Long:    "Drain makes a host leave the fleet, hand its groups over, finish what is in progress and end idle callers.",
		Example: "  pistachiotray drain --operator 127.0.0.1:6434 --timeout 60s",
	}
	r.operatorFlags(c)
	r.commonFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		return r.with(c, func(ctx context.Context) error { return r.order(ctx, c, "drain") })
	}
	return c
}

func switchCommand() *cobra.Command {
	var r reach
	c := &cobra.Command{
		Use: "switch GROUP MEMBER", Short: "Make another member the primary, in order", Args: cobra.ExactArgs(2),
		Long:    "Switch lets the writes of a group wait while those in progress end, and then makes MEMBER the primary. Ask the group's owner.",
		Example: "  pistachiotray switch fittings fittings-1 --operator 127.0.0.1:6434",
	}
	r.operatorFlags(c)
	r.commonFlags(c)
	c.RunE = func(c *cobra.Command, arguments []string) error {
		return r.with(c, func(ctx context.Context) error { return r.order(ctx, c, "switch", arguments...) })
	}
	return c
}

// order gives an order to each host and fails where one did not carry it out.
func (r *reach) order(ctx context.Context, c *cobra.Command, name string, arguments ...string) error {
	for _, address := range r.operators {
		var out ordered
		if err := r.ask(ctx, address, &out, name, arguments...); err != nil {
			return errors.Wrap(err, address)
		}
		if err := r.show(c, out, address+": "+out.Detail); err != nil {
			return err
		}
		if !out.Done {
			return errors.Errorf("%s: not done: %s", address, out.Detail)
		}
	}
	return nil
}
