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

// logOutput is where the log lines of a process go.
var logOutput io.Writer = os.Stdout

func init() {
	Commands.Register("check", func(out io.Writer) subcommands.Command { return &check{out: out} })
}

// check reads settings files without starting anything.
type check struct{ out io.Writer }

func (c *check) Name() string           { return "check" }
func (c *check) Synopsis() string       { return "check settings files" }
func (c *check) SetFlags(*flag.FlagSet) {}
func (c *check) Usage() string {
	return "endivedeck check FILE...\n\nCheck settings files as the processes would read them, and say what is wrong\nwith file, line and field.\n\nExample: endivedeck check examples/willow/*.json\n\n"
}

func (c *check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, file := range f.Args() {
		if err := checkFile(file); err != nil {
			status = failed(err)
			continue
		}
		fmt.Fprintf(c.out, "%s: ok\n", file)
	}
	return status
}

func checkFile(file string) error {
	process, err := kernel.Load(file)
	if err != nil {
		return err
	}
	return kernel.Check(process)
}
