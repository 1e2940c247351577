package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// longItem is an item whose READ is answered with many rows. Members of the stand-in answer
	// with one row, which a proxy before them repeats.
	longItem, longValue = "catalogue", "long"
	// rowBytes is the length of each of these rows, and longRows their number.
	rowBytes, longRows = 3000, 3000
	// readers is the number of clients at each loaded host that read the item.
	readers = 60
)

// repeater relays connections to members, and repeats the rows with longValue.
type repeater struct {
	rows int
}

// proxyFor listens on a loopback address and relays its connections to a member.
func (p repeater) proxyFor(ctx context.Context, member string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return member
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(c, member)
		}
	}()
	return l.Addr().String()
}

// relay relays one connection until either side closes it.
func (p repeater) relay(host net.Conn, address string) {
	defer func() { _ = host.Close() }()
	member, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = member.Close() }()
	go func() {
		defer func() { _ = member.Close() }()
		_, _ = io.Copy(member, host)
	}()
	reader, writer := bufio.NewReader(member), bufio.NewWriterSize(host, 64<<10)
	row := "ROW " + strings.Repeat("r", rowBytes) + "\r\n"
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		n := 1
		if line == "ROW "+longValue+"\r\n" {
			line, n = row, p.rows
		}
		for range n {
			if _, err := writer.WriteString(line); err != nil {
				return
			}
		}
		if reader.Buffered() == 0 && writer.Flush() != nil {
			return
		}
	}
}

// playRows lets clients at two hosts read an item, again and again. With trouble, the answer has
// many rows, each of a usual length. The rule Fault is broken if the processes of both hosts end three
// times.
func playRows(ctx context.Context, rec *record, trouble bool) (bool, error) {
	ctx, stop := context.WithCancel(ctx)
	r := repeater{rows: 1}
	if trouble {
		r.rows = longRows
	}
	c, err := newCluster(ctx, rec, memoryHosts, r.proxyFor)
	if c != nil {
		defer c.wait()
	}
	defer stop()
	if err != nil {
		return false, err
	}
	for i := range 3 {
		w, err := connect(ctx, c.hosts[loadedHosts].front, fmt.Sprintf("primary-g%d", i+1))
		if err != nil {
			return false, err
		}
		answer, err := w.query(fmt.Sprintf("w%d", i), "WRITE "+longItem+" "+longValue)
		w.close()
		if err != nil {
			return false, err
		}
		rec.note("the item was written: %s", answer)
	}
	playing, end := context.WithTimeout(ctx, memoryTime)
	defer end()
	var clients sync.WaitGroup
	var answered, failed, most [loadedHosts]atomic.Int64
	for i := range loadedHosts {
		for n := range readers {
			clients.Go(func() {
				for playing.Err() == nil {
					answer, err := readLong(playing, c.hosts[i].front, n)
					if err != nil {
						failed[i].Add(1)
						time.Sleep(50 * time.Millisecond)
						continue
					}
					answered[i].Add(1)
					most[i].Store(max(most[i].Load(), int64(len(answer))))
				}
			})
		}
	}
	faulty := 0
	for playing.Err() == nil && faulty < loadedHosts {
		time.Sleep(time.Second)
		faulty = 0
		for i := range loadedHosts {
			memory, peak, kills, ends := c.hosts[i].state()
			rec.note("%s: memory %d MB, most %d MB, killed %d times, other ends %d; reads answered %d, the longest with %d bytes, failed %d",
				c.hosts[i].name, memory, peak, kills, ends, answered[i].Load(), most[i].Load(), failed[i].Load())
			if kills+ends >= neededEnds {
				faulty++
			}
		}
	}
	end()
	clients.Wait()
	return faulty >= loadedHosts, ctx.Err()
}

// readLong reads the item in a session of its own, and returns the answer.
func readLong(ctx context.Context, address string, number int) (string, error) {
	c, err := connect(ctx, address, fmt.Sprintf("bounded-g%d", number%3+1))
	if err != nil {
		return "", err
	}
	defer c.close()
	return c.query(fmt.Sprintf("r%d", lastID.Add(1)), "READ "+longItem)
}
