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
	watchPause = 200 * time.Millisecond
	nonceBytes = 8
)

type (
	// watchers hold one call open to each sidecar and take in its grants.
	watchers struct {
		entry   *Entry
		ctx     context.Context
		mu      rank.Mutex
		running map[string]*watcher // by name of the backend server
		ended   sync.WaitGroup
	}

	watcher struct {
		watchers *watchers
		name     string
		address  string
		cancel   context.CancelFunc
	}
)

func newWatchers(e *Entry) *watchers {
	return &watchers{entry: e, mu: rank.New(rank.Lease), running: map[string]*watcher{}}
}

func (w *watchers) start(ctx context.Context) { w.ctx = ctx }

// wait returns when all watchers have ended.
func (w *watchers) wait() { w.ended.Wait() }

// announce takes in what control knows of the backend servers.
func (w *watchers) announce(backends []message.Backend) {
	backends = fleet.Subset(w.entry.host.Process.Instance, backends, w.entry.settings.Subset)
	added, gone := w.entry.fleet.SetBackends(time.Now(), backends)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range gone {
		if old := w.running[name]; old != nil {
			old.cancel()
			delete(w.running, name)
		}
	}
	for _, b := range added {
		if old := w.running[b.Name]; old != nil {
			old.cancel()
		}
		ctx, cancel := context.WithCancel(w.ctx)
		one := &watcher{watchers: w, name: b.Name, address: b.Address, cancel: cancel}
		w.running[b.Name] = one
		w.ended.Add(1)
		go one.run(ctx)
	}
}

// run keeps the call open until the watcher is cancelled. A call that was lost
// is opened anew at once: the grant holds on meanwhile, for the connection may
// be lost and the sidecar well. It is revoked when the sidecar can't be reached.
func (w *watcher) run(ctx context.Context) {
	defer w.watchers.ended.Done()
	for ctx.Err() == nil {
		if w.follow(ctx) || ctx.Err() != nil {
			continue
		}
		w.watchers.entry.fleet.Revoke(w.name)
		interval.Sleep(ctx, watchPause)
	}
}

// follow takes in grants until the call ends, and reports whether any came.
func (w *watcher) follow(ctx context.Context) (granted bool) {
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
			return granted
		}
		granted = true
		e.fleet.ApplyGrant(time.Now(), w.name, grant)
	}
}

func nonce() string {
	var text [nonceBytes]byte
	_, _ = rand.Read(text[:])
	return hex.EncodeToString(text[:])
}
