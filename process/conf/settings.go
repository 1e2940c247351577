// Package conf defines the settings of one host.
package conf

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/pflag"
)

// variablePrefix is the prefix of the name of each environment variable.
const variablePrefix = "PISTACHIOTRAY_"

// Settings are the settings of a host, read when it starts. A flag overrides
// its environment variable, which overrides the default. The usage texts in
// AddFlags describe each setting.
type Settings struct {
	Host               string
	Zone               string
	Listen             string
	PeerListen         string
	PeerAddress        string
	Seeds              []string
	OperatorListen     string
	Platform           string
	UsersFile          string
	TokenKeysFile      string
	PeerKeyFile        string
	TargetUser         string
	TargetPasswordFile string
	TLSCertFile        string
	TLSKeyFile         string
	PeerTLSCertFile    string
	PeerTLSKeyFile     string
	PeerTLSCAFile      string
	PlainPeers         bool
	AllowTrust         bool
	MessageLimit       int
	CallerLimit        int
	CallerMemory       int64
	SessionValues      int
	SessionMemory      int
	Workers            int
	DrainTime          time.Duration
	Grace              time.Duration
	IdleLimit          time.Duration
	LongAfter          time.Duration
	Aging              time.Duration
	Heartbeat          time.Duration
	ProbeInterval      time.Duration
	ConfigPoll         time.Duration
	LogLevel           string
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Listen:         "127.0.0.1:6432",
		PeerListen:     "127.0.0.1:6433",
		OperatorListen: "127.0.0.1:6434",
		Platform:       "http://127.0.0.1:6400",
		TargetUser:     "pistachiotray",
		MessageLimit:   16 << 20,
		CallerLimit:    10_000,
		CallerMemory:   1 << 30,
		SessionValues:  10_000,
		SessionMemory:  64 << 20,
		Workers:        8,
		DrainTime:      30 * time.Second,
		Grace:          2 * time.Second,
		IdleLimit:      10 * time.Second,
		LongAfter:      100 * time.Millisecond,
		Aging:          time.Second,
		Heartbeat:      200 * time.Millisecond,
		ProbeInterval:  250 * time.Millisecond,
		ConfigPoll:     time.Second,
		LogLevel:       "info",
	}
}

