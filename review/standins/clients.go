package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// ledger holds the writes that were acknowledged to clients.
type ledger struct {
	mu    sync.Mutex
	acked []ackedWrite
	sent  int
}

// ackedWrite is a write of a value to an item, and when and by which host it was
// acknowledged.
type ackedWrite struct {
	text string
	host string
	at   time.Time
}

// next returns the number of the next write.
func (l *ledger) next() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	return l.sent
}

func (l *ledger) add(w ackedWrite) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked = append(l.acked, w)
}

// list returns the acknowledged writes.
func (l *ledger) list() []ackedWrite {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ackedWrite(nil), l.acked...)
}

// client is a session at one host that runs a statement after each pause.
type client struct {
	cluster  *cluster
	group    *database
	host     *host
	name     string
	database string
	writes   bool
	pause    time.Duration
	conn     net.Conn
	reader   *bufio.Reader
}

// run runs statements until the context ends.
func (c *client) run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		time.Sleep(c.pause/2 + rand.N(c.pause))
		if c.conn == nil && !c.connect() {
			continue
		}
		id := fmt.Sprintf("%s-%d", c.name, n)
		if !c.writes {
			c.exchange("QUERY " + id + " READ " + c.name)
			continue
		}
		text := fmt.Sprintf("%s %d", c.name, c.group.ledger.next())
		answer := c.exchange("QUERY " + id + " WRITE " + text)
		c.cluster.record.add("%s WRITE %s at %s answered %q", id, text, c.host.name, answer)
		if strings.HasPrefix(answer, "COMPLETE ") {
			c.group.ledger.add(ackedWrite{text, c.host.name, time.Now()})
		}
	}
	c.close()
}

func (c *client) connect() bool {
	conn, err := net.DialTimeout("tcp", c.host.front, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	if c.exchange("START "+c.database+" u") != "READY I -" {
		c.close()
		return false
	}
	return true
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a message and returns the lines of the answer, joined by "|". It
// closes the connection if the answer is incomplete after the time budget.
func (c *client) exchange(message string) string {
	const timeBudget = 8 * time.Second
	_ = c.conn.SetDeadline(time.Now().Add(timeBudget))
	if _, err := fmt.Fprintf(c.conn, "%s\r\n", message); err != nil {
		c.close()
		return "no answer"
	}
	var lines []string
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.close()
			return "no answer"
		}
		lines = append(lines, strings.TrimSuffix(line, "\r\n"))
		if strings.HasPrefix(line, "READY") {
			return strings.Join(lines, "|")
		}
	}
}

// startClients starts sessions for each group at each host.
func startClients(ctx context.Context, c *cluster, writePause, readPause time.Duration) {
	for _, h := range c.hosts {
		for _, d := range c.groups {
			for n, class := range []string{"updates", "orders", "updates", "lookups"} {
				cl := &client{
					cluster: c, group: d, host: h, name: fmt.Sprintf("%s-%s-%s-%d", h.name, d.name, class, n),
					database: class + "-" + d.name, writes: n < 2, pause: readPause,
				}
				if cl.writes {
					cl.pause = writePause
				}
				go cl.run(ctx)
			}
		}
	}
}
