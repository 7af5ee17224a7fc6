package kernel

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"endivedeck.example/internal/callers/allowance"
)

const (
	softMemoryShare  = 0.75        // of the memory of a process, up to which the runtime may let garbage grow
	refusalLogPeriod = time.Second // in which one refusal of a caller is logged; the metrics count all
)

var _ allowance.Watcher = (*callerWatch)(nil)

// callerWatch counts and logs which callers, or other processes, met a limit of the
// process.
type callerWatch struct {
	prefix  string // of the names of the metrics
	log     *logrus.Entry
	metrics *metrics.Set
	logged  atomic.Int64 // when, in ns
	skipped atomic.Int64 // refusals since then
}

// memoryBytes returns how much memory the process may use.
func (p *ProcessSettings) memoryBytes() int64 {
	if p.MaxMemory == 0 {
		return DefaultMemory << 20
	}
	return int64(p.MaxMemory) << 20
}

// SoftMemoryLimit returns the size in bytes up to which the runtime may let the process
// grow before it collects garbage more often.
func (p *ProcessSettings) SoftMemoryLimit() int64 {
	return int64(softMemoryShare * float64(p.memoryBytes()))
}

// newBudgets returns the budgets of a process for its callers and for other processes.
func newBudgets(process ProcessSettings, log *logrus.Entry, set *metrics.Set) (callers, peers *allowance.Budget) {
	callers = allowance.New(allowance.For(process.memoryBytes()), &callerWatch{log: log, metrics: set, prefix: "callers"})
	peers = allowance.New(allowance.ForPeers(process.memoryBytes()), &callerWatch{log: log, metrics: set, prefix: "peers"})
	set.NewGauge("callers_held_bytes", func() float64 { return float64(callers.Held()) })
	set.NewGauge("peers_held_bytes", func() float64 { return float64(peers.Held()) })
	return callers, peers
}

// Refused implements allowance.Watcher.
func (w *callerWatch) Refused(address string, limit allowance.Limit, gaveWay bool) {
	name := w.prefix + "_refused_total"
	if gaveWay {
		name = w.prefix + "_closed_total"
	}
	w.metrics.GetOrCreateCounter(fmt.Sprintf("%s{limit=%q}", name, limit)).Inc()
	now, last := time.Now().UnixNano(), w.logged.Load()
	if now-last < int64(refusalLogPeriod) || !w.logged.CompareAndSwap(last, now) {
		w.skipped.Add(1)
		return
	}
	w.log.WithFields(logrus.Fields{w.prefix: address, "limit": limit, "closed": gaveWay, "others": w.skipped.Swap(0)}).Warn("a caller met a limit of the process")
}
