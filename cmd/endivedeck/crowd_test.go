package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/gate"
	"endivedeck.example/interval"
	"endivedeck.example/keys"
	"endivedeck.example/settings"
	"endivedeck.example/wire"
	"endivedeck.example/wire/quicline"
)

const (
	crowdMemory      = 128     // MB of memory in the settings of a process under test
	crowdDescriptors = 1400    // descriptors in its settings; the limit of connections follows from them
	crowdConnections = 500     // connections that it may have open, as platform derives them from crowdDescriptors
	crowdBodyBytes   = 4 << 20 // largest body of a request
	crowdHeadBytes   = 16_000  // of a head inside the limits
	endlessBytes     = 2 << 20 // that a member sends of what has no end
	memberPatience   = 2 * time.Second
	dripPause        = 20 * time.Millisecond
	answerBytes      = 2 << 20 // of the answers that nobody reads
	testHost         = "crews.example"
)

type (
	// crowdSite is a process under test and an ordinary request to it, or through it.
	crowdSite struct {
		t        *testing.T
		system   *system
		process  string // under test
		address  string // that the crowd connects to
		method   string // of a request with a body
		target   string // of that request
		large    string // of a request with a large answer; or the largest there is
		header   string // lines of an ordinary request
		ordinary func() error
	}

	// crowdShape is one way to load a process.
	crowdShape struct {
		name    string
		members int
		play    func(m *member)
	}

	// member is one client of a crowd. Its connection stays open until the test ends.
	member struct {
		net.Conn
		site  *crowdSite
		index int
	}

	// crowd is the clients of one test.
	crowd struct {
		mu    sync.Mutex
		conns []io.Closer
		wg    sync.WaitGroup
	}

	// peak is what a process used at most.
	peak struct{ memoryMB, descriptors int }
)

// crowdShapes are what clients send that nobody controls.
var crowdShapes = []crowdShape{
	{"short-lines", 450, func(m *member) { m.writeHeadOf(shortLines(crowdHeadBytes)) }},
	{"folded-lines", 300, func(m *member) { m.writeHeadOf("a: b\r\n" + strings.Repeat(" c\r\n", crowdHeadBytes/4)) }},
	{"empty-names", 300, func(m *member) { m.writeHeadOf(strings.Repeat(": b\r\n", crowdHeadBytes/5)) }},
	{"only-colons", 300, func(m *member) { m.writeHeadOf(strings.Repeat(":\r\n", crowdHeadBytes/3)) }},
	{"control-characters", 300, func(m *member) { m.writeHeadOf(strings.Repeat("a\x01: \x00\x7f\r\n", crowdHeadBytes/8)) }},
	{"line-of-legal-length", 300, func(m *member) { m.write(m.firstLine() + "a: " + strings.Repeat("b", crowdHeadBytes)) }},
	{"head-over-the-limit", 300, func(m *member) { m.writeHeadOf(shortLines(endlessBytes)) }},
	{"head-without-end", 300, func(m *member) { m.write(m.firstLine() + shortLines(endlessBytes)) }},
	{"empty-lines", 300, func(m *member) { m.write(strings.Repeat("\r\n", endlessBytes/2)) }},
	{"request-line", 300, func(m *member) { m.write("POST /" + strings.Repeat("a", endlessBytes)) }},
	{"chunk-lines", 300, func(m *member) { m.write(m.chunkedHead() + strings.Repeat("0", endlessBytes)) }},
	{"chunk-extensions", 300, func(m *member) { m.write(m.chunkedHead() + strings.Repeat("1;a=b\r\nc\r\n", endlessBytes/10)) }},
	{"trailers", 300, func(m *member) { m.write(m.chunkedHead() + "0\r\n" + shortLines(endlessBytes)) }},
	{"bodies-whole", 100, func(m *member) {
		m.write(m.head(crowdBodyBytes), bytes.Repeat([]byte("b"), crowdBodyBytes-m.missing()))
	}},
	{"bodies-in-pieces", 100, func(m *member) {
		m.write(m.chunkedHead())
		piece := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("b", 64<<10))
		for range crowdBodyBytes/(64<<10) - 1 {
			m.write(piece)
		}
		m.write(piece[:len(piece)-2-m.missing()])
	}},
	{"bodies-that-drip", 100, func(m *member) {
		m.write(m.head(crowdBodyBytes), bytes.Repeat([]byte("b"), crowdBodyBytes-100))
		for range 50 {
			m.write("b")
			interval.Sleep(m.site.system.ctx, dripPause)
		}
	}},
	{"bodies-of-many-elements", 20, func(m *member) {
		list := strings.Repeat("{},", (crowdBodyBytes-100)/2/3)
		body := `{"version":2,"messages":[` + list[:len(list)-1] + `],"routes":[` + list + `{}]}`
		m.write(m.head(len(body)), body)
	}},
	{"unread-answers", 200, func(m *member) { m.write(strings.Repeat(m.request(m.site.large), 50)) }},
	{"idle-connections", crowdConnections + 200, func(m *member) { m.exchange(m.request("/nothing")) }},
	{"handshakes", crowdConnections + 200, func(*member) {}},
	{"pipelined", 200, func(m *member) {
		m.exchange(strings.Repeat("GET /nothing HTTP/1.1\r\nHost: "+testHost+"\r\n"+shortLines(crowdHeadBytes/4)+"\r\n", 100))
	}},
}

