package gate

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/internal/callers/allowance"
	"endivedeck.example/rank"
)

// TestCallerLimits plays what meets the limits that may change while a server runs.
func TestCallerLimits(t *testing.T) {
	var got strings.Builder
	for _, test := range []struct {
		name   string
		limits CallerLimits
		play   func(c *testConn)
	}{
		{"a pause as long as the limit allows", CallerLimits{IdleTime: 5 * time.Second}, func(c *testConn) {
			c.send(wholeRequest)
			c.receive()
			time.Sleep(100 * time.Millisecond)
			c.send(wholeRequest)
			c.receive()
		}},
		{"a pause longer than the limit", CallerLimits{IdleTime: 100 * time.Millisecond}, func(c *testConn) {
			c.send(wholeRequest)
			c.receive()
			c.receiveEnd()
		}},
		{"a connection that has sent nothing yet is no pause", CallerLimits{IdleTime: 50 * time.Millisecond}, func(c *testConn) {
			time.Sleep(200 * time.Millisecond)
			c.send(wholeRequest)
			c.receive()
		}},
		{"a head that takes longer than the limit", CallerLimits{HeadTime: 50 * time.Millisecond}, func(c *testConn) {
			c.send(wholeRequest[:10])
			c.receive()
		}},
		{"a head of the largest size", CallerLimits{MaxHeadBytes: 16 << 10}, func(c *testConn) {
			c.send(strings.Replace(wholeRequest, "Host", "A: "+strings.Repeat("a", 16<<10-80)+"\r\nHost", 1))
			c.receive()
		}},
		{"a head over the limit", CallerLimits{MaxHeadBytes: 16 << 10}, func(c *testConn) {
			c.send(strings.Replace(wholeRequest, "Host", "A: "+strings.Repeat("a", 24<<10)+"\r\nHost", 1))
			c.receive()
		}},
	} {
		s := newStopTest(t, 10)
		s.server.SetCallerLimits(test.limits)
		fmt.Fprintf(&s.log, "%s\n", test.name)
		test.play(s.dial())
		fmt.Fprintf(&s.log, "  %d requests were passed on\n", s.served.Load())
		got.WriteString(s.log.String())
	}
	golden.Check(t, "callers.golden", got.String())
}

// TestRefusedBody fills the budget with a body that stops before its end. A second one
// makes it give way; the first caller is told that its request has not run. So is one
// whose head doesn't fit.
func TestRefusedBody(t *testing.T) {
	budget := allowance.New(allowance.Limits{Bytes: 1 << 20, Reserve: 256 << 10, Address: 1 << 20}, nil)
	s := &stopTest{t: t, released: make(chan struct{})}
	server, err := NewWithin(budget, "127.0.0.1:0", http.HandlerFunc(answerRead), DefaultLimits(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	s.server = server
	slow, next := s.dial(), s.dial()
	slow.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 600000\r\n\r\n" + strings.Repeat("b", 599_999))
	time.Sleep(300 * time.Millisecond)
	next.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 600000\r\n\r\n" + strings.Repeat("b", 600_000))
	next.receive()
	slow.receive()
	slow.receiveEnd()
	head := s.dial()
	head.send("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 4000))
	head.receive()
	golden.Check(t, "refused.golden", s.log.String())
	_ = next.Close()
	_ = slow.Close()
	_ = head.Close()
	for deadline := time.Now().Add(10 * time.Second); budget.Held() > 0; {
		if time.Now().After(deadline) {
			t.Fatalf("got %d bytes held, want none", budget.Held())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// answerRead reads the body of a request and says what came of it.
func answerRead(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintf(w, "%d bytes", len(body))
}

// BenchmarkHead measures what an ordinary request costs before its handler runs.
func BenchmarkHead(b *testing.B) {
	rank.DisableChecks()
	budget := allowance.New(allowance.For(284<<20), nil)
	c := &conn{listener: &listener{}, account: budget.Open("10.0.0.1", nil)}
	head := []byte("POST /notes/1 HTTP/1.1\r\nHost: crews.example\r\n" + strings.Repeat("Some-Header: some value\r\n", 10) + "\r\n")
	r, err := http.NewRequest(http.MethodPost, "/notes/1", nil)
	if err != nil {
		b.Fatal(err)
	}
	for i := range 10 {
		r.Header.Set(fmt.Sprintf("Some-Header-%d", i), "some value")
	}
	now := time.Now()
	for b.Loop() {
		c.account.Restart(now)
		c.account.Moved(now, len(head))
		c.hold(int64(allowance.LineBytes * 12))
		c.chargeHead(r)
		c.account.Rest(now)
		c.account.Await(now)
		c.account.Moved(now, 100)
		c.account.Rest(now)
		c.account.Shrink(c.held)
		c.held = 0
	}
}
