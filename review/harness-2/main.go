// Command review2 runs the cases of a review: it starts the project's own processes with
// the commands of the deploy file, stand-ins for backend servers, clients and the
// platform, and checks one rule by what these see.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseFunc runs one case. It returns what broke the rule, or "" if it held.
type caseFunc func(ctx context.Context, rec *record, trouble bool) (broken string, err error)

var cases = map[string]caseFunc{
	"parts":     runParts,
	"instances": runInstances,
	"slashes":   runSlashes,
	"options":   runOptions,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with the disruption: %v", os.Args[1], trouble)
	signaled, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signaled, 110*time.Second)
	broken, err := cases[os.Args[1]](ctx, rec, trouble)
	cancel()
	if err == nil && signaled.Err() != nil {
		err = errors.New("ended by a signal")
	}
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken != "":
		rec.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	rec.add("the rule held")
	fmt.Println("held")
}
