package relay

import (
	"context"
	"net/http"
	"time"

	"endivedeck.example/upstream"
)

// releaseKV frees a KV cache that nobody will take.
func (j *job) releaseKV(send Send) {
	if send.Handle == "" {
		return
	}
	method, path := j.relay.dialect.Drop(send.Handle)
	task := &kvRelease{relay: j.relay, address: send.Source, method: method, path: path}
	if err := j.relay.host.Pool.Submit(task); err != nil {
		j.relay.log.WithField("request", j.info.ID).WithField("error", err.Error()).Warn("a KV cache is left to lapse")
	}
}

// kvRelease frees a KV cache.
type kvRelease struct {
	relay   *Relay
	address string
	method  string
	path    string
}

const kvReleaseTimeout = 500 * time.Millisecond // after which the cache lapses by itself soon

// Do implements pool.Task.
func (k *kvRelease) Do() {
	ctx, cancel := context.WithTimeout(k.relay.ctx, kvReleaseTimeout)
	defer cancel()
	answer, err := k.relay.upstream.Send(ctx, k.address, upstream.Request{
		Method: k.method,
		Host:   k.address,
		Path:   k.path,
		Header: http.Header{},
	})
	if err != nil {
		k.relay.log.WithField("server", k.address).WithField("error", err.Error()).Info("a KV cache is left to lapse")
		return
	}
	defer answer.Close()
	if _, err := readAll(answer, maxHandleBytes); err != nil {
		k.relay.log.WithField("server", k.address).WithField("error", err.Error()).Info("freeing a KV cache")
	}
}
