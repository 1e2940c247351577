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
	"github.com/pistachiotray/pistachiotray/connection/intake"
	"github.com/pistachiotray/pistachiotray/connection/sess"
	"github.com/pistachiotray/pistachiotray/connection/token"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

const (
	// protocolMajor is the major version of the protocol.
	protocolMajor = 3
	// These request codes are sent in place of a protocol version. They come from
	// the message formats in PostgreSQL's documentation.
	cancelRequest = 80877102
	sslRequest    = 80877103
	gssEncRequest = 80877104
	// secretBytes is the length of the secret in a cancel key.
	secretBytes = 4
	// sessionIDBytes is the number of random bytes in an id that newID returns.
	sessionIDBytes = 16
)

// startupParameters are the server parameters that are reported to each caller
// at startup.
var startupParameters = [][2]string{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// startup handles a connection up to its first ReadyForQuery. If the connection was
// opened to send a cancel request, startup returns nil and pid remains 0.
func (c *client) startup() error {
	_ = c.conn.SetReadDeadline(time.Now().Add(startupTimeout))
	p, err := c.negotiate()
	if err != nil || p == nil {
		return err
	}
	var m pgproto3.StartupMessage
	if err := m.Decode(p); err != nil {
		return c.reject(fault.New(code.BadMessage, "the startup message can't be read"))
	}
	parameters := mergeOptions(m.Parameters)
	if err := c.admit(parameters); err != nil {
		return c.reject(err)
	}
	if err := c.finishStartup(parameters); err != nil {
		return c.reject(err)
	}
	return c.conn.SetReadDeadline(time.Time{})
}

// negotiate answers the TLS and GSS encryption requests that may precede the startup
// message, and returns the startup message. It returns nil after a cancel request.
func (c *client) negotiate() ([]byte, error) {
	const maxMessages = 3
	for range maxMessages {
		p, err := c.reader.Startup()
		if err != nil {
			return nil, c.reject(err)
		}
		switch version := binary.BigEndian.Uint32(p); {
		case version == sslRequest:
			if err := c.negotiateTLS(); err != nil {
				return nil, err
			}
		case version == gssEncRequest:
			if err := c.write([]byte("N")); err != nil {
				return nil, err
			}
		case version == cancelRequest:
			c.handleCancel(p)
			return nil, nil
		case version>>16 == protocolMajor:
			return p, nil
		default:
			return nil, c.reject(fault.New(code.BadMessage, "unknown protocol version"))
		}
	}
	return nil, c.reject(fault.New(code.BadMessage, "too many messages before the startup message"))
}

// negotiateTLS answers a request for TLS. Unencrypted data that arrived after the
// request is refused, since an attacker may have injected it.
func (c *client) negotiateTLS() error {
	if c.front.tls == nil {
		return c.write([]byte("N"))
	}
	if c.reader.Buffered() > 0 {
		return c.reject(fault.New(code.BadMessage, "unencrypted data after the request for TLS"))
	}
	if err := c.write([]byte("S")); err != nil {
		return err
	}
	t := tls.Server(c.conn, c.front.tls)
	c.conn = t
	c.reader = frame.New(t, c.front.messageLimit, frame.WithIntake(intake.New(c.share)))
	return nil
}

// handleCancel cancels the running request if the cancel key belongs to a caller of
// this host. Otherwise it relays the cancel request to the host whose number is in
// the pid.
func (c *client) handleCancel(p []byte) {
	var m pgproto3.CancelRequest
	if m.Decode(p) != nil || c.front.CancelByKey(m.ProcessID, m.SecretKey) {
		return
	}
	if c.front.relay != nil && uint16(m.ProcessID>>16) != c.front.hostNumber {
		c.front.relay.RelayCancel(m.ProcessID, m.SecretKey)
	}
}

// reject sends a fault to a caller that is not admitted and returns the error.
// Errors other than faults, such as a broken connection, are not sent.
func (c *client) reject(err error) error {
	var f *fault.Fault
	if errors.As(err, &f) {
		c.front.refusedCount.Add(1)
		_ = c.write(errorFrame(f, "FATAL"))
	}
	return err
}

// mergeOptions adds the settings in the parameter "options" to the parameters, which
// it changes and returns. Each setting has the form "-c name=value" or
// "-cname=value".
func mergeOptions(parameters map[string]string) map[string]string {
	fields := strings.Fields(parameters["options"])
	for i, f := range fields {
		option, ok := strings.CutPrefix(f, "-c")
		if !ok {
			continue
		}
		if option == "" && i+1 < len(fields) {
			option = fields[i+1]
		}
		if name, value, ok := strings.Cut(option, "="); ok {
			parameters[name] = value
		}
	}
	return parameters
}

// admit opens the caller's session. It returns a fault if this host is stopping or
// has too many callers, or if the user, the password, the database or the session
// token is wrong.
func (c *client) admit(parameters map[string]string) error {
	user := parameters["user"]
	group := parameters["database"]
	if group == "" {
		group = user
	}
	switch {
	case c.front.stopping.Load():
		return fault.New(code.NotRunStopping, "this host is stopping")
	case int(c.front.callerCount.Load()) > c.front.callerLimit:
		return fault.New(code.TooManyCallers, "limit "+itoa(c.front.callerLimit))
	case user == "":
		return fault.New(code.BadMessage, "no user name in the startup message")
	}
	if c.front.passwords != nil {
		if err := c.authenticate(user); err != nil {
			return err
		}
	}
	if !c.front.groups.Has(group) {
		return fault.New(code.UnknownDatabase, "database "+group)
	}
	return c.openSession(parameters, user, group)
}

// openSession creates a new session, or resumes the session of the caller's session
// token. If the owner still has the open transaction of a resumed session, the
// session continues in it. A token that can't be verified, or that belongs to
// another user or database, is refused.
func (c *client) openSession(parameters map[string]string, user, group string) error {
	c.session = sess.New(newID(), user, group, parameters["application_name"])
	text := parameters[sessionParameter]
	if text == "" {
		return nil
	}
	t, err := token.Parse(text, c.front.tokenKeys)
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
		c.session = c.session.WithTransaction(c.resolveClass(group, user, ""), "").WithStatus('T', false)
	}
	return nil
}

