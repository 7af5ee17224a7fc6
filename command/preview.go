package command

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"endivedeck.example/fault"
	"endivedeck.example/internal/responses/head"
	"endivedeck.example/message"
	"endivedeck.example/placement"
	"endivedeck.example/relay"
)

const (
	previewTimeout = 5 * time.Second
	maxHeadBytes   = 1 << 20 // size of a file with the head of a request
)

func init() {
	Commands.Register("preview", func(out io.Writer) subcommands.Command { return &previewCommand{out: out} })
}

// previewCommand prints where a relay would send a request.
type previewCommand struct {
	out     io.Writer
	relay   string
	key     string
	file    string
	prompt  string
	tried   string
	left    time.Duration
	json    bool
	request message.PreviewRequest
}

func (c *previewCommand) Name() string { return "preview" }
func (c *previewCommand) Synopsis() string {
	return "print where a relay would send a request now, and why, without sending it"
}

func (c *previewCommand) Usage() string {
	return `endivedeck preview [FLAGS]

Print where a relay would send a request now, and why, without sending it. The
command explain tells what became of a request that was sent. The request is the
head of one in a file, as a caller sends it, or described by flags, which go
before what the file says. The operator's key is read from
ENDIVEDECK_OPERATOR_KEY; the relay needs its hash in operatorKeys.

Example: endivedeck preview -relay 10.1.0.35:8140 -host crews.example -path /a/ -prompt 5c1e:2520,e440:700

`
}

func (c *previewCommand) SetFlags(f *flag.FlagSet) {
	c.key = os.Getenv(keyEnv)
	f.StringVar(&c.relay, "relay", "127.0.0.1:7480", "`address` of the relay's readiness check")
	f.StringVar(&c.file, "file", "", "`file` with the head of a request")
	f.StringVar(&c.request.Host, "host", "", "host of the request")
	f.StringVar(&c.request.Path, "path", "", "path of the request")
	f.StringVar(&c.request.Team, "team", "", "`name` of the team, in place of a key")
	f.StringVar(&c.prompt, "prompt", "", "parts of the prompt in order, as comma-separated `NAME:TOKENS`")
	f.IntVar(&c.request.Tokens, "tokens", 0, "tokens of the whole prompt, if not those of its parts")
	f.IntVar(&c.request.Answer, "answer", 0, "most tokens of the answer")
	f.DurationVar(&c.left, "left", 0, "time until the caller needs the whole answer, if less than the route's")
	f.StringVar(&c.tried, "tried", "", "comma-separated `ids` of backend servers that have had the request")
	f.BoolVar(&c.request.Returned, "returned", false, "the caller was refused before")
	f.BoolVar(&c.json, "json", false, "print the response as JSON")
}

func (c *previewCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.file == "" && (c.request.Host == "" || c.request.Path == "") {
		f.Usage()
		return subcommands.ExitUsageError
	}
	if err := c.readRequest(); err != nil {
		return reportError(err)
	}
	response, err := c.ask(ctx)
	if err != nil {
		return reportError(err)
	}
	if c.json {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(response); err != nil {
			return reportError(err)
		}
		return subcommands.ExitSuccess
	}
	writePreview(c.out, response)
	return subcommands.ExitSuccess
}

// readRequest completes the request from the file and the flags.
func (c *previewCommand) readRequest() error {
	if c.file != "" {
		head, err := readHead(c.file)
		if err != nil {
			return err
		}
		c.request.Header = head.Header
		if c.request.Host == "" {
			c.request.Host = head.Host
		}
		if c.request.Path == "" {
			c.request.Path = head.RequestURI
		}
	}
	c.request.LeftMs = int(c.left.Milliseconds())
	if c.tried != "" {
		c.request.Tried = strings.Split(c.tried, ",")
	}
	if c.prompt == "" {
		return nil
	}
	for item := range strings.SplitSeq(c.prompt, ",") {
		name, count, _ := strings.Cut(item, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil || tokens < 0 || name == "" {
			return fault.New(fault.Malformed, fault.NotRun, "-prompt: want NAME:TOKENS, got %q", item)
		}
		c.request.Prompt = append(c.request.Prompt, message.PromptPart{Name: name, Tokens: tokens})
	}
	return nil
}

// readHead reads the head of a request. A file needn't end with the empty line.
func readHead(file string) (*http.Request, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fault.New(fault.NotFound, fault.NotRun, "%v", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxHeadBytes))
	if err != nil {
		return nil, fault.New(fault.Malformed, fault.NotRun, "%s: %v", file, err)
	}
	text = append(bytes.TrimRight(text, "\r\n"), "\r\n\r\n"...)
	head, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		return nil, fault.New(fault.Malformed, fault.NotRun, "%s: not the head of a request: %v", file, err)
	}
	return head, nil
}

