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
	Commands.Register("contract", func(out io.Writer) subcommands.Command { return &contractCommand{out: out} })
}

// contractCommand puts, gets, lists and retires contracts.
type contractCommand struct {
	operatorClient
	out       io.Writer
	replaces  int64
	requestID string
	wait      time.Duration
}

func (c *contractCommand) Name() string     { return "contract" }
func (c *contractCommand) Synopsis() string { return "put, get, list and retire contracts" }

func (c *contractCommand) Usage() string {
	return `endivedeck contract [FLAGS] put FILE | get CUSTOMER | list | retire CUSTOMER | hash KEY

put and retire require the version that they replace (-replaces, 0 for a new
customer). They wait until the change is in force everywhere; if that isn't
known after -wait, the exit code is 4. A change that is sent again with the same
-request is not run again and gets the first response. hash prints the hash of a
customer's API key, as used in contracts. The operator's API key is read from
ENDIVEDECK_OPERATOR_KEY.

Example: endivedeck contract -replaces 0 put examples/willow/contract.jsonc

`
}

func (c *contractCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Int64Var(&c.replaces, "replaces", -1, "the `version` that the change replaces, 0 for a new customer")
	f.StringVar(&c.requestID, "request", "", "request `id`; a request with the same id is not run again")
	f.DurationVar(&c.wait, "wait", 15*time.Second, "time limit for the change to come into force everywhere")
}

func (c *contractCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	action := f.Arg(0)
	switch {
	case action == "list" && f.NArg() == 1:
		return c.list(ctx)
	case action == "get" && f.NArg() == 2:
		return c.get(ctx, f.Arg(1))
	case action == "put" && f.NArg() == 2 && c.replaces >= 0:
		return c.put(ctx, f.Arg(1))
	case action == "retire" && f.NArg() == 2 && c.replaces >= 0:
		return c.change(ctx, http.MethodDelete, f.Arg(1), nil)
	case action == "hash" && f.NArg() == 2:
		fmt.Fprintln(c.out, contract.HashKey(f.Arg(1)))
		return subcommands.ExitSuccess
	}
	f.Usage()
	return subcommands.ExitUsageError
}

func (c *contractCommand) list(ctx context.Context) subcommands.ExitStatus {
	result, err := c.send(ctx, http.MethodGet, "/v1/contracts", nil, nil)
	if err != nil {
		return reportError(err)
	}
	if c.json {
		c.writeJSON(c.out, result)
		return subcommands.ExitSuccess
	}
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CUSTOMER\tVERSION\tREVISION\tSHARE\tMODELS\tSERVICES")
	for _, accepted := range result.Contracts {
		fmt.Fprintf(table, "%s\t%d\t%d\t%g\t%v\t%v\n", accepted.Contract.Customer, accepted.Version, accepted.Revision, accepted.Contract.Share, accepted.Contract.Models, accepted.Contract.Services)
	}
	_ = table.Flush()
	return subcommands.ExitSuccess
}

func (c *contractCommand) get(ctx context.Context, customer string) subcommands.ExitStatus {
	result, err := c.send(ctx, http.MethodGet, "/v1/contracts/"+customer, nil, nil)
	if err != nil {
		return reportError(err)
	}
	c.writeJSON(c.out, result)
	return subcommands.ExitSuccess
}

func (c *contractCommand) put(ctx context.Context, file string) subcommands.ExitStatus {
	var parsed contract.Contract
	if err := settings.Load(file, &parsed); err != nil {
		return reportError(err)
	}
	if err := parsed.Check(); err != nil {
		return reportError(fault.New(fault.Malformed, fault.NotRun, "%s: %s", file, fault.FromError(err).Message))
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return reportError(err)
	}
	return c.change(ctx, http.MethodPut, parsed.Customer, text)
}

func (c *contractCommand) change(ctx context.Context, method, customer string, body []byte) subcommands.ExitStatus {
	if c.requestID == "" {
		c.requestID = newRequestID()
	}
	query := url.Values{}
	query.Set("replaces", strconv.FormatInt(c.replaces, 10))
	query.Set("request", c.requestID)
	query.Set("wait", c.wait.String())
	result, err := c.send(ctx, method, "/v1/contracts/"+customer, query, body)
	if fault.KindOf(err) == fault.Conflict && result.Contract != nil {
		fmt.Fprintf(c.out, "%s: the current version is %d\n", customer, result.Contract.Version)
	}
	if err != nil {
		return reportError(err)
	}
	c.print(result)
	if result.State == control.StatePending {
		return ExitPending
	}
	return subcommands.ExitSuccess
}

func (c *contractCommand) print(result message.OperateResponse) {
	if c.json {
		c.writeJSON(c.out, result)
		return
	}
	accepted := result.Contract
	fmt.Fprintf(c.out, "%s: version %d %s\n", accepted.Contract.Customer, accepted.Version, result.State)
	for _, holder := range result.OutdatedHolders {
		fmt.Fprintf(c.out, "  waiting for %s\n", holder)
	}
}

// newRequestID returns a random request ID, by which control recognizes a change
// that is sent to several of its instances and runs it only once.
func newRequestID() string {
	var text [8]byte
	_, _ = rand.Read(text[:])
	return "op-" + hex.EncodeToString(text[:])
}
