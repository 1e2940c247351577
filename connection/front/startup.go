package front

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/connection/sess"
	"github.com/pistachiotray/pistachiotray/connection/token"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

// Request codes that stand in place of a protocol version, from PostgreSQL's
// documentation of its message formats.
const (
	protocolMajor  = 3
	cancelRequest  = 80877102
	sslRequest     = 80877103
	gssEncRequest  = 80877104
	secretLength   = 4
	sessionIDBytes = 16
)

// reported are the parameters that callers are told at the start.
var reported = [][2]string{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// startup leads a connection to its first ReadyForQuery. A connection that
// was only a cancel request ends with no error and no pid.
func (c *client) startup() error {
	_ = c.net.SetReadDeadline(time.Now().Add(startupTimeout))
	p, err := c.negotiate()
	if err != nil || p == nil {
		return err
	}
	var m pgproto3.StartupMessage
	if err := m.Decode(p); err != nil {
		return c.reject(fault.New(code.BadMessage, "the startup message can't be read"))
	}
	parameters := options(m.Parameters)
	if err := c.admit(parameters); err != nil {
		return c.reject(err)
	}
	if err := c.welcome(parameters); err != nil {
		return c.reject(err)
	}
	return c.net.SetReadDeadline(time.Time{})
}

// negotiate answers what may come before the startup message, which it returns.
func (c *client) negotiate() ([]byte, error) {
	const tries = 3
	for range tries {
		p, err := c.reader.Startup()
		if err != nil {
			return nil, c.reject(err)
		}
		switch version := binary.BigEndian.Uint32(p); {
		case version == sslRequest:
			if err := c.offerTLS(); err != nil {
				return nil, err
			}
		case version == gssEncRequest:
			if err := c.write([]byte("N")); err != nil {
				return nil, err
			}
		case version == cancelRequest:
			c.cancel(p)
			return nil, nil
		case version>>16 == protocolMajor:
			return p, nil
		default:
			return nil, c.reject(fault.New(code.BadMessage, "unknown protocol version"))
		}
	}
	return nil, c.reject(fault.New(code.BadMessage, "too many messages before the startup message"))
}

func (c *client) offerTLS() error {
	if c.front.tls == nil {
		return c.write([]byte("N"))
	}
	if c.reader.Buffered() > 0 {
		return c.reject(fault.New(code.BadMessage, "unencrypted data after the request for TLS"))
	}
	if err := c.write([]byte("S")); err != nil {
		return err
	}
	t := tls.Server(c.net, c.front.tls)
	c.net = t
	c.reader = frame.New(t, c.front.limit)
	return nil
}

func (c *client) cancel(p []byte) {
	var m pgproto3.CancelRequest
	if m.Decode(p) != nil || c.front.CancelKey(m.ProcessID, m.SecretKey) {
		return
	}
	if c.front.relay != nil && uint16(m.ProcessID>>16) != c.front.number {
		c.front.relay.RelayCancel(m.ProcessID, m.SecretKey)
	}
}

// reject tells a caller why it is not let in, where it can be told.
func (c *client) reject(err error) error {
	var f *fault.Fault
	if errors.As(err, &f) {
		c.front.refused.Add(1)
		_ = c.write(errorFrame(f, "FATAL"))
	}
	return err
}

// options adds to the parameters those given as -c name=value.
func options(parameters map[string]string) map[string]string {
	fields := strings.Fields(parameters["options"])
	for i, f := range fields {
		text, ok := strings.CutPrefix(f, "-c")
		if !ok {
			continue
		}
		if text == "" && i+1 < len(fields) {
			text = fields[i+1]
		}
		if name, value, ok := strings.Cut(text, "="); ok {
			parameters[name] = value
		}
	}
	return parameters
}

// admit checks whether the caller may come in and who it is.
func (c *client) admit(parameters map[string]string) error {
	user := parameters["user"]
	group := parameters["database"]
	if group == "" {
		group = user
	}
	switch {
	case c.front.stopping.Load():
		return fault.New(code.NotRunStopping, "this host is stopping")
	case int(c.front.callers.Load()) > c.front.most:
		return fault.New(code.TooManyCallers, "limit "+itoa(c.front.most))
	case user == "":
		return fault.New(code.BadMessage, "no user name in the startup message")
	}
	if c.front.users != nil {
		if err := c.authenticate(user); err != nil {
			return err
		}
	}
	if !c.front.groups.Has(group) {
		return fault.New(code.UnknownDatabase, "database "+group)
	}
	return c.identify(parameters, user, group)
}

// identify makes a new session, or takes up the one that a token names.
func (c *client) identify(parameters map[string]string, user, group string) error {
	c.session = sess.New(newID(), user, group, parameters["application_name"])
	text := parameters[sessionParameter]
	if text == "" {
		return nil
	}
	t, err := token.Parse(text, c.front.keys)
	if err != nil {
		return err
	}
	if t.User != user || t.Group != group {
		return fault.New(code.BadToken, "the token is of another user or database")
	}
	c.session = sess.New(t.Session, user, group, parameters["application_name"]).WithFloor(t.Floor)
	ctx, stop := context.WithTimeout(c.ctx, attachTimeout)
	defer stop()
	if c.front.backend.Attach(ctx, group, t.Session) {
		c.session = c.session.WithTransaction(c.class(group, user, ""), "").WithStatus('T', false)
	}
	return nil
}

func newID() string {
	p := make([]byte, sessionIDBytes)
	_, _ = rand.Read(p)
	return hex.EncodeToString(p)
}

// welcome ends the startup.
func (c *client) welcome(parameters map[string]string) error {
	c.secret = make([]byte, secretLength)
	_, _ = rand.Read(c.secret)
	var low [2]byte
	_, _ = rand.Read(low[:])
	c.pid = uint32(c.front.number)<<16 | uint32(binary.BigEndian.Uint16(low[:])) | 1<<31
	var out []byte
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for _, r := range reported {
		messages = append(messages, &pgproto3.ParameterStatus{Name: r[0], Value: r[1]})
	}
	messages = append(messages,
		&pgproto3.ParameterStatus{Name: "application_name", Value: parameters["application_name"]},
		&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	for _, m := range messages {
		p, err := m.Encode(out)
		if err != nil {
			return errors.Wrap(err, "client.welcome")
		}
		out = p
	}
	out = append(out, c.tokenFrame()...)
	out = append(out, readyFrame(c.session.Status)...)
	c.front.add(c)
	return c.write(out)
}

func readyFrame(status byte) []byte {
	return []byte{'Z', 0, 0, 0, 5, status}
}

func itoa(n int) string {
	return strconv.Itoa(n)
}
