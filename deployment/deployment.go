// Package deployment runs a small deployment in one process on loopback: control
// instances, entries, and sidecars with stand-ins for their engines and
// services. It is used by the demo and by tests.
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
	workers      = 128
	pollInterval = 50 * time.Millisecond
	stopTimeout  = 20 * time.Second
)

type (
	// Plan describes the processes of a deployment.
	Plan struct {
		Name           string
		Region         string
		FailureDomains []string // assigned to the instances in turn
		ControlCount   int      // control instances
		EntryCount     int
		EngineCount    int
		Model          string // served by each engine
		ServiceCount   int    // instances of the service
		ServiceName    string
		EngineSpec     standin.EngineSpec
		Fencing        bool          // engines refuse changes with an old fencing token
		ChangeTime     time.Duration // duration of a role change or a model load of an engine
		Folder         string        // for keys and data
		Log            io.Writer
	}

	// Deployment is a running deployment. Create it with New.
	Deployment struct {
		Plan              Plan
		OperatorKey       string   // API key of the operator
		OperatorAddresses []string // of the operator API, by control instance
		EntryAddresses    []string // of the entries, for callers
		Engines           []*standin.Engine
		OrderServices     []*standin.OrderService
		Sidecars          []*kernel.Kernel
		Entries           []*kernel.Kernel
		Controls          []*kernel.Kernel

		authority        *keys.Authority
		founders         []control.Founder
		controlAddresses []string // of the control instances, for other processes
	}
)

// New starts the processes of plan and returns when all of them are ready. If
// one fails, it stops the others.
func New(ctx context.Context, plan Plan) (*Deployment, error) {
	d := &Deployment{Plan: plan, OperatorKey: plan.Name + "-operator"}
	authority, err := keys.NewAuthority(filepath.Join(plan.Folder, "keys"))
	if err != nil {
		return nil, err
	}
	d.authority = authority
	steps := []func(context.Context) error{d.startControl, d.startBackends, d.startEntries, d.awaitReady}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, nil
}

// Stop stops all processes gracefully: entries first, so that no caller loses a
// request, then sidecars, control instances and stand-ins. It returns the first
// error.
func (d *Deployment) Stop() error {
	var firstErr error
	for _, kernels := range [][]*kernel.Kernel{d.Entries, d.Sidecars, d.Controls} {
		for _, k := range kernels {
			if err := k.Stop(); err != nil && firstErr == nil {
				firstErr = err
			}
		}
	}
	for _, e := range d.Engines {
		e.Stop()
	}
	for _, service := range d.OrderServices {
		service.Stop()
	}
	return firstErr
}

// PutContract stores a contract in place of the version replaces and waits until
// it is in force at all holders of the configuration. The state of the result is
// pending if that isn't known within stopTimeout.
func (d *Deployment) PutContract(ctx context.Context, c contract.Contract, replaces uint64) (message.OperateResponse, error) {
	request := message.OperateRequest{
		Kind:     control.OperatePutContract,
		MaxWait:  stopTimeout,
		Contract: &contract.Change{Customer: c.Customer, Replaces: replaces, Contract: &c},
	}
	return d.Operate(ctx, request)
}

// Operate runs an operator's request. It tries the control instances in turn, as
// long as the request is known not to have run because there is no leader.
func (d *Deployment) Operate(ctx context.Context, request message.OperateRequest) (message.OperateResponse, error) {
	for i := 0; ; i++ {
		instance := d.Controls[i%len(d.Controls)].Role().(*control.Control)
		result, err := instance.Operate(ctx, request)
		e := fault.FromError(err)
		retry := e != nil && e.Kind == fault.Unavailable && e.Ran == fault.NotRun
		if !retry || !interval.Sleep(ctx, pollInterval) {
			return result, err
		}
	}
}

func (d *Deployment) startControl(ctx context.Context) error {
	for i := range d.Plan.ControlCount {
		founder := control.Founder{Instance: d.instanceName("control", i), Address: FreeAddress("udp")}
		d.founders = append(d.founders, founder)
		d.controlAddresses = append(d.controlAddresses, founder.Address)
	}
	for i, founder := range d.founders {
		section := control.DefaultSettings()
		section.Listen = founder.Address
		section.OperatorListen = "127.0.0.1:0"
		section.DataDir = filepath.Join(d.Plan.Folder, founder.Instance)
		section.Founders = d.founders
		section.OperatorKeys = []control.Operator{{Name: "operator", Hash: contract.HashKey(d.OperatorKey)}}
		k, err := d.startProcess(ctx, "control", founder.Instance, i, section)
		if err != nil {
			return err
		}
		d.Controls = append(d.Controls, k)
		d.OperatorAddresses = append(d.OperatorAddresses, k.Role().(*control.Control).OperatorAddress())
	}
	return nil
}

