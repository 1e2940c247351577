package main

import (
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/pistachiotray/pistachiotray/process/conf"
)

// root returns the command with all its subcommands.
func root() *cobra.Command {
	c := &cobra.Command{
		Use:           "pistachiotray",
		Short:         "A database proxy for PostgreSQL's protocol with session consistency",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	c.AddCommand(serveCommand(), proxyCommand(), demoCommand(), standinCommand(), replayCommand(), compareCommand(), loadCommand(), checkCommand(), publishCommand(), historyCommand(), diffCommand(),
		rollbackCommand(), statusCommand(), explainCommand(), drainCommand(), switchCommand(), auditCommand(), storyCommand(), pagesCommand(), versionCommand())
	return c
}

// newLog returns a log of JSON lines with keys in Pascal case.
func newLog(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(l)
	c.Sampling = nil
	c.EncoderConfig = logEncoding()
	return c.Build()
}

// logEncoding returns the form of log lines.
func logEncoding() zapcore.EncoderConfig {
	e := zap.NewProductionEncoderConfig()
	e.TimeKey = "Time"
	e.LevelKey = "Level"
	e.NameKey = "Host"
	e.CallerKey = "Caller"
	e.MessageKey = "Message"
	e.StacktraceKey = "Stacktrace"
	e.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	e.EncodeDuration = zapcore.MillisDurationEncoder
	return e
}

// checkSettings reads environment variables and lists every bad setting.
func checkSettings(c *cobra.Command, s *conf.Settings) error {
	if err := conf.ApplyEnvironment(c.Flags()); err != nil {
		return err
	}
	return s.Validate()
}
