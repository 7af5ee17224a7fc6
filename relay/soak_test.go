package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"endivedeck.example/relay"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

const (
	soakTime       = 12 * time.Second
	soakEvents     = 30
	soakEventEvery = 40 * time.Millisecond
	soakSlots      = 4
	soakQueue      = 2
	soakServers    = 3
	soakClients    = 9 // of each relay; about as many as the servers have slots for
	maxSilence     = 1500 * time.Millisecond
)

type (
	// soak plays planned work and silences of sound servers on relays, while clients
	// send resumable streams on kept connections.
	soak struct {
		testbed *testbed
		rng     *rand.Rand // of run alone
		until   time.Time
		clients sync.WaitGroup

		mu       sync.Mutex
		servers  []*soakServer
		ran      map[string]int // runs by request
		seq      uint64
		started  int // servers that have ever started
		whole    int
		refused  int
		failures []string
	}

	// soakServer is a sound server that runs some requests at a time, queues a few more
	// and rejects the rest. It may fall silent for a while.
	soakServer struct {
		soak     *soak
		id       string
		listener net.Listener
		slots    chan struct{} // holds an element for each running request

		mu          sync.Mutex
		waiting     int
		silentUntil time.Time
	}

	// soakClient sends one request after the other on a kept connection.
	soakClient struct {
		soak  *soak
		relay *relay.Relay
		name  string
	}
)

// startServer starts a server and returns its announcement.
func (s *soak) startServer() roster.Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.testbed.t.Error(err)
		return roster.Server{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	server := &soakServer{soak: s, id: fmt.Sprint("soak", s.started), listener: listener, slots: make(chan struct{}, soakSlots)}
	s.servers = append(s.servers, server)
	go server.run()
	return s.announcement(server)
}

// announcement returns what a server announces. The caller must hold s.mu.
func (s *soak) announcement(server *soakServer) roster.Server {
	s.seq++
	return roster.Server{ID: server.id, Service: "assist", Address: server.listener.Addr().String(), StartedAt: 1, Seq: s.seq, Slots: soakSlots}
}

// run plays one piece of planned work or a silence after the other.
func (s *soak) run() {
	version := uint64(10)
	for time.Now().Before(s.until) {
		<-time.After(time.Duration(100+s.rng.IntN(500)) * time.Millisecond)
		switch s.rng.IntN(5) {
		case 0, 1:
			s.silence()
		case 2, 3:
			version++
			s.testbed.installRoutes(version, soakRoutes(time.Duration(100+s.rng.IntN(200))*time.Millisecond))
		case 4:
			s.replaceServer()
		}
	}
}

// silence has a server fall silent.
func (s *soak) silence() {
	s.mu.Lock()
	server := s.servers[s.rng.IntN(len(s.servers))]
	s.mu.Unlock()
	server.mu.Lock()
	defer server.mu.Unlock()
	server.silentUntil = time.Now().Add(time.Duration(s.rng.Int64N(int64(maxSilence))))
}

// replaceServer starts a server and has another one drain. That one ends once it has no
// requests any more.
func (s *soak) replaceServer() {
	s.testbed.announce(s.startServer())
	s.mu.Lock()
	i := s.rng.IntN(len(s.servers) - 1)
	leaving := s.servers[i]
	s.servers = append(s.servers[:i:i], s.servers[i+1:]...)
	drain := s.announcement(leaving)
	s.mu.Unlock()
	drain.Draining = true
	s.testbed.announce(drain)
}

func soakRoutes(objective time.Duration) []routes.Route {
	list := oneRoute(routes.Stream, 2, true)
	list[0].Timeout = 30 * time.Second // longer than any response takes
	list[0].LatencyObjective = objective
	return list
}

// run accepts connections until the listener is closed.
func (s *soakServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c)
	}
}

// loop responds to the requests on one connection.
func (s *soakServer) loop(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if !s.enter() {
			if _, err := io.WriteString(c, strings.Replace(notExecuted, "r1", id, 1)); err != nil {
				return
			}
			continue
		}
		s.slots <- struct{}{}
		s.leaveQueue()
		err = s.respond(c, r, id)
		<-s.slots
		if err != nil {
			return
		}
	}
}

