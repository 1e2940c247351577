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

// authorization is the header in which peers and operators show their key.
const authorization = "Authorization"

// secrets holds what the files named in the settings hold. Nothing of it is
// logged, shown or recorded.
type secrets struct {
	users     map[string]string
	tokenKeys map[string][]byte
	signKey   string
	peerKey   string
	password  string
	callerTLS *tls.Config
	peerTLS   *tls.Config
	clientTLS *tls.Config
}

// newSecrets reads the files. The error lists every one that can't be read.
func newSecrets(s conf.Settings) (*secrets, error) {
	var found []error
	note := func(err error) {
		if err != nil {
			found = append(found, err)
		}
	}
	out := &secrets{}
	var err error
	if s.UsersFile != "" {
		out.users, _, err = pairs(s.UsersFile)
		note(err)
	}
	note(out.readKeys(s))
	out.peerKey, err = word(s.PeerKeyFile)
	note(err)
	out.password, err = word(s.TargetPasswordFile)
	note(err)
	out.callerTLS, err = certificate(s.TLSCertFile, s.TLSKeyFile)
	note(err)
	note(out.readPeerTLS(s))
	return out, errors.Join(found...)
}

func (s *secrets) readKeys(settings conf.Settings) error {
	if settings.TokenKeysFile == "" {
		s.tokenKeys = map[string][]byte{"loopback": []byte("loopback")}
		s.signKey = "loopback"
		return nil
	}
	keys, first, err := pairs(settings.TokenKeysFile)
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

func (s *secrets) readPeerTLS(settings conf.Settings) error {
	t, err := certificate(settings.PeerTLSCertFile, settings.PeerTLSKeyFile)
	if err != nil || t == nil {
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
		t.ClientCAs = authorities
		t.ClientAuth = tls.RequireAndVerifyClientCert
	}
	t.NextProtos = []string{"h2", "http/1.1"}
	s.peerTLS = t
	s.clientTLS = &tls.Config{Certificates: t.Certificates, RootCAs: authorities, MinVersion: tls.VersionTLS13}
	return nil
}

func certificate(cert, key string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	c, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", cert)
	}
	return &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}, nil
}

// word returns the text of a file without the white space around it; no file
// gives an empty text.
func word(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return "", errors.Wrap(err, "word")
	}
	return strings.TrimSpace(string(text)), nil
}

// pairs reads a file of lines name:value and returns the first name too.
func pairs(name string) (map[string]string, string, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, "", errors.Wrap(err, "pairs")
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
	return values, first, wrap.If(lines.Err(), "pairs")
}

func (s *secrets) allowed(shown string) bool {
	want := "Bearer " + s.peerKey
	return s.peerKey == "" || subtle.ConstantTimeCompare([]byte(shown), []byte(want)) == 1
}

// guard lets only those in who show the key.
func (s *secrets) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.allowed(r.Header.Get(authorization)) {
			http.Error(w, "the key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// interceptor shows the key in calls and asks for it in calls of others.
func (s *secrets) interceptor() connect.Interceptor {
	return &keyInterceptor{secrets: s}
}

type keyInterceptor struct {
	secrets *secrets
}

var errKey = connect.NewError(connect.CodeUnauthenticated, errors.New("the key is missing or wrong"))

// WrapUnary guards single calls.
func (k *keyInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if r.Spec().IsClient {
			k.secrets.show(r.Header())
		} else if !k.secrets.allowed(r.Header().Get(authorization)) {
			return nil, errKey
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient shows the key on streams.
func (k *keyInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		c := next(ctx, spec)
		k.secrets.show(c.RequestHeader())
		return c
	}
}

// WrapStreamingHandler guards streams.
func (k *keyInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		if !k.secrets.allowed(c.RequestHeader().Get(authorization)) {
			return errKey
		}
		return next(ctx, c)
	}
}

func (s *secrets) show(h http.Header) {
	if s.peerKey != "" {
		h.Set(authorization, "Bearer "+s.peerKey)
	}
}
