package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/standin/load"
)

const loadUsage = `Load sends statements at random times that do not depend on the answers, and
measures each latency from the time at which the statement was due.`

func loadCommand() *cobra.Command {
	l := load.Defaults()
	var asJSON bool
	c := &cobra.Command{
		Use: "load", Short: "Send a load to an address and measure the answers", Args: cobra.NoArgs, Long: loadUsage,
		Example: "  pistachiotray load --dsn postgres://clerk@127.0.0.1:6432/fittings --rate 200 --for 15s --crest 10",
	}
	f := c.Flags()
	f.StringSliceVar(&l.DSNs, "dsn", []string{"postgres://clerk@127.0.0.1:6432/fittings?sslmode=disable"}, "connection string; may be given again")
	f.StringVar(&l.Statement, "statement", l.Statement, "SQL to send; %d is replaced by the statement's number")
	f.IntVar(&l.Callers, "callers", l.Callers, "number of connections")
	f.Float64Var(&l.Rate, "rate", l.Rate, "mean number of statements per second")
	f.DurationVar(&l.For, "for", l.For, "length of the load")
	f.Float64Var(&l.Crest, "crest", l.Crest, "factor of the rate in the middle third")
	f.Uint64Var(&l.Seed, "seed", l.Seed, "seed of the random send times")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := conf.ApplyEnvironment(f); err != nil {
			return err
		}
		if err := l.Run(context.WithoutCancel(c.Context())); err != nil {
			return err
		}
		r := remote{asJSON: asJSON}
		return r.print(c, l, fmt.Sprint(l))
	}
	return c
}
