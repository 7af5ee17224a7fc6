// Package command is the command line.
//
// Each subcommand is a plug-in of the slot Commands. Every process role is a
// subcommand too, without a line here for any of them.
//
// Exit codes: 0 for success, 1 when the work failed, 2 for a wrong command
// line, 3 when the system refused (a conflict, a missing contract), 4 when a
// contract is accepted by the log and not known to be in force everywhere yet.
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

// Exit codes beside those of package subcommands.
const (
	ExitRefused subcommands.ExitStatus = 3
	ExitPending subcommands.ExitStatus = 4
)

// Commands is the slot of subcommands.
var Commands = kernel.NewSlot[Maker]("subcommand")

// Maker makes a subcommand that writes its results to out.
type Maker func(out io.Writer) subcommands.Command

// Run runs the command line and returns its exit code.
func Run(ctx context.Context, flags *flag.FlagSet, args []string, out io.Writer) subcommands.ExitStatus {
	commander := subcommands.NewCommander(flags, "endivedeck")
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.CommandsCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	for _, name := range kernel.Roles.Names() {
		commander.Register(&serve{role: name, out: out}, "processes")
	}
	for _, name := range Commands.Names() {
		maker, err := Commands.Find(name)
		if err != nil {
			return subcommands.ExitFailure
		}
		commander.Register(maker(out), "")
	}
	if err := flags.Parse(args); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}

// failed writes an error for a person and returns the exit code for it.
func failed(err error) subcommands.ExitStatus {
	e := fault.From(err)
	fmt.Fprintf(os.Stderr, "endivedeck: %s\n", e.Error())
	switch e.Kind {
	case fault.Conflict, fault.NotFound, fault.Forbidden, fault.Unauthenticated:
		return ExitRefused
	}
	return subcommands.ExitFailure
}
