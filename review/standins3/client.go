package main

import (
	"bufio"
	"context"
	"net"
	"strings"
	"time"
)

// answerTimeout bounds the wait of a client for one answer.
const answerTimeout = 10 * time.Second

// client is a client's session.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect starts a session with a database. It returns an error unless the host accepts it.
func connect(ctx context.Context, address, database string) (*client, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn)}
	if _, err = c.exchange("START " + database + " u"); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// query sends a statement with an id, and returns the answer's lines, joined by " | ". It returns an error if
// there was no whole answer, or if it is an ERROR.
func (c *client) query(id, text string) (string, error) {
	return c.exchange("QUERY " + id + " " + text)
}

// exchange sends a message and reads lines up to READY or the end of the connection.
func (c *client) exchange(message string) (string, error) {
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := c.conn.Write([]byte(message + "\r\n")); err != nil {
		return "", err
	}
	var lines []string
	refused := false
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			if refused {
				return strings.Join(lines, " | "), refusal(strings.Join(lines, " | "))
			}
			return strings.Join(lines, " | "), err
		}
		line = strings.TrimRight(line, "\r\n")
		lines = append(lines, line)
		refused = refused || strings.HasPrefix(line, "ERROR ")
		if strings.HasPrefix(line, "READY ") {
			answer := strings.Join(lines, " | ")
			if refused {
				return answer, refusal(answer)
			}
			return answer, nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }

// refusal is an answer with an ERROR.
type refusal string

func (r refusal) Error() string { return string(r) }
