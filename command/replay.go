package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"endivedeck.example/fault"
	"endivedeck.example/replay"
	"endivedeck.example/roles"
	"endivedeck.example/routing"
	"endivedeck.example/trace"
)

func init() {
	Commands.Register("trace", func(out io.Writer) subcommands.Command { return &traceCommand{out: out} })
	Commands.Register("replay", func(out io.Writer) subcommands.Command { return &replayCommand{out: out} })
}

type (
	// traceCommand generates traces.
	traceCommand struct {
		out  io.Writer
		name string
		seed uint64
	}

	// replayCommand replays traces in simulated time.
	replayCommand struct {
		out       io.Writer
		traceFile string
		traceName string
		policy    string
		compare   string
		seed      uint64
		json      bool
		plot      string
	}
)

func (c *traceCommand) Name() string     { return "trace" }
func (c *traceCommand) Synopsis() string { return "generate a trace" }

func (c *traceCommand) Usage() string {
	return fmt.Sprintf("endivedeck trace -name NAME [-seed N] > FILE\n\nGenerate a trace, which depends only on its name and the seed. Names:\n%s\n\nExample: endivedeck trace -name notes -seed 1 > notes.jsonl\n\n", strings.Join(trace.Names(), ", "))
}

func (c *traceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.name, "name", "", "`name` of the trace")
	f.Uint64Var(&c.seed, "seed", 1, "the random seed")
}

func (c *traceCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.name == "" || f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	t, err := trace.Generate(c.name, c.seed)
	if err != nil {
		return reportError(err)
	}
	if err := trace.Write(c.out, t); err != nil {
		return reportError(err)
	}
	return subcommands.ExitSuccess
}

func (c *replayCommand) Name() string     { return "replay" }
func (c *replayCommand) Synopsis() string { return "replay a trace in simulated time" }

func (c *replayCommand) Usage() string {
	return fmt.Sprintf(`endivedeck replay [FLAGS] (-trace FILE | -make NAME)

Replay a trace in simulated time with the decision code of the system, and report
goodput, latencies, role changes, cache hits and refused requests. A policy is
ROUTING/ROLES, with routing one of %v and roles one of %v. -compare prints one
line for each of several policies on the same trace.

Example: endivedeck replay -make notes -compare expected/steady,roundrobin/fixed

`, routing.Policies.Names(), roles.Policies.Names())
}

func (c *replayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.traceFile, "trace", "", "`file` of the trace")
	f.StringVar(&c.traceName, "make", "", "generate and replay the trace of this `name`")
	f.StringVar(&c.policy, "policy", "expected/steady", "the `policy`")
	f.StringVar(&c.compare, "compare", "", "comma-separated `policies` to compare")
	f.Uint64Var(&c.seed, "seed", 1, "the random seed of the replay, and of the trace with -make")
	f.BoolVar(&c.json, "json", false, "write the report as JSON")
	f.StringVar(&c.plot, "plot", "", "write a plot as SVG to this `file`")
}

func (c *replayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if (c.traceFile == "") == (c.traceName == "") || f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	t, err := c.load()
	if err != nil {
		return reportError(err)
	}
	policies := []string{c.policy}
	if c.compare != "" {
		policies = strings.Split(c.compare, ",")
	}
	var reports []*replay.Report
	for _, policy := range policies {
		report, err := c.run(t, policy)
		if err != nil {
			return reportError(err)
		}
		reports = append(reports, report)
	}
	if err := c.writeReports(reports); err != nil {
		return reportError(err)
	}
	return subcommands.ExitSuccess
}

func (c *replayCommand) load() (*trace.Trace, error) {
	if c.traceName != "" {
		return trace.Generate(c.traceName, c.seed)
	}
	file, err := os.Open(c.traceFile)
	if err != nil {
		return nil, fault.New(fault.NotFound, fault.NotRun, "%v", err)
	}
	defer file.Close()
	return trace.Read(file)
}

func (c *replayCommand) run(t *trace.Trace, policy string) (*replay.Report, error) {
	routingPolicy, rolePolicy, ok := strings.Cut(policy, "/")
	if !ok {
		return nil, fault.New(fault.Malformed, fault.NotRun, "policy: want ROUTING/ROLES, got %q", policy)
	}
	r, err := replay.New(t, replay.Options{Routing: routingPolicy, Roles: rolePolicy, Seed: c.seed})
	if err != nil {
		return nil, err
	}
	return r.Run(), nil
}

func (c *replayCommand) writeReports(reports []*replay.Report) error {
	if c.plot != "" {
		file, err := os.Create(c.plot)
		if err != nil {
			return fault.New(fault.Unavailable, fault.NotRun, "%v", err)
		}
		defer file.Close()
		replay.Plot(file, reports[0])
	}
	switch {
	case c.json:
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reports)
	case c.compare != "":
		c.writeTable(reports)
	default:
		reports[0].Write(c.out)
	}
	return nil
}

func (c *replayCommand) writeTable(reports []*replay.Report) {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\tgood\tof\tbound\tlate\trefused\trole changes\treversals\t")
	for _, r := range reports {
		refused := 0
		for _, n := range r.Refused {
			refused += n
		}
		fmt.Fprintf(table, "%s/%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Routing, r.Roles, r.Good, r.Offered, r.Bound, r.Late, refused, r.RoleChanges, r.Reversals)
	}
	_ = table.Flush()
}
