package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"endivedeck.example/fleet"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/rank"
)

const (
	reconnectInterval = 200 * time.Millisecond
	randomIDBytes     = 8
)

type (
	// grantWatchers hold one call open to each sidecar and take in its grants.
	grantWatchers struct {
		entry    *Entry
		ctx      context.Context
		mu       rank.Mutex
		byServer map[string]*grantWatcher // by name of the backend server
		wg       sync.WaitGroup
	}

	grantWatcher struct {
		watchers *grantWatchers
		name     string
		address  string
		cancel   context.CancelFunc
	}
)

func newGrantWatchers(e *Entry) *grantWatchers {
	return &grantWatchers{entry: e, mu: rank.New(rank.Lease), byServer: map[string]*grantWatcher{}}
}

func (w *grantWatchers) start(ctx context.Context) { w.ctx = ctx }

// wait returns when all watchers have ended.
func (w *grantWatchers) wait() { w.wg.Wait() }

// update takes in what control knows of the backend servers.
func (w *grantWatchers) update(backends []message.Backend) {
	backends = fleet.Subset(w.entry.host.Process.Instance, backends, w.entry.settings.Subset)
	added, removed := w.entry.fleet.Announce(time.Now(), backends)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range removed {
		if old := w.byServer[name]; old != nil {
			old.cancel()
			delete(w.byServer, name)
		}
	}
	for _, b := range added {
		if old := w.byServer[b.Name]; old != nil {
			old.cancel()
		}
		ctx, cancel := context.WithCancel(w.ctx)
		watcher := &grantWatcher{watchers: w, name: b.Name, address: b.Address, cancel: cancel}
		w.byServer[b.Name] = watcher
		w.wg.Add(1)
		go watcher.run(ctx)
	}
}

// run keeps the call open until the watcher is cancelled. A call that was lost
// is opened anew at once: the grant holds on meanwhile, for the connection may
// be lost and the sidecar well. It is revoked when the sidecar can't be reached.
func (w *grantWatcher) run(ctx context.Context) {
	defer w.watchers.wg.Done()
	for ctx.Err() == nil {
		if w.receiveGrants(ctx) || ctx.Err() != nil {
			continue
		}
		w.watchers.entry.fleet.Revoke(w.name)
		interval.Wait(ctx, reconnectInterval)
	}
}

// receiveGrants takes in grants until the call ends, and reports whether any came.
func (w *grantWatcher) receiveGrants(ctx context.Context) (received bool) {
	e := w.watchers.entry
	call, err := e.client.Open(ctx, w.address, message.MethodGrants, message.Watch{Entry: e.host.Process.Instance})
	if err != nil {
		return false
	}
	defer call.Cancel()
	stop := context.AfterFunc(ctx, call.Cancel)
	defer stop()
	for {
		var grant message.Grant
		if err := call.Receive(&grant); err != nil {
			return received
		}
		received = true
		e.fleet.Grant(time.Now(), w.name, grant)
	}
}

func randomID() string {
	var id [randomIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
