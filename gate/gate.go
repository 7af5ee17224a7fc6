// Package gate provides HTTP servers with limits.
//
// A Server serves one listening address. Its limits protect the process from
// clients: sizes of headers and bodies, timeouts, and the number of
// connections. Stop shuts it down gracefully: a request that arrives on an open
// connection while it stops is answered.
package gate

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/internal/callers/allowance"
	"endivedeck.example/interval"
	"endivedeck.example/settings"
)

const (
	defaultMemory     = 1 << 30 // bytes
	sideConns         = 64
	minBodyGrowth     = 4 << 10
	headSlackBytes    = 4 << 10 // over the limit of a head, whose size isn't known to the byte
	refusedRetryAfter = "1"     // seconds
)

type (
	// Limits are the limits that a Server enforces.
	Limits struct {
		MaxConns       int               `json:"connections" range:"1..1000000"`
		MaxHeaderBytes int               `json:"headerBytes" range:"1024..1048576"`
		MaxBodyBytes   int64             `json:"bodyBytes" range:"1024..268435456"`
		HeaderTimeout  settings.Duration `json:"headerTime" range:"100ms..5m"`
		BodyTimeout    settings.Duration `json:"bodyTime" range:"100ms..1h"`
		IdleTimeout    settings.Duration `json:"idleTime" range:"1s..1h"`
	}

	// CallerLimits are limits that may change while a Server runs. 0 stands for no limit
	// beside that of Limits.
	CallerLimits struct {
		MaxHeadBytes int64         // of a request
		HeadTime     time.Duration // from the first byte of a head to its end
		IdleTime     time.Duration // from a response to the next request; goes before Limits.IdleTimeout
	}

	// Report counts what happened since a Server began to drain or stop.
	Report struct {
		Answered int // requests
		Crossed  int // connections on which bytes arrived after the server had closed them
		Aborted  int // connections that were open when the time to stop was over
	}

	// Server is a running HTTP server. Create it with New.
	Server struct {
		httpServer *http.Server
		listener   *listener
		limits     Limits
		draining   atomic.Bool
		answered   atomic.Int64
		aborted    atomic.Int64
		served     chan struct{} // closed when run has returned
	}

	// closingWriter announces the end of the connection in a response whose head
	// is written while the server drains.
	closingWriter struct {
		http.ResponseWriter
		server *Server
	}

	// callerBody is a request body that clears the connection's read deadline when
	// it has been read to its end. The deadline would otherwise cancel the request
	// while it is being answered. While it is read, the process waits for the caller.
	callerBody struct {
		io.ReadCloser
		control *http.ResponseController
		conn    *conn
	}
)

// DefaultLimits returns the limits that apply unless the settings change them.
func DefaultLimits() Limits {
	return Limits{
		MaxConns:       10_000,
		MaxHeaderBytes: 64 << 10,
		MaxBodyBytes:   8 << 20,
		HeaderTimeout:  settings.Duration(10 * time.Second),
		BodyTimeout:    settings.Duration(time.Minute),
		IdleTimeout:    settings.Duration(2 * time.Minute),
	}
}

// SideLimits returns limits with few connections, for a server beside that of callers, such
// as for metrics.
func SideLimits(limits Limits) Limits {
	limits.MaxConns = min(limits.MaxConns, sideConns)
	return limits
}

// New is NewWithin with a budget of its own.
func New(address string, handler http.Handler, limits Limits, tlsConfig *tls.Config) (*Server, error) {
	return NewWithin(nil, address, handler, limits, tlsConfig)
}

// NewWithin listens on address and serves handler there, with TLS if tlsConfig is not
// nil. What it holds for callers is charged to budget; if that is nil, to one of its own
// for a process of the default size.
func NewWithin(budget *allowance.Budget, address string, handler http.Handler, limits Limits, tlsConfig *tls.Config) (*Server, error) {
	if budget == nil {
		budget = allowance.New(allowance.For(defaultMemory), nil)
	}
	var config net.ListenConfig
	config.SetMultipathTCP(false) // sockets of Multipath TCP take no filter
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "listening on %s: %v", address, err)
	}
	s := &Server{
		listener: newListener(inner.(*net.TCPListener), limits.MaxConns, budget),
		limits:   limits,
		served:   make(chan struct{}),
	}
	s.httpServer = &http.Server{
		Handler:           s.withLimits(handler),
		ReadHeaderTimeout: limits.HeaderTimeout.Std(),
		IdleTimeout:       limits.IdleTimeout.Std(),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnState:         trackPhase,
		ConnContext:       withConn,
	}
	go s.run(tlsConfig)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetCallerLimits sets limits for the heads and pauses that begin from now on.
func (s *Server) SetCallerLimits(limits CallerLimits) {
	s.listener.maxHeadBytes.Store(limits.MaxHeadBytes)
	s.listener.headTime.Store(int64(limits.HeadTime))
	s.listener.idleTime.Store(int64(limits.IdleTime))
}

// Stop closes the listener and waits until all connections are closed. A
// connection is closed after its next response, or when it has been silent for a
// moment. When ctx is done first, Stop closes the remaining connections and
// returns an error.
func (s *Server) Stop(ctx context.Context) error {
	s.draining.Store(true)
	s.listener.stop()
	select {
	case <-s.listener.gone:
		<-s.served
		return nil
	case <-ctx.Done():
		s.aborted.Store(int64(s.listener.openCount()))
		s.Close()
		return ctx.Err()
	}
}

