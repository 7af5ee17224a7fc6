// Command harness runs the scripted cases of the review. It starts the project's
// own machine processes on loopback addresses, plays the clients, the workers and
// the platform with stand-ins, and judges one rule by what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// be run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	maxRunTime = 110 * time.Second // a script may take 120 s
)

// cases maps the name of a case to the function that plays it. The function
// returns what broke the rule, or "" if the rule held.
var cases = map[string]func(context.Context, *trial) (string, error){
	"crashing-part":    playCrashingPart,
	"silence":          playSilence,
	"twice":            playTwice,
	"pause":            playPause,
	"double-slash":     playDoubleSlash,
	"idle-connections": playIdleConnections,
}

func main() {
	root := flag.String("root", ".", "repository root")
	record := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, *root, *record))
}

func run(play func(context.Context, *trial) (string, error), root, recordFile string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	t, err := newTrial(root, recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer t.close()
	broken, err := play(ctx, t)
	if err == nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		t.record.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case broken != "":
		t.record.printf("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		return exitBroken
	}
	t.record.printf("rule held")
	fmt.Println("rule held")
	return exitHeld
}
