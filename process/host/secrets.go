package host

import (
	"bufio"
	"bytes"
	"context"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/process/conf"
	"github.com/pistachiotray/pistachiotray/process/wrap"
)

// authorizationHeader is the HTTP header in which other hosts and operators
// send the peer key.
const authorizationHeader = "Authorization"

// secrets holds the contents of the files named in the settings. They must
// never be logged, printed or recorded.
type secrets struct {
	// users holds the passwords of callers by user name.
	users map[string]string
	// tokenKeys holds the keys of session tokens by key name. signingKeyName is
	// the name of the key that signs new tokens.
	tokenKeys      map[string][]byte
	signingKeyName string
	// peerKey authenticates other hosts and operators. If it is empty, no key is
	// required.
	peerKey        string
	targetPassword string
	// callerTLS is for connections from callers, peerTLS for connections from
	// other hosts and operators, and clientTLS for connections to other hosts.
	// Each is nil if TLS is not used.
	callerTLS *tls.Config
	peerTLS   *tls.Config
	clientTLS *tls.Config
}

// newSecrets reads the files named in the settings. The error lists every file
// that cannot be read or is invalid.
func newSecrets(s conf.Settings) (*secrets, error) {
	var errs []error
	add := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	sec := &secrets{}
	var err error
	if s.UsersFile != "" {
		sec.users, _, err = readPairs(s.UsersFile)
		add(err)
	}
	add(sec.readTokenKeys(s))
	sec.peerKey, err = readSecret(s.PeerKeyFile)
	add(err)
	sec.targetPassword, err = readSecret(s.TargetPasswordFile)
	add(err)
	sec.callerTLS, err = loadCertificate(s.TLSCertFile, s.TLSKeyFile)
	add(err)
	add(sec.readPeerTLS(s))
	return sec, errors.Join(errs...)
}

// readTokenKeys reads the keys of the session tokens. The first one in the file
// signs new tokens. Without a file, which the settings allow for loopback
// callers only, it uses a fixed key.
func (s *secrets) readTokenKeys(settings conf.Settings) error {
	if settings.TokenKeysFile == "" {
		s.tokenKeys = map[string][]byte{"loopback": []byte("loopback")}
		s.signingKeyName = "loopback"
		return nil
	}
	keys, first, err := readPairs(settings.TokenKeysFile)
	if err != nil {
		return err
	}
	s.signingKeyName = first
	s.tokenKeys = map[string][]byte{}
	for name, key := range keys {
		s.tokenKeys[name] = []byte(key)
	}
	if first == "" {
		return errors.Errorf("%s: no key in it", settings.TokenKeysFile)
	}
	return nil
}

// readPeerTLS reads the certificates for connections between hosts and from
// operators. If a certificate authority is given, other hosts and operators
// must present a certificate signed by this authority. Without one, this host
// trusts no other host's certificate.
func (s *secrets) readPeerTLS(settings conf.Settings) error {
	config, err := loadCertificate(settings.PeerTLSCertFile, settings.PeerTLSKeyFile)
	if err != nil || config == nil {
		return err
	}
	authorities := x509.NewCertPool()
	if settings.PeerTLSCAFile != "" {
		pem, err := os.ReadFile(settings.PeerTLSCAFile)
		if err != nil {
			return errors.Wrap(err, "peer-tls-ca-file")
		}
		if !authorities.AppendCertsFromPEM(pem) {
			return errors.Errorf("%s: no certificate in it", settings.PeerTLSCAFile)
		}
		config.ClientCAs = authorities
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	config.NextProtos = []string{"h2", "http/1.1"}
	s.peerTLS = config
	s.clientTLS = &tls.Config{Certificates: config.Certificates, RootCAs: authorities, MinVersion: tls.VersionTLS13}
	return nil
}

// loadCertificate returns a TLS configuration with a certificate, or nil if no
// file is named.
func loadCertificate(cert, key string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	c, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", cert)
	}
	return &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}, nil
}

// readSecret returns the content of a file without leading and trailing white
// space, or an empty string if no file is named.
func readSecret(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return "", errors.Wrap(err, "read a file with a secret")
	}
	return strings.TrimSpace(string(text)), nil
}

// readPairs reads a file with lines of the form name:value. It skips blank
// lines and those that begin with #. It returns the values by name, and the
// first name.
func readPairs(name string) (map[string]string, string, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, "", errors.Wrap(err, "read a file of users or token keys")
	}
	values := map[string]string{}
	first := ""
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, value, ok := strings.Cut(line, ":")
		if !ok || key == "" || value == "" {
			return nil, "", errors.Errorf("%s:%d: must be of the form name:value", name, n)
		}
		if first == "" {
			first = key
		}
		values[key] = value
	}
	return values, first, wrap.If(lines.Err(), "read the lines of users or token keys")
}

// isAllowed reports whether an authorization header contains the peer key. If
// no peer key is set, it allows every header.
func (s *secrets) isAllowed(header string) bool {
	want := "Bearer " + s.peerKey
	return s.peerKey == "" || subtle.ConstantTimeCompare([]byte(header), []byte(want)) == 1
}

// requireKey returns a handler that passes requests with the peer key to next
// and rejects others.
func (s *secrets) requireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.isAllowed(r.Header.Get(authorizationHeader)) {
			http.Error(w, "the key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// interceptor returns an interceptor that adds the peer key to outgoing calls
// and rejects incoming calls without it.
func (s *secrets) interceptor() connect.Interceptor {
	return &keyInterceptor{secrets: s}
}

type keyInterceptor struct {
	secrets *secrets
}

var errKey = connect.NewError(connect.CodeUnauthenticated, errors.New("the key is missing or wrong"))

// WrapUnary adds the peer key to outgoing unary calls and requires it in
// incoming ones.
func (k *keyInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if r.Spec().IsClient {
			k.secrets.addKey(r.Header())
		} else if !k.secrets.isAllowed(r.Header().Get(authorizationHeader)) {
			return nil, errKey
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient adds the peer key to outgoing streams.
func (k *keyInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		c := next(ctx, spec)
		k.secrets.addKey(c.RequestHeader())
		return c
	}
}

// WrapStreamingHandler requires the peer key in incoming streams.
func (k *keyInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		if !k.secrets.isAllowed(c.RequestHeader().Get(authorizationHeader)) {
			return errKey
		}
		return next(ctx, c)
	}
}

func (s *secrets) addKey(h http.Header) {
	if s.peerKey != "" {
		h.Set(authorizationHeader, "Bearer "+s.peerKey)
	}
}