// newID returns a random id in hexadecimal, for sessions, requests and SCRAM salts.
func newID() string {
	p := make([]byte, sessionIDBytes)
	_, _ = rand.Read(p)
	return hex.EncodeToString(p)
}

// finishStartup sends the messages that end the startup and registers the caller
// under its cancel key. The pid holds this host's number in its upper half, so
// that any host can relay a cancel request. The top bit of the pid is set, so that
// the pid is never 0.
func (c *client) finishStartup(parameters map[string]string) error {
	c.secret = make([]byte, secretBytes)
	_, _ = rand.Read(c.secret)
	var random [2]byte
	_, _ = rand.Read(random[:])
	c.pid = uint32(c.front.hostNumber)<<16 | uint32(binary.BigEndian.Uint16(random[:])) | 1<<31
	var response []byte
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for _, r := range startupParameters {
		messages = append(messages, &pgproto3.ParameterStatus{Name: r[0], Value: r[1]})
	}
	messages = append(messages,
		&pgproto3.ParameterStatus{Name: "application_name", Value: parameters["application_name"]},
		&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	for _, m := range messages {
		p, err := m.Encode(response)
		if err != nil {
			return errors.Wrap(err, "encode startup message")
		}
		response = p
	}
	response = append(response, c.tokenFrame()...)
	response = append(response, readyFrame(c.session.Status)...)
	c.front.add(c)
	return c.write(response)
}

// readyFrame returns a ReadyForQuery with a transaction status.
func readyFrame(status byte) []byte {
	return []byte{'Z', 0, 0, 0, 5, status}
}

func itoa(n int) string {
	return strconv.Itoa(n)
}
