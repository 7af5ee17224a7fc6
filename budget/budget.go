// Package budget limits how often requests are retried.
//
// The limit covers all relays together: within any window, a service may
// receive retries up to a ratio of its first attempts plus a fixed slack. Each
// relay applies the ratio to its own first attempts and uses an equal share of
// the slack, so the total stays within the limit without coordination between
// relays.
package budget

import (
	"time"

	"endivedeck.example/rank"
)

const (
	bucketCount = 20 // counting buckets per window

	// safetyFactor is the fraction of the limit that is used. When relays join
	// or leave, the others learn only later how many share the slack.
	safetyFactor = 0.7
)

type (
	// Limit is the limit of retries to one service over all relays.
	Limit struct {
		Ratio  float64       // retries per first attempt
		Slack  float64       // retries allowed in addition, per window
		Window time.Duration // length of the sliding window
	}

	// Budget counts first attempts and retries per service. Create it with New.
	Budget struct {
		limit    Limit
		mu       rank.Mutex
		services map[string]*window
	}

	// window counts requests in a ring of buckets. The ring has one bucket more
	// than a window, because the newest bucket is only partly over.
	window struct {
		bucket        int64 // number of the newest bucket, counted from the Unix epoch
		firstAttempts [bucketCount + 1]int
		retries       [bucketCount + 1]int
	}
)

// New returns a budget that enforces limit.
func New(limit Limit) *Budget {
	return &Budget{limit: limit, mu: rank.New(rank.Admission), services: map[string]*window{}}
}

// CountRequest counts the first attempt of a request to service.
func (b *Budget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.firstAttempts[w.bucket%(bucketCount+1)]++
}

// TryRetry counts a retry to service and returns true if this relay's share of
// the limit allows it. Otherwise it counts nothing and returns false. relays is
// the number of relays that share the limit.
func (b *Budget) TryRetry(now time.Time, service string, relays int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	firstAttempts, retries := 0, 0
	for i := range w.firstAttempts {
		firstAttempts += w.firstAttempts[i]
		retries += w.retries[i]
	}
	allowed := safetyFactor * (b.limit.Ratio*float64(firstAttempts) + b.limit.Slack/float64(max(relays, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.bucket%(bucketCount+1)]++
	return true
}

// window returns the counters of service after clearing the buckets that have
// expired at now. The caller must hold b.mu.
func (b *Budget) window(now time.Time, service string) *window {
	bucket := now.UnixNano() / int64(b.limit.Window/bucketCount)
	w := b.services[service]
	if w == nil {
		w = &window{bucket: bucket}
		b.services[service] = w
	}
	if bucket-w.bucket > bucketCount {
		*w = window{bucket: bucket}
	}
	for w.bucket < bucket {
		w.bucket++
		w.firstAttempts[w.bucket%(bucketCount+1)] = 0
		w.retries[w.bucket%(bucketCount+1)] = 0
	}
	return w
}
