// Package demo runs smaller versions of the example deployments willow and
// resets in one process and sends a short mix of requests through the API for
// callers.
package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"endivedeck.example/command"
	"endivedeck.example/deployment"
	"endivedeck.example/fault"
	"endivedeck.example/standin"
)

const timeout = 2 * time.Minute

func init() {
	command.Commands.Register("demo", func(out io.Writer) subcommands.Command { return &demoCommand{out: out} })
}

type demoCommand struct {
	out     io.Writer
	logFile string
}

func (d *demoCommand) Name() string     { return "demo" }
func (d *demoCommand) Synopsis() string { return "run the example deployments in one process" }

func (d *demoCommand) Usage() string {
	return "endivedeck demo [-log FILE]\n\nRun all roles and stand-ins of both example deployments in this process, send a\nshort mix of requests and print how many were answered, refused and recorded.\nThe exit code is 1 if a check failed, such as for a wrong or truncated answer or\nan order that did not run exactly once.\n\nExample: endivedeck demo -log demo.log\n\n"
}

func (d *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&d.logFile, "log", "", "the `file` for log lines; empty for none")
}

func (d *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	failures, err := d.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "endivedeck:", fault.FromError(err).Error())
		return subcommands.ExitFailure
	}
	if failures > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (d *demoCommand) run(ctx context.Context) (failures int, err error) {
	folder, err := os.MkdirTemp("", "endivedeck-demo-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(folder)
	log, err := d.openLog()
	if err != nil {
		return 0, err
	}
	for _, plan := range plans(folder, log) {
		n, err := d.runPlan(ctx, plan)
		failures += n
		if err != nil {
			return failures, err
		}
	}
	if failures == 0 {
		fmt.Fprintln(d.out, "every answer was complete and correct; every order ran once")
	} else {
		fmt.Fprintf(d.out, "failed checks: %d\n", failures)
	}
	return failures, nil
}

func (d *demoCommand) openLog() (io.Writer, error) {
	if d.logFile == "" {
		return io.Discard, nil
	}
	return os.Create(d.logFile)
}

func (d *demoCommand) runPlan(ctx context.Context, plan deployment.Plan) (int, error) {
	deployed, err := deployment.New(ctx, plan)
	if err != nil {
		return 0, err
	}
	s := newScenario(deployed, d.out)
	err = s.run(ctx)
	if stopErr := deployed.Stop(); err == nil {
		err = stopErr
	}
	return s.failures, err
}

func plans(folder string, log io.Writer) []deployment.Plan {
	spec := standin.DefaultEngineSpec()
	spec.StepTime = 4 * time.Millisecond
	spec.PieceTokens = 16
	return []deployment.Plan{
		{
			Name:           "willow",
			Region:         "mekong-south",
			FailureDomains: []string{"cantho-a", "vinhlong-b", "soctrang-c", "bentre-d"},
			ControlCount:   3,
			EntryCount:     2,
			EngineCount:    3,
			Model:          "crew-assist",
			ServiceCount:   2,
			ServiceName:    "plant-ledger",
			EngineSpec:     spec,
			Fencing:        true,
			ChangeTime:     200 * time.Millisecond,
			Folder:         filepath.Join(folder, "willow"),
			Log:            log,
		},
		{
			Name:           "resets",
			Region:         "keralam",
			FailureDomains: []string{"ernakulam", "malabar", "tvm-capital"},
			ControlCount:   3,
			EntryCount:     2,
			EngineCount:    3,
			Model:          "setter-llm",
			ServiceCount:   1,
			ServiceName:    "resets-app",
			EngineSpec:     spec,
			ChangeTime:     200 * time.Millisecond,
			Folder:         filepath.Join(folder, "resets"),
			Log:            log,
		},
	}
}
