package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/control"
	"endivedeck.example/demo"
	"endivedeck.example/deployment"
	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/keys"
	"endivedeck.example/message"
	"endivedeck.example/settings"
)

const (
	operatorKey = "operator-key"
	callerKey   = "key-of-the-crews"
	modelName   = "crew-assist"
	serviceName = "plant-ledger"
	longEnough  = 40 * time.Second // for what must happen; no test waits for it to pass
)

var (
	binaryOnce sync.Once
	binaryPath string
	binaryErr  error
)

type (
	// site is a deployment of separate processes.
	site struct {
		t         testing.TB
		folder    string
		authority *keys.Authority
		founders  []control.Founder
		operators []string
		entries   []string
		processes map[string]*process
		ctx       context.Context
		step      string            // of the engines
		metrics   map[string]string // metrics addresses by process; nil for none
		ledger    []string          // further flags of the ledgers
		dedupe    bool              // the ledgers recognise a repeated key
		relayed   bool              // connections to sidecars and engines go through relays
		udp       []*udpRelay
		tcp       []*tcpRelay
	}

	// process is one process of the built binary.
	process struct {
		args   []string
		cmd    *exec.Cmd
		log    *os.File
		exited chan error
	}
)

// binary builds the program once for all tests.
func binary(t testing.TB) string {
	t.Helper()
	binaryOnce.Do(func() {
		folder, err := os.MkdirTemp("", "endivedeck-test-")
		if err != nil {
			binaryErr = err
			return
		}
		binaryPath = filepath.Join(folder, "endivedeck")
		out, err := exec.Command("go", "build", "-o", binaryPath, ".").CombinedOutput()
		if err != nil {
			binaryErr = fmt.Errorf("%v: %s", err, out)
		}
	})
	if binaryErr != nil {
		t.Fatal(binaryErr)
	}
	return binaryPath
}

// newSite starts three control instances, two entries, engines and ledgers.
func newSite(t *testing.T, engines, ledgers int) *site {
	t.Helper()
	s := &site{t: t, step: "5ms"}
	s.open(engines, ledgers)
	return s
}

// open starts the site's processes.
func (s *site) open(engines, ledgers int) {
	t := s.t
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 4*longEnough)
	s.folder = t.TempDir()
	s.processes = map[string]*process{}
	s.ctx = ctx
	t.Cleanup(func() {
		s.end()
		cancel()
	})
	authority, err := keys.NewAuthority(filepath.Join(s.folder, "keys"))
	if err != nil {
		t.Fatal(err)
	}
	s.authority = authority
	for i := range 3 {
		s.founders = append(s.founders, control.Founder{Instance: fmt.Sprintf("control-%d", i+1), Address: deployment.FreeAddress("udp")})
		s.operators = append(s.operators, deployment.FreeAddress("tcp"))
	}
	for i := range s.founders {
		s.startControl(i)
	}
	for i := range engines {
		s.startEngine(i)
	}
	for i := range ledgers {
		s.startLedger(i)
	}
	for i := range min(2, engines+ledgers) {
		s.entries = append(s.entries, deployment.FreeAddress("tcp"))
		s.startEntry(i)
	}
	s.awaitBackends(engines + ledgers)
}

func (s *site) startControl(i int) {
	section := control.DefaultSettings()
	section.Listen = s.founders[i].Address
	section.OperatorListen = s.operators[i]
	section.DataDir = filepath.Join(s.folder, s.founders[i].Instance)
	section.Founders = s.founders
	section.OperatorKeys = []control.Operator{{Name: "operator", Hash: contract.HashKey(operatorKey)}}
	s.startRole("control", s.founders[i].Instance, i, section)
}

func (s *site) startEntry(i int) {
	s.startRole("entry", fmt.Sprintf("entry-%d", i+1), i, map[string]any{
		"listen":    s.entries[i],
		"control":   s.controls(),
		"leaveTime": "500ms",
	})
}

func (s *site) startEngine(i int) {
	name := fmt.Sprintf("%s-%d", modelName, i+1)
	engine := deployment.FreeAddress("tcp")
	s.start(name+"-engine", "standin", "-listen", engine, "-step", s.step, "-piece-tokens", "16", "-load-time", "300ms", "-fencing", "-cross", "0.1", "engine")
	listen := deployment.FreeAddress("udp")
	s.startRole("sidecar", name, i, map[string]any{
		"listen":    listen,
		"advertise": s.relayUDP(listen),
		"control":   s.controls(),
		"engine":    map[string]any{"address": s.relayTCP(engine)},
	})
}

func (s *site) startLedger(i int) {
	name := fmt.Sprintf("%s-%d", serviceName, i+1)
	ledger := deployment.FreeAddress("tcp")
	args := append([]string{"standin", "-listen", ledger}, s.ledger...)
	if s.dedupe {
		args = append(args, "-dedupe")
	}
	s.start(name+"-ledger", append(args, "ledger")...)
	s.startRole("sidecar", name, i, map[string]any{
		"listen":  deployment.FreeAddress("udp"),
		"control": s.controls(),
		"service": map[string]any{"name": serviceName, "address": ledger, "health": "/healthz", "dedupe": s.dedupe},
	})
}

func (s *site) controls() []string {
	var list []string
	for _, f := range s.founders {
		list = append(list, f.Address)
	}
	return list
}

