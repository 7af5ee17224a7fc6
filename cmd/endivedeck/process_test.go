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
	"endivedeck.example/gate"
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
	waitTimeout = 40 * time.Second // time limit for events that a test waits for; only a failing test reaches it
)

var (
	binaryOnce sync.Once
	binaryPath string
	binaryErr  error
)

type (
	// system is a deployment whose instances are separate processes.
	system struct {
		t                 testing.TB
		folder            string
		authority         *keys.Authority
		founders          []control.Founder
		operatorAddresses []string
		entryAddresses    []string
		processes         map[string]*process
		ctx               context.Context
		stepTime          string            // duration of a decoding step of the engines
		metrics           map[string]string // addresses of the metrics by process; nil to serve none
		orderServiceFlags []string          // additional flags of the order services
		dedupe            bool              // the order services don't run an order with a repeated key again
		proxied           bool              // connections to the sidecars of engines, and from them to the engines, go through proxies
		udpProxies        []*udpProxy
		tcpProxies        []*tcpProxy
		memory            int         // MB that each process may use; 0 for the default
		limits            gate.Limits // of the entries, if memory is set
		sidecarAddress    string      // of the latest engine
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

// newSystem starts a system with the given numbers of engines and order
// services.
func newSystem(t *testing.T, engines, orderServices int) *system {
	t.Helper()
	s := &system{t: t, stepTime: "5ms"}
	s.startAll(engines, orderServices)
	return s
}

// startAll starts three control instances, engines and order services with their
// sidecars, and up to two entries. It waits until all are ready.
func (s *system) startAll(engines, orderServices int) {
	t := s.t
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 4*waitTimeout)
	s.folder = t.TempDir()
	s.processes = map[string]*process{}
	s.ctx = ctx
	t.Cleanup(func() {
		s.killAll()
		cancel()
	})
	authority, err := keys.NewAuthority(filepath.Join(s.folder, "keys"))
	if err != nil {
		t.Fatal(err)
	}
	s.authority = authority
	for i := range 3 {
		s.founders = append(s.founders, control.Founder{Instance: fmt.Sprintf("control-%d", i+1), Address: deployment.FreeAddress("udp")})
		s.operatorAddresses = append(s.operatorAddresses, deployment.FreeAddress("tcp"))
	}
	for i := range s.founders {
		s.startControl(i)
	}
	for i := range engines {
		s.startEngine(i)
	}
	for i := range orderServices {
		s.startOrderService(i)
	}
	for i := range min(2, engines+orderServices) {
		s.entryAddresses = append(s.entryAddresses, deployment.FreeAddress("tcp"))
		s.startEntry(i)
	}
	s.awaitBackends(engines + orderServices)
}

func (s *system) startControl(i int) {
	section := control.DefaultSettings()
	section.Listen = s.founders[i].Address
	section.OperatorListen = s.operatorAddresses[i]
	section.DataDir = filepath.Join(s.folder, s.founders[i].Instance)
	section.Founders = s.founders
	section.OperatorKeys = []control.Operator{{Name: "operator", Hash: contract.HashKey(operatorKey)}}
	s.startRole("control", s.founders[i].Instance, i, section)
}

func (s *system) startEntry(i int) {
	section := map[string]any{
		"listen":    s.entryAddresses[i],
		"control":   s.controlAddresses(),
		"leaveTime": "500ms",
	}
	if s.memory > 0 {
		section["limits"] = s.limits
	}
	s.startRole("entry", fmt.Sprintf("entry-%d", i+1), i, section)
}

func (s *system) startEngine(i int) {
	name := fmt.Sprintf("%s-%d", modelName, i+1)
	engine := deployment.FreeAddress("tcp")
	s.startProcess(name+"-engine", "standin", "-listen", engine, "-step", s.stepTime, "-piece-tokens", "16", "-load-time", "300ms", "-fencing", "-cross", "0.1", "engine")
	listen := deployment.FreeAddress("udp")
	s.sidecarAddress = listen
	s.startRole("sidecar", name, i, map[string]any{
		"listen":    listen,
		"advertise": s.proxyUDP(listen),
		"control":   s.controlAddresses(),
		"engine":    map[string]any{"address": s.proxyTCP(engine)},
	})
}

func (s *system) startOrderService(i int) {
	name := fmt.Sprintf("%s-%d", serviceName, i+1)
	service := deployment.FreeAddress("tcp")
	args := append([]string{"standin", "-listen", service}, s.orderServiceFlags...)
	if s.dedupe {
		args = append(args, "-dedupe")
	}
	s.startProcess(name+"-ledger", append(args, "ledger")...)
	s.startRole("sidecar", name, i, map[string]any{
		"listen":  deployment.FreeAddress("udp"),
		"control": s.controlAddresses(),
		"service": map[string]any{"name": serviceName, "address": service, "health": "/healthz", "dedupe": s.dedupe},
	})
}

func (s *system) controlAddresses() []string {
	var list []string
	for _, f := range s.founders {
		list = append(list, f.Address)
	}
	return list
}

// startRole writes the settings file of an instance and starts its process.
func (s *system) startRole(role, instance string, i int, section any) {
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
		"memory":        s.memory,
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
	s.startProcess(instance, role, "-settings", file)
}

func (s *system) startProcess(name string, args ...string) {
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

// run waits until the process exits and closes its log file.
func (p *process) run() {
	p.exited <- p.cmd.Wait()
	_ = p.log.Close()
}

func (s *system) signal(name string, signal syscall.Signal) {
	s.t.Helper()
	if err := s.processes[name].cmd.Process.Signal(signal); err != nil {
		s.t.Errorf("%s: %v", name, err)
	}
}

// kill kills a process with SIGKILL and waits until it has exited.
func (s *system) kill(name string) {
	s.t.Helper()
	s.signal(name, syscall.SIGKILL)
	<-s.processes[name].exited
}

// stop stops a process with SIGTERM and checks that it exits with status 0.
func (s *system) stop(name string) {
	s.t.Helper()
	s.signal(name, syscall.SIGTERM)
	if err := <-s.processes[name].exited; err != nil {
		s.t.Errorf("%s: got exit %v, want a graceful stop", name, err)
	}
}

// restart starts a process that has exited, with the same arguments.
func (s *system) restart(name string) {
	s.t.Helper()
	s.startProcess(name, s.processes[name].args...)
}

// killAll kills the processes that still run, paused ones too. If the test failed,
// it prints the ends of their logs.
func (s *system) killAll() {
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill()
	}
	if s.t.Failed() {
		s.printLogs()
	}
}

func (s *system) printLogs() {
	files, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
	for _, file := range files {
		text, _ := os.ReadFile(file)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		s.t.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-12):], "\n"))
	}
}