func (d *Deployment) startBackends(ctx context.Context) error {
	for i := range d.Plan.EngineCount {
		e, err := standin.NewEngine(standin.EngineOptions{
			Address:    "127.0.0.1:0",
			Models:     []string{d.Plan.Model},
			Spec:       d.Plan.EngineSpec,
			Fencing:    d.Plan.Fencing,
			ChangeTime: d.Plan.ChangeTime,
			Seed:       uint64(i + 1),
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
	for i := range d.Plan.ServiceCount {
		service, err := standin.NewOrderService(standin.OrderServiceOptions{Address: "127.0.0.1:0", Delay: time.Millisecond})
		if err != nil {
			return err
		}
		d.OrderServices = append(d.OrderServices, service)
		section := d.sidecarSettings()
		section.Service.Name = d.Plan.ServiceName
		section.Service.Address = service.Address()
		section.Service.HealthPath = "/healthz"
		if err := d.startSidecar(ctx, d.Plan.ServiceName, i, section); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) sidecarSettings() sidecar.Settings {
	section := sidecar.DefaultSettings()
	section.Listen = FreeAddress("udp")
	section.ControlAddresses = d.controlAddresses
	return section
}

func (d *Deployment) startSidecar(ctx context.Context, kind string, i int, section sidecar.Settings) error {
	k, err := d.startProcess(ctx, "sidecar", d.instanceName(kind, i), i, section)
	if err != nil {
		return err
	}
	d.Sidecars = append(d.Sidecars, k)
	return nil
}

func (d *Deployment) startEntries(ctx context.Context) error {
	for i := range d.Plan.EntryCount {
		section := entry.DefaultSettings()
		section.Listen = "127.0.0.1:0"
		section.ControlAddresses = d.controlAddresses
		k, err := d.startProcess(ctx, "entry", d.instanceName("entry", i), i, section)
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, k)
		d.EntryAddresses = append(d.EntryAddresses, k.Role().(*entry.Entry).Address())
	}
	return nil
}

func (d *Deployment) startProcess(ctx context.Context, role, instance string, i int, section any) (*kernel.Kernel, error) {
	files, err := d.authority.Issue(instance)
	if err != nil {
		return nil, err
	}
	process := kernel.DefaultProcessSettings()
	process.Role = role
	process.Instance = instance
	process.Region = d.Plan.Region
	process.FailureDomain = d.Plan.FailureDomains[i%len(d.Plan.FailureDomains)]
	process.Workers = workers
	process.StopTimeout = settings.Duration(stopTimeout)
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

// awaitReady waits until every entry is healthy and has grants of all backend
// servers.
func (d *Deployment) awaitReady(ctx context.Context) error {
	for _, address := range d.EntryAddresses {
		for !Healthy(ctx, address) {
			if !interval.Sleep(ctx, pollInterval) {
				return fault.New(fault.DeadlineExceeded, fault.NotRun, "%s: entry %s did not become healthy in time", d.Plan.Name, address)
			}
		}
	}
	for {
		result, err := d.Operate(ctx, message.OperateRequest{Kind: control.OperateStatus})
		if err == nil && len(result.Status.Backends) == len(d.Sidecars) && d.allGranted() {
			return nil
		}
		if !interval.Sleep(ctx, pollInterval) {
			return fault.New(fault.DeadlineExceeded, fault.NotRun, "%s: control and entries did not know all %d backend servers in time", d.Plan.Name, len(d.Sidecars))
		}
	}
}

func (d *Deployment) allGranted() bool {
	for _, k := range d.Entries {
		if k.Role().(*entry.Entry).GrantedCount() < len(d.Sidecars) {
			return false
		}
	}
	return true
}

func (d *Deployment) instanceName(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i+1) }

// Healthy reports whether the health check at address returns status 200.
func Healthy(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
