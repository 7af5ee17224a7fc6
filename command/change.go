package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"endivedeck.example/change"
	"endivedeck.example/message"
)

func init() {
	Commands.Register("change", func(out io.Writer) subcommands.Command { return &changeCommand{out: out} })
	Commands.Register("status", func(out io.Writer) subcommands.Command { return &statusCommand{out: out} })
}

type (
	// changeCommand announces and lists changes to backend servers.
	changeCommand struct {
		operatorClient
		out       io.Writer
		requestID string
		role      string
		model     string
		author    string
	}

	// statusCommand prints the state of the system.
	statusCommand struct {
		operatorClient
		out io.Writer
	}
)

func (c *changeCommand) Name() string     { return "change" }
func (c *changeCommand) Synopsis() string { return "announce and list changes to backend servers" }

func (c *changeCommand) Usage() string {
	return `endivedeck change [FLAGS] drain|resume|replace|withdraw|role BACKEND-SERVER
endivedeck change [FLAGS] list

Announce or list planned changes. A backend server can have one change at a
time; replace requires -model, and role requires -role. The operator's API key
is read from ENDIVEDECK_OPERATOR_KEY.

Example: endivedeck change -role prefill role crew-assist-3

`
}

func (c *changeCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.requestID, "request", "", "request `id`; a request with the same id is not run again")
	f.StringVar(&c.role, "role", "", "the engine's new role, for the change role: both, prefill or decode")
	f.StringVar(&c.model, "model", "", "the model to load, for the change replace")
	f.StringVar(&c.author, "by", "operator", "who announces the change")
}

func (c *changeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case f.NArg() == 1 && f.Arg(0) == "list":
		return c.list(ctx)
	case f.NArg() == 2:
		return c.announce(ctx, change.Kind(f.Arg(0)), f.Arg(1))
	}
	f.Usage()
	return subcommands.ExitUsageError
}

func (c *changeCommand) announce(ctx context.Context, kind change.Kind, backend string) subcommands.ExitStatus {
	if c.requestID == "" {
		c.requestID = newRequestID()
	}
	announcement := change.Announcement{
		RequestID:     c.requestID,
		BackendServer: backend,
		Kind:          kind,
		Role:          c.role,
		Model:         c.model,
		Author:        c.author,
	}
	if err := announcement.Check(); err != nil {
		return reportError(err)
	}
	body, err := json.Marshal(announcement)
	if err != nil {
		return reportError(err)
	}
	result, err := c.send(ctx, http.MethodPost, "/v1/changes", nil, body)
	if err != nil {
		return reportError(err)
	}
	if c.json {
		c.writeJSON(c.out, result)
		return subcommands.ExitSuccess
	}
	fmt.Fprintf(c.out, "%s: %s announced, fencing token %d\n", backend, kind, result.Change.FencingToken)
	return subcommands.ExitSuccess
}

func (c *changeCommand) list(ctx context.Context) subcommands.ExitStatus {
	result, err := c.send(ctx, http.MethodGet, "/v1/changes", nil, nil)
	if err != nil {
		return reportError(err)
	}
	if c.json {
		c.writeJSON(c.out, result)
		return subcommands.ExitSuccess
	}
	writeChanges(c.out, result.Changes)
	return subcommands.ExitSuccess
}

func writeChanges(out io.Writer, list []change.Change) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BACKEND SERVER\tFENCING TOKEN\tKIND\tSTATE\tBY\tTEXT")
	for _, ch := range list {
		a := ch.Announcement
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\n", a.BackendServer, ch.FencingToken, a.Kind, ch.State, a.Author, ch.Text)
	}
	_ = table.Flush()
}

func (s *statusCommand) Name() string     { return "status" }
func (s *statusCommand) Synopsis() string { return "show the state of the system" }

func (s *statusCommand) Usage() string {
	return "endivedeck status [-json]\n\nShow the replicas of control, the number of processes with a configuration\nlease, the backend servers and their changes. The operator's API key is read\nfrom ENDIVEDECK_OPERATOR_KEY.\n\nExample: endivedeck status -control 127.0.0.1:7500,127.0.0.1:7501\n\n"
}

func (s *statusCommand) SetFlags(f *flag.FlagSet) { s.setFlags(f) }

func (s *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	result, err := s.send(ctx, http.MethodGet, "/v1/status", nil, nil)
	if err != nil {
		return reportError(err)
	}
	if s.json {
		s.writeJSON(s.out, result)
		return subcommands.ExitSuccess
	}
	s.write(result.Status)
	return subcommands.ExitSuccess
}

func (s *statusCommand) write(status *message.Status) {
	fmt.Fprintf(s.out, "leader %s, term %d, commit %d, contracts at revision %d\n", status.Quorum.Leader, status.Quorum.Term, status.Quorum.Commit, status.Revision)
	fmt.Fprintf(s.out, "%d entries and %d sidecars with a configuration lease, %d orders recorded\n\n", status.EntryCount, status.SidecarCount, status.OrderCount)
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REPLICA\tADDRESS\tVOTER")
	for _, m := range status.Quorum.Members {
		fmt.Fprintf(table, "%s\t%s\t%v\n", m.ID, m.Address, m.Voter)
	}
	fmt.Fprintln(table, "\nBACKEND SERVER\tFAILURE DOMAIN\tSERVES\tROLE\tLEAVING")
	for _, b := range status.Backends {
		serves := b.Service
		if serves == "" {
			serves = fmt.Sprint(b.Models)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%v\n", b.Name, b.FailureDomain, serves, b.Role, b.Draining)
	}
	_ = table.Flush()
	writeDuties(s.out, status)
	if len(status.Changes) > 0 {
		fmt.Fprintln(s.out)
		writeChanges(s.out, status.Changes)
	}
}

// writeDuties writes the duties towards the provider, the usage windows that are open or not
// known to be reported, and the teams with the number of their keys.
func writeDuties(out io.Writer, status *message.Status) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(status.Duties) > 0 {
		fmt.Fprintln(table, "\nDUTY\tHOLDER\tFENCING TOKEN\tLAST SUCCESS")
	}
	for _, d := range status.Duties {
		last := "none since this leader began"
		if d.LastSuccess > 0 {
			last = d.LastSuccess.Std().String() + " ago"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", d.Name, d.Holder, d.Token, last)
	}
	if len(status.UsageWindows) > 0 {
		fmt.Fprintln(table, "\nUSAGE WINDOW\tFROM\tSTATE\tLATE\tTEAMS\tREQUESTS\tRELAYS MISSING")
	}
	for _, w := range status.UsageWindows {
		fmt.Fprintf(table, "%d\t%s\t%s\t%v\t%d\t%d\t%d\n", w.Number, w.Start.Format(time.RFC3339), w.State, w.Late, w.Teams, w.Requests, w.Missing)
	}
	if len(status.Servers) > 0 {
		fmt.Fprintln(table, "\nSERVICE\tFAILURE DOMAIN\tSERVERS ORDERED\tSERVERS PRESENT")
	}
	for _, c := range status.Servers {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\n", c.Service, c.Domain, c.Ordered, c.Present)
	}
	if len(status.Teams) > 0 {
		fmt.Fprintln(table, "\nTEAM\tKEYS")
	}
	for _, team := range status.Teams {
		fmt.Fprintf(table, "%s\t%d\n", team.Name, team.Keys)
	}
	_ = table.Flush()
}
