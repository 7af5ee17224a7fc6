package relay

import (
	"time"

	"endivedeck.example/rank"
)

const (
	// timeoutSpread is how much the timeouts of first requests on one route
	// differ, as a fraction of the longest.
	timeoutSpread = 0.16

	// timeoutWindow is the time over which the longest timeout is taken. It is
	// long enough to see many callers, and short enough to notice soon that the
	// callers of a route use shorter timeouts than before.
	timeoutWindow = 20 * time.Second
)

type (
	// retryDetector detects requests that callers retry after a refusal. It
	// keeps the longest timeout seen on each route: a retry has used up a part
	// of the caller's time, so its timeout is shorter.
	retryDetector struct {
		mu     rank.Mutex
		routes map[string]*longestTimeout // by name of the route
	}

	// longestTimeout holds the longest timeout of a route's requests in the
	// current and the previous window of length timeoutWindow.
	longestTimeout struct {
		windowStart time.Time
		current     time.Duration
		previous    time.Duration
	}
)

func newRetryDetector() *retryDetector {
	return &retryDetector{mu: rank.New(rank.Admission), routes: map[string]*longestTimeout{}}
}

// isRetry records the timeout of a request and reports whether it is shorter
// than the longest on its route by more than timeoutSpread. The caller was then
// refused before, and the latency objective can't be met any more. waited is about
// the time since the caller's first attempt.
func (d *retryDetector) isRetry(now time.Time, route string, timeout time.Duration) (waited time.Duration, retry bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.routes[route]
	if l == nil {
		l = &longestTimeout{windowStart: now}
		d.routes[route] = l
	}
	if age := now.Sub(l.windowStart); age > timeoutWindow {
		l.previous = l.current
		if age > 2*timeoutWindow {
			l.previous = 0
		}
		l.current = 0
		l.windowStart = now
	}
	l.current = max(l.current, timeout)
	longest := max(l.current, l.previous)
	if timeout >= time.Duration((1-timeoutSpread)*float64(longest)) {
		return 0, false
	}
	return longest - timeout, true
}

// retain removes the routes that are not among names.
func (d *retryDetector) retain(names map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.routes {
		if !names[name] {
			delete(d.routes, name)
		}
	}
}
