// Package intake accounts for the memory of the long messages that a connection receives.
package intake

import (
	"io"
	"math"
	"strings"
)

// maxSlabBytes bounds the size of a slab, which is the most memory that a message being read
// draws at once.
const maxSlabBytes = 64 << 10

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
	// DrawSlab draws n bytes and returns the memory, and ReturnSlab gives it back for reuse.
	DrawSlab(n int) ([]byte, error)
	ReturnSlab(slab []byte)
}

// Intake is what one reader of messages draws from an account. The zero value has no account and
// no limits. It is not safe for concurrent use.
//
// A long message is collected in slabs, which go back to the account for reuse when the message
// is complete or failed, so that messages that are given up leave no garbage. A complete message
// is then copied to memory of its length.
type Intake struct {
	account account
	// drawn is the memory that was drawn since the last call of Drawn.
	drawn int
	// slabs hold the message that is being read: all are full except the last one, of which the
	// first used bytes are in use.
	slabs [][]byte
	used  int
	// length is the number of bytes in the slabs.
	length int
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

// Finish notes that a long message is complete or failed, and gives back its slabs.
func (in *Intake) Finish() {
	in.release()
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
// all messages since then fit into the reader's buffer. A message that failed and is not finished
// is dropped, and its memory is not used again.
func (in *Intake) Drawn() int {
	n := in.drawn
	in.drawn = 0
	in.forget()
	return n
}

// Collect adds bytes of the message that is being read. The first slab has step bytes. It returns
// the account's error if there is no memory.
func (in *Intake) Collect(p []byte, step int) error {
	for len(p) > 0 {
		room, err := in.room(step, math.MaxInt)
		if err != nil {
			return err
		}
		n := copy(room, p)
		in.fill(n)
		p = p[n:]
	}
	return nil
}

// Text draws memory for the message that was collected and returns it.
func (in *Intake) Text() (string, error) {
	if err := in.Draw(in.length); err != nil {
		return "", err
	}
	text := &strings.Builder{}
	text.Grow(in.length)
	for i := range in.slabs {
		text.Write(in.content(i))
	}
	return text.String(), nil
}

// Append reads n bytes from r and appends them to p. It draws memory as the bytes arrive, not when
// their number is announced: step bytes at the start. On an error of the account or of r, it
// returns p as it was, and Finish gives back the memory.
func (in *Intake) Append(p []byte, r io.Reader, n, step int) ([]byte, error) {
	for in.length < n {
		room, err := in.room(step, n-in.length)
		if err != nil {
			return p, err
		}
		in.Progress()
		m, err := r.Read(room[:min(len(room), n-in.length)])
		in.fill(m)
		if err != nil && in.length < n {
			return p, err
		}
	}
	if total := len(p) + n; total > cap(p) {
		if err := in.Draw(total); err != nil {
			return p, err
		}
		larger := append(make([]byte, 0, total), p...)
		in.Return(cap(p))
		p = larger
	}
	for i := range in.slabs {
		p = append(p, in.content(i)...)
	}
	in.release()
	return p, nil
}

// room returns the free part of the last slab. It draws another one if that is full: of step bytes
// for the first, and then of twice the size of the last up to maxSlabBytes. A slab has no more
// bytes than are missing.
func (in *Intake) room(step, missing int) ([]byte, error) {
	last := len(in.slabs) - 1
	if last >= 0 && in.used < len(in.slabs[last]) {
		return in.slabs[last][in.used:], nil
	}
	size := step
	if last >= 0 {
		size = min(2*len(in.slabs[last]), max(maxSlabBytes, step))
	}
	// Halves of a size are sizes that are used again.
	for size > missing && size > step {
		size /= 2
	}
	slab, err := in.drawSlab(min(size, missing))
	if err != nil {
		return nil, err
	}
	in.slabs = append(in.slabs, slab)
	in.used = 0
	return slab, nil
}

// drawSlab returns memory of n bytes.
func (in *Intake) drawSlab(n int) ([]byte, error) {
	if in.account == nil {
		in.drawn += n
		return make([]byte, n), nil
	}
	slab, err := in.account.DrawSlab(n)
	if err != nil {
		return nil, err
	}
	in.drawn += n
	return slab, nil
}

// fill notes that n bytes were written to what room returned.
func (in *Intake) fill(n int) {
	in.used += n
	in.length += n
}

// content returns the bytes in a slab.
func (in *Intake) content(i int) []byte {
	if i == len(in.slabs)-1 {
		return in.slabs[i][:in.used]
	}
	return in.slabs[i]
}

// release gives back the slabs.
func (in *Intake) release() {
	for _, slab := range in.slabs {
		in.drawn -= len(slab)
		if in.account != nil {
			in.account.ReturnSlab(slab)
		}
	}
	in.forget()
}

// forget drops the message that is being read.
func (in *Intake) forget() {
	in.slabs, in.used, in.length = nil, 0, 0
}
