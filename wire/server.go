package wire

import (
	"context"
	"sync"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/internal/callers/allowance"
	"endivedeck.example/pool"
	"endivedeck.example/rank"
)

// lingerTime is how long Stop keeps connections open after the last reply, so
// that the reply can still be delivered.
const lingerTime = 200 * time.Millisecond

// defaultMemory is that of a process, in bytes, for a server without a budget.
const defaultMemory = 1 << 30

type (
	// Handler serves the calls of a method.
	Handler interface {
		// Handle runs on a worker. The call stays open after Handle returns,
		// until Reply, Fail or End. A handler that waits for an event stores
		// the call, returns, and replies later, so that it occupies no worker.
		Handle(call *ServerCall)
	}

	// HandlerFunc is a function that implements Handler.
	HandlerFunc func(call *ServerCall)

	// ServerCall is the server side of a call.
	ServerCall struct {
		Method     string
		Peer       string // the name in the caller's certificate, or its address
		body       []byte // of the request
		stream     Stream
		server     *Server
		account    *allowance.Account // of what is held for the peer
		finishOnce sync.Once
	}

	// chargedReader reads one frame of the peer of a call. The server waits for the
	// peer from its first bytes on.
	chargedReader struct {
		call  *ServerCall
		begun bool
	}

	// Server accepts calls and runs their handlers on a worker pool. Create it
	// with NewServer.
	Server struct {
		listener Listener
		workers  *pool.Pool
		handlers map[string]Handler
		budget   *allowance.Budget // of what is held for peers

		mu        rank.Mutex
		conns     map[Conn]bool
		closing   bool
		openCalls sync.WaitGroup     // calls accepted and not ended
		cancel    context.CancelFunc // stops accepting connections and streams
	}
)

var _ Handler = HandlerFunc(nil)

// Unary returns the handler of a method with one request and one reply. It
// decodes the request, calls serve, and replies with the result or the error.
func Unary[In, Out any](serve func(In) (Out, error)) Handler {
	return HandlerFunc(func(call *ServerCall) {
		var in In
		if err := call.Decode(&in); err != nil {
			call.Fail(err)
			return
		}
		out, err := serve(in)
		if err != nil {
			call.Fail(err)
			return
		}
		call.Reply(out)
	})
}

// Handle implements Handler.
func (f HandlerFunc) Handle(call *ServerCall) { f(call) }

// NewServer is NewServerWithin with a budget of its own.
func NewServer(listener Listener, workers *pool.Pool, handlers map[string]Handler) *Server {
	return NewServerWithin(nil, listener, workers, handlers)
}

// NewServerWithin returns a server that accepts calls on listener. It runs the
// handlers, given by method, on the workers of a pool. What it holds of the requests of
// calls is charged to budget; if that is nil, to one of its own for a process of the
// default size.
func NewServerWithin(budget *allowance.Budget, listener Listener, workers *pool.Pool, handlers map[string]Handler) *Server {
	if budget == nil {
		budget = allowance.New(allowance.ForPeers(defaultMemory), nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener: listener,
		workers:  workers,
		handlers: handlers,
		budget:   budget,
		mu:       rank.New(rank.Connection),
		conns:    map[Conn]bool{},
		cancel:   cancel,
	}
	go s.run(ctx)
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Address() }

// Stop refuses new calls, waits until the open ones have ended or ctx is done,
// and closes the connections.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	ended := make(chan struct{})
	go s.loop(ended)
	var err error
	select {
	case <-ended:
		linger, cancel := context.WithTimeout(ctx, lingerTime)
		<-linger.Done()
		cancel()
	case <-ctx.Done():
		err = fault.New(fault.DeadlineExceeded, fault.MaybeRun, "stop timed out with calls still open")
	}
	s.Close()
	return err
}

// Close closes the listener and all connections without waiting for calls.
func (s *Server) Close() {
	s.mu.Lock()
	s.closing = true
	conns := s.conns
	s.conns = map[Conn]bool{}
	s.mu.Unlock()
	s.cancel()
	for conn := range conns {
		_ = conn.Close()
	}
	_ = s.listener.Close()
}

// loop waits until all open calls have ended and then closes ended.
func (s *Server) loop(ended chan<- struct{}) {
	s.openCalls.Wait()
	close(ended)
}

// run accepts connections until ctx is done or the listener is closed.
func (s *Server) run(ctx context.Context) {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		if !s.addConn(conn) {
			_ = conn.Close()
			continue
		}
		c := &serverConn{server: s, conn: conn}
		go c.run(ctx)
	}
}