// shortLines returns lines of a head, each with another name, of at most size bytes.
func shortLines(size int) string {
	var text []byte
	for i := 0; ; i++ {
		line := strconv.FormatInt(int64(i), 36) + ":\r\n"
		if len(text)+len(line) > size {
			return string(text)
		}
		text = append(text, line...)
	}
}

func (m *member) firstLine() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", m.site.method, m.site.target, testHost, m.site.header)
}

func (m *member) head(bodyBytes int) string {
	return m.firstLine() + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)
}

func (m *member) chunkedHead() string {
	return m.firstLine() + "Transfer-Encoding: chunked\r\n\r\n"
}

func (m *member) request(target string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", target, testHost, m.site.header)
}

// missing returns how many bytes the body of this member lacks: most stop a byte before
// the end.
func (m *member) missing() int {
	if m.index%8 == 0 {
		return 0
	}
	return 1
}

// writeHeadOf writes a head with the given lines, and a body that lacks a byte.
func (m *member) writeHeadOf(lines string) {
	m.write(m.firstLine(), lines, "Content-Length: 10\r\n\r\n123456789")
}

// write writes texts until the process takes no more for memberPatience or closes the
// connection, both of which it may do.
func (m *member) write(parts ...any) {
	for _, part := range parts {
		text, ok := part.([]byte)
		if !ok {
			text = []byte(part.(string))
		}
		_ = m.SetWriteDeadline(time.Now().Add(memberPatience))
		if _, err := m.Write(text); err != nil {
			return
		}
	}
}

// exchange writes text and reads what is answered until the process is silent for
// memberPatience.
func (m *member) exchange(text string) {
	var reading sync.WaitGroup
	reading.Add(1)
	go m.run(&reading)
	m.write(text)
	reading.Wait()
}

func (m *member) run(reading *sync.WaitGroup) {
	defer reading.Done()
	buf := make([]byte, 64<<10)
	for {
		_ = m.SetReadDeadline(time.Now().Add(memberPatience))
		if _, err := m.Read(buf); err != nil {
			return
		}
	}
}

// gather lets members of a crowd come all at once and waits until each has played.
func (c *crowd) gather(members int, come func(index int) io.Closer) {
	for i := range members {
		c.wg.Add(1)
		go c.run(i, come)
	}
	c.wg.Wait()
}

func (c *crowd) run(index int, come func(index int) io.Closer) {
	defer c.wg.Done()
	conn := come(index)
	if conn == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
}

