// Package pool provides the fixed pool of workers that run the decisions about
// groups and requests.
package pool

import (
	"sync"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/rescue"
)

// Pool runs tasks on a fixed number of workers, which take them in the order of
// submission. A task acquires locks in the order stated in package engine, decides
// and returns; it must not wait for I/O.
type Pool struct {
	mu sync.Mutex
	// submitted wakes idle workers when a task was submitted or the pool closed.
	submitted *sync.Cond
	// tasks[head:] are the tasks that no worker has taken yet.
	tasks   []func()
	head    int
	closed  bool
	workers sync.WaitGroup
	log     *zap.Logger
}

// New starts a pool of n workers, at least one. A task that panics is logged and does
// not end the worker.
func New(log *zap.Logger, n int) *Pool {
	p := &Pool{log: log}
	p.submitted = sync.NewCond(&p.mu)
	for range max(n, 1) {
		p.workers.Go(p.work)
	}
	return p
}

// Submit queues a task. It reports false if the pool is closed, in which case the
// task is not run. The queue needs no limit of its own: each task belongs to a
// request, slot or timer whose number is limited where it is created.
func (p *Pool) Submit(task func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.tasks = append(p.tasks, task)
	p.submitted.Signal()
	return true
}

// Waiting returns the number of tasks that no worker has taken yet.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tasks) - p.head
}

// Close makes Submit accept no more tasks, and waits until the workers have run the
// submitted tasks and ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.submitted.Broadcast()
	p.mu.Unlock()
	p.workers.Wait()
}

// work runs tasks until the pool is closed and its queue empty.
func (p *Pool) work() {
	for {
		task := p.next()
		if task == nil {
			return
		}
		rescue.Run(p.log, task)
	}
}

// next waits for a task and removes it from the queue. It returns nil once the pool
// is closed and empty.
func (p *Pool) next() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.head == len(p.tasks) {
		if p.closed {
			return nil
		}
		p.tasks = p.tasks[:0]
		p.head = 0
		p.submitted.Wait()
	}
	task := p.tasks[p.head]
	p.tasks[p.head] = nil
	p.head++
	p.compact()
	return task
}

// compact moves the waiting tasks to the front of the slice once they are at most
// half of it, so that its size stays proportional to the number of waiting tasks.
// The caller must hold p.mu.
func (p *Pool) compact() {
	const minCompactTasks = 1024
	if p.head < minCompactTasks || p.head*2 < len(p.tasks) {
		return
	}
	n := copy(p.tasks, p.tasks[p.head:])
	clear(p.tasks[n:])
	p.tasks = p.tasks[:n]
	p.head = 0
}
