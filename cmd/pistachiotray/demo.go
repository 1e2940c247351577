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
	"github.com/pistachiotray/pistachiotray/standin/demo"
	"github.com/pistachiotray/pistachiotray/standin/deploy"
)

const demoUsage = `Demo runs a platform stand-in, three database groups of three members each and
three hosts in one process, until SIGINT. With --run it instead simulates a short
day of both users' work and exits with code 0 only if no write was lost or ran
twice and no answer was wrong.`

const demoExample = `  pistachiotray demo --listen 127.0.0.1:6432
  psql -h 127.0.0.1 -p 6432 -d fittings`

// demoDatabases are the names of the database groups that the demo runs.
var demoDatabases = []string{"fittings", "shipments", "orders"}

func demoCommand() *cobra.Command {
	var listen string
	var level string
	var run, asJSON bool
	var seed uint64
	c := &cobra.Command{
		Use: "demo", Short: "Run a small deployment in one process",
		Long: demoUsage, Example: demoExample, Args: cobra.NoArgs,
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:6432", "IP number and port of the first host; the others take the next ports")
	c.Flags().StringVar(&level, "log-level", "error", "debug, info, warn or error")
	c.Flags().BoolVar(&run, "run", false, "simulate a short day and print the measurements")
	c.Flags().BoolVar(&asJSON, "json", false, "print the measurements as JSON")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the day")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := conf.ApplyEnvironment(c.Flags()); err != nil {
			return err
		}
		if run {
			return runDemo(c, seed, asJSON)
		}
		return serveDemo(c, listen, level)
	}
	return c
}

// runDemo simulates a short day and prints the measurements. It prints its
// progress to standard error, and returns an error if a check failed.
func runDemo(c *cobra.Command, seed uint64, asJSON bool) error {
	d := demo.New(seed, func(text string) { _, _ = fmt.Fprintln(c.ErrOrStderr(), text) })
	if err := d.Run(c.Context()); err != nil {
		return err
	}
	r := remote{asJSON: asJSON}
	if err := r.print(c, d, d.Lines()...); err != nil {
		return err
	}
	if !d.Passed() {
		return errors.New("a promise was broken")
	}
	return nil
}

// serveDemo runs the demo deployment until SIGTERM or SIGINT. The hosts listen
// on successive ports, from the port of listen.
func serveDemo(c *cobra.Command, listen, level string) error {
	ip, port, err := net.SplitHostPort(listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	firstPort, err := strconv.Atoi(port)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	log, err := newLogger(level)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := deploy.New(ctx, deploy.WithDatabases(demoDatabases...), deploy.WithLog(log),
		deploy.WithSettings(func(i int, s conf.Settings) conf.Settings {
			s.Listen = net.JoinHostPort(ip, strconv.Itoa(firstPort+i))
			return s
		}))
	if err != nil {
		return err
	}
	defer s.Close()
	for i := range s.HostCount() {
		if _, err := fmt.Fprintf(c.OutOrStdout(), "host %s callers %s operators %s\n",
			s.Settings(i).Host, s.Settings(i).Listen, s.Settings(i).OperatorListen); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}