func (c *crowd) leave() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// come connects a member and lets it play.
func (s *crowdSite) come(shape crowdShape, index int) io.Closer {
	conn, err := net.DialTimeout("tcp", s.address, memberPatience)
	if err != nil {
		return nil // the process may refuse it
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	shape.play(&member{Conn: conn, site: s, index: index})
	return conn
}

// check gathers a crowd before a fresh process and checks that the process lives, that
// its memory and descriptors stayed under their bounds, and that one ordinary request is
// answered while the crowd is there.
func (s *crowdSite) check(gather func(c *crowd)) {
	s.t.Helper()
	s.system.t = s.t
	s.system.kill(s.process)
	s.system.restart(s.process)
	s.system.await("the first answer", func() bool { return s.ordinary() == nil })
	p := s.system.processes[s.process]
	w := &peakWatch{pid: p.cmd.Process.Pid, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	c := &crowd{}
	gather(c)
	err := s.awaitOrdinary()
	close(w.stop)
	<-w.done
	c.leave()
	select {
	case err := <-p.exited:
		p.exited <- err // for kill
		s.t.Errorf("got process ended: %v, want it to live", err)
		return
	default:
	}
	if err != nil {
		s.t.Errorf("got no answer to an ordinary request: %v", err)
	}
	if got, want := w.most.memoryMB, crowdMemory; got > want {
		s.t.Errorf("got %d MB of memory, want at most %d", got, want)
	}
	if got, want := w.most.descriptors, crowdDescriptors; got > want {
		s.t.Errorf("got %d descriptors, want at most %d", got, want)
	}
	s.t.Logf("%s: at most %d MB, %d descriptors", s.t.Name(), w.most.memoryMB, w.most.descriptors)
}

// awaitOrdinary sends ordinary requests until one is answered or waitTimeout is over.
func (s *crowdSite) awaitOrdinary() error {
	ctx, cancel := context.WithTimeout(s.system.ctx, waitTimeout)
	defer cancel()
	for {
		err := s.ordinary()
		if err == nil || !interval.Sleep(ctx, 50*time.Millisecond) {
			return err
		}
	}
}

// peakWatch reads what a process uses from the system.
type peakWatch struct {
	pid  int
	most peak
	stop chan struct{}
	done chan struct{}
}

func (w *peakWatch) run() {
	defer close(w.done)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		w.look()
		select {
		case <-w.stop:
			w.look()
			return
		case <-ticker.C:
		}
	}
}

// look reads the peak of resident memory and the number of open descriptors.
func (w *peakWatch) look() {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid)) // fails if the process has ended
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			w.most.memoryMB = max(w.most.memoryMB, kb>>10)
		}
	}
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))
	w.most.descriptors = max(w.most.descriptors, len(entries))
}

