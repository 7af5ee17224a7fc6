// Package gate opens HTTP listeners with limits.
//
// A gate is one listening address, its handler and the limits that protect it
// from what is outside: header size and time, idle time, and the number of
// connections. Stop lets running requests end.
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
	// Limits bounds what a listener accepts.
	Limits struct {
		MaxConns       int               `json:"connections" range:"1..1000000"`
		MaxHeaderBytes int               `json:"headerBytes" range:"1024..1048576"`
		MaxBodyBytes   int64             `json:"bodyBytes" range:"1024..268435456"`
		HeaderTimeout  settings.Duration `json:"headerTime" range:"100ms..5m"`
		BodyTimeout    settings.Duration `json:"bodyTime" range:"100ms..1h"`
		IdleTimeout    settings.Duration `json:"idleTime" range:"1s..1h"`
	}

	// Server is an open listener. Create it with New.
	Server struct {
		server   *http.Server
		listener net.Listener
		ended    chan struct{}
	}

	// timedBody lifts the connection's read deadline once the body has ended,
	// because the deadline would cancel the request that is being answered.
	timedBody struct {
		io.ReadCloser
		control *http.ResponseController
	}

	countedListener struct {
		net.Listener
		free chan struct{}
	}

	countedConn struct {
		net.Conn
		free chan struct{}
		once chan struct{}
	}
)

// DefaultLimits returns the limits that hold where settings say nothing.
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

// New listens on address and serves handler there. With a TLS configuration
// the listener speaks TLS.
func New(address string, handler http.Handler, limits Limits, security *tls.Config) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, fault.No, "listening on %s: %v", address, err)
	}
	counted := &countedListener{Listener: listener, free: make(chan struct{}, limits.MaxConns)}
	g := &Server{
		listener: counted,
		ended:    make(chan struct{}),
		server: &http.Server{
			Handler:           bounded(handler, limits),
			ReadHeaderTimeout: limits.HeaderTimeout.Std(),
			IdleTimeout:       limits.IdleTimeout.Std(),
			MaxHeaderBytes:    limits.MaxHeaderBytes,
		},
	}
	if security != nil {
		g.listener = tls.NewListener(counted, security)
	}
	go g.run()
	return g, nil
}

// Address returns the address that the gate listens on.
func (g *Server) Address() string { return g.listener.Addr().String() }

// Stop refuses new connections and returns when running requests have ended
// or ctx is done; then what is left is cut.
func (g *Server) Stop(ctx context.Context) error {
	err := g.server.Shutdown(ctx)
	if err != nil {
		_ = g.server.Close()
	}
	<-g.ended
	return err
}

// Drain answers requests on for the given time, closing each connection after
// its answer, so that callers move elsewhere before Stop.
func (g *Server) Drain(ctx context.Context, length time.Duration) {
	g.server.SetKeepAlivesEnabled(false)
	interval.Sleep(ctx, length)
}

// Close cuts every connection at once.
func (g *Server) Close() {
	_ = g.server.Close()
	<-g.ended
}

func (g *Server) run() {
	defer close(g.ended)
	err := g.server.Serve(g.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		_ = g.server.Close()
	}
}

func bounded(handler http.Handler, limits Limits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
		if r.ContentLength != 0 {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(limits.BodyTimeout.Std()))
			r.Body = &timedBody{ReadCloser: r.Body, control: control}
		}
		handler.ServeHTTP(w, r)
	})
}

func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Accept waits for a place among the allowed connections before it accepts.
func (l *countedListener) Accept() (net.Conn, error) {
	l.free <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	once := make(chan struct{}, 1)
	once <- struct{}{}
	return &countedConn{Conn: conn, free: l.free, once: once}, nil
}

func (c *countedConn) Close() error {
	select {
	case <-c.once:
		<-c.free
	default:
	}
	return c.Conn.Close()
}

// ReadBody reads a request's body. One that is too large is fault.TooLarge,
// one that broke off is fault.Malformed.
func ReadBody(r *http.Request) ([]byte, error) {
	text, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, fault.New(fault.TooLarge, fault.No, "the body is larger than %d bytes", large.Limit)
	case err != nil:
		return nil, fault.New(fault.Malformed, fault.No, "reading the body: %v", err)
	}
	return text, nil
}
