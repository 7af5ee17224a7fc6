// Package gate provides HTTP servers with limits.
//
// A Server serves one listening address. Its limits protect the process from
// clients: sizes of headers and bodies, timeouts, and the number of
// connections. Stop shuts it down gracefully.
package gate

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
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

	// Server is a running HTTP server. Create it with New.
	Server struct {
		httpServer *http.Server
		listener   net.Listener
		served     chan struct{} // closed when run has returned
	}

	// deadlineBody is a request body that clears the connection's read
	// deadline when it has been read to its end. The deadline would otherwise
	// cancel the request while it is being answered.
	deadlineBody struct {
		io.ReadCloser
		control *http.ResponseController
	}

	// limitedListener limits the number of open connections.
	limitedListener struct {
		net.Listener
		slots chan struct{} // holds an element for each open connection and for a pending Accept
	}

	limitedConn struct {
		net.Conn
		slots chan struct{}
		open  chan struct{} // holds an element until the first Close
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
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "listening on %s: %v", address, err)
	}
	limited := &limitedListener{Listener: listener, slots: make(chan struct{}, limits.MaxConns)}
	s := &Server{
		listener: limited,
		served:   make(chan struct{}),
		httpServer: &http.Server{
			Handler:           withBodyLimits(handler, limits),
			ReadHeaderTimeout: limits.HeaderTimeout.Std(),
			IdleTimeout:       limits.IdleTimeout.Std(),
			MaxHeaderBytes:    limits.MaxHeaderBytes,
		},
	}
	if tlsConfig != nil {
		s.listener = tls.NewListener(limited, tlsConfig)
	}
	go s.run()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop accepts no new connections and waits for running requests to end. When
// ctx is done first, it closes the remaining connections and returns an error.
func (s *Server) Stop(ctx context.Context) error {
	err := s.httpServer.Shutdown(ctx)
	if err != nil {
		_ = s.httpServer.Close()
	}
	<-s.served
	return err
}

// Drain disables keep-alives and goes on serving for the given time, so that
// clients reconnect elsewhere before Stop. It returns early when ctx is done.
func (s *Server) Drain(ctx context.Context, duration time.Duration) {
	s.httpServer.SetKeepAlivesEnabled(false)
	interval.Sleep(ctx, duration)
}

// Close closes all connections immediately.
func (s *Server) Close() {
	_ = s.httpServer.Close()
	<-s.served
}

// run serves until the server is shut down or its listener fails.
func (s *Server) run() {
	defer close(s.served)
	err := s.httpServer.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		_ = s.httpServer.Close()
	}
}

// withBodyLimits limits the size of a request's body and the time to read it.
func withBodyLimits(handler http.Handler, limits Limits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
		if r.ContentLength != 0 {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(limits.BodyTimeout.Std()))
			r.Body = &deadlineBody{ReadCloser: r.Body, control: control}
		}
		handler.ServeHTTP(w, r)
	})
}

func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Accept waits until the number of open connections is below the limit and
// then accepts one.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	open := make(chan struct{}, 1)
	open <- struct{}{}
	return &limitedConn{Conn: conn, slots: l.slots, open: open}, nil
}

func (c *limitedConn) Close() error {
	select {
	case <-c.open:
		<-c.slots
	default:
	}
	return c.Conn.Close()
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
