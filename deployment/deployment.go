// Package deployment runs a whole small deployment in one process on loopback:
// control instances, entries, and sidecars with stand-ins for what they stand
// beside. The demo and tests use it.
package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/control"
	"endivedeck.example/entry"
	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/kernel"
	"endivedeck.example/keys"
	"endivedeck.example/message"
	"endivedeck.example/settings"
	"endivedeck.example/sidecar"
	"endivedeck.example/standin"
)

const (
	workers    = 128
	readyPause = 50 * time.Millisecond
	stopTime   = 20 * time.Second
)

type (
	// Plan says what a deployment consists of.
	Plan struct {
		Name     string
		Region   string
		Domains  []string // failure domains, which instances are spread over
		Control  int
		Entries  int
		Engines  int
		Model    string
		Services int
		Service  string
		Shape    standin.Shape
		Fencing  bool
		LoadTime time.Duration
		Folder   string // for keys and data
		Log      io.Writer
	}

	// Deployment is a running deployment. Create it with New.
	Deployment struct {
		Plan      Plan
		Key       string // of the operator
		Operators []string
		Callers   []string // callers' addresses of the entries
		Engines   []*standin.Engine
		Ledgers   []*standin.Ledger
		Sidecars  []*kernel.Kernel
		Entries   []*kernel.Kernel
		Controls  []*kernel.Kernel

		authority *keys.Authority
		founders  []control.Founder
		addresses []string // of control, for other processes
	}
)

