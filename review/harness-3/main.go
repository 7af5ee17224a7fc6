// Command harness runs the cases of review 3 that can't be put as a day of the bench. It
// starts the system's own processes on loopback addresses and plays the platform, the
// servers, the operator and the clients around them.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime is the time after which a case ends in any event.
const maxRunTime = 110 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name.
var cases = map[string]func(*deployment) (broken bool, err error){
	"prompts": runPrompts,
	"hosts":   runHosts,
	"numbers": runNumbers,
	"sizes":   runSizes,
}

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/endivedeck", "the system's program")
	recordFile := flag.String("record", "", "the file to write the record to")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil || *recordFile == "" {
		flag.Usage()
		return exitNotRun
	}
	r, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	d, err := newDeployment(*program, r, *trouble)
	if err != nil {
		r.printf("not run: %v", err)
		return exitNotRun
	}
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- d.play(play) }()
	select {
	case code := <-result:
		return code
	case <-signals:
		r.printf("not run: interrupted")
	case <-time.After(maxRunTime):
		r.printf("not run: not done after %v", maxRunTime)
	}
	return exitNotRun
}

// play runs a case and returns the exit code.
func (d *deployment) play(play func(*deployment) (bool, error)) int {
	broken, err := play(d)
	switch {
	case err != nil:
		d.record.printf("not run: %v", err)
		return exitNotRun
	case broken:
		d.record.printf("RESULT: the rule was broken")
		return exitBroken
	}
	d.record.printf("RESULT: the rule held")
	return exitHeld
}
