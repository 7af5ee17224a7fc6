package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	readTimeout = 1200 * time.Millisecond // of the route of the reads
	readBudget  = 2500 * time.Millisecond // of a client that reads
	answerSlack = 500 * time.Millisecond  // after the route's timeout, by which an answer must have come
)

// readers are callers of the application beside those whom the case is about.
type readers struct {
	client                      *client
	record                      *record
	sent, served, late, overdue atomic.Int64
}

func newReaders(d *deployment, rec *record) *readers {
	return &readers{client: newClient(d), record: rec}
}

// read sends one read and notes whether it was answered in time.
func (r *readers) read(ctx context.Context, relay int) {
	r.sent.Add(1)
	a := r.client.send(ctx, relay, http.MethodGet, "/read/1", nil, "", readBudget)
	r.record.add("read %s at relay %d: status %d after %v", a.id, relay, a.status, a.took)
	if a.status == http.StatusOK {
		r.served.Add(1)
	}
	if a.took > readTimeout {
		r.late.Add(1)
	}
	if a.took > readTimeout+answerSlack {
		r.overdue.Add(1)
	}
}

// String implements fmt.Stringer.
func (r *readers) String() string {
	return fmt.Sprintf("reads: %d sent, %d served, %d unanswered at the timeout, %d half a second later", r.sent.Load(), r.served.Load(), r.late.Load(), r.overdue.Load())
}

// verdict returns what broke the rule CONFIG, or "".
func (r *readers) verdict() string {
	late, overdue := r.late.Load(), r.overdue.Load()
	r.record.add("%s", r)
	if overdue >= 8 && 2*overdue > late {
		return fmt.Sprintf("CONFIG: of %d reads that were unanswered at their route's timeoutMs, %d had no answer half a second later (of %d reads)", late, overdue, r.sent.Load())
	}
	return ""
}

// relayMemory returns the memory that each relay uses, in MB.
func (d *deployment) relayMemory() []int {
	var sizes []int
	for relay := 1; relay <= d.relays; relay++ {
		sizes = append(sizes, residentMB(d.process("relay", relay).cmd.Process.Pid))
	}
	return sizes
}
