package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"endivedeck.example/contract"
	"endivedeck.example/control"
	"endivedeck.example/fault"
	"endivedeck.example/message"
	"endivedeck.example/settings"
)

func init() {
	Commands.Register("contract", func(out io.Writer) subcommands.Command { return &contracts{out: out} })
}

// contracts puts, gets, lists and retires contracts.
type contracts struct {
	operator
	out      io.Writer
	replaces int64
	request  string
	wait     time.Duration
}

func (c *contracts) Name() string     { return "contract" }
func (c *contracts) Synopsis() string { return "put, get, list and retire contracts" }

func (c *contracts) Usage() string {
	return `endivedeck contract [FLAGS] put FILE | get CUSTOMER | list | retire CUSTOMER | hash KEY

put and retire name the version that they replace (-replaces, 0 for a new
customer). They wait until the change is in force everywhere; exit code 4 says
that this isn't known yet after -wait. Sending a change again under the same
-request gives the first answer. hash prints the form in which a contract holds
a customer's key. The operator's key is taken from ENDIVEDECK_OPERATOR_KEY.

Example: endivedeck contract -replaces 0 put examples/willow/contract.json

`
}

func (c *contracts) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Int64Var(&c.replaces, "replaces", -1, "the `version` that the change replaces, 0 for a new customer")
	f.StringVar(&c.request, "request", "", "the change's `id`; the same id gives the same answer")
	f.DurationVar(&c.wait, "wait", 15*time.Second, "how long to wait until the change is in force everywhere")
}

func (c *contracts) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb := f.Arg(0)
	switch {
	case verb == "list" && f.NArg() == 1:
		return c.list(ctx)
	case verb == "get" && f.NArg() == 2:
		return c.get(ctx, f.Arg(1))
	case verb == "put" && f.NArg() == 2 && c.replaces >= 0:
		return c.put(ctx, f.Arg(1))
	case verb == "retire" && f.NArg() == 2 && c.replaces >= 0:
		return c.change(ctx, http.MethodDelete, f.Arg(1), nil)
	case verb == "hash" && f.NArg() == 2:
		fmt.Fprintln(c.out, contract.HashKey(f.Arg(1)))
		return subcommands.ExitSuccess
	}
	f.Usage()
	return subcommands.ExitUsageError
}

func (c *contracts) list(ctx context.Context) subcommands.ExitStatus {
	operated, err := c.ask(ctx, http.MethodGet, "/v1/contracts", nil, nil)
	if err != nil {
		return failed(err)
	}
	if c.json {
		c.writeJSON(c.out, operated)
		return subcommands.ExitSuccess
	}
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CUSTOMER\tVERSION\tREVISION\tSHARE\tMODELS\tSERVICES")
	for _, a := range operated.Contracts {
		fmt.Fprintf(table, "%s\t%d\t%d\t%g\t%v\t%v\n", a.Contract.Customer, a.Version, a.Revision, a.Contract.Share, a.Contract.Models, a.Contract.Services)
	}
	_ = table.Flush()
	return subcommands.ExitSuccess
}

func (c *contracts) get(ctx context.Context, customer string) subcommands.ExitStatus {
	operated, err := c.ask(ctx, http.MethodGet, "/v1/contracts/"+customer, nil, nil)
	if err != nil {
		return failed(err)
	}
	c.writeJSON(c.out, operated)
	return subcommands.ExitSuccess
}

func (c *contracts) put(ctx context.Context, file string) subcommands.ExitStatus {
	var wanted contract.Contract
	if err := settings.Load(file, &wanted); err != nil {
		return failed(err)
	}
	if err := wanted.Check(); err != nil {
		return failed(fault.New(fault.Malformed, fault.No, "%s: %s", file, fault.From(err).Text))
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return failed(err)
	}
	return c.change(ctx, http.MethodPut, wanted.Customer, text)
}

func (c *contracts) change(ctx context.Context, method, customer string, body []byte) subcommands.ExitStatus {
	if c.request == "" {
		c.request = newRequest()
	}
	query := url.Values{}
	query.Set("replaces", strconv.FormatInt(c.replaces, 10))
	query.Set("request", c.request)
	query.Set("wait", c.wait.String())
	operated, err := c.ask(ctx, method, "/v1/contracts/"+customer, query, body)
	if fault.Of(err) == fault.Conflict && operated.Contract != nil {
		fmt.Fprintf(c.out, "%s: version %d stands\n", customer, operated.Contract.Version)
	}
	if err != nil {
		return failed(err)
	}
	c.print(operated)
	if operated.State == control.StatePending {
		return ExitPending
	}
	return subcommands.ExitSuccess
}

func (c *contracts) print(operated message.Operated) {
	if c.json {
		c.writeJSON(c.out, operated)
		return
	}
	a := operated.Contract
	fmt.Fprintf(c.out, "%s: version %d %s\n", a.Contract.Customer, a.Version, operated.State)
	for _, holder := range operated.Behind {
		fmt.Fprintf(c.out, "  waiting for %s\n", holder)
	}
}

// newRequest names a change, so that asking several control instances can't
// carry it out twice.
func newRequest() string {
	var text [8]byte
	_, _ = rand.Read(text[:])
	return "op-" + hex.EncodeToString(text[:])
}