// AddFlags adds a flag for each setting. The flags store their values in s. The
// present values of s are the defaults. The usage texts appear in
// docs/SETTINGS.md.
func (s *Settings) AddFlags(f *pflag.FlagSet) {
	f.StringVar(&s.Host, "host", s.Host, "name of this host, unique in the fleet")
	f.StringVar(&s.Zone, "zone", s.Zone, "availability zone of this host")
	f.StringVar(&s.Listen, "listen", s.Listen, "IP number and port for callers")
	f.StringVar(&s.PeerListen, "peer-listen", s.PeerListen, "IP number and port for other hosts")
	f.StringVar(&s.PeerAddress, "peer-address", s.PeerAddress, "IP number and port under which other hosts reach this one; empty takes peer-listen")
	f.StringSliceVar(&s.Seeds, "seed", s.Seeds, "IP number and port of another host, for a start while the platform is down; may be given again")
	f.StringVar(&s.OperatorListen, "operator-listen", s.OperatorListen, "IP number and port for operators")
	f.StringVar(&s.Platform, "platform", s.Platform, "URL of the platform's table service and object store")
	f.StringVar(&s.UsersFile, "users-file", s.UsersFile, "file of callers' names and passwords, one name:password a line")
	f.StringVar(&s.TokenKeysFile, "token-keys-file", s.TokenKeysFile, "file of session token keys, one name:key a line; the first signs")
	f.StringVar(&s.PeerKeyFile, "peer-key-file", s.PeerKeyFile, "file with the key that peers and operators show")
	f.StringVar(&s.TargetUser, "target-user", s.TargetUser, "name under which targets are reached")
	f.StringVar(&s.TargetPasswordFile, "target-password-file", s.TargetPasswordFile, "file with the password for targets")
	f.StringVar(&s.TLSCertFile, "tls-cert-file", s.TLSCertFile, "certificate shown to callers, PEM")
	f.StringVar(&s.TLSKeyFile, "tls-key-file", s.TLSKeyFile, "key of the certificate shown to callers, PEM")
	f.StringVar(&s.PeerTLSCertFile, "peer-tls-cert-file", s.PeerTLSCertFile, "certificate shown to other hosts and operators, PEM")
	f.StringVar(&s.PeerTLSKeyFile, "peer-tls-key-file", s.PeerTLSKeyFile, "key of the certificate shown to other hosts, PEM")
	f.StringVar(&s.PeerTLSCAFile, "peer-tls-ca-file", s.PeerTLSCAFile, "authority that other hosts' certificates are checked against, PEM")
	f.BoolVar(&s.PlainPeers, "plain-peers", s.PlainPeers, "let hosts talk without TLS although they are not on loopback")
	f.BoolVar(&s.AllowTrust, "allow-trust", s.AllowTrust, "let callers in without a password although not on loopback")
	f.IntVar(&s.MessageLimit, "message-limit", s.MessageLimit, "longest message of a caller, in bytes")
	f.IntVar(&s.CallerLimit, "caller-limit", s.CallerLimit, "most connections of callers")
	f.Int64Var(&s.CallerMemory, "caller-memory", s.CallerMemory, "most memory for callers' messages over 8 KiB, answers that are being sent and what sessions keep, in bytes; beyond it the largest or oldest caller is closed")
	f.IntVar(&s.SessionValues, "session-values", s.SessionValues, "most prepared statements and settings of a session")
	f.IntVar(&s.SessionMemory, "session-memory", s.SessionMemory, "most memory that a session's prepared statements and settings may take, in bytes")
	f.IntVar(&s.Workers, "workers", s.Workers, "number of workers that take decisions")
	f.DurationVar(&s.DrainTime, "drain-time", s.DrainTime, "longest time that a planned stop waits for work in progress")
	f.DurationVar(&s.Grace, "grace", s.Grace, "how long a transaction waits for a session that lost its host")
	f.DurationVar(&s.IdleLimit, "idle-limit", s.IdleLimit, "how long a transaction may hold a slot without a statement")
	f.DurationVar(&s.LongAfter, "long-after", s.LongAfter, "service time from which a request counts as long")
	f.DurationVar(&s.Aging, "aging", s.Aging, "longest wait of long work behind short work where its cap lets it run")
	f.DurationVar(&s.Heartbeat, "heartbeat", s.Heartbeat, "time between two heartbeats to a primary")
	f.DurationVar(&s.ProbeInterval, "probe-interval", s.ProbeInterval, "time between two probes of other hosts")
	f.DurationVar(&s.ConfigPoll, "config-poll", s.ConfigPoll, "mean time between two looks at the store for a new configuration")
	f.StringVar(&s.LogLevel, "log-level", s.LogLevel, "debug, info, warn or error")
}

// EnvVariable returns the name of a flag's environment variable.
func EnvVariable(flag string) string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// ApplyEnvironment sets each flag that was not given on the command line from
// its environment variable, if there is one. The error lists every variable
// whose value is not valid.
func ApplyEnvironment(f *pflag.FlagSet) error {
	var errs []error
	f.VisitAll(func(flag *pflag.Flag) {
		value, ok := os.LookupEnv(EnvVariable(flag.Name))
		if !ok || flag.Changed {
			return
		}
		if err := f.Set(flag.Name, value); err != nil {
			errs = append(errs, errors.Wrap(err, EnvVariable(flag.Name)))
		}
	})
	return errors.Join(errs...)
}

