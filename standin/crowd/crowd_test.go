// Package crowd_test runs the real program against clients that are not controlled, one crowd
// of them in each test. Each test checks only that the process lives, that it stays within the
// limits of its settings, and that an ordinary request is answered afterwards, while the
// connections of the crowd are still open.
package crowd_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiotray/pistachiotray/connection/huff"
)

const (
	// crowdSize is the number of clients of a crowd, fewer than the callers that the lowered
	// limit of descriptors allows. Each sends up to crowdTime.
	crowdSize = 200
	crowdTime = 4 * time.Second
	// reconnectPause is the pause of a client before it connects again.
	reconnectPause = 20 * time.Millisecond
	// messageBytes is the size of a large message within the limit of 1 MiB.
	messageBytes = 1<<20 - 256
	// overBytes is how much a client sends that disregards the limit.
	overBytes = 32 << 20
)

// filler is the text of which large messages consist.
var filler = strings.Repeat("x", messageBytes)

// client is one connection of a client.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// dial connects to an address. The connection's reads and writes fail once ctx has ended, but
// it stays open.
func dial(ctx context.Context, address string) (*client, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	return &client{c, bufio.NewReaderSize(c, 512)}, nil
}

// exchange sends a message and returns the first line of the answer, or the error.
func (c *client) exchange(message string) string {
	if _, err := c.Write([]byte(message)); err != nil {
		return err.Error()
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return line
}

// started starts a session and returns whether it was accepted.
func (c *client) started() bool {
	return strings.HasPrefix(c.exchange("START orders u\r\n"), "READY")
}

// send sends a text in pieces of a size, with a pause after each, and returns whether it was
// sent.
func (c *client) send(text string, piece int, pause time.Duration) bool {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := c.Write([]byte(text[:n])); err != nil {
			return false
		}
		text = text[n:]
		time.Sleep(pause)
	}
	return true
}

// answered reads the lines of an answer to a statement, and returns whether it was complete.
func (c *client) answered() bool {
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil || strings.HasPrefix(line, "READY") {
			return err == nil
		}
	}
}

// hold waits until the crowd's time is over or the proxy closes the connection.
func (c *client) hold() {
	for {
		if _, err := c.reader.ReadByte(); err != nil {
			return
		}
	}
}

// crowd runs clients of an address until the crowd's time is over. A client whose connection
// is closed connects again. The connections that are open then stay so until the test ends.
func (p *proxy) crowd(address string, size int, act func(ctx context.Context, number int, c *client)) {
	ctx, stop := context.WithTimeout(p.ctx, crowdTime)
	defer stop()
	var acting sync.WaitGroup
	for i := range size {
		acting.Go(func() {
			for ctx.Err() == nil {
				c, err := dial(ctx, address)
				if err == nil {
					act(ctx, i, c)
					if ctx.Err() != nil {
						p.t.Cleanup(func() { _ = c.Close() })
						return
					}
					_ = c.Close()
				}
				time.Sleep(reconnectPause)
			}
		})
	}
	acting.Wait()
}

// largeRead returns a statement of nearly 1 MiB.
func largeRead() string { return "QUERY 1 READ " + filler + "\r\n" }

// storeLargeItem writes an item whose value is nearly 1 MiB.
func (p *proxy) storeLargeItem() {
	c, err := dial(p.ctx, p.front)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if !c.started() || !strings.HasPrefix(c.exchange("QUERY 1 WRITE large "+filler+"\r\n"), "COMPLETE") {
		p.t.Fatal("the large item was not written")
	}
}

// Many legal messages at once must not take the memory of the process.
func TestLargeMessagesSentWhole(t *testing.T) {
	p := startProxy(t)
	p.crowd(p.front, crowdSize, func(_ context.Context, _ int, c *client) {
		for c.started() && c.send(largeRead(), messageBytes*2, 0) && c.answered() {
			continue
		}
	})
	p.check()
}

// Messages that arrive in small pieces are all unfinished at the same time.
func TestLargeMessagesSentInSmallPieces(t *testing.T) {
	const pieceBytes = 1 << 10
	p := startProxy(t)
	p.crowd(p.front, crowdSize, func(_ context.Context, _ int, c *client) {
		for c.started() && c.send(largeRead(), pieceBytes, 0) && c.answered() {
			continue
		}
	})
	p.check()
}

// Clients go on sending a message far over the limit, in the first message or in a later one.
func TestMessagesFarOverTheLimit(t *testing.T) {
	p := startProxy(t)
	p.crowd(p.front, crowdSize, func(_ context.Context, number int, c *client) {
		if number%2 == 0 && !c.started() {
			return
		}
		c.send("QUERY 1 READ ", messageBytes, 0)
		for range overBytes / messageBytes {
			if !c.send(filler, messageBytes, 0) {
				return
			}
		}
	})
	p.check()
}

