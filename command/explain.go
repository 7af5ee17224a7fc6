package command

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"endivedeck.example/fault"
)

const maxLogLine = 1 << 20

func init() {
	Commands.Register("explain", func(out io.Writer) subcommands.Command { return &explain{out: out} })
}

type (
	// explain tells the story of one request from log lines.
	explain struct{ out io.Writer }

	// logLine is one line of a log that is about the request.
	logLine struct {
		time     string
		instance string
		message  string
		rest     string
	}
)

func (c *explain) Name() string           { return "explain" }
func (c *explain) Synopsis() string       { return "tell what was decided about one request, from log lines" }
func (c *explain) SetFlags(*flag.FlagSet) {}

func (c *explain) Usage() string {
	return "endivedeck explain REQUEST LOGFILE...\n\nTell, in the order of time, what was decided about a request and why. Its id is\nin the answer's header Endivedeck-Request.\n\nExample: endivedeck explain req-00112233 data/willow/log/*.log\n\n"
}

func (c *explain) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	var lines []logLine
	for _, file := range f.Args()[1:] {
		found, err := linesAbout(f.Arg(0), file)
		if err != nil {
			return failed(err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return failed(fault.New(fault.NotFound, fault.No, "no line is about %s", f.Arg(0)))
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	for _, line := range lines {
		fmt.Fprintf(c.out, "%s %s: %s\n    %s\n", line.time, line.instance, line.message, line.rest)
	}
	return subcommands.ExitSuccess
}

func linesAbout(request, file string) ([]logLine, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, fault.New(fault.NotFound, fault.No, "%v", err)
	}
	defer opened.Close()
	var lines []logLine
	scanner := bufio.NewScanner(opened)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes(), &fields) != nil || fields["request"] != request {
			continue
		}
		lines = append(lines, readLine(fields))
	}
	return lines, scanner.Err()
}

func readLine(fields map[string]any) logLine {
	line := logLine{
		time:     fmt.Sprint(fields["time"]),
		instance: fmt.Sprint(fields["instance"]),
		message:  fmt.Sprint(fields["msg"]),
	}
	for _, known := range []string{"time", "instance", "msg", "request", "level", "role", "domain"} {
		delete(fields, known)
	}
	var rest []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		rest = append(rest, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	line.rest = strings.Join(rest, " ")
	return line
}
