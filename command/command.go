// Package command implements the command line.
//
// Subcommands register themselves in Commands. In addition, each process role
// in kernel.Roles is a subcommand.
//
// Exit codes: 0 for success, 1 for a failure, 2 for an invalid command line, 3
// if the system rejected the request (such as a conflict or a missing
// contract), 4 if a contract is committed to the log but not yet known to be in
// force everywhere.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"endivedeck.example/fault"
	"endivedeck.example/kernel"
)

// Exit codes in addition to those of package subcommands.
const (
	ExitRefused subcommands.ExitStatus = 3
	ExitPending subcommands.ExitStatus = 4
)

// Commands holds the registered subcommands by name.
var Commands = kernel.NewRegistry[Factory]("subcommand")

// Factory returns a new subcommand that writes its results to out.
type Factory func(out io.Writer) subcommands.Command

// Run parses args, runs the subcommand that they name, and returns its exit code.
func Run(ctx context.Context, flags *flag.FlagSet, args []string, out io.Writer) subcommands.ExitStatus {
	commander := subcommands.NewCommander(flags, "endivedeck")
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.CommandsCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	for _, name := range kernel.Roles.Names() {
		commander.Register(&serveCommand{role: name, out: out}, "processes")
	}
	for _, name := range Commands.Names() {
		newCommand, err := Commands.Lookup(name)
		if err != nil {
			return subcommands.ExitFailure
		}
		commander.Register(newCommand(out), "")
	}
	if err := flags.Parse(args); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}

// reportError prints err to standard error and returns its exit code.
func reportError(err error) subcommands.ExitStatus {
	e := fault.FromError(err)
	fmt.Fprintf(os.Stderr, "endivedeck: %s\n", e.Error())
	switch e.Kind {
	case fault.Conflict, fault.NotFound, fault.Forbidden, fault.Unauthenticated:
		return ExitRefused
	}
	return subcommands.ExitFailure
}
