// Program standins runs one case of the review: the program under test as separate
// processes, and stand-ins of the platform, of a database group and of clients.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	os.Exit(run())
}

// run runs the case and returns the exit code. The arguments are the name of the case,
// the path of the program, the path of the record and "0" for a run without the disruption.
func run() int {
	const argumentCount = 5
	if len(os.Args) != argumentCount {
		fmt.Fprintln(os.Stderr, "usage: standins CASE PROGRAM RECORD TROUBLE")
		return exitNotRun
	}
	play, ok := map[string]func(context.Context, *cluster, bool, time.Time) int{"stale-holder": staleHolder, "late-order": lateOrder}[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", os.Args[1])
		return exitNotRun
	}
	const (
		runTime   = 105 * time.Second
		hostCount = 3
	)
	began := time.Now()
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c, err := newCluster(ctx, rec, dir, os.Args[2], hostCount)
	defer c.close()
	if err != nil {
		rec.add("not run: %v", err)
		return exitNotRun
	}
	time.Sleep(6 * time.Second)
	startClients(ctx, c, 500*time.Millisecond, 60*time.Millisecond)
	time.Sleep(2 * time.Second)
	for _, d := range c.groups {
		if len(d.ledger.list()) == 0 {
			rec.add("not run: no write of %s was served before the disruption", d.name)
			return exitNotRun
		}
	}
	lost := play(ctx, c, os.Args[4] != "0", began.Add(runTime))
	acked := 0
	for _, d := range c.groups {
		acked += len(d.ledger.list())
	}
	rec.add("%d writes acknowledged, %d of them lost", acked, lost)
	if ctx.Err() != nil && lost == 0 {
		return exitNotRun
	}
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}
