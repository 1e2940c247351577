// Package intake accounts for the memory of the long messages that a connection receives.
package intake

import "io"

// account pays for the memory of the long messages of a connection.
type account interface {
	// Begin notes that a long message begins, and Finish that it is complete or failed.
	Begin()
	Finish()
	// Progress is called before each wait for more of a long message.
	Progress()
	// Draw draws memory before it is used, and Return gives it back.
	Draw(n int) error
	Return(n int)
}

// Intake is what one reader of messages draws from an account. The zero value has no account and
// no limits. It is not safe for concurrent use.
type Intake struct {
	account account
	// drawn is the memory that was drawn since the last call of Drawn.
	drawn int
}

// New returns an Intake that draws from an account. Whoever reads the messages returns to the
// account what Drawn returns.
func New(a account) Intake {
	return Intake{account: a}
}

// HasAccount reports whether there is an account to draw from.
func (in *Intake) HasAccount() bool {
	return in.account != nil
}

// Begin notes that a long message begins.
func (in *Intake) Begin() {
	if in.account != nil {
		in.account.Begin()
	}
}

// Finish notes that a long message is complete or failed.
func (in *Intake) Finish() {
	if in.account != nil {
		in.account.Finish()
	}
}

// Progress notes that the reader is about to wait for more of a long message.
func (in *Intake) Progress() {
	if in.account != nil {
		in.account.Progress()
	}
}

// Draw draws n bytes before they are used. It returns the account's error if there are none.
func (in *Intake) Draw(n int) error {
	if in.account != nil {
		if err := in.account.Draw(n); err != nil {
			return err
		}
	}
	in.drawn += n
	return nil
}

// Return gives back n bytes that were drawn since the last call of Drawn.
func (in *Intake) Return(n int) {
	if in.account != nil {
		in.account.Return(n)
	}
	in.drawn -= n
}

// Drawn returns how many bytes were drawn since the last call and not given back. It returns 0 if
// all messages since then fit into the reader's buffer.
func (in *Intake) Drawn() int {
	n := in.drawn
	in.drawn = 0
	return n
}

// Append reads n bytes from r and appends them to p. It draws memory as the bytes arrive, not when
// their number is announced: step bytes at the start, and then as much again as p holds. On an
// error of the account or of r, it returns p as it was.
func (in *Intake) Append(p []byte, r io.Reader, n, step int) ([]byte, error) {
	start := len(p)
	for end := start + n; len(p) < end; {
		if len(p) == cap(p) {
			larger := min(max(2*cap(p), len(p)+step), end)
			if err := in.Draw(larger - cap(p)); err != nil {
				return p[:start], err
			}
			p = append(make([]byte, 0, larger), p...)
		}
		in.Progress()
		m, err := r.Read(p[len(p):min(cap(p), end)])
		p = p[:len(p)+m]
		if err != nil && len(p) < end {
			return p[:start], err
		}
	}
	return p, nil
}
