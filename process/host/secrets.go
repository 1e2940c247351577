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

// authorizationHeader is the HTTP header in which other hosts and operators send
// their key.
const authorizationHeader = "Authorization"

// secrets holds the contents of the files named in the settings. It is never
// logged, shown or recorded.
type secrets struct {
	users          map[string]string
	tokenKeys      map[string][]byte
	signKey        string
	peerKey        string
	targetPassword string
	callerTLS      *tls.Config
	peerTLS        *tls.Config
	clientTLS      *tls.Config
}

// newSecrets reads the files. The error lists every file that can't be read.
func newSecrets(s conf.Settings) (*secrets, error) {
	var errs []error
	add := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	out := &secrets{}
	var err error
	if s.UsersFile != "" {
		out.users, _, err = readPairs(s.UsersFile)
		add(err)
	}
	add(out.readKeys(s))
	out.peerKey, err = readSecret(s.PeerKeyFile)
	add(err)
	out.targetPassword, err = readSecret(s.TargetPasswordFile)
	add(err)
	out.callerTLS, err = loadCertificate(s.TLSCertFile, s.TLSKeyFile)
	add(err)
	add(out.readPeerTLS(s))
	return out, errors.Join(errs...)
}

// readKeys reads the keys of the session tokens. The first one signs. Without a
// file, which is allowed for loopback callers only, it sets a fixed key.
func (s *secrets) readKeys(settings conf.Settings) error {
	if settings.TokenKeysFile == "" {
		s.tokenKeys = map[string][]byte{"loopback": []byte("loopback")}
		s.signKey = "loopback"
		return nil
	}
	keys, first, err := readPairs(settings.TokenKeysFile)
	if err != nil {
		return err
	}
	s.signKey = first
	s.tokenKeys = map[string][]byte{}
	for name, key := range keys {
		s.tokenKeys[name] = []byte(key)
	}
	if first == "" {
		return errors.Errorf("%s: no key in it", settings.TokenKeysFile)
	}
	return nil
}

// readPeerTLS reads the certificates for connections between hosts. If an
// authority is given, other hosts and operators must present a certificate that
// it has signed.
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

// loadCertificate returns the TLS settings with a certificate, nil if none is
// named.
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
// space, an empty text if no file is named.
func readSecret(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return "", errors.Wrap(err, "readSecret")
	}
	return strings.TrimSpace(string(text)), nil
}

// readPairs reads a file with lines of the form name:value. It returns the values
// by name, and the first name.
func readPairs(name string) (map[string]string, string, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, "", errors.Wrap(err, "readPairs")
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
	return values, first, wrap.If(lines.Err(), "readPairs")
}

// isAllowed reports whether an authorization header carries the key. Without a
// key, everything is allowed.
func (s *secrets) isAllowed(header string) bool {
	want := "Bearer " + s.peerKey
	return s.peerKey == "" || subtle.ConstantTimeCompare([]byte(header), []byte(want)) == 1
}

// requireKey returns a handler that rejects requests without the key.
func (s *secrets) requireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.isAllowed(r.Header.Get(authorizationHeader)) {
			http.Error(w, "the key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// interceptor returns an interceptor that adds the key to outgoing calls and
// requires it in incoming ones.
func (s *secrets) interceptor() connect.Interceptor {
	return &keyInterceptor{secrets: s}
}

type keyInterceptor struct {
	secrets *secrets
}

var errKey = connect.NewError(connect.CodeUnauthenticated, errors.New("the key is missing or wrong"))

// WrapUnary adds the key to unary calls, and requires it at the server.
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

// WrapStreamingClient adds the key to outgoing streams.
func (k *keyInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		c := next(ctx, spec)
		k.secrets.addKey(c.RequestHeader())
		return c
	}
}

// WrapStreamingHandler requires the key on incoming streams.
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
