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
	Commands.Register("load", func(out io.Writer) subcommands.Command { return &loadCommand{out: out} })
}

type (
	// loadCommand runs many holders of configuration leases in one process, to
	// measure the load that they put on control.
	loadCommand struct {
		out     io.Writer
		control string
		keys    keys.Files
		count   int
		kind    string
		metrics string
	}

	// loadHolder holds a configuration lease but does not use the configuration.
	loadHolder struct {
		name     string
		kind     string
		revision atomic.Uint64
		fleet    atomic.Pointer[message.FleetVersion]
		view     *contract.View
		renewals *atomic.Int64
	}
)

var _ member.Holder = (*loadHolder)(nil)

func (c *loadCommand) Name() string { return "load" }
func (c *loadCommand) Synopsis() string {
	return "run many holders of configuration leases, to measure control"
}

func (c *loadCommand) Usage() string {
	return `endivedeck load [FLAGS]

Run holders of configuration leases in this process until SIGTERM, each with its
own connection. Once a second, print how many have a lease and the number of
renewals since the last line. Control must be on loopback.

Example: endivedeck load -holders 100 -control 127.0.0.1:7101 -authority keys/authority.pem -certificate keys/load.pem -key keys/load.key

`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.control, "control", "", "comma-separated `addresses` of control instances")
	f.StringVar(&c.keys.Authority, "authority", "", "certificate `file` of the authority")
	f.StringVar(&c.keys.Certificate, "certificate", "", "certificate `file` of the holders")
	f.StringVar(&c.keys.Key, "key", "", "private key `file` of the holders")
	f.IntVar(&c.count, "holders", 10, "number of holders")
	f.StringVar(&c.metrics, "metrics", "", "the `address` to serve metrics on; empty for none")
	f.StringVar(&c.kind, "kind", "entry", "role of the holders: entry or sidecar")
}

func reportReloadError(err error) { reportError(err) }

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.control == "" || f.NArg() > 0 || c.kind != "entry" && c.kind != "sidecar" {
		f.Usage()
		return subcommands.ExitUsageError
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	credentials, err := keys.Load(c.keys, reportReloadError)
	if err != nil {
		return reportError(err)
	}
	addresses := strings.Split(c.control, ",")
	for _, address := range addresses {
		if !strings.HasPrefix(address, "127.0.0.1:") {
			return reportError(fault.New(fault.Malformed, fault.NotRun, "control: want addresses in 127.0.0.1, got %q", address))
		}
	}
	if c.metrics != "" {
		server, err := gate.New(c.metrics, kernel.MetricsHandler(metrics.NewSet()), gate.DefaultLimits(), nil)
		if err != nil {
			return reportError(err)
		}
		defer server.Close()
	}
	var renewals atomic.Int64
	clients := make([]*member.Client, c.count)
	for i := range clients {
		clients[i] = c.startHolder(i, addresses, credentials, &renewals)
	}
	c.printLeases(ctx, clients, &renewals)
	return subcommands.ExitSuccess
}

func (c *loadCommand) startHolder(i int, addresses []string, credentials *keys.Credentials, renewals *atomic.Int64) *member.Client {
	h := &loadHolder{
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
		Client:           wire.NewClient(quicline.New(credentials, logrus.NewEntry(logrus.New()))),
		Holder:           h,
		Log:              logrus.NewEntry(logrus.New()),
	})
}

func (c *loadCommand) printLeases(ctx context.Context, clients []*member.Client, renewals *atomic.Int64) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		leases := 0
		for _, client := range clients {
			if client.HasLease() {
				leases++
			}
		}
		fmt.Fprintf(c.out, "%d of %d holders have a lease, %d renewals\n", leases, len(clients), renewals.Swap(0))
	}
}

// FillRenewal implements member.Holder.
func (h *loadHolder) FillRenewal(request *message.RenewRequest) {
	request.Revision = h.revision.Load()
	if h.kind == "entry" {
		request.FleetVersion = *h.fleet.Load()
		return
	}
	request.Backend = &message.Backend{
		Name:        h.name,
		Incarnation: h.name,
		Address:     "127.0.0.1:9",
		Kind:        message.KindEngine,
		Models:      []string{"load"},
	}
}

// ApplyRenewal implements member.Holder.
func (h *loadHolder) ApplyRenewal(response message.RenewResponse) {
	h.renewals.Add(1)
	h.view.Advance(response.Revision, response.Contracts)
	h.revision.Store(max(h.revision.Load(), response.Revision))
	if response.Fleet != nil {
		h.fleet.Store(&response.Fleet.Version)
	}
}
