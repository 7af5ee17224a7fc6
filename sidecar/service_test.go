package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/internal/responses/earlyserver"
	"endivedeck.example/message"
)

// repeatingService is a service that writes its first response once more before each
// later response on the same connection.
type repeatingService struct{ listener net.Listener }

// run accepts connections until the listener is closed.
func (s *repeatingService) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c)
	}
}

// loop responds to each request on a connection with its path.
func (s *repeatingService) loop(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	first := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.RequestURI), r.RequestURI)
		if _, err := io.WriteString(c, first+response); err != nil {
			return
		}
		if first == "" {
			first = response
		}
	}
}

// TestLateCopyOfAnswer has a service write the response to a read once more where the
// response to the next one is due. The next caller must get its own.
func TestLateCopyOfAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	s := &repeatingService{listener: listener}
	go s.run()
	service := newHTTPService(ServiceSettings{Address: listener.Addr().String()})
	for _, path := range []string{"/first", "/second"} {
		response, err := service.Call(t.Context(), message.ServiceCall{Method: http.MethodGet, Path: path})
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if got, want := string(response.Body), path; got != want {
			t.Errorf("got the response %q, want %q", got, want)
		}
	}
}

// TestStatusThatIsNone has a service respond with a status that can't be passed on. The
// caller must get an error, since writing such a status ends the connection without a
// response.
func TestStatusThatIsNone(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		s := &oddService{listener: listener, status: status}
		go s.run()
		service := newHTTPService(ServiceSettings{Address: listener.Addr().String()})
		response, err := service.Call(t.Context(), message.ServiceCall{Method: http.MethodPost, Path: "/", BeginIndex: 7, IdempotencyKey: "k"})
		if got, want := fault.KindOf(err), fault.Broken; got != want {
			t.Errorf("status %s: got %+v and error kind %q, want %q", status, response, got, want)
		} else if got, want := fault.FromError(err).Ran, fault.HasRun; got != want {
			t.Errorf("status %s: got ran %s, want %s", status, got, want)
		}
	}
}

// oddService is a service that responds to one request with the given status.
type oddService struct {
	listener net.Listener
	status   string
}

// run serves one connection.
func (s *oddService) run() {
	c, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\nok", s.status)
}

// endlessService is a service that writes a header line without end.
type endlessService struct {
	listener net.Listener
	written  atomic.Int64 // bytes
}

// run accepts connections until the listener is closed.
func (s *endlessService) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c)
	}
}

// loop writes until the client closes the connection.
func (s *endlessService) loop(c net.Conn) {
	defer c.Close()
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
	for text := "HTTP/1.1 200 OK\r\nA: "; ; text = strings.Repeat("x", 16<<10) {
		n, err := io.WriteString(c, text)
		s.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestEndlessHead has a service send a header line without end. The sidecar accepted
// 10 MB on each connection.
func TestEndlessHead(t *testing.T) {
	const maxAccepted = 8 << 20 // bytes, with those in the buffers of both sockets
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	s := &endlessService{listener: listener}
	go s.run()
	service := newHTTPService(ServiceSettings{Address: listener.Addr().String(), HealthPath: "/health"})
	if _, err := service.Call(t.Context(), message.ServiceCall{Method: http.MethodPost, Path: "/", BeginIndex: 7}); fault.KindOf(err) != fault.Broken {
		t.Errorf("got error %v, want kind %s", err, fault.Broken)
	}
	if err := service.Healthy(t.Context()); err == nil {
		t.Error("got a healthy service, want an error")
	}
	if got := s.written.Load() / 2; got > maxAccepted {
		t.Errorf("got %d bytes accepted on a connection, want at most %d", got, maxAccepted)
	}
}

// cutService is a service that sends the first bytes of a response and closes the
// connection.
type cutService struct {
	listener net.Listener
	response string
	length   atomic.Int64
}

// run accepts connections until the listener is closed.
func (s *cutService) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.respond(c)
	}
}

func (s *cutService) respond(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = io.WriteString(c, s.response[:s.length.Load()])
}

// TestResponseCutAtAnyByte has a service close the connection within its response. No
// part of it may pass for a whole response, also if it ends within the head.
func TestResponseCutAtAnyByte(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		s := &cutService{listener: listener, response: response}
		go s.run()
		service := newHTTPService(ServiceSettings{Address: listener.Addr().String()})
		for length := range len(response) {
			s.length.Store(int64(length))
			got, err := service.Call(t.Context(), message.ServiceCall{Method: http.MethodPost, Path: "/", BeginIndex: 7})
			if err == nil {
				t.Errorf("cut after %d bytes of %q: got the response %+v, want an error", length, response, got)
			}
		}
	}
}

