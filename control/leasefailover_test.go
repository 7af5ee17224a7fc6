package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/interval"
)

const (
	phaseStep     = 500 * time.Millisecond
	phaseCount    = 6 // together they cover one long poll of a lease holder
	watchDuration = 9 * time.Second
	watchInterval = 20 * time.Millisecond
)

// TestLeasesSurviveFailover checks that no lease expires when leaders fail, at
// any phase of the lease holders' long polls, so that no request is refused. It
// also checks that leases do expire if a parked renewal doesn't extend the lease
// by the time that it was parked.
func TestLeasesSurviveFailover(t *testing.T) {
	failures := []struct {
		name string
		fail func(cl *cluster)
	}{
		{"the leader stopped", func(cl *cluster) { cl.stop(cl.awaitLeader()) }},
		{"the leader killed", func(cl *cluster) { cl.kill(cl.awaitLeader()) }},
		{"the leader silently cut off", isolateLeader},
		{"the leader stopped, then its successor", func(cl *cluster) {
			cl.restart(cl.awaitLeader())
			interval.Sleep(cl.t.Context(), 2*time.Second)
			cl.restart(cl.awaitLeader())
		}},
		{"all restarted one by one", func(cl *cluster) {
			for _, name := range cl.founderNames() {
				cl.restart(name)
				interval.Sleep(cl.t.Context(), 700*time.Millisecond)
			}
		}},
	}
	var text strings.Builder
	for _, f := range failures {
		fmt.Fprintf(&text, "%s: leases expired at %d of %d phases\n", f.name, countExpiries(t, false, f.fail), phaseCount)
	}
	fmt.Fprintf(&text, "parked time not counted: the leader silently cut off: an expiry was seen: %v\n", countExpiries(t, true, isolateLeader) > 0)
	golden.Check(t, "outlive.golden", text.String())
}

// countExpiries returns the number of phases at which some holder's lease
// expired after the failure.
func countExpiries(t *testing.T, ignoreParked bool, fail func(cl *cluster)) int {
	count := 0
	for phase := range phaseCount {
		if leaseExpires(t, time.Duration(phase)*phaseStep, ignoreParked, fail) {
			count++
		}
	}
	return count
}

func leaseExpires(t *testing.T, phase time.Duration, ignoreParked bool, fail func(cl *cluster)) bool {
	expired := false
	withCluster(t, 3, func(cl *cluster) {
		for _, in := range cl.controls {
			in.control.leases.ignoreParkedTime = ignoreParked
		}
		for i := range 3 {
			cl.addHolder(fmt.Sprintf("entry-%d", i+1), kindEntry)
			cl.addHolder(fmt.Sprintf("crew-assist-%d", i+1), kindSidecar)
		}
		cl.awaitLeases()
		interval.Sleep(cl.t.Context(), 10*time.Second+phase)
		ended := make(chan struct{})
		w := &expiryWatcher{cluster: cl, ended: ended}
		go w.run()
		fail(cl)
		<-ended
		expired = w.expired
	})
	return expired
}

// expiryWatcher polls the holders' leases for watchDuration.
type expiryWatcher struct {
	cluster *cluster
	ended   chan struct{}
	expired bool
}

func (w *expiryWatcher) run() {
	defer close(w.ended)
	for end := time.Now().Add(watchDuration); time.Now().Before(end); {
		for _, h := range w.cluster.holders {
			if !h.member.HasLease() {
				w.expired = true
				return
			}
		}
		interval.Sleep(w.cluster.t.Context(), watchInterval)
	}
}

// isolateLeader partitions the leader from all other processes: messages to and
// from it are dropped without an error.
func isolateLeader(cl *cluster) {
	leader := cl.awaitLeader()
	for _, name := range cl.founderNames() {
		if name != leader {
			cl.network.Isolate(leader, name)
		}
	}
	for _, h := range cl.holders {
		cl.network.Isolate(leader, h.name)
	}
}

// restart stops an instance and starts it again with its disk.
func (cl *cluster) restart(name string) {
	disk := cl.controls[name].disk
	cl.stop(name)
	cl.start(name, disk)
}
