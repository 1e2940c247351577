// Package token signs and verifies session tokens. With its session token, a caller
// can resume its session at any host.
package token

import (
	"github.com/go-faster/errors"
	"github.com/golang-jwt/jwt/v5"

	"github.com/pistachiotray/pistachiotray/process/wrap"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// claims is the payload of the JSON Web Token.
type claims struct {
	Session  string `json:"Session"`
	User     string `json:"User"`
	Group    string `json:"Group"`
	Term     uint64 `json:"Term"`
	Position uint64 `json:"Position"`
	jwt.RegisteredClaims
}

// Token identifies a session with its user and group, and holds the session's floor. A
// Token is immutable.
type Token struct {
	// Session is the id of the session.
	Session string
	// User is the user who opened the session.
	User string
	// Group is the session's database group.
	Group string
	// Floor is the newest log position that the session has seen.
	Floor mark.Mark
}

// New returns the token of a session.
func New(session, user, group string) Token {
	return Token{Session: session, User: user, Group: group}
}

// WithFloor returns the token with another floor.
func (t Token) WithFloor(floor mark.Mark) Token {
	t.Floor = floor
	return t
}

// Sign returns the token as a JSON Web Token, signed with a key. The name of the key is
// included, so that Parse can find the key.
func (t Token) Sign(keyName string, key []byte) (string, error) {
	c := claims{Session: t.Session, User: t.User, Group: t.Group, Term: t.Floor.Term, Position: t.Floor.Position}
	signed := jwt.NewWithClaims(jwt.SigningMethodHS256, c)
	signed.Header["kid"] = keyName
	text, err := signed.SignedString(key)
	return text, wrap.If(err, "Token.Sign")
}

// Parse verifies a signed token and returns it. The keys are given by name. Parse
// returns a BadToken fault unless the token is signed with one of them.
func Parse(text string, keys map[string][]byte) (Token, error) {
	var c claims
	_, err := jwt.ParseWithClaims(text, &c, func(t *jwt.Token) (any, error) {
		keyName, _ := t.Header["kid"].(string)
		key, ok := keys[keyName]
		if !ok {
			return nil, errors.New("unknown key")
		}
		return key, nil
	}, jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}))
	if err != nil {
		return Token{}, fault.New(code.BadToken, "the session token could not be verified")
	}
	return New(c.Session, c.User, c.Group).WithFloor(mark.New(c.Term, c.Position)), nil
}
