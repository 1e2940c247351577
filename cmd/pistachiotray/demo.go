package main

import (
	"fmt"
	"net"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/standin/site"
)

const demoUsage = `Demo runs a platform stand-in, three database groups of three members each and
three hosts in one process, and keeps them running until SIGINT.`

const demoExample = `  pistachiotray demo --listen 127.0.0.1:6432
  psql -h 127.0.0.1 -p 6432 -d fittings`

// demoDatabases are the groups that the demo runs.
var demoDatabases = []string{"fittings", "shipments", "orders"}

func demoCommand() *cobra.Command {
	var listen string
	var level string
	c := &cobra.Command{
		Use: "demo", Short: "Run a small deployment in one process",
		Long: demoUsage, Example: demoExample, Args: cobra.NoArgs,
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:6432", "IP number and port of the first host; the others take the next ports")
	c.Flags().StringVar(&level, "log-level", "error", "debug, info, warn or error")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := conf.Environment(c.Flags()); err != nil {
			return err
		}
		return demoListen(c, listen, level)
	}
	return c
}

func demoListen(c *cobra.Command, listen, level string) error {
	ip, port, err := net.SplitHostPort(listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	log, err := newLog(level)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := site.New(ctx, site.WithDatabases(demoDatabases...), site.WithLog(log),
		site.WithSettings(func(i int, s conf.Settings) conf.Settings {
			s.Listen = net.JoinHostPort(ip, strconv.Itoa(first+i))
			return s
		}))
	if err != nil {
		return err
	}
	defer s.Close()
	for i := range s.Hosts() {
		if _, err := fmt.Fprintf(c.OutOrStdout(), "host %s callers %s operators %s\n",
			s.Settings(i).Host, s.Settings(i).Listen, s.Settings(i).OperatorListen); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}
