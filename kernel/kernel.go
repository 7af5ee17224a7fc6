// Package kernel is the frame that every process of the system runs in.
//
// The kernel owns what all processes share: the slots in which plug-ins
// register themselves, the settings of a process, its log, metrics and worker
// pool, its start and its graceful stop. It imports no plug-in. A process is
// the kernel and one Role, and a role finds its own parts (transport, routing
// policy, engine dialect and so on) in slots that the packages using them
// declare. Adding any of these touches no file of this package.
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
	"endivedeck.example/pool"
	"endivedeck.example/settings"
)

const (
	defaultWorkers  = 256
	defaultStopTime = 30 * time.Second
)

var (
	// Roles is the slot of process roles.
	Roles = NewSlot[RoleMaker]("role")

	// Checkers is the slot of checks of a role's settings, by role.
	Checkers = NewSlot[Checker]("settings check")
)

type (
	// Role is what a process does.
	Role interface {
		// Start begins to serve and returns once the role is ready or has
		// failed. The role goes on until Stop; ctx bounds the start alone.
		Start(ctx context.Context) error

		// Stop ends the role without cutting what it has accepted: new work
		// is refused, running work ends or is handed over. When ctx is done
		// first, what is left is cut and an error says so.
		Stop(ctx context.Context) error
	}

	// Failing is implemented by a role that can fail after its start.
	Failing interface {
		// Failed returns a channel that yields the error that ended the role.
		Failed() <-chan error
	}

	// Reloading is implemented by a role that takes in settings while it runs.
	Reloading interface {
		// Reload takes in what can change of the host's sections. After an
		// error the earlier settings hold.
		Reload(*Host) error
	}

	// RoleMaker builds a role from its host.
	RoleMaker func(*Host) (Role, error)

	// Checker decodes the sections of a role as the role would, and says what
	// is wrong.
	Checker func(*Host) error

	// Process holds the settings that every process has. Members that are
	// objects and have no field here are the sections of plug-ins.
	Process struct {
		Role          string                      `json:"role" need:"yes"`
		Instance      string                      `json:"instance" need:"yes"`
		Region        string                      `json:"region"`
		FailureDomain string                      `json:"failureDomain" need:"yes"`
		Metrics       string                      `json:"metrics"`
		Workers       int                         `json:"workers" range:"1..65536"`
		Backlog       int                         `json:"backlog" range:"0..1048576"`
		Cores         int                         `json:"cores" range:"0..1024"` // that the process may use at once; 0 for all
		StopTime      settings.Duration           `json:"stopTime" range:"100ms..1h"`
		LogLevel      string                      `json:"logLevel"`
		Sections      map[string]settings.Section `json:"*"`
	}

	// Host is what the kernel gives to a role.
	Host struct {
		Process Process
		Log     *logrus.Entry
		Metrics *metrics.Set
		Pool    *pool.Pool
	}

	// Kernel runs one role. Create it with New.
	Kernel struct {
		host   *Host
		role   Role
		report *gate.Server
		sink   *sink
	}
)

// Load reads a process's settings file.
func Load(file string) (Process, error) {
	process := DefaultProcess()
	err := settings.Load(file, &process)
	if err != nil {
		return process, err
	}
	for name, section := range process.Sections {
		if !allowed(process.Role, name) {
			return process, fault.New(fault.Malformed, fault.No, "%s:%d: %s: no such field", section.File, section.Line, name)
		}
	}
	return process, nil
}

// DefaultProcess returns the settings that hold where a file says nothing.
func DefaultProcess() Process {
	return Process{
		Workers:  defaultWorkers,
		Backlog:  defaultWorkers,
		StopTime: settings.Duration(defaultStopTime),
		LogLevel: "info",
	}
}

// New builds the role that the settings name. Log lines go to out.
func New(process Process, out io.Writer) (*Kernel, error) {
	set := metrics.NewSet()
	sink := newSink(out, set)
	k, err := build(process, sink, set)
	if err != nil {
		sink.close()
		return nil, err
	}
	k.sink = sink
	return k, nil
}

func build(process Process, out io.Writer, set *metrics.Set) (*Kernel, error) {
	log, err := newLog(process, out)
	if err != nil {
		return nil, err
	}
	maker, err := Roles.Find(process.Role)
	if err != nil {
		return nil, err
	}
	host := &Host{
		Process: process,
		Log:     log,
		Metrics: set,
		Pool:    pool.New(process.Workers, process.Backlog),
	}
	role, err := maker(host)
	if err != nil {
		return nil, err
	}
	return &Kernel{host: host, role: role}, nil
}

// Role returns the role that the kernel runs.
func (k *Kernel) Role() Role { return k.role }

// Start opens the metrics listener and starts the role.
func (k *Kernel) Start(ctx context.Context) error {
	if address := k.host.Process.Metrics; address != "" {
		report, err := gate.New(address, MetricsHandler(k.host.Metrics), gate.DefaultLimits(), nil)
		if err != nil {
			return err
		}
		k.report = report
	}
	if err := k.role.Start(ctx); err != nil {
		return err
	}
	k.host.Log.Info("started")
	return nil
}

// Wait returns when ctx is done or the role has failed, with its error.
func (k *Kernel) Wait(ctx context.Context) error {
	var failed <-chan error
	if role, ok := k.role.(Failing); ok {
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

// Stop stops the role, then the worker pool, then the metrics listener,
// within the settings' stop time.
func (k *Kernel) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), k.host.Process.StopTime.Std())
	defer cancel()
	k.host.Log.Info("stopping")
	err := k.role.Stop(ctx)
	if poolErr := k.host.Pool.Stop(ctx); err == nil {
		err = poolErr
	}
	if k.report != nil {
		_ = k.report.Stop(ctx)
	}
	k.host.Log.Info("stopped")
	k.sink.close()
	return err
}

// Reload gives the role the settings as they are now, if it can take them in
// while it runs.
func (k *Kernel) Reload(process Process) {
	role, ok := k.role.(Reloading)
	if !ok {
		k.host.Log.Info("reload: this role takes settings in at its start alone")
		return
	}
	if err := role.Reload(&Host{Process: process, Log: k.host.Log, Metrics: k.host.Metrics, Pool: k.host.Pool}); err != nil {
		k.host.Log.WithField("error", err.Error()).Error("reload: the settings are refused; the earlier ones hold")
		return
	}
	k.host.Log.Info("reloaded")
}

// MetricsHandler serves a set of metrics, and those of the process, under
// /metrics.
func MetricsHandler(set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

func newLog(process Process, out io.Writer) (*logrus.Entry, error) {
	level, err := logrus.ParseLevel(process.LogLevel)
	if err != nil {
		return nil, fault.New(fault.Malformed, fault.No, "logLevel: %v", err)
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

// Check checks the settings of a process without starting anything.
func Check(process Process) error {
	if _, err := Roles.Find(process.Role); err != nil {
		return err
	}
	checker, err := Checkers.Find(process.Role)
	if err != nil {
		return err
	}
	return checker(&Host{Process: process})
}