// get sends an ordinary request on a new connection and checks its answer.
func get(ctx context.Context, method, url, body string, status int) error {
	ctx, cancel := context.WithTimeout(ctx, memberPatience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Host = testHost
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != status {
		return fmt.Errorf("got %s, want %d", response.Status, status)
	}
	return nil
}

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// newMachineSite starts a relay and a control instance with the provider's settings, and
// a backend server that announces itself to the control instance.
func newMachineSite(t *testing.T) (relay, control *crowdSite) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &system{t: t, folder: t.TempDir(), processes: map[string]*process{}, ctx: ctx}
	t.Cleanup(func() {
		s.killAll()
		cancel()
	})
	ip := fmt.Sprintf("127.%d.%d.1", 64+rand.IntN(128), 1+rand.IntN(250))
	front, operator := ip+":20000", ip+":20002"
	common := fmt.Sprintf("nodeId=edge-1\nip=%s\nzone=zone-a\nregion=region-1\nlisten.front=%s\nlisten.ready=%s:20001\nlisten.control=%s\ninternalPorts=20003,20008\nseeds=%s\n", ip, front, ip, operator, operator) +
		fmt.Sprintf("bootstrap=true\nlimits.memoryMb=%d\nlimits.maxFds=%d\nheartbeatMs=1200\nbounds.graceS=8\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryBudgetSlack=58\n", crowdMemory, crowdDescriptors)
	for _, role := range []string{"control", "relay"} {
		file := filepath.Join(s.folder, role+".conf")
		if err := os.WriteFile(file, []byte(common+"role="+role+"\ndataDir="+filepath.Join(s.folder, role)+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		s.startProcess(role, "machine", "-settings", file)
	}
	b := newCrowdBackend(t, operator)
	routes := []map[string]any{{"name": "work", "host": testHost, "pathPrefix": "/work/", "kind": "idempotent", "timeoutMs": 30_000, "targetLatencyMs": 250, "service": "ledger", "maxAttempts": 2}}
	manifest, err := json.Marshal(map[string]any{
		"version": 1, "routes": routes, "services": []map[string]any{{"name": "ledger", "maxConns": 400}},
		"limits": map[string]any{"maxHeaderBytes": 16_384, "maxBodyBytes": crowdBodyBytes, "headerTimeoutMs": 600_000, "idleTimeoutMs": 600_000},
		"notes":  strings.Repeat("n", answerBytes), // makes the answer to an operator large
	})
	if err != nil {
		t.Fatal(err)
	}
	s.await("the manifest", func() bool {
		return get(ctx, http.MethodPut, "http://"+operator+"/-/config", string(manifest), 200) == nil
	})
	go b.run(ctx)
	relay = &crowdSite{t: t, system: s, process: "relay", address: front, method: http.MethodPost, target: "/work/small", large: "/work/large"}
	relay.ordinary = func() error { return get(ctx, http.MethodPost, "http://"+front+"/work/small", "hello", 200) }
	control = &crowdSite{t: t, system: s, process: "control", address: operator, method: http.MethodPut, target: "/-/config", large: "/-/config"}
	control.ordinary = func() error {
		if err := get(ctx, http.MethodPut, "http://"+operator+"/-/instances/i-2", b.announcement(), 200); err != nil {
			return err
		}
		return get(ctx, http.MethodGet, "http://"+operator+"/-/config", "", 200)
	}
	return relay, control
}

// crowdBackend is a backend server of the relay under test.
type crowdBackend struct {
	server   *httptest.Server
	operator string
}

func newCrowdBackend(t *testing.T, operator string) *crowdBackend {
	t.Helper()
	b := &crowdBackend{operator: operator}
	b.server = httptest.NewServer(b)
	t.Cleanup(b.server.CloseClientConnections)
	return b
}

// ServeHTTP implements http.Handler.
func (b *crowdBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if strings.HasSuffix(r.URL.Path, "/large") {
		_, _ = w.Write(make([]byte, answerBytes))
		return
	}
	_, _ = w.Write([]byte("done"))
}

func (b *crowdBackend) announcement() string {
	return fmt.Sprintf(`{"service":"ledger","address":%q,"zone":"zone-a","version":"v1","slots":400,"state":"ready","seq":%d,"born":1}`, b.server.Listener.Addr().String(), time.Now().UnixMilli())
}

// run announces the backend server until ctx is done.
func (b *crowdBackend) run(ctx context.Context) {
	for {
		_ = get(ctx, http.MethodPut, "http://"+b.operator+"/-/instances/i-1", b.announcement(), 200) // the next one may get through
		if !interval.Sleep(ctx, 500*time.Millisecond) {
			return
		}
	}
}

// newEntrySite starts a deployment with an engine. Its entry and its sidecar are under
// test.
func newEntrySite(t *testing.T) (entry, sidecar *crowdSite) {
	t.Helper()
	s := &system{t: t, stepTime: "5ms", memory: crowdMemory, limits: gate.DefaultLimits()}
	s.limits.MaxConns = crowdConnections
	s.limits.MaxBodyBytes = crowdBodyBytes
	s.limits.IdleTimeout = settings.Duration(10 * time.Minute)
	s.startAll(1, 0)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crewsContract())
	s.awaitGrants(false)
	chat := func() error {
		ctx, cancel := context.WithTimeout(s.ctx, 3*memberPatience)
		defer cancel()
		old := s.ctx
		s.ctx = ctx
		defer func() { s.ctx = old }()
		http.DefaultClient.CloseIdleConnections()
		_, err := s.sendChat(0, "are you there", false)
		return err
	}
	entry = &crowdSite{t: t, system: s, process: "entry-1", address: s.entryAddresses[0], method: http.MethodPost, target: "/v1/chat/completions", large: "/v1/models", ordinary: chat}
	entry.header = "Authorization: Bearer " + callerKey + "\r\n"
	sidecar = &crowdSite{t: t, system: s, process: modelName + "-1", address: s.sidecarAddress, ordinary: chat}
	return entry, sidecar
}

func TestCrowdRelay(t *testing.T) {
	relay, _ := newMachineSite(t)
	relay.playAll(t)
}

func TestCrowdControl(t *testing.T) {
	_, control := newMachineSite(t)
	control.playAll(t)
}

func TestCrowdEntry(t *testing.T) {
	entry, _ := newEntrySite(t)
	entry.playAll(t)
}

// TestCrowdDescriptors opens more connections to each listener beside that of callers than
// the process may have descriptors.
func TestCrowdDescriptors(t *testing.T) {
	relay, control := newMachineSite(t)
	host, _, err := net.SplitHostPort(relay.address)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		site    *crowdSite
		address string
		path    string
	}{
		{"readiness", relay, host + ":20001", "/"},
		{"relay-metrics", relay, host + ":9464", "/metrics"},
		{"control-metrics", control, host + ":9465", "/metrics"},
		{"operator", control, control.address, "/-/config"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := *test.site
			s.t, s.address = t, test.address
			s.ordinary = func() error { return get(s.system.ctx, http.MethodGet, "http://"+test.address+test.path, "", 200) }
			shape := crowdShape{"handshakes", crowdDescriptors + 100, func(*member) {}}
			s.check(func(c *crowd) { c.gather(shape.members, func(i int) io.Closer { return s.come(shape, i) }) })
		})
	}
	relay.system.t = t
}

