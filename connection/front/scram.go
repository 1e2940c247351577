package front

import (
	"sync"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/pistachiotray/pistachiotray/connection/frame"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
)

// credentialCache holds the SCRAM credentials derived from each password, by user
// name and password, since deriving them is slow by design.
var credentialCache sync.Map

// authenticate runs a SCRAM-SHA-256 exchange with the caller. An unknown user gets
// the same fault as a wrong password, but already after the first message of the
// exchange.
func (c *client) authenticate(user string) error {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return c.front.credentials(user)
	})
	if err != nil {
		return errors.Wrap(err, "create SCRAM server")
	}
	if err := c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}); err != nil {
		return err
	}
	conversation := server.NewConversation()
	first, err := c.readSASLInitial()
	if err != nil {
		return err
	}
	reply, err := conversation.Step(first)
	if err != nil {
		return fault.New(code.BadPassword, "user "+user)
	}
	if err := c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)}); err != nil {
		return err
	}
	p, err := c.readSASLResponse()
	if err != nil {
		return err
	}
	reply, err = conversation.Step(string(p))
	if err != nil || !conversation.Valid() {
		return fault.New(code.BadPassword, "user "+user)
	}
	return c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
}

// credentials returns the SCRAM credentials of a user. It returns an error for an
// unknown user.
func (f *Front) credentials(user string) (scram.StoredCredentials, error) {
	password, ok := f.passwords[user]
	if !ok {
		return scram.StoredCredentials{}, errors.New("unknown user")
	}
	if v, ok := credentialCache.Load(user + "\x00" + password); ok {
		return v.(scram.StoredCredentials), nil
	}
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "prepare SCRAM credentials")
	}
	v, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: newID(), Iters: scramIterations})
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "derive SCRAM credentials")
	}
	credentialCache.Store(user+"\x00"+password, v)
	return v, nil
}

func (c *client) readSASLInitial() (string, error) {
	p, err := c.readSASLResponse()
	if err != nil {
		return "", err
	}
	var m pgproto3.SASLInitialResponse
	if m.Decode(p) != nil || m.AuthMechanism != scramMechanism {
		return "", fault.New(code.BadMessage, "not a message of "+scramMechanism)
	}
	return string(m.Data), nil
}

func (c *client) readSASLResponse() ([]byte, error) {
	kind, p, err := c.reader.Append(nil)
	if err != nil {
		return nil, err
	}
	if kind != 'p' {
		return nil, fault.New(code.BadMessage, "not a password message")
	}
	return frame.Body(p), nil
}

// send encodes a message and sends it to the caller.
func (c *client) send(m pgproto3.BackendMessage) error {
	p, err := m.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	return c.write(p)
}
