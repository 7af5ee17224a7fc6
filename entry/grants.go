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
	// grantWatchers keeps one streaming call open to each sidecar and applies
	// the grants that it sends.
	grantWatchers struct {
		entry    *Entry
		ctx      context.Context
		mu       rank.Mutex
		byServer map[string]*grantWatcher // by name of the backend server
		wg       sync.WaitGroup
	}

	// grantWatcher receives one sidecar's grants.
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

// start sets the context of the watchers, which update starts.
func (w *grantWatchers) start(ctx context.Context) { w.ctx = ctx }

// wait returns when all watchers have stopped.
func (w *grantWatchers) wait() { w.wg.Wait() }

// update applies control's current list of backend servers: it starts watchers
// for new or moved ones and stops those of removed ones.
func (w *grantWatchers) update(backends []message.Backend) {
	backends = fleet.Subset(w.entry.host.Process.Instance, backends, w.entry.settings.SubsetSize)
	added, removed := w.entry.fleet.SetBackends(time.Now(), backends)
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

// run keeps the call to the sidecar open until ctx is done. A call that ends
// after at least one grant is reopened at once, and the grant stays valid
// meanwhile, since possibly only the connection failed. A call that yields no
// grant revokes it.
func (w *grantWatcher) run(ctx context.Context) {
	defer w.watchers.wg.Done()
	for ctx.Err() == nil {
		if w.receiveGrants(ctx) || ctx.Err() != nil {
			continue
		}
		w.watchers.entry.fleet.Revoke(w.name)
		interval.Sleep(ctx, reconnectInterval)
	}
}

// receiveGrants applies grants until the call ends, and reports whether it
// received any.
func (w *grantWatcher) receiveGrants(ctx context.Context) (received bool) {
	e := w.watchers.entry
	call, err := e.client.OpenCall(ctx, w.address, message.MethodGrants, message.GrantsRequest{Entry: e.host.Process.Instance})
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
		e.fleet.ApplyGrant(time.Now(), w.name, grant)
	}
}

// randomID returns a random ID in hexadecimal.
func randomID() string {
	var id [randomIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
