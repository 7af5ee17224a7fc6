package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/google/subcommands"

	"endivedeck.example/change"
	"endivedeck.example/message"
)

func init() {
	Commands.Register("change", func(out io.Writer) subcommands.Command { return &changes{out: out} })
	Commands.Register("status", func(out io.Writer) subcommands.Command { return &status{out: out} })
}

type (
	// changes announces changes to engines.
	changes struct {
		operator
		out     io.Writer
		request string
		role    string
		model   string
		by      string
	}

	// status shows how the system is.
	status struct {
		operator
		out io.Writer
	}
)

func (c *changes) Name() string     { return "change" }
func (c *changes) Synopsis() string { return "announce and list changes to backend servers" }

func (c *changes) Usage() string {
	return `endivedeck change [FLAGS] drain|resume|replace|withdraw|role BACKEND-SERVER
endivedeck change [FLAGS] list

Announce a planned change. A backend server has one change at a time; replace
needs -model and role needs -role. The operator's key is taken from
ENDIVEDECK_OPERATOR_KEY.

Example: endivedeck change -role prefill role crew-assist-3

`
}

func (c *changes) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.request, "request", "", "the change's `id`; the same id gives the same answer")
	f.StringVar(&c.role, "role", "", "for role: both, prefill or decode")
	f.StringVar(&c.model, "model", "", "for replace: the model to load")
	f.StringVar(&c.by, "by", "operator", "who announces the change")
}

func (c *changes) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case f.NArg() == 1 && f.Arg(0) == "list":
		return c.list(ctx)
	case f.NArg() == 2:
		return c.announce(ctx, change.Kind(f.Arg(0)), f.Arg(1))
	}
	f.Usage()
	return subcommands.ExitUsageError
}

func (c *changes) announce(ctx context.Context, kind change.Kind, backend string) subcommands.ExitStatus {
	if c.request == "" {
		c.request = newRequest()
	}
	wanted := change.Announcement{
		RequestID:     c.request,
		BackendServer: backend,
		Kind:          kind,
		Role:          c.role,
		Model:         c.model,
		Author:        c.by,
	}
	if err := wanted.Check(); err != nil {
		return failed(err)
	}
	body, err := json.Marshal(wanted)
	if err != nil {
		return failed(err)
	}
	operated, err := c.ask(ctx, http.MethodPost, "/v1/changes", nil, body)
	if err != nil {
		return failed(err)
	}
	if c.json {
		c.writeJSON(c.out, operated)
		return subcommands.ExitSuccess
	}
	fmt.Fprintf(c.out, "%s: %s announced under number %d\n", backend, kind, operated.Change.FencingToken)
	return subcommands.ExitSuccess
}

func (c *changes) list(ctx context.Context) subcommands.ExitStatus {
	operated, err := c.ask(ctx, http.MethodGet, "/v1/changes", nil, nil)
	if err != nil {
		return failed(err)
	}
	if c.json {
		c.writeJSON(c.out, operated)
		return subcommands.ExitSuccess
	}
	writeChanges(c.out, operated.Changes)
	return subcommands.ExitSuccess
}

func writeChanges(out io.Writer, list []change.Change) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BACKEND SERVER\tNUMBER\tKIND\tSTATE\tBY\tTEXT")
	for _, ch := range list {
		a := ch.Announcement
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\n", a.BackendServer, ch.FencingToken, a.Kind, ch.State, a.Author, ch.Text)
	}
	_ = table.Flush()
}

func (s *status) Name() string     { return "status" }
func (s *status) Synopsis() string { return "show the state of the system" }

func (s *status) Usage() string {
	return "endivedeck status [-json]\n\nShow control's replicas, the holders of the configuration, backend servers and\nchanges. The operator's key is taken from ENDIVEDECK_OPERATOR_KEY.\n\nExample: endivedeck status -control 127.0.0.1:7500,127.0.0.1:7501\n\n"
}

func (s *status) SetFlags(f *flag.FlagSet) { s.setFlags(f) }

func (s *status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	operated, err := s.ask(ctx, http.MethodGet, "/v1/status", nil, nil)
	if err != nil {
		return failed(err)
	}
	if s.json {
		s.writeJSON(s.out, operated)
		return subcommands.ExitSuccess
	}
	s.write(operated.Status)
	return subcommands.ExitSuccess
}

func (s *status) write(st *message.Status) {
	fmt.Fprintf(s.out, "leader %s, term %d, commit %d, contracts at revision %d\n", st.Quorum.Leader, st.Quorum.Term, st.Quorum.Commit, st.Revision)
	fmt.Fprintf(s.out, "%d entries and %d sidecars hold the configuration, %d orders on record\n\n", st.Entries, st.Sidecars, st.Orders)
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REPLICA\tADDRESS\tVOTER")
	for _, m := range st.Quorum.Members {
		fmt.Fprintf(table, "%s\t%s\t%v\n", m.ID, m.Address, m.Voter)
	}
	fmt.Fprintln(table, "\nBACKEND SERVER\tFAILURE DOMAIN\tSERVES\tROLE\tLEAVING")
	for _, b := range st.Backends {
		serves := b.Service
		if serves == "" {
			serves = fmt.Sprint(b.Models)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%v\n", b.Name, b.FailureDomain, serves, b.Role, b.Leaving)
	}
	_ = table.Flush()
	if len(st.Changes) > 0 {
		fmt.Fprintln(s.out)
		writeChanges(s.out, st.Changes)
	}
}
