// Package kernel starts, runs and stops the processes of the system.
//
// It provides what all processes share: plug-in registries, settings, the log,
// metrics, the worker pool, and a graceful stop. A process runs the kernel with
// one Role. Roles and the parts that they consist of, such as transports,
// routing policies and engine dialects, are plug-ins. They register themselves
// in registries (see Registry), each declared by the package that uses the
// plug-ins. The kernel imports no plug-in, so that adding one doesn't change
// this package.
package kernel

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/internal/callers/allowance"
	"endivedeck.example/pool"
	"endivedeck.example/settings"
)

// DefaultMemory is the memory that a process may use, in MB, unless its settings
// say so.
const DefaultMemory = 1024

const (
	defaultGCPercent   = 100
	defaultWorkers     = 256
	defaultStopTimeout = 30 * time.Second
)

var (
	// Roles holds the registered roles by name.
	Roles = NewRegistry[RoleFactory]("role")

	// SettingsCheckers holds the checks of the settings of roles, by role.
	SettingsCheckers = NewRegistry[SettingsChecker]("settings check")
)

type (
	// Role is the function of a process in the system, such as entry or
	// control.
	Role interface {
		// Start starts the role and returns when it is serving or has failed.
		// The context is for the start only; the role runs until Stop.
		Start(ctx context.Context) error

		// Stop stops the role gracefully: it refuses new work, and completes
		// running work or transfers it to another process. When ctx is done, it
		// aborts the remaining work and returns an error.
		Stop(ctx context.Context) error
	}

	// FailureNotifier is implemented by a role that can fail after its start.
	FailureNotifier interface {
		// Failed returns a channel that receives the error with which the role
		// failed.
		Failed() <-chan error
	}

	// Reloader is implemented by a role that can change settings while it
	// runs.
	Reloader interface {
		// Reload applies the sections of the host that can change at run time.
		// If it fails, the earlier settings stay in force.
		Reload(*Host) error
	}

	// RoleFactory creates a role.
	RoleFactory func(*Host) (Role, error)

	// SettingsChecker returns the first error in the sections of a role's settings.
	SettingsChecker func(*Host) error

	// ProcessSettings holds the settings that all processes have. Members of
	// the file that are objects and have no field here are the sections of
	// plug-ins.
	ProcessSettings struct {
		Role          string                      `json:"role" need:"yes"`
		Instance      string                      `json:"instance" need:"yes"`
		Region        string                      `json:"region"`
		FailureDomain string                      `json:"failureDomain" need:"yes"`
		MetricsListen string                      `json:"metrics"` // address of the metrics server; empty for none
		Workers       int                         `json:"workers" range:"1..65536"`
		Backlog       int                         `json:"backlog" range:"0..1048576"`
		MaxCores      int                         `json:"cores" range:"0..1024"`     // maximum number of cores used at the same time; 0 for all
		MaxMemory     int                         `json:"memory" range:"0..1048576"` // memory that the process may use, in MB; 0 for DefaultMemory
		GCPercent     int                         `json:"gc" range:"10..1000"`       // growth of the heap until the next collection, in percent of what is in use
		StopTimeout   settings.Duration           `json:"stopTime" range:"100ms..1h"`
		LogLevel      string                      `json:"logLevel"`
		Sections      map[string]settings.Section `json:"*"`
	}

	// Host provides the settings and the resources of a process to its role.
	Host struct {
		Process ProcessSettings
		Log     *logrus.Entry
		Metrics *metrics.Set
		Pool    *pool.Pool
		Callers *allowance.Budget // of the memory that is held for callers; nil for one of each server
		Peers   *allowance.Budget // of the memory that is held for other processes; nil for one of each server
	}

	// Kernel runs one role. Create it with New.
	Kernel struct {
		host          *Host
		role          Role
		metricsServer *gate.Server
		logs          *logWriter
	}
)

// LoadSettings reads the settings file of a process. A section that isn't
// allowed for the role is an error, like an unknown field.
func LoadSettings(file string) (ProcessSettings, error) {
	process := DefaultProcessSettings()
	err := settings.Load(file, &process)
	if err != nil {
		return process, err
	}
	for name, section := range process.Sections {
		if !sectionAllowed(process.Role, name) {
			return process, fault.New(fault.Malformed, fault.NotRun, "%s:%d: %s: no such field", section.File, section.Line, name)
		}
	}
	return process, nil
}

