// Command standins3 plays the cases of the third review that can't be put as a day: it starts
// the program as separate processes on loopback addresses, with stand-ins of the platform and of
// the members, and checks one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit bounds a case. run.sh may take 120 s.
const limit = 110 * time.Second

// scenario plays one case. It returns whether the rule was broken, or an error if the case
// could not run. Without trouble it leaves out the disruption.
type scenario func(ctx context.Context, rec *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"memory":  playMemory,
	"shape":   playShape,
	"unknown": playUnknown,
}

func main() {
	os.Exit(run())
}

// run plays the scenario that the first argument names, and writes the record into the folder
// that the second one names.
func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 SCENARIO FOLDER")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, end := context.WithTimeout(ctx, limit)
	defer end()
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	broken, err := scenarios[os.Args[1]](ctx, rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		rec.note("the rule was broken")
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}
