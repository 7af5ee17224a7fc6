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

const maxLineBytes = 1 << 20

func init() {
	Commands.Register("explain", func(out io.Writer) subcommands.Command { return &explainCommand{out: out} })
}

type (
	// explainCommand prints the log lines about one request.
	explainCommand struct{ out io.Writer }

	// logLine is a log line about the request.
	logLine struct {
		time     string
		instance string
		message  string
		fields   string
	}
)

func (c *explainCommand) Name() string           { return "explain" }
func (c *explainCommand) Synopsis() string       { return "print the log lines about a request" }
func (c *explainCommand) SetFlags(*flag.FlagSet) {}

func (c *explainCommand) Usage() string {
	return "endivedeck explain REQUEST LOGFILE...\n\nPrint the log lines about a request in the order of their times. They show which\ndecisions were made and why. The request's id is in the response's header\nEndivedeck-Request.\n\nExample: endivedeck explain req-00112233 data/willow/log/*.log\n\n"
}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	var lines []logLine
	for _, file := range f.Args()[1:] {
		found, err := findLines(f.Arg(0), file)
		if err != nil {
			return reportError(err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return reportError(fault.New(fault.NotFound, fault.NotRun, "no log line has request %s", f.Arg(0)))
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	for _, line := range lines {
		fmt.Fprintf(c.out, "%s %s: %s\n    %s\n", line.time, line.instance, line.message, line.fields)
	}
	return subcommands.ExitSuccess
}

func findLines(request, file string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fault.New(fault.NotFound, fault.NotRun, "%v", err)
	}
	defer f.Close()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes(), &fields) != nil || fields["request"] != request {
			continue
		}
		lines = append(lines, parseLine(fields))
	}
	return lines, scanner.Err()
}

func parseLine(fields map[string]any) logLine {
	line := logLine{
		time:     fmt.Sprint(fields["time"]),
		instance: fmt.Sprint(fields["instance"]),
		message:  fmt.Sprint(fields["msg"]),
	}
	for _, key := range []string{"time", "instance", "msg", "request", "level", "role", "domain"} {
		delete(fields, key)
	}
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		pairs = append(pairs, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	line.fields = strings.Join(pairs, " ")
	return line
}
