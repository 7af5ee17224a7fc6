package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"endivedeck.example/fault"
	"endivedeck.example/kernel"
)

// serveCommand runs a process of one role.
type serveCommand struct {
	role string
	file string
	out  io.Writer
}

func (c *serveCommand) Name() string     { return c.role }
func (c *serveCommand) Synopsis() string { return "run a process of the role " + c.role }

func (c *serveCommand) Usage() string {
	return fmt.Sprintf("endivedeck %[1]s -settings FILE\n\nRun a process of the role %[1]s until SIGTERM or SIGINT, on which it stops\ngracefully. Log lines go to standard output.\n\nExample: endivedeck %[1]s -settings examples/willow/%[1]s-1.json\n\n", c.role)
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "the settings `file`")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" || f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	return Serve(ctx, c.file, c.load)
}

func (c *serveCommand) load() (kernel.ProcessSettings, error) {
	process, err := kernel.LoadSettings(c.file)
	if err != nil {
		return process, err
	}
	if process.Role != c.role {
		return process, fault.New(fault.Malformed, fault.NotRun, "%s: role: got %q, want %s", c.file, process.Role, c.role)
	}
	return process, nil
}

// Serve runs the process whose settings load returns, until SIGTERM or SIGINT. On
// SIGHUP, and when the settings file changes, it calls load again and applies
// the new settings.
func Serve(ctx context.Context, file string, load func() (kernel.ProcessSettings, error)) subcommands.ExitStatus {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	process, err := load()
	if err != nil {
		return reportError(err)
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if process.MaxCores > 0 {
		runtime.GOMAXPROCS(process.MaxCores)
	}
	if process.MaxMemory > 0 {
		debug.SetMemoryLimit(process.SoftMemoryLimit())
	}
	debug.SetGCPercent(process.GCPercent)
	if err := redirectLibraryLog(process, logOutput); err != nil {
		return reportError(err)
	}
	k, err := kernel.New(process, logOutput)
	if err != nil {
		return reportError(err)
	}
	if err := k.Start(ctx); err != nil {
		return reportError(err)
	}
	r := &reloader{kernel: k, file: file, load: load, hup: hup}
	go r.run(ctx)
	err = k.Wait(ctx)
	if stopErr := k.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return reportError(err)
	}
	return subcommands.ExitSuccess
}