// enter reports whether the server takes one more request.
func (s *soakServer) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.slots) == cap(s.slots) && s.waiting >= soakQueue {
		return false
	}
	s.waiting++
	return true
}

func (s *soakServer) leaveQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// respond sends the events of a response that follow the last one that the caller has.
func (s *soakServer) respond(c net.Conn, r *http.Request, id string) error {
	s.soak.mu.Lock()
	s.soak.ran[id]++
	s.soak.mu.Unlock()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if the stream begins
	text := strings.Replace(streamResponse("<cut>"), "r1", id, 1)
	if _, err := io.WriteString(c, strings.TrimSuffix(text, "<cut>")); err != nil {
		return err
	}
	for number := last + 1; number <= soakEvents; number++ {
		<-time.After(soakEventEvery)
		for s.silenceLeft() > 0 {
			<-time.After(s.silenceLeft())
		}
		e := event(number)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return err
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

func (s *soakServer) silenceLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.silentUntil)
}

// run sends requests until the soak ends.
func (c *soakClient) run() {
	defer c.soak.clients.Done()
	conn, err := net.Dial("tcp", c.relay.Address())
	if err != nil {
		c.soak.testbed.t.Error(err)
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := 0; time.Now().Before(c.soak.until); i++ {
		id := fmt.Sprintf("%s-%d", c.name, i)
		fmt.Fprintf(conn, "POST /a/ HTTP/1.1\r\nHost: crews.example\r\nRequest-Id: %s\r\nToken-Counts: 100,30\r\nPrompt-Prefix: ab:100\r\nContent-Length: 1\r\n\r\nx", id)
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			c.soak.record(id, 0, "no response: "+err.Error())
			return
		}
		body, err := io.ReadAll(response.Body)
		text := string(body)
		if err != nil {
			text += " cut: " + err.Error()
		}
		c.soak.record(id, response.StatusCode, text)
		if err != nil {
			return
		}
		if response.StatusCode != http.StatusOK {
			<-time.After(100 * time.Millisecond)
		}
	}
}

// record records the outcome of a request. It must have got its whole response, or a
// refusal that is true.
func (s *soak) record(id string, status int, text string) {
	var want strings.Builder
	for number := range soakEvents {
		want.WriteString(event(number + 1))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case status == http.StatusOK && text == want.String():
		s.whole++
	case status == http.StatusServiceUnavailable && s.ran[id] == 0:
		s.refused++
	default:
		s.failures = append(s.failures, fmt.Sprintf("%s: status %d, ran %d times, %d of %d bytes, %q", id, status, s.ran[id], len(text), want.Len(), text[max(0, len(text)-60):]))
	}
}

// TestSilenceSoak plays changes of the routes, servers that leave and silences of up to
// 1.5 s beside full servers. None of these is a reason to end a request without its
// whole response. SOAK_SEEDS=N plays seeds 1 to N in place of the fixed one.
func TestSilenceSoak(t *testing.T) {
	seeds := 1
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			t.Parallel()
			s := &soak{rng: rand.New(rand.NewPCG(uint64(seed+1), 5)), ran: map[string]int{}}
			s.testbed = newTestbed(t, soakRoutes(150*time.Millisecond))
			b := s.testbed
			relays := []*relay.Relay{b.relay, b.startRelay("second", "near")}
			var announced []roster.Server
			for range soakServers {
				announced = append(announced, s.startServer())
			}
			for _, r := range relays {
				b.waitFor("the relay has received the servers", func() bool {
					for _, server := range announced {
						b.announce(server)
					}
					return r.ServerCount("assist") == soakServers
				})
			}
			s.until = time.Now().Add(soakTime)
			for i, r := range relays {
				for k := range soakClients {
					s.clients.Add(1)
					go (&soakClient{soak: s, relay: r, name: fmt.Sprintf("c%d-%d", i, k)}).run()
				}
			}
			s.run()
			s.clients.Wait()
			t.Logf("%d whole, %d refused, %d servers started", s.whole, s.refused, s.started)
			for _, f := range s.failures {
				t.Error(f)
			}
			if s.whole == 0 {
				t.Error("no response was whole")
			}
		})
	}
}
