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
		return &standins{out: out, shape: standin.DefaultShape()}
	})
}

// standins runs a stand-in for a served system.
type standins struct {
	out     io.Writer
	address string
	models  string
	shape   standin.Shape
	fencing bool
	lag     time.Duration
	late    time.Duration
	gap     float64
	cross   float64
	load    time.Duration
	weights float64
	store   float64
	delay   time.Duration
	dedupe  bool
}

func (c *standins) Name() string     { return "standin" }
func (c *standins) Synopsis() string { return "run a stand-in for an engine or an order service" }

func (c *standins) Usage() string {
	return `endivedeck standin [FLAGS] engine|ledger

Run a stand-in for a model engine or for an order service until SIGTERM.

Example: endivedeck standin -listen 127.0.0.1:7301 -models crew-assist engine

`
}

func (c *standins) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "listen", "127.0.0.1:0", "the `address` to listen on")
	f.StringVar(&c.models, "models", "crew-assist", "models of the engine, with commas between them")
	f.IntVar(&c.shape.Slots, "slots", c.shape.Slots, "requests that the engine runs at once")
	f.IntVar(&c.shape.Pieces, "pieces", c.shape.Pieces, "pieces of KV memory")
	f.IntVar(&c.shape.PieceTokens, "piece-tokens", c.shape.PieceTokens, "tokens in a piece")
	f.Float64Var(&c.shape.PrefillRate, "prefill", c.shape.PrefillRate, "prompt tokens a second")
	f.DurationVar(&c.shape.StepTime, "step", c.shape.StepTime, "time of one decoding step")
	f.BoolVar(&c.fencing, "fencing", false, "refuse orders with an old fencing number")
	f.DurationVar(&c.lag, "load-lag", 200*time.Millisecond, "how old load reports are")
	f.DurationVar(&c.late, "event-lag", 500*time.Millisecond, "how late cache events are published")
	f.Float64Var(&c.gap, "event-gap", 0.05, "the part of cache events that is lost")
	f.Float64Var(&c.cross, "cross", 0, "the part of lines that comes doubled and crossed")
	f.DurationVar(&c.load, "load-time", 3*time.Second, "to take another role, and to load a model where -weights is 0")
	f.Float64Var(&c.weights, "weights", 0, "bytes of a model")
	f.Float64Var(&c.store, "store", 4e9, "bytes a second that the weight store gives")
	f.DurationVar(&c.delay, "delay", 5*time.Millisecond, "ledger: time before an order is answered")
	f.BoolVar(&c.dedupe, "dedupe", false, "ledger: answer a repeated Idempotency-Key from memory")
}

func (c *standins) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	switch f.Arg(0) {
	case "engine":
		return c.engine(ctx)
	case "ledger":
		return c.ledger(ctx)
	}
	f.Usage()
	return subcommands.ExitUsageError
}

func (c *standins) engine(ctx context.Context) subcommands.ExitStatus {
	e, err := standin.NewEngine(standin.EngineOptions{
		Address:  c.address,
		Models:   strings.Split(c.models, ","),
		Shape:    c.shape,
		Fencing:  c.fencing,
		LoadLag:  c.lag,
		EventLag: c.late,
		EventGap: c.gap,
		LoadTime: c.load,
		Weights:  c.weights,
		Store:    c.store,
		Cross:    c.cross,
		Seed:     1,
	})
	if err != nil {
		return failed(err)
	}
	fmt.Fprintf(c.out, "engine on %s\n", e.Address())
	<-ctx.Done()
	e.Stop()
	return subcommands.ExitSuccess
}

func (c *standins) ledger(ctx context.Context) subcommands.ExitStatus {
	l, err := standin.NewLedger(standin.LedgerOptions{Address: c.address, Delay: c.delay, Dedupe: c.dedupe})
	if err != nil {
		return failed(err)
	}
	fmt.Fprintf(c.out, "ledger on %s\n", l.Address())
	<-ctx.Done()
	l.Stop()
	return subcommands.ExitSuccess
}
