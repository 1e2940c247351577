package main

import (
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/standin/infra"
)

const standinUsage = `Standin runs a stand-in of the platform and, for each database, a group of three
stand-in members, to be used by hosts that run as separate processes. It is meant
for trials on one machine.`

const standinExample = `  pistachiotray standin --platform-listen 127.0.0.1:6400 --database fittings \
    --listed-host a=http://127.0.0.1:7001,zone-a
  pistachiotray serve --host a --zone zone-a --peer-listen 127.0.0.1:7001`

func standinCommand() *cobra.Command {
	var listen string
	var databases, listedHosts []string
	var slots int
	var connectDelay, shipLag, applyLag time.Duration
	c := &cobra.Command{
		Use: "standin", Short: "Run stand-ins of the platform and of databases",
		Long: standinUsage, Example: standinExample, Args: cobra.NoArgs,
	}
	f := c.Flags()
	f.StringVar(&listen, "platform-listen", "127.0.0.1:6400", "IP number and port of the platform")
	f.StringSliceVar(&databases, "database", []string{"fittings"}, "name of a database group; may be given again")
	f.StringArrayVar(&listedHosts, "listed-host", nil, "host in the platform's list of hosts, as name=URL,zone; may be given again")
	f.IntVar(&slots, "slots", 5, "number of slots of each member")
	f.DurationVar(&connectDelay, "connect-delay", 10*time.Millisecond, "time to open a new slot")
	f.DurationVar(&shipLag, "ship-lag", 0, "time until an entry reaches a replica")
	f.DurationVar(&applyLag, "apply-lag", 0, "time until a replica's reads see an entry that has reached it")
	c.RunE = func(c *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		s, err := infra.New(ctx, listen, databases, listedHosts, slots, connectDelay)
		if err != nil {
			return err
		}
		defer s.Close()
		s.SetLag(shipLag, applyLag)
		for _, line := range s.Lines() {
			if _, err := fmt.Fprintln(c.OutOrStdout(), line); err != nil {
				return err
			}
		}
		<-ctx.Done()
		return nil
	}
	return c
}