// Report returns what happened since Drain or Stop was called.
func (s *Server) Report() Report {
	return Report{
		Answered: int(s.answered.Load()),
		Crossed:  int(s.listener.crossed.Load()),
		Aborted:  int(s.aborted.Load()),
	}
}

// Drain goes on serving for the given time, so that clients connect elsewhere
// before Stop. Responses announce that their connections will be closed. Drain
// returns early when ctx is done.
func (s *Server) Drain(ctx context.Context, duration time.Duration) {
	s.draining.Store(true)
	interval.Sleep(ctx, duration)
}

// Close closes all connections immediately.
func (s *Server) Close() {
	_ = s.httpServer.Close()
	<-s.served
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.announce()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer to http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) announce() {
	if w.server.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// run serves until the listener is closed. If it failed, it closes the
// connections too.
func (s *Server) run(tlsConfig *tls.Config) {
	defer close(s.served)
	var outer net.Listener = s.listener
	if tlsConfig != nil {
		outer = tls.NewListener(s.listener, tlsConfig)
	}
	if err := s.httpServer.Serve(outer); !errors.Is(err, net.ErrClosed) {
		_ = s.httpServer.Close()
	}
}

// trackPhase tells a connection whether a request is being answered on it.
func trackPhase(c net.Conn, state http.ConnState) {
	tracked := trackedConn(c)
	switch {
	case tracked == nil:
	case state == http.StateActive:
		tracked.setPhase(active)
	case state == http.StateIdle:
		tracked.setPhase(waiting)
	}
}

// withConn lets the handlers of a connection's requests find it.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, trackedConn(c))
}

func trackedConn(c net.Conn) *conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	tracked, _ := c.(*conn)
	return tracked
}

// withLimits limits the size of a request's body and the time to read it, and charges
// its head.
func (s *Server) withLimits(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c != nil && !c.chargeHead(r) {
			refuse(w, http.StatusServiceUnavailable)
			return
		}
		if most := s.listener.maxHeadBytes.Load(); most > 0 && headBytes(r) > most+headSlackBytes {
			refuse(w, http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes)
		if r.ContentLength != 0 {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout.Std()))
			r.Body = &callerBody{ReadCloser: r.Body, control: control, conn: c}
		}
		handler.ServeHTTP(&closingWriter{ResponseWriter: w, server: s}, r)
		if c != nil {
			c.account.Await(time.Now()) // the HTTP server may read the rest of the body
		}
		if s.draining.Load() {
			s.answered.Add(1)
		}
	})
}

// refuse answers a request that isn't passed to a handler, and so hasn't run, and closes
// the connection.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", refusedRetryAfter)
	}
	w.WriteHeader(status)
}

func (b *callerBody) Read(p []byte) (int, error) {
	if b.conn != nil {
		b.conn.account.Await(time.Now())
	}
	n, err := b.ReadCloser.Read(p)
	if b.conn != nil {
		b.conn.account.Rest(time.Now())
	}
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Hold charges n bytes to the caller of a request, in addition to its head and body, until
// the request ends. ctx is that of the request, or made from it. If the budget has no room
// for them it returns false; what the caller would get must not be allocated.
func Hold(ctx context.Context, n int64) bool {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c == nil || c.hold(n)
}

// Join notes the team of the caller of a request, whose part of the memory is limited.
func Join(ctx context.Context, team string) {
	if c, _ := ctx.Value(connKey{}).(*conn); c != nil {
		c.account.Join(team)
	}
}

// ReadBody reads a request's body. It returns fault.TooLarge if the body exceeds the
// limit, fault.Overloaded if the process has no room for it, and fault.Malformed if it
// is incomplete. Trailers are dropped.
func ReadBody(r *http.Request) ([]byte, error) {
	var body []byte
	defer dropTrailer(r)
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), minBodyGrowth)
			if r.ContentLength > 0 {
				size = min(size, int(min(r.ContentLength, math.MaxInt-1))+1)
			}
			size = max(size, cap(body)+1)
			if !Hold(r.Context(), int64(size-cap(body))) {
				return nil, errNoRoom()
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		var tooLarge *http.MaxBytesError
		switch {
		case err == io.EOF:
			return body, nil
		case errors.As(err, &tooLarge):
			return nil, fault.New(fault.TooLarge, fault.NotRun, "the body is larger than %d bytes", tooLarge.Limit)
		case err != nil && gaveWay(r.Context()):
			return nil, errNoRoom()
		case err != nil:
			return nil, fault.New(fault.Malformed, fault.NotRun, "reading the request body: %v", err)
		}
	}
}

// ReadJSON is ReadBody that also charges what the body takes when it is decoded.
func ReadJSON(r *http.Request) ([]byte, error) {
	body, err := ReadBody(r)
	if err != nil {
		return nil, err
	}
	if Hold(r.Context(), allowance.DecodedBytes(body)) {
		return body, nil
	}
	if c, _ := r.Context().Value(connKey{}).(*conn); c.listener.budget.Largest() < allowance.DecodedBytes(body) {
		return nil, fault.New(fault.TooLarge, fault.NotRun, "the body has too many elements")
	}
	return nil, errNoRoom()
}

func errNoRoom() error {
	return fault.New(fault.Overloaded, fault.NotRun, "the process has no room for the body of the request")
}

// dropTrailer forgets the trailers of a request, which nobody uses.
func dropTrailer(r *http.Request) { r.Trailer = nil }
