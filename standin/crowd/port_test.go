package crowd_test

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
)

const (
	// firstPort is the lowest port of proxies. A test process takes ports in blocks of
	// blockSize. They lie below those that the kernel gives out, and below those of
	// standin/soak.
	firstPort  = 10_000
	blockCount = 20
	blockSize  = 100
)

// portBlock holds the block of ports that this process has taken. It listens on the first
// port of the block, so that no other test process takes it.
type portBlock struct {
	mu    sync.Mutex
	taken net.Listener
	// next and end are the next port to be returned and the one behind the last.
	next, end int
}

var ports portBlock

// freePort returns an address on a TCP port of loopback that no other call returns and on
// which nothing listened at the time of the call. It asks by connecting, since a process
// that starts meanwhile would inherit a listener.
func freePort(t *testing.T) string {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for i := 0; ports.taken == nil && i < blockCount; i++ {
		first := firstPort + i*blockSize
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			ports.taken, ports.next, ports.end = l, first+1, first+blockSize
		}
	}
	for ports.next < ports.end {
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		c, err := net.Dial("tcp", address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return address
		}
		if err == nil {
			_ = c.Close()
		}
	}
	t.Fatal("no free port")
	return ""
}