// New starts all of the plan's processes and returns once they serve.
func New(ctx context.Context, plan Plan) (*Deployment, error) {
	d := &Deployment{Plan: plan, Key: plan.Name + "-operator"}
	authority, err := keys.NewAuthority(filepath.Join(plan.Folder, "keys"))
	if err != nil {
		return nil, err
	}
	d.authority = authority
	starts := []func(context.Context) error{d.startControl, d.startBackends, d.startEntries, d.awaitReady}
	for _, start := range starts {
		if err := start(ctx); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, nil
}

// Stop stops all processes gracefully, callers' side first.
func (d *Deployment) Stop() error {
	var first error
	for _, kernels := range [][]*kernel.Kernel{d.Entries, d.Sidecars, d.Controls} {
		for _, k := range kernels {
			if err := k.Stop(); err != nil && first == nil {
				first = err
			}
		}
	}
	for _, e := range d.Engines {
		e.Stop()
	}
	for _, l := range d.Ledgers {
		l.Stop()
	}
	return first
}

// Put puts a contract and returns once it is in force everywhere.
func (d *Deployment) Put(ctx context.Context, c contract.Contract, replaces uint64) (message.Operated, error) {
	ask := message.Operate{
		Kind:     control.OperatePutContract,
		Wait:     stopTime,
		Contract: &contract.Change{Customer: c.Customer, Replaces: replaces, Contract: &c},
	}
	return d.Operate(ctx, ask)
}

// Operate carries out an operator's request at some control instance, trying
// others while none leads.
func (d *Deployment) Operate(ctx context.Context, ask message.Operate) (message.Operated, error) {
	for i := 0; ; i++ {
		role := d.Controls[i%len(d.Controls)].Role().(*control.Control)
		operated, err := role.Operate(ctx, ask)
		e := fault.From(err)
		again := e != nil && e.Kind == fault.Unavailable && e.Ran == fault.No
		if !again || !interval.Sleep(ctx, readyPause) {
			return operated, err
		}
	}
}

func (d *Deployment) startControl(ctx context.Context) error {
	for i := range d.Plan.Control {
		founder := control.Founder{Instance: d.name("control", i), Address: FreeAddress("udp")}
		d.founders = append(d.founders, founder)
		d.addresses = append(d.addresses, founder.Address)
	}
	for i, founder := range d.founders {
		section := control.DefaultSettings()
		section.Listen = founder.Address
		section.OperatorListen = "127.0.0.1:0"
		section.DataDir = filepath.Join(d.Plan.Folder, founder.Instance)
		section.Founders = d.founders
		section.OperatorKeys = []control.Operator{{Name: "operator", Hash: contract.HashKey(d.Key)}}
		k, err := d.start(ctx, "control", founder.Instance, i, section)
		if err != nil {
			return err
		}
		d.Controls = append(d.Controls, k)
		d.Operators = append(d.Operators, k.Role().(*control.Control).OperatorAddress())
	}
	return nil
}

func (d *Deployment) startBackends(ctx context.Context) error {
	for i := range d.Plan.Engines {
		e, err := standin.NewEngine(standin.EngineOptions{
			Address:  "127.0.0.1:0",
			Models:   []string{d.Plan.Model},
			Shape:    d.Plan.Shape,
			Fencing:  d.Plan.Fencing,
			LoadTime: d.Plan.LoadTime,
			Seed:     uint64(i + 1),
		})
		if err != nil {
			return err
		}
		d.Engines = append(d.Engines, e)
		section := d.sidecarSettings()
		section.Engine.Address = e.Address()
		if err := d.startSidecar(ctx, d.Plan.Model, i, section); err != nil {
			return err
		}
	}
	for i := range d.Plan.Services {
		l, err := standin.NewLedger(standin.LedgerOptions{Address: "127.0.0.1:0", Delay: time.Millisecond})
		if err != nil {
			return err
		}
		d.Ledgers = append(d.Ledgers, l)
		section := d.sidecarSettings()
		section.Service.Name = d.Plan.Service
		section.Service.Address = l.Address()
		section.Service.Health = "/healthz"
		if err := d.startSidecar(ctx, d.Plan.Service, i, section); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) sidecarSettings() sidecar.Settings {
	section := sidecar.DefaultSettings()
	section.Listen = FreeAddress("udp")
	section.Control = d.addresses
	return section
}

func (d *Deployment) startSidecar(ctx context.Context, kind string, i int, section sidecar.Settings) error {
	k, err := d.start(ctx, "sidecar", d.name(kind, i), i, section)
	if err != nil {
		return err
	}
	d.Sidecars = append(d.Sidecars, k)
	return nil
}

func (d *Deployment) startEntries(ctx context.Context) error {
	for i := range d.Plan.Entries {
		section := entry.DefaultSettings()
		section.Listen = "127.0.0.1:0"
		section.Control = d.addresses
		k, err := d.start(ctx, "entry", d.name("entry", i), i, section)
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, k)
		d.Callers = append(d.Callers, k.Role().(*entry.Entry).Address())
	}
	return nil
}

func (d *Deployment) start(ctx context.Context, role, instance string, i int, section any) (*kernel.Kernel, error) {
	files, err := d.authority.Issue(instance)
	if err != nil {
		return nil, err
	}
	process := kernel.DefaultProcess()
	process.Role = role
	process.Instance = instance
	process.Region = d.Plan.Region
	process.FailureDomain = d.Plan.Domains[i%len(d.Plan.Domains)]
	process.Workers = workers
	process.StopTime = settings.Duration(stopTime)
	process.Sections = map[string]settings.Section{}
	for name, value := range map[string]any{role: section, "keys": files} {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		process.Sections[name] = settings.Section{File: instance, Path: name, Line: 1, Raw: raw}
	}
	k, err := kernel.New(process, d.Plan.Log)
	if err != nil {
		return nil, err
	}
	return k, k.Start(ctx)
}

// awaitReady waits until every entry serves and knows every backend server.
func (d *Deployment) awaitReady(ctx context.Context) error {
	for _, address := range d.Callers {
		for !Healthy(ctx, address) {
			if !interval.Sleep(ctx, readyPause) {
				return fault.New(fault.Deadline, fault.No, "%s: the entries didn't become ready", d.Plan.Name)
			}
		}
	}
	for {
		operated, err := d.Operate(ctx, message.Operate{Kind: control.OperateStatus})
		if err == nil && len(operated.Status.Backends) == len(d.Sidecars) && d.granted() {
			return nil
		}
		if !interval.Sleep(ctx, readyPause) {
			return fault.New(fault.Deadline, fault.No, "%s: the backend servers didn't become ready", d.Plan.Name)
		}
	}
}

func (d *Deployment) granted() bool {
	for _, k := range d.Entries {
		if k.Role().(*entry.Entry).Granted() < len(d.Sidecars) {
			return false
		}
	}
	return true
}

func (d *Deployment) name(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i+1) }

// Healthy reports whether the health check at an address answers that all is
// well.
func Healthy(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
