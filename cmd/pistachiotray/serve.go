package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/process/host"
)

const serveUsage = `Serve runs one host. SIGTERM or SIGINT drains and stops it.

Each flag can also be set by an environment variable: PISTACHIOTRAY_ and the flag's
name in capitals with _ for -. A flag takes precedence over its variable. All
settings are checked before anything is started.`

const serveExample = `  pistachiotray serve --host brno-1 --zone brno-a \
    --listen 10.0.0.5:6432 --peer-listen 10.0.0.5:6433 \
    --platform https://10.0.0.2:6400 --users-file /run/users \
    --token-keys-file /run/token-keys --peer-key-file /run/peer-key \
    --peer-tls-cert-file /run/peer.pem --peer-tls-key-file /run/peer-key.pem`

func serveCommand() *cobra.Command {
	s := conf.Defaults()
	c := &cobra.Command{
		Use:     "serve",
		Short:   "Run one host",
		Long:    serveUsage,
		Example: serveExample,
		Args:    cobra.NoArgs,
	}
	s.AddFlags(c.Flags())
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := checkSettings(c, &s); err != nil {
			return err
		}
		return serve(c.Context(), s)
	}
	return c
}

// serve runs one host until SIGTERM or SIGINT, and then drains and closes it.
func serve(ctx context.Context, s conf.Settings) error {
	log, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	h, err := host.New(s, log.Named(s.Host))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	h.Start(ctx)
	callers, peers, operators := h.Addresses()
	log.Info("serving", zap.String("Callers", callers), zap.String("Peers", peers), zap.String("Operators", operators))
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.DrainTime)
	defer cancel()
	n := h.Drain(drainCtx)
	log.Info("drain ended", zap.Int("Remained", n))
	h.Close()
	return nil
}