// Clients send statements with large answers ahead and read none of the answers, so that
// answers are kept, or workers wait for the callers.
func TestStatementsSentAheadWithoutReading(t *testing.T) {
	p := startProxy(t)
	p.storeLargeItem()
	p.crowd(p.front, crowdSize, func(ctx context.Context, _ int, c *client) {
		if c.started() {
			for i := 0; c.send(fmt.Sprintf("QUERY %d READ large\r\n", i), messageBytes, 0); i++ {
				continue
			}
		}
		<-ctx.Done()
	})
	p.check()
}

// Clients send most of a large message and then a byte at a time.
func TestVerySlowSenders(t *testing.T) {
	const byteInterval = 100 * time.Millisecond
	p := startProxy(t)
	p.crowd(p.front, crowdSize, func(_ context.Context, _ int, c *client) {
		if c.started() && c.send(largeRead()[:messageBytes*9/10], messageBytes/100, 10*time.Millisecond) {
			c.send(filler, 1, byteInterval)
		}
	})
	p.check()
}

// Clients read large answers a byte at a time.
func TestVerySlowReaders(t *testing.T) {
	const byteInterval = 100 * time.Millisecond
	p := startProxy(t)
	p.storeLargeItem()
	p.crowd(p.front, crowdSize, func(_ context.Context, _ int, c *client) {
		if !c.started() || !c.send("QUERY 1 READ large\r\n", messageBytes, 0) {
			return
		}
		for {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				return
			}
			time.Sleep(byteInterval)
		}
	})
	p.check()
}

// Half of the clients stop in the middle of a message, the others in the middle of an answer.
func TestSendersAndReadersThatStopHalfway(t *testing.T) {
	p := startProxy(t)
	p.storeLargeItem()
	p.crowd(p.front, crowdSize, func(ctx context.Context, number int, c *client) {
		switch {
		case !c.started():
			return
		case number%2 == 0:
			c.send(largeRead()[:messageBytes/2], messageBytes, 0)
			c.hold()
		case c.send("QUERY 1 READ large\r\n", messageBytes, 0):
			_, _ = c.reader.ReadByte()
			<-ctx.Done()
		}
	})
	p.check()
}

// sessionState runs a crowd of few clients that send statements of nearly 1 MiB without end,
// each of which changes the state of the session.
func sessionState(t *testing.T, format string) {
	const size = 8
	p := startProxy(t)
	p.crowd(p.front, size, func(_ context.Context, _ int, c *client) {
		if !c.started() {
			return
		}
		for i := 0; c.send(fmt.Sprintf(format, i, i, filler), messageBytes*2, 0) && c.answered(); i++ {
			continue
		}
	})
	p.check()
}

// Session values are kept for as long as the session.
func TestSessionValuesWithoutEnd(t *testing.T) {
	sessionState(t, "QUERY %d SET v%d %s\r\n")
}

// Prepared statements are kept for as long as the session.
func TestPreparedStatementsWithoutEnd(t *testing.T) {
	sessionState(t, "QUERY %d PREPARE s%d READ %s\r\n")
}

// More connections than the process takes are opened and send nothing.
func TestConnectionsThatSayNothing(t *testing.T) {
	p := startProxy(t)
	p.crowd(p.front, descriptors, func(_ context.Context, _ int, c *client) { c.hold() })
	p.check()
}

// Anybody may send any bytes to the port for readiness checks: connections without a request,
// header lines without end, and bytes that are not HTTP.
func TestBytesFromAnybodyAtTheReadinessPort(t *testing.T) {
	p := startProxy(t)
	p.crowd(p.ready, descriptors, func(ctx context.Context, number int, c *client) {
		switch number % 3 {
		case 0:
			c.hold()
		case 1:
			c.send("GET /readiness HTTP/1.1\r\nX: "+filler, messageBytes, 0)
			c.hold()
		case 2:
			c.sendNoise(ctx, uint64(number))
		}
	})
	p.check()
}

// sendNoise sends random bytes until the proxy closes the connection.
func (c *client) sendNoise(ctx context.Context, seed uint64) {
	noise := make([]byte, 16<<10)
	source := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	for ctx.Err() == nil {
		_, _ = source.Read(noise)
		if _, err := c.Write(noise); err != nil {
			return
		}
	}
}

// Anybody may send any bytes to the port for other hosts: connections that say nothing, frames
// of a message whose announced length is 1 GiB, and bytes that are no frames.
func TestBytesFromAnybodyAtThePortForOtherHosts(t *testing.T) {
	p := startProxy(t)
	p.crowd(p.peers, descriptors, func(ctx context.Context, number int, c *client) {
		switch number % 3 {
		case 0:
			c.hold()
		case 1:
			// The length of a gob message: the number of its bytes, negated, and 1 GiB.
			frames := huff.New(c)
			_, err := frames.Write([]byte{0xfc, 0x40, 0, 0, 0})
			for i := 0; err == nil && i < overBytes/messageBytes; i++ {
				_, err = frames.Write([]byte(filler))
			}
			if err == nil {
				c.hold()
			}
		case 2:
			c.sendNoise(ctx, uint64(number))
		}
	})
	p.check()
}
