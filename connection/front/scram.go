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
	mechanism       = "SCRAM-SHA-256"
	scramIterations = 4096
)

// verifiers keeps what is computed from each password once.
var verifiers sync.Map

// authenticate leads a caller through SCRAM-SHA-256. Names that are not known
// go through the same exchange, so that it does not tell them apart.
func (c *client) authenticate(user string) error {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return c.front.credentials(user)
	})
	if err != nil {
		return errors.Wrap(err, "client.authenticate")
	}
	if err := c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}}); err != nil {
		return err
	}
	conversation := server.NewConversation()
	first, err := c.saslInitial()
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
	p, err := c.saslFrame()
	if err != nil {
		return err
	}
	reply, err = conversation.Step(string(p))
	if err != nil || !conversation.Valid() {
		return fault.New(code.BadPassword, "user "+user)
	}
	return c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
}

func (f *Front) credentials(user string) (scram.StoredCredentials, error) {
	password, ok := f.users[user]
	if !ok {
		return scram.StoredCredentials{}, errors.New("unknown user")
	}
	if v, ok := verifiers.Load(user + "\x00" + password); ok {
		return v.(scram.StoredCredentials), nil
	}
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "Front.credentials")
	}
	v, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: newID(), Iters: scramIterations})
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "Front.credentials")
	}
	verifiers.Store(user+"\x00"+password, v)
	return v, nil
}

func (c *client) saslInitial() (string, error) {
	p, err := c.saslFrame()
	if err != nil {
		return "", err
	}
	var m pgproto3.SASLInitialResponse
	if m.Decode(p) != nil || m.AuthMechanism != mechanism {
		return "", fault.New(code.BadMessage, "not a message of "+mechanism)
	}
	return string(m.Data), nil
}

func (c *client) saslFrame() ([]byte, error) {
	kind, p, err := c.reader.Append(nil)
	if err != nil {
		return nil, err
	}
	if kind != 'p' {
		return nil, fault.New(code.BadMessage, "not a password message")
	}
	return frame.Body(p), nil
}

func (c *client) send(m pgproto3.BackendMessage) error {
	p, err := m.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "client.send")
	}
	return c.write(p)
}
