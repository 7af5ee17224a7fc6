package relay

import (
	"context"
	"net/http"
	"time"

	"endivedeck.example/upstream"
)

// releaseKV frees the KV cache of a prefill whose request will not be sent. It
// does so on a worker of the pool and doesn't wait for the result. A server that
// leaves or is paused is left alone: its cache expires.
func (j *job) releaseKV(opts SendOptions) {
	if opts.KVHandle == "" || !j.relay.placement.Accepts(time.Now(), j.prefillServerID) {
		return
	}
	method, path := j.relay.dialect.KVReleaseRequest(opts.KVHandle)
	task := &kvRelease{relay: j.relay, address: opts.KVSource, method: method, path: path}
	if err := j.relay.host.Pool.Submit(task); err != nil {
		j.relay.log.WithField("request", j.info.ID).WithField("error", err.Error()).Warn("KV cache not released, it stays until it expires")
	}
}

// kvRelease is the task that frees a KV cache on the server that holds it.
type kvRelease struct {
	relay   *Relay
	address string
	method  string
	path    string
}

const kvReleaseTimeout = 500 * time.Millisecond // no retry is needed, since the cache expires soon

// Run implements pool.Task.
func (k *kvRelease) Run() {
	ctx, cancel := context.WithTimeout(k.relay.ctx, kvReleaseTimeout)
	defer cancel()
	resp, err := k.relay.upstream.Send(ctx, k.address, upstream.Request{
		Method: k.method,
		Host:   k.address,
		Path:   k.path,
		Header: http.Header{},
	})
	if err != nil {
		k.relay.log.WithField("server", k.address).WithField("error", err.Error()).Info("KV cache not released, it stays until it expires")
		return
	}
	defer resp.Close()
	if _, err := readAll(resp, maxHandleBytes); err != nil {
		k.relay.log.WithField("server", k.address).WithField("error", err.Error()).Info("reading the response to a KV cache release failed")
	}
}