func (s *crowdSite) playAll(t *testing.T) {
	for _, shape := range crowdShapes {
		t.Run(shape.name, func(t *testing.T) {
			s.t = t
			s.check(func(c *crowd) { c.gather(shape.members, func(i int) io.Closer { return s.come(shape, i) }) })
		})
	}
	s.system.t = t
}

// TestCrowdSidecar loads the listener on which processes of the system connect.
func TestCrowdSidecar(t *testing.T) {
	_, site := newEntrySite(t)
	files, err := site.system.authority.Issue("entry-9")
	if err != nil {
		t.Fatal(err)
	}
	credentials, err := keys.Load(files, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	site.playPeers(t, quicline.New(credentials, discardLog()))
}

// TestCrowdControlPeers is TestCrowdSidecar for a control instance whose transport
// authenticates nobody.
func TestCrowdControlPeers(t *testing.T) {
	_, site := newMachineSite(t)
	host, _, err := net.SplitHostPort(site.address)
	if err != nil {
		t.Fatal(err)
	}
	site.address = net.JoinHostPort(host, "20003")
	selfSigned, err := keys.NewSelfSigned()
	if err != nil {
		t.Fatal(err)
	}
	site.playPeers(t, quicline.New(selfSigned, discardLog()))
}

// playPeers plays the shapes of clients that speak the protocol between processes.
func (s *crowdSite) playPeers(t *testing.T, transport wire.Transport) {
	for _, shape := range []struct {
		name    string
		members int
		come    func(ctx context.Context) io.Closer
	}{
		{"frames", 100, func(ctx context.Context) io.Closer { return s.sendFrames(ctx, transport, 1) }},
		{"frames-of-one", 4, func(ctx context.Context) io.Closer { return s.sendFrames(ctx, transport, 50) }},
		{"idle-connections", 200, func(ctx context.Context) io.Closer { return s.sendFrames(ctx, transport, 0) }},
		{"handshakes", 700, func(ctx context.Context) io.Closer {
			ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
			defer cancel()
			if conn, err := transport.Dial(ctx, s.address); err == nil {
				return conn
			}
			return nil
		}},
	} {
		t.Run(shape.name, func(t *testing.T) {
			s.t = t
			s.check(func(c *crowd) { c.gather(shape.members, func(int) io.Closer { return shape.come(t.Context()) }) })
		})
	}
	s.system.t = t
}

// sendFrames connects and sends the given number of frames side by side, each of a call
// of its own, that stop a byte before their end.
func (s *crowdSite) sendFrames(ctx context.Context, transport wire.Transport, count int) io.Closer {
	dialCtx, cancel := context.WithTimeout(ctx, memberPatience)
	defer cancel()
	conn, err := transport.Dial(dialCtx, s.address)
	if err != nil {
		return nil
	}
	frame := append([]byte{0, crowdBodyBytes >> 16, 0, 0}, make([]byte, crowdBodyBytes-1)...) // with its length
	frames := &crowd{}
	frames.gather(count, func(int) io.Closer {
		stream, err := conn.Open(dialCtx)
		if err != nil {
			return nil
		}
		_ = stream.SetDeadline(time.Now().Add(memberPatience))
		_, _ = stream.Write(frame) // the process may refuse it
		return nil
	})
	return conn
}