// DefaultProcessSettings returns the default settings.
func DefaultProcessSettings() ProcessSettings {
	return ProcessSettings{
		Workers:     defaultWorkers,
		Backlog:     defaultWorkers,
		GCPercent:   defaultGCPercent,
		StopTimeout: settings.Duration(defaultStopTimeout),
		LogLevel:    "info",
	}
}

// New creates a kernel with the role that the settings name. It writes the log
// to out.
func New(process ProcessSettings, out io.Writer) (*Kernel, error) {
	set := metrics.NewSet()
	logs := newLogWriter(out, set)
	k, err := newKernel(process, logs, set)
	if err != nil {
		logs.close()
		return nil, err
	}
	k.logs = logs
	return k, nil
}

func newKernel(process ProcessSettings, out io.Writer, set *metrics.Set) (*Kernel, error) {
	log, err := NewLog(process, out)
	if err != nil {
		return nil, err
	}
	factory, err := Roles.Lookup(process.Role)
	if err != nil {
		return nil, err
	}
	host := &Host{
		Process: process,
		Log:     log,
		Metrics: set,
		Pool:    pool.New(process.Workers, process.Backlog),
	}
	host.Callers, host.Peers = newBudgets(process, log, set)
	role, err := factory(host)
	if err != nil {
		return nil, err
	}
	return &Kernel{host: host, role: role}, nil
}

// Role returns the role of the process.
func (k *Kernel) Role() Role { return k.role }

// Start starts the metrics server, if MetricsListen is set, and the role.
func (k *Kernel) Start(ctx context.Context) error {
	if address := k.host.Process.MetricsListen; address != "" {
		server, err := gate.NewWithin(k.host.Callers, address, MetricsHandler(k.host.Metrics), gate.SideLimits(gate.DefaultLimits()), nil)
		if err != nil {
			return err
		}
		k.metricsServer = server
	}
	if err := k.role.Start(ctx); err != nil {
		return err
	}
	k.host.Log.Info("started")
	return nil
}

// Wait waits until ctx is done, and returns nil, or until the role fails, and
// returns its error.
func (k *Kernel) Wait(ctx context.Context) error {
	var failed <-chan error
	if role, ok := k.role.(FailureNotifier); ok {
		failed = role.Failed()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		k.host.Log.WithError(err).Error("failed")
		return err
	}
}

// Stop stops the role, the worker pool and the metrics server, in this order,
// within StopTimeout.
func (k *Kernel) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), k.host.Process.StopTimeout.Std())
	defer cancel()
	k.host.Log.Info("stopping")
	err := k.role.Stop(ctx)
	if poolErr := k.host.Pool.Stop(ctx); err == nil {
		err = poolErr
	}
	if k.metricsServer != nil {
		_ = k.metricsServer.Stop(ctx)
	}
	k.host.Log.Info("stopped")
	k.logs.close()
	return err
}

// Reload applies changed settings if the role implements Reloader. The result is
// logged.
func (k *Kernel) Reload(process ProcessSettings) {
	role, ok := k.role.(Reloader)
	if !ok {
		k.host.Log.Info("reload ignored: this role reads its settings only at the start")
		return
	}
	if err := role.Reload(&Host{Process: process, Log: k.host.Log, Metrics: k.host.Metrics, Pool: k.host.Pool}); err != nil {
		k.host.Log.WithField("error", err.Error()).Error("reload failed: keeping the earlier settings")
		return
	}
	k.host.Log.Info("reloaded")
}

// MetricsHandler returns a handler that serves the metrics in set, and those of
// the operating system's process, at /metrics.
func MetricsHandler(set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

// NewLog returns the log of a process, which writes JSON lines to out. It fails if
// the log level is unknown.
func NewLog(process ProcessSettings, out io.Writer) (*logrus.Entry, error) {
	level, err := logrus.ParseLevel(process.LogLevel)
	if err != nil {
		return nil, fault.New(fault.Malformed, fault.NotRun, "logLevel: %v", err)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	fields := logrus.Fields{
		"role":     process.Role,
		"instance": process.Instance,
		"domain":   process.FailureDomain,
	}
	return logger.WithFields(fields), nil
}

// CheckSettings returns the first error in the settings of a process. It starts
// nothing.
func CheckSettings(process ProcessSettings) error {
	if _, err := Roles.Lookup(process.Role); err != nil {
		return err
	}
	checker, err := SettingsCheckers.Lookup(process.Role)
	if err != nil {
		return err
	}
	return checker(&Host{Process: process})
}
