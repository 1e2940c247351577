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

const publishUsage = `Publish publishes service files as a new configuration version. Services that are
not among them keep their files. If another version was published meanwhile, the
new one is based on it, unless both changed the same service.`

const publishExample = `  pistachiotray publish --wait --operator 10.0.0.5:6434 fittings.toml
  pistachiotray publish --dry-run --base 12 fittings.toml`

// publishResult is the JSON output of publish and rollback. With --wait,
// InForce reports whether all given hosts run the version, and Missing lists
// the addresses of those that do not.
type publishResult struct {
	Version     uint64
	Publication string
	Services    []string
	InForce     bool
	Missing     []string
}

func publishCommand() *cobra.Command {
	var r remote
	var dryRun, wait bool
	var base uint64
	var publication string
	c := &cobra.Command{
		Use: "publish FILE…", Short: "Publish service files as a new configuration version", Long: publishUsage,
		Example: publishExample, Args: cobra.MinimumNArgs(1),
	}
	r.addPlatformFlags(c)
	r.addOperatorFlags(c)
	c.Flags().BoolVar(&dryRun, "dry-run", false, "print what would change and publish nothing")
	c.Flags().BoolVar(&wait, "wait", false, "wait until the version is in force at the hosts given as operator")
	c.Flags().Uint64Var(&base, "base", 0, "version on which the files are based; 0 is the newest")
	c.Flags().StringVar(&publication, "publication", "", "name of this publication, to repeat it safely after an unknown outcome")
	c.RunE = func(c *cobra.Command, names []string) error {
		_, files, err := readFiles(names)
		if err != nil {
			return err
		}
		return r.run(c, func(ctx context.Context) error {
			return runPublish(ctx, c, &r, files, base, publication, dryRun, wait)
		})
	}
	return c
}

// runPublish publishes the files, by service, or with dryRun prints the
// changes. If the publication fails, the error contains the publication's name,
// so that the operator can repeat the publication under the same name.
func runPublish(ctx context.Context, c *cobra.Command, r *remote, files map[string]string, base uint64, publication string, dryRun, wait bool) error {
	p := r.newPublisher()
	from, err := baseVersion(ctx, p, base)
	if err != nil {
		return err
	}
	if dryRun {
		lines := publ.Diff(from, from.WithFiles(files))
		return r.print(c, lines, append([]string{fmt.Sprintf("would publish on version %d:", from.Version)}, lines...)...)
	}
	if publication == "" {
		publication = newPublicationName()
	}
	b, err := p.Publish(ctx, from, publication, files)
	if err != nil {
		return errors.Wrapf(err, "publication %s", publication)
	}
	return reportPublished(ctx, c, r, b, wait)
}

// baseVersion returns the version with the number base, or the newest version
// if base is 0.
func baseVersion(ctx context.Context, p *publ.Publisher, base uint64) (bundle.Bundle, error) {
	if base == 0 {
		return p.Head(ctx)
	}
	return p.Version(ctx, base)
}

// newPublicationName returns a random name for a publication.
func newPublicationName() string {
	name := make([]byte, 8)
	_, _ = rand.Read(name)
	return hex.EncodeToString(name)
}

// reportPublished prints the version. With wait, it first waits until the
// version is in force at all given hosts. If the context ends before that, it
// lists the hosts at which the version is not in force and returns an error.
func reportPublished(ctx context.Context, c *cobra.Command, r *remote, b bundle.Bundle, wait bool) error {
	result := publishResult{Version: b.Version, Publication: b.Publication, Services: b.Services}
	summary := fmt.Sprintf("version %d accepted, publication %s, services %s", b.Version, b.Publication, strings.Join(b.Services, ", "))
	if !wait {
		return r.print(c, result, summary)
	}
	const pollInterval = 100 * time.Millisecond
	for {
		result.Missing = hostsBehind(ctx, r, b.Version)
		result.InForce = len(result.Missing) == 0
		if result.InForce {
			return r.print(c, result, summary, "in force at all hosts asked")
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			_ = r.print(c, result, summary, "not in force yet at "+strings.Join(result.Missing, ", "))
			return errors.New("the version is accepted and not in force everywhere yet")
		}
	}
}

// hostsBehind returns the operator addresses of the given hosts that run an
// older version or do not answer.
func hostsBehind(ctx context.Context, r *remote, version uint64) []string {
	var behind []string
	for _, address := range r.operators {
		var s struct{ Version uint64 }
		if err := r.queryHost(ctx, address, &s, "status"); err != nil || s.Version < version {
			behind = append(behind, address)
		}
	}
	return behind
}

func historyCommand() *cobra.Command {
	var r remote
	var limit int
	c := &cobra.Command{
		Use: "history", Short: "List configuration versions", Long: "History lists the configuration versions, newest first.",
		Example: "  pistachiotray history --most 20", Args: cobra.NoArgs,
	}
	r.addPlatformFlags(c)
	c.Flags().IntVar(&limit, "most", 20, "maximum number of versions to list")
	c.RunE = func(c *cobra.Command, _ []string) error {
		return r.run(c, func(ctx context.Context) error {
			all, err := r.newPublisher().History(ctx, limit)
			if err != nil {
				return err
			}
			var lines []string
			for _, b := range all {
				lines = append(lines, fmt.Sprintf("%6d  %s  %-16s %s", b.Version, b.At.Format(time.RFC3339), b.By, strings.Join(b.Services, ", ")))
			}
			return r.print(c, all, lines...)
		})
	}
	return c
}

func diffCommand() *cobra.Command {
	var r remote
	c := &cobra.Command{
		Use: "diff N M", Short: "Show what changed between two versions", Long: "Diff prints the changes from version N to version M.",
		Example: "  pistachiotray diff 11 12", Args: cobra.ExactArgs(2),
	}
	r.addPlatformFlags(c)
	c.RunE = func(c *cobra.Command, arguments []string) error {
		return r.run(c, func(ctx context.Context) error {
			var versions [2]bundle.Bundle
			for i, a := range arguments {
				n, err := strconv.ParseUint(a, 10, 64)
				if err != nil {
					return errors.Wrap(err, "version")
				}
				if versions[i], err = r.newPublisher().Version(ctx, n); err != nil {
					return err
				}
			}
			lines := publ.Diff(versions[0], versions[1])
			return r.print(c, lines, lines...)
		})
	}
	return c
}

func rollbackCommand() *cobra.Command {
	var r remote
	var wait bool
	c := &cobra.Command{
		Use: "rollback N", Short: "Publish the files of an earlier version as a new one",
		Long:    "Rollback publishes the files of version N as a new version with a new number. Version numbers never decrease.",
		Example: "  pistachiotray rollback 11 --wait", Args: cobra.ExactArgs(1),
	}
	r.addPlatformFlags(c)
	r.addOperatorFlags(c)
	c.Flags().BoolVar(&wait, "wait", false, "wait until the version is in force at the hosts given as operator")
	c.RunE = func(c *cobra.Command, arguments []string) error {
		n, err := strconv.ParseUint(arguments[0], 10, 64)
		if err != nil {
			return errors.Wrap(err, "version")
		}
		return r.run(c, func(ctx context.Context) error {
			b, err := r.newPublisher().Rollback(ctx, n, newPublicationName())
			if err != nil {
				return err
			}
			return reportPublished(ctx, c, &r, b, wait)
		})
	}
	return c
}
