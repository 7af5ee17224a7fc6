package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/kernel"
	"endivedeck.example/keys"
	"endivedeck.example/member"
	"endivedeck.example/message"
	"endivedeck.example/wire"
	"endivedeck.example/wire/quicline"
)

func init() {
	Commands.Register("load", func(out io.Writer) subcommands.Command { return &load{out: out} })
}

type (
	// load runs many light holders of the configuration in one process, to
	// measure what they cost control.
	load struct {
		out     io.Writer
		control string
		keys    keys.Files
		count   int
		kind    string
		metrics string
	}

	// lightHolder holds the configuration and does nothing with it.
	lightHolder struct {
		name     string
		kind     string
		revision atomic.Uint64
		fleet    atomic.Pointer[message.FleetVersion]
		view     *contract.View
		renewals *atomic.Int64
	}
)

var _ member.Holder = (*lightHolder)(nil)

func (c *load) Name() string { return "load" }
func (c *load) Synopsis() string {
	return "run many light holders of the configuration, to measure control"
}

func (c *load) Usage() string {
	return `endivedeck load [FLAGS]

Run light holders of the configuration in this process until SIGTERM, each with
its own connection, and print once a second how many hold a lease and how often
they renewed. Only against loopback.

Example: endivedeck load -holders 100 -control 127.0.0.1:7101 -authority keys/authority.pem -certificate keys/load.pem -key keys/load.key

`
}

func (c *load) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.control, "control", "", "`addresses` of control instances, with commas between them")
	f.StringVar(&c.keys.Authority, "authority", "", "the authority's `file`")
	f.StringVar(&c.keys.Certificate, "certificate", "", "the certificate's `file`")
	f.StringVar(&c.keys.Key, "key", "", "the private key's `file`")
	f.IntVar(&c.count, "holders", 10, "how many")
	f.StringVar(&c.metrics, "metrics", "", "the `address` of the metrics listener")
	f.StringVar(&c.kind, "kind", "entry", "entry or sidecar")
}

func (c *load) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.control == "" || f.NArg() > 0 || c.kind != "entry" && c.kind != "sidecar" {
		f.Usage()
		return subcommands.ExitUsageError
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	chain, err := keys.Load(c.keys)
	if err != nil {
		return failed(err)
	}
	addresses := strings.Split(c.control, ",")
	for _, address := range addresses {
		if !strings.HasPrefix(address, "127.0.0.1:") {
			return failed(fault.New(fault.Malformed, fault.No, "%s isn't a loopback address", address))
		}
	}
	if c.metrics != "" {
		g, err := gate.New(c.metrics, kernel.MetricsHandler(metrics.NewSet()), gate.DefaultLimits(), nil)
		if err != nil {
			return failed(err)
		}
		defer g.Close()
	}
	var renewals atomic.Int64
	members := make([]*member.Client, c.count)
	for i := range members {
		members[i] = c.hold(i, addresses, chain, &renewals)
	}
	c.report(ctx, members, &renewals)
	return subcommands.ExitSuccess
}

func (c *load) hold(i int, addresses []string, chain *keys.Chain, renewals *atomic.Int64) *member.Client {
	h := &lightHolder{
		name:     fmt.Sprintf("load-%d", i),
		kind:     c.kind,
		view:     contract.NewView(),
		renewals: renewals,
	}
	h.fleet.Store(&message.FleetVersion{})
	return member.New(member.Options{
		ID:               h.name,
		Incarnation:      h.name,
		Kind:             c.kind,
		ControlAddresses: addresses,
		Client:           wire.NewClient(quicline.New(chain, logrus.NewEntry(logrus.New()))),
		Holder:           h,
		Log:              logrus.NewEntry(logrus.New()),
	})
}

func (c *load) report(ctx context.Context, members []*member.Client, renewals *atomic.Int64) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		held := 0
		for _, m := range members {
			if m.HasLease() {
				held++
			}
		}
		fmt.Fprintf(c.out, "%d of %d hold a lease, %d renewals\n", held, len(members), renewals.Swap(0))
	}
}

// FillRenewal implements member.Holder.
func (h *lightHolder) FillRenewal(ask *message.Renew) {
	ask.Revision = h.revision.Load()
	if h.kind == "entry" {
		ask.Fleet = *h.fleet.Load()
		return
	}
	ask.Backend = &message.Backend{
		Name:        h.name,
		Incarnation: h.name,
		Address:     "127.0.0.1:9",
		Kind:        message.KindEngine,
		Models:      []string{"load"},
	}
}

// ApplyRenewal implements member.Holder.
func (h *lightHolder) ApplyRenewal(answer message.Renewed) {
	h.renewals.Add(1)
	h.view.Advance(answer.Revision, answer.Contracts)
	h.revision.Store(max(h.revision.Load(), answer.Revision))
	if answer.Fleet != nil {
		h.fleet.Store(&answer.Fleet.Version)
	}
}