// Validate returns an error that lists every invalid setting, or nil if all are
// valid.
func (s Settings) Validate() error {
	var errs []error
	add := func(invalid bool, text string) {
		if invalid {
			errs = append(errs, errors.New(text))
		}
	}
	add(s.Host == "", "host: must not be empty")
	add(strings.ContainsAny(s.Host, " /\x00"), "host: must hold no space and no slash")
	for _, a := range [][2]string{{"listen", s.Listen}, {"peer-listen", s.PeerListen}, {"operator-listen", s.OperatorListen}} {
		add(!isAddress(a[1]), a[0]+": must be an IP number and a port")
	}
	add(s.PeerAddress != "" && !isAddress(s.PeerAddress), "peer-address: must be an IP number and a port")
	add(!strings.HasPrefix(s.Platform, "http://") && !strings.HasPrefix(s.Platform, "https://"), "platform: must be a URL of http or https")
	add((s.TLSCertFile == "") != (s.TLSKeyFile == ""), "tls-cert-file, tls-key-file: give both or none")
	add((s.PeerTLSCertFile == "") != (s.PeerTLSKeyFile == ""), "peer-tls-cert-file, peer-tls-key-file: give both or none")
	add(s.UsersFile == "" && !s.AllowTrust && !isLoopback(s.Listen), "users-file: needed where callers do not come from loopback, or set allow-trust")
	add(s.PeerTLSCertFile == "" && !s.PlainPeers && !isLoopback(s.PeerListen), "peer-tls-cert-file: needed where hosts are not on loopback, or set plain-peers")
	add(s.PeerKeyFile == "" && !isLoopback(s.PeerListen), "peer-key-file: needed where hosts are not on loopback")
	add(s.PeerKeyFile == "" && !isLoopback(s.OperatorListen), "peer-key-file: needed where operators are not on loopback")
	add(s.TokenKeysFile == "" && !isLoopback(s.Listen), "token-keys-file: needed where callers do not come from loopback")
	for _, seed := range s.Seeds {
		add(!isAddress(seed), "seed: must be an IP number and a port")
	}
	errs = append(errs, s.checkLimitsAndLevel()...)
	return errors.Join(errs...)
}

// checkLimitsAndLevel returns an error for each limit and duration that is not valid,
// and one for an invalid log level.
func (s Settings) checkLimitsAndLevel() []error {
	const minMessageLimit = 1 << 10
	var errs []error
	add := func(invalid bool, text string) {
		if invalid {
			errs = append(errs, errors.New(text))
		}
	}
	add(s.MessageLimit < minMessageLimit, "message-limit: must be 1024 or more")
	add(s.CallerLimit < 1, "caller-limit: must be 1 or more")
	add(s.CallerMemory < 1, "caller-memory: must be 1 or more")
	add(s.SessionValues < 1, "session-values: must be 1 or more")
	add(s.SessionMemory < 1, "session-memory: must be 1 or more")
	add(s.Workers < 1, "workers: must be 1 or more")
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"drain-time", s.DrainTime},
		{"grace", s.Grace},
		{"idle-limit", s.IdleLimit},
		{"long-after", s.LongAfter},
		{"aging", s.Aging},
		{"heartbeat", s.Heartbeat},
		{"probe-interval", s.ProbeInterval},
		{"config-poll", s.ConfigPoll},
	} {
		add(d.value <= 0, d.name+": must be over 0")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		add(true, "log-level: must be debug, info, warn or error")
	}
	return errs
}

// isAddress reports whether address consists of an IP address and a port.
func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// isLoopback reports whether an address is on the loopback interface. It also
// returns true for an address that has no port, which isAddress rejects.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return true
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Summary returns the settings as one line of name=value pairs. It contains
// only the names of the files with secrets, not their contents.
func (s Settings) Summary() string {
	copied := s
	f := pflag.NewFlagSet("", pflag.ContinueOnError)
	copied.AddFlags(f)
	var pairs []string
	f.VisitAll(func(flag *pflag.Flag) { pairs = append(pairs, flag.Name+"="+flag.Value.String()) })
	return strings.Join(pairs, " ")
}

// Markdown returns the content of docs/SETTINGS.md: a table of all settings
// with their variables and defaults.
func Markdown() string {
	s := Defaults()
	f := pflag.NewFlagSet("", pflag.ContinueOnError)
	s.AddFlags(f)
	var b strings.Builder
	b.WriteString("# Settings of `serve`\n\nA flag goes before its environment variable, which goes before the default. All\n" +
		"are checked before anything starts, and every bad one is named.\n`pistachiotray pages docs` writes this page.\n\n" +
		"| flag | variable | default | meaning |\n| --- | --- | --- | --- |\n")
	f.VisitAll(func(flag *pflag.Flag) {
		fmt.Fprintf(&b, "| --%s | %s | %s | %s |\n", flag.Name, EnvVariable(flag.Name), flag.DefValue, flag.Usage)
	})
	return b.String()
}
