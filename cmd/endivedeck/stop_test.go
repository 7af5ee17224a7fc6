package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"endivedeck.example/interval"
)

// maxSilence is less than the time after which a stopping entry takes a connection
// for quiet.
const maxSilence = 150 * time.Millisecond

// keptConnection is a client that ignores the health of an entry: it sends chats on
// a kept connection, and on another one when the entry has closed it, until it
// can't connect.
type keptConnection struct {
	system   *system
	number   int
	answered int
	lost     []string
	done     *sync.WaitGroup
}

func (c *keptConnection) run() {
	defer c.done.Done()
	for {
		start := time.Now()
		conn, err := net.Dial("tcp", c.system.entryAddresses[0])
		if err != nil {
			return
		}
		c.use(conn, start)
		_ = conn.Close()
	}
}

// use sends chats until a response announces the end of the connection or there is
// none. The entry may have taken the connection for quiet only if maxSilence passed
// between last, before its last use, and the end of sending.
func (c *keptConnection) use(conn net.Conn, last time.Time) {
	reader := bufio.NewReader(conn)
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"crew %d"}],"stream":%v,"max_tokens":8}`, modelName, c.number, c.number%2 == 0)
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", callerKey, len(body), body)
	for {
		start := time.Now()
		_, err := io.WriteString(conn, request)
		silence := time.Since(last)
		last = start
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			if silence < maxSilence {
				c.lost = append(c.lost, fmt.Sprintf("%s sent after %v: %v", start.UTC().Format(clockFormat), silence, err))
			}
			return
		}
		c.answered++
		if response.Close {
			return
		}
		interval.Sleep(c.system.ctx, time.Duration(c.number)*time.Millisecond)
	}
}

// TestEntryStopLosesRequests stops an entry with two signals while clients use
// their connections until the process has ended. Each request must be answered.
func TestEntryStopLosesRequests(t *testing.T) {
	s := newSystem(t, 2, 0)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crewsContract())
	s.awaitGrants(false)
	for round := range 3 {
		var running sync.WaitGroup
		clients := make([]*keptConnection, 24)
		for i := range clients {
			clients[i] = &keptConnection{system: s, number: i, done: &running}
			running.Add(1)
			go clients[i].run()
		}
		interval.Sleep(s.ctx, 300*time.Millisecond)
		s.signal("entry-1", syscall.SIGTERM)
		interval.Sleep(s.ctx, 50*time.Millisecond)
		s.stop("entry-1")
		running.Wait()
		answered := 0
		for _, c := range clients {
			answered += c.answered
			if len(c.lost) > 0 {
				t.Errorf("round %d, client %d: got lost requests, want none:\n%s", round, c.number, strings.Join(c.lost, "\n"))
			}
		}
		t.Logf("round %d: %d answers", round, answered)
		s.restart("entry-1")
		s.awaitGrants(false)
	}
}