// startRole writes a settings file and starts a process with it.
func (s *site) startRole(role, instance string, i int, section any) {
	s.t.Helper()
	files, err := s.authority.Issue(instance)
	if err != nil {
		s.t.Fatal(err)
	}
	metrics := ""
	if s.metrics != nil {
		metrics = deployment.FreeAddress("tcp")
		s.metrics[instance] = metrics
	}
	text, err := json.MarshalIndent(map[string]any{
		"metrics":       metrics,
		"role":          role,
		"instance":      instance,
		"region":        "mekong-south",
		"failureDomain": []string{"cantho-a", "vinhlong-b", "soctrang-c", "bentre-d"}[i%4],
		"stopTime":      "20s",
		"keys":          files,
		role:            section,
	}, "", "  ")
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.folder, instance+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.start(instance, role, "-settings", file)
}

func (s *site) start(name string, args ...string) {
	s.t.Helper()
	p := &process{args: args, exited: make(chan error, 1)}
	log, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	p.log = log
	p.cmd = exec.Command(binary(s.t), args...)
	p.cmd.Stderr = log
	p.cmd.Stdout = log
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.processes[name] = p
	go p.run()
}

func (p *process) run() {
	p.exited <- p.cmd.Wait()
	_ = p.log.Close()
}

func (s *site) signal(name string, signal syscall.Signal) {
	s.t.Helper()
	if err := s.processes[name].cmd.Process.Signal(signal); err != nil {
		s.t.Errorf("%s: %v", name, err)
	}
}

// kill ends a process at once and waits for its end.
func (s *site) kill(name string) {
	s.t.Helper()
	s.signal(name, syscall.SIGKILL)
	<-s.processes[name].exited
}

// stop stops a process gracefully and checks that it ended well.
func (s *site) stop(name string) {
	s.t.Helper()
	s.signal(name, syscall.SIGTERM)
	if err := <-s.processes[name].exited; err != nil {
		s.t.Errorf("%s: got exit %v, want a graceful stop", name, err)
	}
}

// again starts a process with the settings that it had.
func (s *site) again(name string) {
	s.t.Helper()
	s.start(name, s.processes[name].args...)
}

// end kills what still runs. Processes that were paused go on to be killed.
func (s *site) end() {
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill()
	}
	if s.t.Failed() {
		s.showLogs()
	}
}

func (s *site) showLogs() {
	files, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
	for _, file := range files {
		text, _ := os.ReadFile(file)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		s.t.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-12):], "\n"))
	}
}

// operate asks the operators' interface of one control instance after
// another until one answers.
func (s *site) operate(method, path string, body any) message.Operated {
	s.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; ; i++ {
		operated, err := s.operateAt(s.operators[i%len(s.operators)], method, path, text)
		kind := fault.Of(err)
		if err == nil || kind != fault.Unavailable && kind != fault.Deadline && kind != fault.Broken {
			return operated
		}
		if !interval.Sleep(s.ctx, 50*time.Millisecond) {
			s.t.Fatalf("%s %s: %v", method, path, err)
		}
	}
}

func (s *site) operateAt(address, method, path string, text []byte) (message.Operated, error) {
	var operated message.Operated
	ctx, cancel := context.WithTimeout(s.ctx, longEnough)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return operated, err
	}
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return operated, fault.New(fault.Unavailable, fault.Unknown, "%v", err)
	}
	defer answer.Body.Close()
	if err := json.NewDecoder(answer.Body).Decode(&operated); err != nil {
		return operated, fault.New(fault.Broken, fault.Unknown, "%v", err)
	}
	return operated, fault.Wrap(operated.Error)
}

// awaitBackends waits until control knows the backend servers and every entry
// serves.
func (s *site) awaitBackends(count int) {
	s.t.Helper()
	s.await("backend servers", func() bool {
		operated := s.operate(http.MethodGet, "/v1/status", nil)
		return operated.Status != nil && len(operated.Status.Backends) == count
	})
	for _, entry := range s.entries {
		s.await("entry", func() bool { return deployment.Healthy(s.ctx, entry) })
	}
}

func (s *site) await(what string, ok func() bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, longEnough)
	defer cancel()
	for !ok() {
		if !interval.Sleep(ctx, 50*time.Millisecond) {
			s.t.Fatalf("%s: waited in vain", what)
		}
	}
}

// awaitServing waits until both entries answer queries and calls, which is
// when the grants of the sidecars have reached them.
func (s *site) awaitServing(orders bool) {
	s.t.Helper()
	for i := range s.entries {
		s.await("grants", func() bool {
			_, err := s.chat(i, "are you there", false)
			return err == nil
		})
		if orders {
			s.await("grants", func() bool { return s.read(i) == nil })
		}
	}
}

func (s *site) chat(entry int, text string, stream bool) (string, error) {
	return demo.Chat(s.ctx, demo.ChatCall{
		Address: s.entries[entry],
		Key:     callerKey,
		Class:   "chat",
		Model:   modelName,
		Text:    text,
		Stream:  stream,
		Most:    256,
	})
}

func (s *site) order(entry int, id, body string) (string, error) {
	return demo.Order(s.ctx, demo.OrderCall{
		Address: s.entries[entry],
		Key:     callerKey,
		Service: serviceName,
		Path:    "/orders",
		ID:      id,
		Body:    body,
	})
}

func (s *site) read(entry int) error {
	r, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+s.entries[entry]+"/services/"+serviceName+"/stock", nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("got %s", answer.Status)
	}
	return nil
}

func crews() contract.Contract {
	class := contract.Class{WholeAnswer: settings.Duration(longEnough), Rate: 10_000, Burst: 10_000, Concurrency: 10_000, Priority: 5}
	return contract.Contract{
		Customer: "crews",
		Models:   []string{modelName},
		Services: []string{serviceName},
		Classes:  map[string]contract.Class{"chat": class, "orders": class, "urgent": class, "notes": class},
		Share:    1,
		Keys:     []string{contract.HashKey(callerKey)},
	}
}

func getJSON(ctx context.Context, target string, value any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return json.NewDecoder(answer.Body).Decode(value)
}