// operate sends a request to the operator API of the control instances in turn
// until one is available.
func (s *system) operate(method, path string, body any) message.OperateResponse {
	s.t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; ; i++ {
		response, err := s.operateAt(s.operatorAddresses[i%len(s.operatorAddresses)], method, path, encoded)
		kind := fault.KindOf(err)
		if err == nil || kind != fault.Unavailable && kind != fault.DeadlineExceeded && kind != fault.Broken {
			return response
		}
		if !interval.Sleep(s.ctx, 50*time.Millisecond) {
			s.t.Fatalf("%s %s: %v", method, path, err)
		}
	}
}

func (s *system) operateAt(address, method, path string, text []byte) (message.OperateResponse, error) {
	var result message.OperateResponse
	ctx, cancel := context.WithTimeout(s.ctx, waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return result, err
	}
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return result, fault.New(fault.Unavailable, fault.MaybeRun, "%v", err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return result, fault.New(fault.Broken, fault.MaybeRun, "%v", err)
	}
	return result, fault.WithStack(result.Error)
}

// awaitBackends waits until control lists count backend servers and all entries
// are healthy.
func (s *system) awaitBackends(count int) {
	s.t.Helper()
	s.await("backend servers", func() bool {
		response := s.operate(http.MethodGet, "/v1/status", nil)
		return response.Status != nil && len(response.Status.Backends) == count
	})
	for _, entry := range s.entryAddresses {
		s.await("entry", func() bool { return deployment.Healthy(s.ctx, entry) })
	}
}

func (s *system) await(event string, happened func() bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, waitTimeout)
	defer cancel()
	for !happened() {
		if !interval.Sleep(ctx, 50*time.Millisecond) {
			s.t.Fatalf("waiting for %s: timed out after %v", event, waitTimeout)
		}
	}
}

// awaitGrants waits until all entries serve chats and, with orders, reads of the
// service, which they do once they have grants of the sidecars.
func (s *system) awaitGrants(orders bool) {
	s.t.Helper()
	for i := range s.entryAddresses {
		s.await("grants", func() bool {
			_, err := s.sendChat(i, "are you there", false)
			return err == nil
		})
		if orders {
			s.await("grants", func() bool { return s.readStock(i) == nil })
		}
	}
}

func (s *system) sendChat(entry int, text string, stream bool) (string, error) {
	return demo.SendChat(s.ctx, demo.ChatCall{
		Address:   s.entryAddresses[entry],
		Key:       callerKey,
		Class:     "chat",
		Model:     modelName,
		Prompt:    text,
		Stream:    stream,
		MaxTokens: 256,
	})
}

func (s *system) sendOrder(entry int, id, body string) (string, error) {
	return demo.SendOrder(s.ctx, demo.OrderCall{
		Address:        s.entryAddresses[entry],
		Key:            callerKey,
		Service:        serviceName,
		Path:           "/orders",
		IdempotencyKey: id,
		Body:           body,
	})
}

func (s *system) readStock(entry int) error {
	r, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+s.entryAddresses[entry]+"/services/"+serviceName+"/stock", nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("got status %s", response.Status)
	}
	return nil
}

func crewsContract() contract.Contract {
	class := contract.Class{WholeAnswer: settings.Duration(waitTimeout), Rate: 10_000, Burst: 10_000, Concurrency: 10_000, Priority: 5}
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
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(value)
}
