// Package demo runs both deployments of the brief, smaller, in one process
// and plays a short mixed trace through the callers' interface.
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

const demoTime = 2 * time.Minute

func init() {
	command.Commands.Register("demo", func(out io.Writer) subcommands.Command { return &demo{out: out} })
}

type demo struct {
	out io.Writer
	log string
}

func (d *demo) Name() string     { return "demo" }
func (d *demo) Synopsis() string { return "run both deployments in one process and play a short trace" }

func (d *demo) Usage() string {
	return "endivedeck demo [-log FILE]\n\nRun all roles and stand-ins of both deployments in this process, play a short\nmixed trace and print what was answered, refused and recorded. The exit code is\n1 when an answer was wrong, cut or doubled.\n\nExample: endivedeck demo -log demo.log\n\n"
}

func (d *demo) SetFlags(f *flag.FlagSet) {
	f.StringVar(&d.log, "log", "", "the `file` for log lines; none are written without it")
}

func (d *demo) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, demoTime)
	defer cancel()
	faults, err := d.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "endivedeck:", fault.From(err).Error())
		return subcommands.ExitFailure
	}
	if faults > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (d *demo) run(ctx context.Context) (faults int, err error) {
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
		n, err := d.play(ctx, plan)
		faults += n
		if err != nil {
			return faults, err
		}
	}
	if faults == 0 {
		fmt.Fprintln(d.out, "every answer was whole and its own; every order ran once")
	} else {
		fmt.Fprintf(d.out, "FAULTS: %d\n", faults)
	}
	return faults, nil
}

func (d *demo) openLog() (io.Writer, error) {
	if d.log == "" {
		return io.Discard, nil
	}
	return os.Create(d.log)
}

func (d *demo) play(ctx context.Context, plan deployment.Plan) (int, error) {
	running, err := deployment.New(ctx, plan)
	if err != nil {
		return 0, err
	}
	p := newPlayer(running, d.out)
	err = p.play(ctx)
	if stopErr := running.Stop(); err == nil {
		err = stopErr
	}
	return p.faults, err
}

func plans(folder string, log io.Writer) []deployment.Plan {
	shape := standin.DefaultShape()
	shape.StepTime = 4 * time.Millisecond
	shape.PieceTokens = 16
	return []deployment.Plan{
		{
			Name:     "willow",
			Region:   "mekong-south",
			Domains:  []string{"cantho-a", "vinhlong-b", "soctrang-c", "bentre-d"},
			Control:  3,
			Entries:  2,
			Engines:  3,
			Model:    "crew-assist",
			Services: 2,
			Service:  "plant-ledger",
			Shape:    shape,
			Fencing:  true,
			LoadTime: 200 * time.Millisecond,
			Folder:   filepath.Join(folder, "willow"),
			Log:      log,
		},
		{
			Name:     "resets",
			Region:   "keralam",
			Domains:  []string{"ernakulam", "malabar", "tvm-capital"},
			Control:  3,
			Entries:  2,
			Engines:  3,
			Model:    "setter-llm",
			Services: 1,
			Service:  "resets-app",
			Shape:    shape,
			LoadTime: 200 * time.Millisecond,
			Folder:   filepath.Join(folder, "resets"),
			Log:      log,
		},
	}
}
