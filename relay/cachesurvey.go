package relay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/placement"
	"endivedeck.example/rank"
	"endivedeck.example/roster"
	"endivedeck.example/upstream"
)

const (
	surveyDelay       = 200 * time.Millisecond // until relays that start at the same time know of each other
	cacheListTimeout  = time.Second
	maxCacheListBytes = 1 << 20
)

// cacheSurvey lists once, after the start of the relay, what the backend servers
// of this relay's share have cached, and passes it on to the other relays. Without
// it, the relays would have all shared prefixes read again if they all restarted.
type cacheSurvey struct {
	relay *Relay
	start chan struct{} // closed when backend servers with a cache are known
	once  sync.Once

	mu       rank.Mutex
	listings []placement.CacheListing
}

func newCacheSurvey(r *Relay) *cacheSurvey {
	return &cacheSurvey{relay: r, start: make(chan struct{}), mu: rank.New(rank.Admission)}
}

// begin starts the survey. Calls after the first one have no effect.
func (c *cacheSurvey) begin() { c.once.Do(c.closeStart) }

func (c *cacheSurvey) closeStart() { close(c.start) }

// run waits for begin and lists the servers of this relay's share, one at a time.
func (c *cacheSurvey) run(ctx context.Context) {
	defer c.relay.tasks.Done()
	select {
	case <-c.start:
	case <-ctx.Done():
		return
	}
	if !interval.Sleep(ctx, surveyDelay) {
		return
	}
	owned := c.relay.share()
	for _, server := range c.relay.placement.CachingServers() {
		if ctx.Err() != nil {
			return
		}
		if !owned(server.ID) || !c.relay.placement.Accepts(time.Now(), server.ID) {
			continue
		}
		parts, err := c.list(ctx, server)
		log := c.relay.log.WithField("server", server.ID)
		if err != nil {
			log.WithField("error", err.Error()).Info("listing the cache of a backend server failed")
			continue
		}
		log.WithField("parts", len(parts)).Info("cache of a backend server listed")
		c.record(placement.CacheListing{Server: server.ID, Parts: parts})
	}
}

// list returns the parts that a server has cached.
func (c *cacheSurvey) list(ctx context.Context, server roster.Server) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	method, path := c.relay.dialect.CacheListRequest()
	resp, err := c.relay.upstream.Send(ctx, server.Address, upstream.Request{
		Method: method,
		Host:   server.Address,
		Path:   path,
		Header: http.Header{},
	})
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	c.relay.applyNotice(server, resp)
	body, err := readAll(resp, maxCacheListBytes)
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "cache list: status %d", resp.Status)
	}
	return c.relay.dialect.ParseCacheList(body)
}

func (c *cacheSurvey) record(l placement.CacheListing) {
	c.relay.placement.RecordListing(l)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listings = append(c.listings, l)
}

// since returns the listings after the first n, and how many there are.
func (c *cacheSurvey) since(n int) ([]placement.CacheListing, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.listings[n:]), len(c.listings)
}
