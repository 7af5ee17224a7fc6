package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"endivedeck.example/standin"
)

func init() {
	Commands.Register("standin", func(out io.Writer) subcommands.Command {
		return &standinCommand{out: out, spec: standin.DefaultEngineSpec()}
	})
}

// standinCommand runs a stand-in for an engine or an order service.
type standinCommand struct {
	out                  io.Writer
	address              string
	models               string
	spec                 standin.EngineSpec
	fencing              bool
	loadLag              time.Duration
	eventLag             time.Duration
	eventLossRate        float64
	lineFaultRate        float64
	changeTime           time.Duration
	weightBytes          float64
	weightBytesPerSecond float64
	delay                time.Duration
	dedupe               bool
}

func (c *standinCommand) Name() string     { return "standin" }
func (c *standinCommand) Synopsis() string { return "run a stand-in for an engine or an order service" }

func (c *standinCommand) Usage() string {
	return `endivedeck standin [FLAGS] engine|ledger

Run a stand-in for a model engine or an order service until SIGTERM or SIGINT.

Example: endivedeck standin -listen 127.0.0.1:7301 -models crew-assist engine

`
}

func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "listen", "127.0.0.1:0", "the `address` to listen on")
	f.StringVar(&c.models, "models", "crew-assist", "comma-separated models of the engine")
	f.IntVar(&c.spec.Slots, "slots", c.spec.Slots, "requests that the engine can run concurrently")
	f.IntVar(&c.spec.Pieces, "pieces", c.spec.Pieces, "number of KV cache blocks")
	f.IntVar(&c.spec.PieceTokens, "piece-tokens", c.spec.PieceTokens, "tokens per KV cache block")
	f.Float64Var(&c.spec.PrefillRate, "prefill", c.spec.PrefillRate, "prompt tokens processed per second")
	f.DurationVar(&c.spec.StepTime, "step", c.spec.StepTime, "duration of a decoding step")
	f.BoolVar(&c.fencing, "fencing", false, "reject changes whose fencing token isn't newer than the last one")
	f.DurationVar(&c.loadLag, "load-lag", 200*time.Millisecond, "age of load reports")
	f.DurationVar(&c.eventLag, "event-lag", 500*time.Millisecond, "delay of cache events")
	f.Float64Var(&c.eventLossRate, "event-gap", 0.05, "fraction of cache events that are lost")
	f.Float64Var(&c.lineFaultRate, "cross", 0, "fraction of lines that are sent twice or after a line of another stream")
	f.DurationVar(&c.changeTime, "load-time", 3*time.Second, "time to switch to another role, and to load a model if -weights is 0")
	f.Float64Var(&c.weightBytes, "weights", 0, "size of a model in bytes")
	f.Float64Var(&c.weightBytesPerSecond, "store", 4e9, "throughput of the weight store in bytes per second")
	f.DurationVar(&c.delay, "delay", 5*time.Millisecond, "ledger: time until the response to an order")
	f.BoolVar(&c.dedupe, "dedupe", false, "ledger: don't run an order with a repeated Idempotency-Key again")
}

func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	switch f.Arg(0) {
	case "engine":
		return c.engine(ctx)
	case "ledger":
		return c.orderService(ctx)
	}
	f.Usage()
	return subcommands.ExitUsageError
}

func (c *standinCommand) engine(ctx context.Context) subcommands.ExitStatus {
	e, err := standin.NewEngine(standin.EngineOptions{
		Address:              c.address,
		Models:               strings.Split(c.models, ","),
		Spec:                 c.spec,
		Fencing:              c.fencing,
		LoadLag:              c.loadLag,
		EventLag:             c.eventLag,
		EventLossRate:        c.eventLossRate,
		ChangeTime:           c.changeTime,
		WeightBytes:          c.weightBytes,
		WeightBytesPerSecond: c.weightBytesPerSecond,
		LineFaultRate:        c.lineFaultRate,
		Seed:                 1,
	})
	if err != nil {
		return reportError(err)
	}
	fmt.Fprintf(c.out, "engine on %s\n", e.Address())
	<-ctx.Done()
	e.Stop()
	return subcommands.ExitSuccess
}

func (c *standinCommand) orderService(ctx context.Context) subcommands.ExitStatus {
	service, err := standin.NewOrderService(standin.OrderServiceOptions{Address: c.address, Delay: c.delay, Dedupe: c.dedupe})
	if err != nil {
		return reportError(err)
	}
	fmt.Fprintf(c.out, "ledger on %s\n", service.Address())
	<-ctx.Done()
	service.Stop()
	return subcommands.ExitSuccess
}