// ask sends the request to the relay.
func (c *previewCommand) ask(ctx context.Context) (message.PreviewResponse, error) {
	var response message.PreviewResponse
	body, err := json.Marshal(c.request)
	if err != nil {
		return response, fault.New(fault.Internal, fault.NotRun, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, previewTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.relay+relay.PreviewPath, bytes.NewReader(body))
	if err != nil {
		return response, fault.New(fault.Malformed, fault.NotRun, "%v", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	answer, err := newClient().Do(r)
	if err != nil {
		return response, fault.New(fault.Unavailable, fault.NotRun, "the relay can't be reached: %v", err)
	}
	defer answer.Body.Close()
	if err := head.CheckStatus(answer.StatusCode); err != nil {
		return response, fault.New(fault.Broken, fault.NotRun, "%s: %v", c.relay, err)
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes))
	if err != nil {
		return response, fault.New(fault.Broken, fault.NotRun, "%s: %v", c.relay, err)
	}
	if err := json.Unmarshal(text, &response); err != nil {
		return response, fault.New(fault.Broken, fault.NotRun, "%s serves no previews (status %s): it needs operatorKeys, and the address is that of its readiness check", c.relay, answer.Status)
	}
	return response, fault.WithStack(response.Error)
}

// writePreview prints a preview for people.
func writePreview(out io.Writer, r message.PreviewResponse) {
	fmt.Fprintf(out, "relay %s, version %d of the routes: route %s, service %s", r.Relay, r.Version, orNone(r.Route), orNone(r.Service))
	if r.Team != "" {
		fmt.Fprintf(out, ", team %s", r.Team)
	}
	fmt.Fprintln(out)
	p := r.Placement
	switch {
	case r.Refusal != nil:
		fmt.Fprintf(out, "refused (%s): %s\n", r.Refusal.Kind, r.Refusal.Message)
		if r.RetryMs > 0 {
			fmt.Fprintf(out, "the caller is asked to return after %.0f ms\n", r.RetryMs)
		}
	case p.Prefiller != "":
		fmt.Fprintf(out, "prefill at %s, then to %s", p.Prefiller, p.Runner)
	default:
		fmt.Fprintf(out, "to %s", p.Runner)
	}
	if r.Refusal == nil {
		if p.Source != "" {
			fmt.Fprintf(out, ", with shared parts from %s", p.Source)
		}
		if p.Late {
			fmt.Fprint(out, ", late")
		}
		fmt.Fprintf(out, ": begun after %.1f ms, first byte after %.1f ms\n", p.Queue, p.First)
	}
	if p != nil {
		writeServers(out, p.Servers)
	}
	if len(r.Leaving) > 0 {
		fmt.Fprintf(out, "take no new requests: %s\n", strings.Join(r.Leaving, ", "))
	}
}

func writeServers(out io.Writer, servers []placement.PreviewServer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVER\tSTAGE\tDOMAIN\tREQUESTS\tCHATS\tQUEUE\tCACHED\tMOVED\tPREFILL\tWAY\tFILL\tDECODE\tCOST\tERRORS\tPACE\tEXCLUDED")
	for _, s := range servers {
		pace := "-"
		if s.Pace != nil {
			pace = fmt.Sprintf("%d of %d, ratio %.1f", s.Pace.Running, s.Pace.Share, s.Pace.Ratio)
		}
		excluded := s.Excluded
		if s.Back > 0 {
			excluded += fmt.Sprintf(", for %.0f ms", s.Back)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1f\t%d\t%d\t%.1f\t%.0f\t%.2f\t%.1f\t%.1f\t%.2f\t%s\t%s\n",
			s.ID, orNone(string(s.Stage)), orNone(s.Domain), s.Active, s.Chats, s.Queue, s.Cached, s.Moved, s.Prefill, s.Way, s.Fill, s.Decode, s.Cost, s.Errors, pace, orNone(excluded))
	}
	_ = w.Flush() // out reports no errors that the caller could act on
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
