package connection_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"endivedeck.example/internal/responses/connection"
	"endivedeck.example/internal/responses/earlyserver"
)

const (
	requestHead  = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 67108864\r\n\r\n"
	requestBytes = 64 << 20
	responseText = "HTTP/1.1 200 OK\r\n\r\npart"
)

// upload writes a request to a connection.
type upload struct {
	conn net.Conn
	done chan struct{}
	err  error
}

// run writes the request and closes done.
func (u *upload) run() {
	defer close(u.done)
	_, u.err = u.conn.Write(append([]byte(requestHead), make([]byte, requestBytes)...))
}

// TestEndDuringWrite has a server respond and end the connection while the request is being
// written. A reset is never the end of the response, also if the write has noticed it
// first. The orderly end of the response is, whatever happens to the connection then.
func TestEndDuringWrite(t *testing.T) {
	for _, c := range []struct {
		name       string
		end        earlyserver.End
		writeFirst bool // the write has ended when the response is read
		readErr    error
		writeErr   error // nil if the write may end in more than one way
	}{
		{"reset, seen by the write", earlyserver.Reset, true, syscall.ECONNRESET, syscall.ECONNRESET},
		{"reset, seen by either", earlyserver.Reset, false, syscall.ECONNRESET, nil},
		{"reset after the end of the response, seen by the write", earlyserver.Close, true, nil, syscall.EPIPE},
		{"reset after the end of the response, seen by either", earlyserver.Close, false, nil, nil},
		{"end of the response, request not read", earlyserver.CloseRead, false, nil, nil},
		{"end of the response, request read", earlyserver.ReadClose, true, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := earlyserver.New(t, earlyserver.Options{Response: responseText, End: c.end})
			netConn, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			conn := connection.New(netConn)
			defer conn.Close()
			if err := conn.ExpectHead(nil, 1<<10); err != nil {
				t.Fatal(err)
			}
			u := &upload{conn: conn, done: make(chan struct{})}
			go u.run()
			s.Release()
			if c.writeFirst {
				<-u.done
			}
			got, err := io.ReadAll(conn)
			if got, want := string(got), responseText; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if !errors.Is(err, c.readErr) {
				t.Errorf("got read error %v, want %v", err, c.readErr)
			}
			<-u.done
			if c.writeErr != nil && !errors.Is(u.err, c.writeErr) {
				t.Errorf("got write error %v, want %v", u.err, c.writeErr)
			}
		})
	}
}
