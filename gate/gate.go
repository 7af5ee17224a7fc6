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
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/settings"
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

	// deadlineBody is a request body that clears the connection's read
	// deadline when it has been read to its end. The deadline would otherwise
	// cancel the request while it is being answered.
	deadlineBody struct {
		io.ReadCloser
		control *http.ResponseController
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

// New listens on address and serves handler there, with TLS if tlsConfig is
// not nil.
func New(address string, handler http.Handler, limits Limits, tlsConfig *tls.Config) (*Server, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // sockets of Multipath TCP take no filter
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "listening on %s: %v", address, err)
	}
	s := &Server{
		listener: newListener(inner.(*net.TCPListener), limits.MaxConns),
		served:   make(chan struct{}),
	}
	s.httpServer = &http.Server{
		Handler:           s.withLimits(handler, limits),
		ReadHeaderTimeout: limits.HeaderTimeout.Std(),
		IdleTimeout:       limits.IdleTimeout.Std(),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnState:         trackPhase,
	}
	go s.run(tlsConfig)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

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
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	tracked, ok := c.(*conn)
	switch {
	case !ok:
	case state == http.StateActive:
		tracked.setPhase(active)
	case state == http.StateIdle:
		tracked.setPhase(waiting)
	}
}

// withLimits limits the size of a request's body and the time to read it.
func (s *Server) withLimits(handler http.Handler, limits Limits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
		if r.ContentLength != 0 {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(limits.BodyTimeout.Std()))
			r.Body = &deadlineBody{ReadCloser: r.Body, control: control}
		}
		handler.ServeHTTP(&closingWriter{ResponseWriter: w, server: s}, r)
		if s.draining.Load() {
			s.answered.Add(1)
		}
	})
}

func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// ReadBody reads a request's body. It returns fault.TooLarge if the body
// exceeds the limit, and fault.Malformed if it is incomplete.
func ReadBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, fault.NotRun, "the body is larger than %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, fault.New(fault.Malformed, fault.NotRun, "reading the request body: %v", err)
	}
	return body, nil
}
