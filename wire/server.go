package wire

import (
	"context"
	"sync"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/pool"
	"endivedeck.example/rank"
)

// lingerTime is how long connections stay open after the last reply, so that
// the reply still arrives.
const lingerTime = 200 * time.Millisecond

type (
	// Handler serves one method.
	Handler interface {
		// Handle serves x on a worker. The call stays open after Handle
		// returns, until Reply, Fail or End: what waits for an event is kept
		// in a table and answered later, and holds no worker.
		Handle(x *Exchange)
	}

	// HandlerFunc is a function as a Handler.
	HandlerFunc func(x *Exchange)

	// Exchange is one call as its server sees it.
	Exchange struct {
		Method string
		Peer   string
		body   []byte
		stream Stream
		server *Server
		once   sync.Once
	}

	// Server accepts calls and hands them to the worker pool. Create it with
	// NewServer.
	Server struct {
		listener Listener
		workers  *pool.Pool
		handlers map[string]Handler

		mu      rank.Mutex
		conns   map[Conn]bool
		closing bool
		open    sync.WaitGroup // calls that aren't answered yet
		cancel  context.CancelFunc
	}
)

var _ Handler = HandlerFunc(nil)

// Answer returns a handler of a method with one request and one reply: do gets
// the decoded request, and what it returns is the reply.
func Answer[In, Out any](do func(In) (Out, error)) Handler {
	return HandlerFunc(func(x *Exchange) {
		var in In
		if err := x.Decode(&in); err != nil {
			x.Fail(err)
			return
		}
		out, err := do(in)
		if err != nil {
			x.Fail(err)
			return
		}
		x.Reply(out)
	})
}

// Handle implements Handler.
func (f HandlerFunc) Handle(x *Exchange) { f(x) }

// NewServer serves the methods in handlers on listener with the workers of
// the given pool.
func NewServer(listener Listener, workers *pool.Pool, handlers map[string]Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener: listener,
		workers:  workers,
		handlers: handlers,
		mu:       rank.New(rank.Connection),
		conns:    map[Conn]bool{},
		cancel:   cancel,
	}
	go s.run(ctx)
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Address() }

// Stop refuses new calls, waits until the open ones are answered or ctx is
// done, and closes the connections.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	ended := make(chan struct{})
	go s.loop(ended)
	var err error
	select {
	case <-ended:
		linger, done := context.WithTimeout(ctx, lingerTime)
		<-linger.Done()
		done()
	case <-ctx.Done():
		err = fault.New(fault.Deadline, fault.Unknown, "calls were still open when the stop's time was over")
	}
	s.Close()
	return err
}

// Close cuts every connection at once.
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

func (s *Server) loop(ended chan<- struct{}) {
	s.open.Wait()
	close(ended)
}

// run accepts connections.
func (s *Server) run(ctx context.Context) {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		if !s.admit(conn) {
			_ = conn.Close()
			continue
		}
		c := &served{server: s, conn: conn}
		go c.run(ctx)
	}
}

func (s *Server) admit(conn Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) release(conn Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// begin counts a call that has come in, unless the server is closing.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.open.Add(1)
	return true
}

// served is one accepted connection.
type served struct {
	server *Server
	conn   Conn
}

// run accepts the streams of one connection.
func (c *served) run(ctx context.Context) {
	defer c.server.release(c.conn)
	for {
		stream, err := c.conn.Accept(ctx)
		if err != nil {
			_ = c.conn.Close()
			return
		}
		x := &Exchange{Peer: c.conn.Peer(), stream: stream, server: c.server}
		if !c.server.begin() {
			x.refuse(fault.New(fault.Unavailable, fault.No, "the process is stopping"))
			continue
		}
		if err := c.server.workers.Submit(x); err != nil {
			x.Fail(err)
		}
	}
}

// Do implements pool.Task: it reads the request and calls its handler.
func (x *Exchange) Do() {
	_ = x.stream.SetDeadline(time.Now().Add(firstFrameTime))
	var r request
	if err := ReadFrame(x.stream, &r); err != nil {
		x.Fail(fault.New(fault.Malformed, fault.No, "reading a request: %v", err))
		return
	}
	_ = x.stream.SetDeadline(time.Time{})
	x.Method = r.Method
	x.body = r.Body
	handler, ok := x.server.handlers[r.Method]
	if !ok {
		x.Fail(fault.New(fault.NotFound, fault.No, "no method %q", r.Method))
		return
	}
	handler.Handle(x)
}

// Decode decodes the request's body.
func (x *Exchange) Decode(value any) error { return Decode(x.body, value) }

// Receive reads one more message of the caller.
func (x *Exchange) Receive(value any) error { return ReadFrame(x.stream, value) }

// Send sends one reply of several.
func (x *Exchange) Send(value any) error {
	body, err := Encode(value)
	if err != nil {
		return err
	}
	if err := WriteFrame(x.stream, reply{Body: body}); err != nil {
		return fault.New(fault.Broken, fault.Unknown, "the connection was lost: %v", err)
	}
	return nil
}

// Reply sends the last reply and ends the call.
func (x *Exchange) Reply(value any) {
	_ = x.Send(value)
	x.End()
}

// Fail sends an error as the last reply and ends the call.
func (x *Exchange) Fail(err error) {
	_ = WriteFrame(x.stream, reply{Error: fault.From(err)})
	x.End()
}

// End ends the call; replies that were sent still arrive. It may be called
// more than once.
func (x *Exchange) End() { x.once.Do(x.end) }

// Cancel gives the call up at once, so that a Receive that waits returns. The
// call still has to be ended.
func (x *Exchange) Cancel() { x.stream.Cancel() }

func (x *Exchange) end() {
	_ = x.stream.Close()
	x.server.open.Done()
}

// refuse answers a call that was never counted as open.
func (x *Exchange) refuse(err error) {
	_ = WriteFrame(x.stream, reply{Error: fault.From(err)})
	_ = x.stream.Close()
}
