package conf_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/pflag"

	"github.com/pistachiotray/pistachiotray/process/conf"
)

func parseFlags(t *testing.T, s *conf.Settings, arguments ...string) *pflag.FlagSet {
	t.Helper()
	f := pflag.NewFlagSet("", pflag.ContinueOnError)
	s.AddFlags(f)
	if err := f.Parse(arguments); err != nil {
		t.Fatal(err)
	}
	return f
}

func TestFlagOverridesVariableOverridesDefault(t *testing.T) {
	is := is.New(t)
	t.Setenv("PISTACHIOTRAY_ZONE", "from-variable")
	t.Setenv("PISTACHIOTRAY_HOST", "from-variable")
	s := conf.Defaults()
	is.NoErr(conf.ApplyEnvironment(parseFlags(t, &s, "--host", "from-flag")))
	is.Equal(s.Host, "from-flag")
	is.Equal(s.Zone, "from-variable")
	is.Equal(s.Workers, conf.Defaults().Workers)
}

// One start must report all invalid settings, so that an operator need not
// correct them one by one.
func TestEveryInvalidSettingIsReported(t *testing.T) {
	is := is.New(t)
	t.Setenv("PISTACHIOTRAY_WORKERS", "many")
	t.Setenv("PISTACHIOTRAY_GRACE", "soon")
	s := conf.Defaults()
	err := conf.ApplyEnvironment(parseFlags(t, &s))
	is.True(strings.Contains(err.Error(), "PISTACHIOTRAY_WORKERS") && strings.Contains(err.Error(), "PISTACHIOTRAY_GRACE"))
	s = conf.Defaults()
	s.Listen, s.Platform, s.Workers, s.LogLevel, s.TLSCertFile = "0.0.0.0:1", "x", 0, "loud", "c"
	err = s.Validate()
	for _, want := range []string{"host:", "platform:", "workers:", "log-level:", "tls-cert-file", "users-file", "token-keys-file"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in:\n%v", want, err)
		}
	}
}
