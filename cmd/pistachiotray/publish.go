package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/process/publ"
	"github.com/pistachiotray/pistachiotray/version/bundle"
)

const publishUsage = `Publish puts service files into force as a new version. Services that are not
named keep theirs. Where somebody else published meanwhile, the new version
builds on theirs, unless both changed the same service.`

const publishExample = `  pistachiotray publish --wait --operator 10.0.0.5:6434 fittings.toml
  pistachiotray publish --dry-run --base 12 fittings.toml`

// published is what publish and rollback print as JSON.
type published struct {
	Version     uint64
	Publication string
	Services    []string
	InForce     bool
	Missing     []string
}

func publishCommand() *cobra.Command {
	var r reach
	var dryRun, wait bool
	var base uint64
	var publication string
	c := &cobra.Command{
		Use: "publish FILE…", Short: "Put service files into force", Long: publishUsage,
		Example: publishExample, Args: cobra.MinimumNArgs(1),
	}
	r.platformFlags(c)
	r.operatorFlags(c)
	c.Flags().BoolVar(&dryRun, "dry-run", false, "print what would change and publish nothing")
	c.Flags().BoolVar(&wait, "wait", false, "wait until the version is in force at the hosts given as operator")
	c.Flags().Uint64Var(&base, "base", 0, "version that the files were made from; 0 takes the newest")
	c.Flags().StringVar(&publication, "publication", "", "name of this act, to publish again after an unknown outcome")
	c.RunE = func(c *cobra.Command, names []string) error {
		_, texts, err := readFiles(names)
		if err != nil {
			return err
		}
		return r.with(c, func(ctx context.Context) error {
			return runPublish(ctx, c, &r, texts, base, publication, dryRun, wait)
		})
	}
	return c
}

func runPublish(ctx context.Context, c *cobra.Command, r *reach, texts map[string]string, base uint64, publication string, dryRun, wait bool) error {
	p := r.publisher()
	from, err := baseOf(ctx, p, base)
	if err != nil {
		return err
	}
	if dryRun {
		lines := publ.Diff(from, from.WithFiles(texts))
		return r.show(c, lines, append([]string{fmt.Sprintf("would publish on version %d:", from.Version)}, lines...)...)
	}
	if publication == "" {
		publication = newPublication()
	}
	b, err := p.Publish(ctx, from, publication, texts)
	if err != nil {
		return errors.Wrapf(err, "publication %s", publication)
	}
	return tellPublished(ctx, c, r, b, wait)
}

func baseOf(ctx context.Context, p *publ.Publisher, base uint64) (bundle.Bundle, error) {
	if base == 0 {
		return p.Head(ctx)
	}
	return p.Version(ctx, base)
}

func newPublication() string {
	p := make([]byte, 8)
	_, _ = rand.Read(p)
	return hex.EncodeToString(p)
}

// tellPublished prints the version and, where asked to, waits until it is in
// force everywhere, naming the hosts that lack it.
func tellPublished(ctx context.Context, c *cobra.Command, r *reach, b bundle.Bundle, wait bool) error {
	out := published{Version: b.Version, Publication: b.Publication, Services: b.Services}
	line := fmt.Sprintf("version %d accepted, publication %s, services %s", b.Version, b.Publication, strings.Join(b.Services, ", "))
	if !wait {
		return r.show(c, out, line)
	}
	const every = 100 * time.Millisecond
	for {
		out.Missing = missing(ctx, r, b.Version)
		out.InForce = len(out.Missing) == 0
		if out.InForce {
			return r.show(c, out, line, "in force at all hosts asked")
		}
		select {
		case <-time.After(every):
		case <-ctx.Done():
			_ = r.show(c, out, line, "not in force yet at "+strings.Join(out.Missing, ", "))
			return errors.New("the version is accepted and not in force everywhere yet")
		}
	}
}

func missing(ctx context.Context, r *reach, version uint64) []string {
	var lacking []string
	for _, address := range r.operators {
		var s struct{ Version uint64 }
		if err := r.ask(ctx, address, &s, "status"); err != nil || s.Version < version {
			lacking = append(lacking, address)
		}
	}
	return lacking
}

func historyCommand() *cobra.Command {
	var r reach
	var most int
	c := &cobra.Command{
		Use: "history", Short: "List configuration versions", Long: "History lists the versions, the newest first.",
		Example: "  pistachiotray history --most 20", Args: cobra.NoArgs,
	}
	r.platformFlags(c)
	c.Flags().IntVar(&most, "most", 20, "most versions to list")
	c.RunE = func(c *cobra.Command, _ []string) error {
		return r.with(c, func(ctx context.Context) error {
			all, err := r.publisher().History(ctx, most)
			if err != nil {
				return err
			}
			var lines []string
			for _, b := range all {
				lines = append(lines, fmt.Sprintf("%6d  %s  %-16s %s", b.Version, b.At.Format(time.RFC3339), b.By, strings.Join(b.Services, ", ")))
			}
			return r.show(c, all, lines...)
		})
	}
	return c
}

func diffCommand() *cobra.Command {
	var r reach
	c := &cobra.Command{
		Use: "diff N M", Short: "Show what changed between two versions", Long: "Diff prints what version M changed against version N.",
		Example: "  pistachiotray diff 11 12", Args: cobra.ExactArgs(2),
	}
	r.platformFlags(c)
	c.RunE = func(c *cobra.Command, arguments []string) error {
		return r.with(c, func(ctx context.Context) error {
			var both [2]bundle.Bundle
			for i, a := range arguments {
				n, err := strconv.ParseUint(a, 10, 64)
				if err != nil {
					return errors.Wrap(err, "version")
				}
				if both[i], err = r.publisher().Version(ctx, n); err != nil {
					return err
				}
			}
			lines := publ.Diff(both[0], both[1])
			return r.show(c, lines, lines...)
		})
	}
	return c
}

func rollbackCommand() *cobra.Command {
	var r reach
	var wait bool
	c := &cobra.Command{
		Use: "rollback N", Short: "Publish the files of an earlier version as a new one",
		Long:    "Rollback publishes the files of version N under a new number. Versions never go back.",
		Example: "  pistachiotray rollback 11 --wait", Args: cobra.ExactArgs(1),
	}
	r.platformFlags(c)
	r.operatorFlags(c)
	c.Flags().BoolVar(&wait, "wait", false, "wait until the version is in force at the hosts given as operator")
	c.RunE = func(c *cobra.Command, arguments []string) error {
		n, err := strconv.ParseUint(arguments[0], 10, 64)
		if err != nil {
			return errors.Wrap(err, "version")
		}
		return r.with(c, func(ctx context.Context) error {
			b, err := r.publisher().Rollback(ctx, n, newPublication())
			if err != nil {
				return err
			}
			return tellPublished(ctx, c, &r, b, wait)
		})
	}
	return c
}