// addConn records an accepted connection, unless the server is closing.
func (s *Server) addConn(conn Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) removeConn(conn Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// addCall counts an accepted call as open, unless the server is closing.
func (s *Server) addCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.openCalls.Add(1)
	return true
}

// serverConn is an accepted connection.
type serverConn struct {
	server *Server
	conn   Conn
}

// run accepts the streams of the connection, one for each call, until it closes or
// ctx is done.
func (c *serverConn) run(ctx context.Context) {
	defer c.server.removeConn(c.conn)
	for {
		stream, err := c.conn.Accept(ctx)
		if err != nil {
			_ = c.conn.Close()
			return
		}
		call := &ServerCall{Peer: c.conn.Peer(), stream: stream, server: c.server}
		call.account = c.server.budget.Open(call.Peer, call)
		if !c.server.addCall() {
			call.refuse(fault.New(fault.Unavailable, fault.NotRun, "call refused: the server is stopping"))
			continue
		}
		if err := c.server.workers.Submit(call); err != nil {
			call.Fail(err)
		}
	}
}

// Run implements pool.Task. It reads the request and calls the handler of its
// method.
func (c *ServerCall) Run() {
	_ = c.stream.SetDeadline(time.Now().Add(requestReadTimeout))
	var r requestFrame
	if _, err := c.receive(&r); err != nil {
		kind := fault.Malformed
		if fault.KindOf(err) == fault.Overloaded {
			kind = fault.Overloaded
		}
		c.Fail(fault.New(kind, fault.NotRun, "reading the request of a call: %v", err))
		return
	}
	_ = c.stream.SetDeadline(time.Time{})
	c.Method = r.Method
	c.body = r.Body
	handler, ok := c.server.handlers[r.Method]
	if !ok {
		c.Fail(fault.New(fault.NotFound, fault.NotRun, "unknown method %q", r.Method))
		return
	}
	handler.Handle(c)
}

// Decode decodes the request's body.
func (c *ServerCall) Decode(value any) error { return Decode(c.body, value) }

// Receive reads another message that the caller sent after the request.
func (c *ServerCall) Receive(value any) error {
	held, err := c.receive(value)
	c.account.Shrink(held)
	return err
}

// receive reads a message and returns how many bytes it has charged to the peer.
func (c *ServerCall) receive(value any) (held int64, err error) {
	defer func() { c.account.Rest(time.Now()) }()
	err = readFrame(&chargedReader{call: c}, value, func(n int) bool {
		granted := c.account.Acquire(int64(n))
		if granted {
			held += int64(n)
		}
		return granted
	})
	return held, err
}

// GiveWay implements allowance.Holder: the call fails while its request is being read.
func (c *ServerCall) GiveWay() { c.stream.Cancel() }

// Read implements io.Reader. It notes what has come from the peer.
func (r *chargedReader) Read(p []byte) (int, error) {
	n, err := r.call.stream.Read(p)
	now := time.Now()
	if !r.begun {
		r.begun = true
		r.call.account.Restart(now)
	}
	r.call.account.Moved(now, n)
	return n, err
}

// Send sends a reply and leaves the call open for further ones.
func (c *ServerCall) Send(value any) error {
	body, err := Encode(value)
	if err != nil {
		return err
	}
	if err := WriteFrame(c.stream, replyFrame{Body: body}); err != nil {
		return fault.New(fault.Broken, fault.MaybeRun, "sending a reply: %v (peer %s)", err, c.Peer)
	}
	return nil
}

// Reply sends the last reply and ends the call.
func (c *ServerCall) Reply(value any) {
	_ = c.Send(value)
	c.End()
}

// Fail sends an error as the last reply and ends the call.
func (c *ServerCall) Fail(err error) {
	_ = WriteFrame(c.stream, replyFrame{Error: fault.FromError(err)})
	c.End()
}

// End ends the call. Replies that were already sent are still delivered. It may
// be called more than once.
func (c *ServerCall) End() { c.finishOnce.Do(c.finish) }

// Cancel aborts the stream, which makes a blocked Receive return. The handler
// must still end the call.
func (c *ServerCall) Cancel() { c.stream.Cancel() }

func (c *ServerCall) finish() {
	c.account.Close()
	_ = c.stream.Close()
	c.server.openCalls.Done()
}

// refuse replies with an error to a call that addCall didn't count as open.
func (c *ServerCall) refuse(err error) {
	c.account.Close()
	_ = WriteFrame(c.stream, replyFrame{Error: fault.FromError(err)})
	_ = c.stream.Close()
}
