package soak_test

import (
	"fmt"
	"net"
	"os/exec"
	"sync"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

const (
	// firstPort is the lowest port of hosts. A test process takes ports in blocks of blockSize.
	// They lie below those that the kernel gives out, which another process could take before
	// a host does, or while it restarts.
	firstPort  = 12_000
	blockCount = 40
	blockSize  = 500
)

// portBlocks holds the blocks of ports that this process has taken. It listens on the first
// port of each, so that no other test process takes the block.
type portBlocks struct {
	mu    sync.Mutex
	taken []net.Listener
	// next and end are the next port to be returned and the one behind the last.
	next, end int
}

var ports portBlocks

// freePort returns a TCP port of loopback that no other call returns, in this process or
// another test process, and on which nothing listened at the time of the call. It asks by
// connecting, since a listener that it opened would be inherited by processes that start
// meanwhile, until they run their own program, and a host could not listen on the port.
func freePort(t *testing.T) int {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for ports.next < ports.end || ports.takeBlock() {
		port := ports.next
		ports.next++
		c, err := net.Dial("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if errors.Is(err, syscall.ECONNREFUSED) {
			return port
		}
		if err == nil {
			_ = c.Close()
		}
	}
	t.Fatal("no free port")
	return 0
}

// takeBlock takes another block of ports, and returns false if there is none. The caller holds
// the lock.
func (p *portBlocks) takeBlock() bool {
	for i := range blockCount {
		first := firstPort + i*blockSize
		if l, err := listenOn(first); err == nil {
			p.taken = append(p.taken, l)
			p.next, p.end = first+1, first+blockSize
			return true
		}
	}
	return false
}

func listenOn(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

// A port that was handed out must be free for a host while other processes start, which hold
// copies of this process's listeners for a moment.
func TestFreePortIsFreeWhileProcessesStart(t *testing.T) {
	is := is.New(t)
	stop := make(chan struct{})
	var starting sync.WaitGroup
	for range 4 {
		starting.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	defer starting.Wait()
	defer close(stop)
	for range 300 {
		l, err := listenOn(freePort(t))
		is.NoErr(err)
		defer func() { _ = l.Close() }()
	}
}
