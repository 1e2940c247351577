package main

import (
	"context"
	"net/http"
	"slices"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/connection/expln"
)

const explainUsage = `Explain prints the recent decisions that a host of serve has kept. Give the
operator address of the host that owns the session's group.

With --metrics, it asks a host of proxy where it would send a single statement of a
new session now, and why, or with which result it would refuse it. The statement
is neither sent nor counted. The address is that of the host's metrics. Give the
name of the customer, never its key. Figures are what that host knows, times are in
milliseconds:

  share     the probability with which the target is chosen
  estimate  the expected time there, of which slot wait is the wait for a slot
  load      the estimated statements there, with the age of the last report
  heard     how long ago the target last answered this host
  lag       how far its log was behind at least, by its last report
  own       the probability that this host uses its own connections to it
  open      this host's open connections that the request may use, of all; also idle
  waiting   the calls that wait for one of them
  wait      the predicted wait for one, or that the request would be refused`

// request is the request that explain asks about with --metrics.
type request struct {
	// hosts are the metrics addresses of the hosts to ask.
	hosts    []string
	customer string
	read     bool
	write    bool
}

func explainCommand() *cobra.Command {
	var r remote
	var q request
	c := &cobra.Command{
		Use: "explain SESSION|REQUEST|GROUP, or explain DATABASE --metrics ADDRESS", Short: "Show recent decisions, or where a request would go now and why",
		Long:    explainUsage,
		Example: "  pistachiotray explain fittings --operator 127.0.0.1:6434\n  pistachiotray explain orders --metrics 10.1.0.8:7440 --customer bakery --write", Args: cobra.ExactArgs(1),
	}
	r.addOperatorFlags(c)
	r.addCommonFlags(c)
	c.Flags().StringSliceVar(&q.hosts, "metrics", nil, "metrics address of a host of proxy; may be given again")
	c.Flags().StringVar(&q.customer, "customer", "", "name of the customer for whom the request works")
	c.Flags().BoolVar(&q.read, "read", false, "the request reads, which is the default")
	c.Flags().BoolVar(&q.write, "write", false, "the request writes")
	c.MarkFlagsMutuallyExclusive("read", "write")
	c.MarkFlagsMutuallyExclusive("metrics", "operator")
	c.RunE = func(c *cobra.Command, arguments []string) error {
		return r.run(c, func(ctx context.Context) error {
			if len(q.hosts) > 0 {
				return r.explainRequest(ctx, c, arguments[0], q)
			}
			if q.customer != "" || q.read || q.write {
				return errors.New("--customer, --read and --write need --metrics")
			}
			return r.explainDecisions(ctx, c, arguments[0])
		})
	}
	return c
}

// explainDecisions prints the recent decisions of the hosts about a session, a request or a group.
func (r *remote) explainDecisions(ctx context.Context, c *cobra.Command, subject string) error {
	var all []string
	for _, address := range r.operators {
		var lines []string
		if err := r.queryHost(ctx, address, &lines, "explain", subject); err != nil {
			return errors.Wrap(err, address)
		}
		all = append(all, lines...)
	}
	slices.Sort(all)
	return r.print(c, all, all...)
}

// explainRequest prints where each of the hosts would send a request.
func (r *remote) explainRequest(ctx context.Context, c *cobra.Command, database string, q request) error {
	var all []expln.Explanation
	var lines []string
	for _, address := range q.hosts {
		e, err := expln.Fetch(ctx, http.DefaultClient, address, database, q.customer, q.write)
		if err != nil {
			return errors.Wrap(err, address)
		}
		all = append(all, e)
		lines = append(lines, e.Lines()...)
	}
	return r.print(c, all, lines...)
}
