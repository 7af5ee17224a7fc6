package relay

import (
	"context"
	"net/http"
	"time"

	"endivedeck.example/upstream"
)

// drop frees a KV cache that nobody will take.
func (j *job) drop(send SendOptions) {
	if send.KVHandle == "" {
		return
	}
	method, path := j.relay.dialect.KVReleaseRequest(send.KVHandle)
	task := &dropping{relay: j.relay, address: send.KVSource, method: method, path: path}
	if err := j.relay.host.Pool.Submit(task); err != nil {
		j.relay.log.WithField("request", j.ask.ID).WithField("error", err.Error()).Warn("a KV cache is left to lapse")
	}
}

// dropping frees a KV cache.
type dropping struct {
	relay   *Relay
	address string
	method  string
	path    string
}

const dropTime = 500 * time.Millisecond // after which the cache lapses by itself soon

// Do implements pool.Task.
func (d *dropping) Do() {
	ctx, cancel := context.WithTimeout(d.relay.ctx, dropTime)
	defer cancel()
	answer, err := d.relay.upstream.Send(ctx, d.address, upstream.Request{
		Method: d.method,
		Host:   d.address,
		Path:   d.path,
		Header: http.Header{},
	})
	if err != nil {
		d.relay.log.WithField("server", d.address).WithField("error", err.Error()).Info("a KV cache is left to lapse")
		return
	}
	defer answer.Close()
	if _, err := readAll(answer, handleMost); err != nil {
		d.relay.log.WithField("server", d.address).WithField("error", err.Error()).Info("freeing a KV cache")
	}
}
