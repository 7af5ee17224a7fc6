package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"endivedeck.example/kernel"
)

// logOutput receives the log lines of a process.
var logOutput io.Writer = os.Stdout

func init() {
	Commands.Register("check", func(out io.Writer) subcommands.Command { return &checkCommand{out: out} })
}

// checkCommand validates settings files without starting a process.
type checkCommand struct{ out io.Writer }

func (c *checkCommand) Name() string           { return "check" }
func (c *checkCommand) Synopsis() string       { return "check settings files" }
func (c *checkCommand) SetFlags(*flag.FlagSet) {}
func (c *checkCommand) Usage() string {
	return "endivedeck check FILE...\n\nValidate settings files as the processes do at their start. Errors are printed\nwith file, line and field.\n\nExample: endivedeck check examples/willow/*.json\n\n"
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, file := range f.Args() {
		if err := checkFile(file); err != nil {
			status = reportError(err)
			continue
		}
		fmt.Fprintf(c.out, "%s: ok\n", file)
	}
	return status
}

func checkFile(file string) error {
	process, err := kernel.LoadSettings(file)
	if err != nil {
		return err
	}
	return kernel.CheckSettings(process)
}
