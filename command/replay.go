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
	Commands.Register("trace", func(out io.Writer) subcommands.Command { return &tracer{out: out} })
	Commands.Register("replay", func(out io.Writer) subcommands.Command { return &replayer{out: out} })
}

type (
	// tracer makes traces.
	tracer struct {
		out  io.Writer
		name string
		seed uint64
	}

	// replayer plays traces against the decisions.
	replayer struct {
		out     io.Writer
		file    string
		make    string
		policy  string
		compare string
		seed    uint64
		json    bool
		plot    string
	}
)

func (c *tracer) Name() string     { return "trace" }
func (c *tracer) Synopsis() string { return "make a trace" }

func (c *tracer) Usage() string {
	return fmt.Sprintf("endivedeck trace -name NAME [-seed N] > FILE\n\nMake a trace; the same name and seed make the same one. Names:\n%s\n\nExample: endivedeck trace -name notes -seed 1 > notes.jsonl\n\n", strings.Join(trace.Names(), ", "))
}

func (c *tracer) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.name, "name", "", "the trace's `name`")
	f.Uint64Var(&c.seed, "seed", 1, "the random seed")
}

func (c *tracer) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.name == "" || f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	t, err := trace.Make(c.name, c.seed)
	if err != nil {
		return failed(err)
	}
	if err := trace.Write(c.out, t); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

func (c *replayer) Name() string     { return "replay" }
func (c *replayer) Synopsis() string { return "play a trace against the decisions, in test time" }

func (c *replayer) Usage() string {
	return fmt.Sprintf(`endivedeck replay [FLAGS] (-trace FILE | -make NAME)

Play a trace against the real decisions and report goodput, latencies, role
changes, cache hits and refusals. A policy is ROUTING/ROLES, of routing %v
and roles %v. -compare puts several side by side on one trace.

Example: endivedeck replay -make notes -compare expected/steady,roundrobin/fixed

`, routing.Policies.Names(), roles.Policies.Names())
}

func (c *replayer) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "trace", "", "the trace's `file`")
	f.StringVar(&c.make, "make", "", "play the made trace of this `name`")
	f.StringVar(&c.policy, "policy", "expected/steady", "the `policy`")
	f.StringVar(&c.compare, "compare", "", "`policies` with commas between them")
	f.Uint64Var(&c.seed, "seed", 1, "the random seed of the run, and of a made trace")
	f.BoolVar(&c.json, "json", false, "write the report as JSON")
	f.StringVar(&c.plot, "plot", "", "write a plot as SVG to this `file`")
}

func (c *replayer) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if (c.file == "") == (c.make == "") || f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	t, err := c.load()
	if err != nil {
		return failed(err)
	}
	policies := []string{c.policy}
	if c.compare != "" {
		policies = strings.Split(c.compare, ",")
	}
	var reports []*replay.Report
	for _, policy := range policies {
		report, err := c.play(t, policy)
		if err != nil {
			return failed(err)
		}
		reports = append(reports, report)
	}
	if err := c.write(reports); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

func (c *replayer) load() (*trace.Trace, error) {
	if c.make != "" {
		return trace.Make(c.make, c.seed)
	}
	file, err := os.Open(c.file)
	if err != nil {
		return nil, fault.New(fault.NotFound, fault.No, "%v", err)
	}
	defer file.Close()
	return trace.Read(file)
}

func (c *replayer) play(t *trace.Trace, policy string) (*replay.Report, error) {
	route, role, ok := strings.Cut(policy, "/")
	if !ok {
		return nil, fault.New(fault.Malformed, fault.No, "policy: want ROUTING/ROLES, got %q", policy)
	}
	r, err := replay.New(t, replay.Options{Routing: route, Roles: role, Seed: c.seed})
	if err != nil {
		return nil, err
	}
	return r.Run(), nil
}

func (c *replayer) write(reports []*replay.Report) error {
	if c.plot != "" {
		file, err := os.Create(c.plot)
		if err != nil {
			return fault.New(fault.Unavailable, fault.No, "%v", err)
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
		c.table(reports)
	default:
		reports[0].Write(c.out)
	}
	return nil
}

func (c *replayer) table(reports []*replay.Report) {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\tgood\tof\tbound\tlate\trefused\trole changes\treversals\t")
	for _, r := range reports {
		refused := 0
		for _, n := range r.Refused {
			refused += n
		}
		fmt.Fprintf(table, "%s/%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Routing, r.Roles, r.Good, r.Offered, r.Bound, r.Late, refused, r.Changes, r.Reversals)
	}
	_ = table.Flush()
}