// TestInvalidFieldName has a service respond with heads in which the name of a field holds
// a blank or a control byte. No order may count as done by such a response, and no service
// as healthy.
func TestInvalidFieldName(t *testing.T) {
	for name, line := range map[string]string{
		"blank in a name":           "A B: 1\r\nContent-Length: 4",
		"blank after the name":      "Content-Length : 2",
		"blank before a name":       " Content-Length: 2",
		"tab before a name":         "\tContent-Length: 2",
		"blank in the encoding":     "Transfer-Encoding : chunked",
		"NUL in a name":             "A\x00B: 1\r\nContent-Length: 4",
		"no colon":                  "A\r\nContent-Length: 4",
		"blank, after interim":      "\r\nHTTP/1.1 200 OK\r\nA B: 1\r\nContent-Length: 4",
		"blank in an interim field": "A B: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4",
	} {
		status := "200 OK"
		if strings.Contains(line, "HTTP/") {
			status = "102 Processing"
		}
		response := "HTTP/1.1 " + status + "\r\nA: 1\r\n" + line + "\r\n\r\ndone"
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		s := &cutService{listener: listener, response: response}
		s.length.Store(int64(len(response)))
		go s.run()
		service := newHTTPService(ServiceSettings{Address: listener.Addr().String(), HealthPath: "/health"})
		got, err := service.Call(t.Context(), message.ServiceCall{Method: http.MethodPost, Path: "/", BeginIndex: 7, IdempotencyKey: "k"})
		if got, want := fault.KindOf(err), fault.Broken; got != want {
			t.Errorf("%s: got error %v, want kind %q", name, err, want)
		} else if got, want := fault.FromError(err).Ran, fault.MaybeRun; got != want {
			t.Errorf("%s: got ran %s, want %s", name, got, want)
		}
		if err == nil {
			t.Errorf("%s: got the response %+v", name, got)
		}
		if err := service.Healthy(t.Context()); err == nil {
			t.Errorf("%s: got a healthy service, want an error", name)
		}
	}
}

// TestResetDuringUpload has a service respond to long orders before it has read them. No
// order may count as done by a response without a length that ends with a reset.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 40 // for each case; whether the reset is noticed by a read or a write varies
	for _, c := range []struct {
		name, response string
		end            earlyserver.End
		wantDone       int
	}{
		{"no length, reset", "HTTP/1.1 200 OK\r\n\r\npart", earlyserver.Reset, 0},
		{"failure, no length, reset", "HTTP/1.1 500 Failed\r\n\r\npart", earlyserver.Reset, 0},
		{"no length, reset, after an interim response", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart", earlyserver.Reset, 0},
		{"part of the length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", earlyserver.Reset, 0},
		{"reset within the head", "HTTP/1.1 200 OK\r\nA: ", earlyserver.Reset, 0},
		{"reset before the head", "", earlyserver.Reset, 0},
		{"reset after the order", "HTTP/1.1 200 OK\r\n\r\npart", earlyserver.ReadReset, 0},
		{"closed within the length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", earlyserver.ReadClose, 0},
		{"no length, order read after the end", "HTTP/1.1 200 OK\r\n\r\npart", earlyserver.CloseRead, uploads},
		{"no length, order read before the end", "HTTP/1.1 200 OK\r\n\r\npart", earlyserver.ReadClose, uploads},
		{"length, order read", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", earlyserver.ReadClose, uploads},
	} {
		s := earlyserver.New(t, earlyserver.Options{Response: c.response, End: c.end, Pause: 5 * time.Millisecond}) // for the client to read the head
		s.Release()
		service := newHTTPService(ServiceSettings{Address: s.Address()})
		done := 0
		for range uploads {
			response, err := service.Call(t.Context(), message.ServiceCall{Method: http.MethodPost, Path: "/", BeginIndex: 7, IdempotencyKey: "k", Body: make([]byte, 16<<20)})
			switch {
			case err == nil && string(response.Body) == "part":
				done++
			case fault.KindOf(err) != fault.Broken || fault.FromError(err).Ran != fault.MaybeRun:
				t.Errorf("%s: got %+v and error %v, want kind %q and ran %s", c.name, response, err, fault.Broken, fault.MaybeRun)
			}
		}
		if got, want := done, c.wantDone; got != want {
			t.Errorf("%s: got %d of %d orders done, want %d", c.name, got, uploads, want)
		}
	}
}
