// Command standins2 runs the scripts of the second review. It starts the project's program
// against small stand-ins of the platform, of a database group and of clients, and checks one
// rule by what clients and members have seen.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// caseTimeout bounds a case, its start and its end included.
const caseTimeout = 115 * time.Second

// trial is the run of one case.
type trial struct {
	*record
	// trouble is false if the case runs without its disruption.
	trouble  bool
	platform *platform
	group    *group
	// mu guards hosts and ended, which is set once the case starts no more processes.
	mu    sync.Mutex
	hosts []*host
	ended bool
}

// result is whether the rule was broken, or the reason why the case could not run.
type result struct {
	broken bool
	err    error
}

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*trial) (bool, error){
	"busy-stop":       busyStop,
	"short-staleness": shortStaleness,
	"failed-set":      failedSet,
	"large-answers":   largeAnswers,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the case that the arguments name and returns the exit code. The second argument is
// the file for the record.
func run(arguments []string) int {
	const argumentCount = 2
	if len(arguments) != argumentCount || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return notRun
	}
	r, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	ctx, stop := context.WithTimeout(context.Background(), caseTimeout)
	defer stop()
	ctx, stopSignals := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	t := &trial{record: r, trouble: os.Getenv("TROUBLE") != "0"}
	defer t.end()
	r.add("case %s, disruption %v", arguments[0], t.trouble)
	done := make(chan result, 1)
	go func() {
		broken, err := cases[arguments[0]](t)
		done <- result{broken, err}
	}()
	got := result{err: errors.New("no result in time")}
	select {
	case got = <-done:
	case <-ctx.Done():
	}
	switch {
	case got.err != nil:
		r.add("not run: %v", got.err)
		return notRun
	case got.broken:
		r.add("result: the rule was broken")
		return ruleBroken
	}
	r.add("result: the rule held")
	return ruleHeld
}

// end ends all processes of the case and closes the listeners.
func (t *trial) end() {
	t.mu.Lock()
	t.ended = true
	hosts := t.hosts
	t.mu.Unlock()
	for _, h := range hosts {
		h.stop()
	}
	if t.group != nil {
		t.group.close()
	}
	if t.platform != nil {
		t.platform.close()
	}
}
