package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"endivedeck.example/control"
	"endivedeck.example/demo"
	"endivedeck.example/deployment"
	"endivedeck.example/fault"
	"endivedeck.example/interval"
)

const (
	settlePeriod  = 4 * time.Second
	measurePeriod = 8 * time.Second
)

// usage is the resource usage of a process according to its metrics.
type usage struct {
	cpu    float64 // seconds
	memory float64 // resident bytes
}

func (s *system) usage(address string) usage {
	s.t.Helper()
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	var u usage
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		number, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "process_cpu_seconds_total":
			u.cpu = number
		case "process_resident_memory_bytes":
			u.memory = number
		}
	}
	return u
}

// newControl starts three control instances that serve metrics.
func newControl(b *testing.B) *system {
	s := &system{t: b, stepTime: "5ms", metrics: map[string]string{}}
	s.startAll(0, 0)
	return s
}

// BenchmarkHolders measures the resource usage of control's leader and of the
// holders of configuration leases, by the number of holders, and the time until
// a contract is in force at all of them.
func BenchmarkHolders(b *testing.B) {
	for _, kind := range []string{"entry", "sidecar"} {
		for _, count := range []int{10, 100, 300, 1000} {
			b.Run(fmt.Sprintf("%s/%d", kind, count), func(b *testing.B) {
				s := newControl(b)
				s.startHolders(kind, count)
				leader := s.leader()
				before, start := s.usage(s.metrics[leader]), time.Now()
				holders := s.usage(s.metrics["load"])
				interval.Sleep(s.ctx, measurePeriod)
				seconds := time.Since(start).Seconds()
				after, holdersAfter := s.usage(s.metrics[leader]), s.usage(s.metrics["load"])
				durations := s.measurePuts(5)
				b.ReportMetric(100*(after.cpu-before.cpu)/seconds, "leader-cpu-%")
				b.ReportMetric(after.memory/(1<<20), "leader-MB")
				b.ReportMetric(100*(holdersAfter.cpu-holders.cpu)/seconds/float64(count), "holder-cpu-%")
				b.ReportMetric(holdersAfter.memory/(1<<20)/float64(count), "holder-MB")
				b.ReportMetric(float64(durations[len(durations)/2].Milliseconds()), "in-force-p50-ms")
				b.ReportMetric(float64(durations[len(durations)-1].Milliseconds()), "in-force-max-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// startHolders starts a process with holders of configuration leases, and waits
// until control lists all of them.
func (s *system) startHolders(kind string, n int) { s.startHoldersAt(kind, n, s.controlAddresses()) }

func (s *system) startHoldersAt(kind string, count int, controls []string) {
	s.t.Helper()
	files, err := s.authority.Issue("load")
	if err != nil {
		s.t.Fatal(err)
	}
	s.metrics["load"] = deployment.FreeAddress("tcp")
	s.startProcess("load", "load", "-holders", strconv.Itoa(count), "-kind", kind, "-control", strings.Join(controls, ","),
		"-authority", files.Authority, "-certificate", files.Certificate, "-key", files.Key, "-metrics", s.metrics["load"])
	s.await("holders", func() bool {
		status := s.operate(http.MethodGet, "/v1/status", nil).Status
		return status != nil && status.EntryCount+status.SidecarCount >= count
	})
	interval.Sleep(s.ctx, settlePeriod)
}

// measurePuts puts a contract repeatedly and returns how long each put took until
// the contract was in force everywhere, in ascending order.
func (s *system) measurePuts(times int) []time.Duration {
	s.t.Helper()
	var durations []time.Duration
	for i := range times {
		start := time.Now()
		response := s.operate(http.MethodPut, fmt.Sprintf("/v1/contracts/crews?replaces=%d", i), crewsContract())
		if response.State != control.StateAccepted {
			s.t.Fatalf("got state %q, want %s", response.State, control.StateAccepted)
		}
		durations = append(durations, time.Since(start))
	}
	slices.Sort(durations)
	return durations
}

// BenchmarkHolderBytes measures the UDP payload between a holder and the leader
// in both directions, in bytes per second.
func BenchmarkHolderBytes(b *testing.B) {
	for _, count := range []int{1, 10, 30} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := newControl(b)
			leader := s.leader()
			s.proxied = true
			var addresses []string
			for _, f := range s.founders {
				if f.Instance == leader {
					addresses = append(addresses, s.proxyUDP(f.Address))
				}
			}
			s.startHoldersAt("entry", count, addresses)
			before, start := s.udpProxies[0].forwarded(), time.Now()
			interval.Sleep(s.ctx, measurePeriod)
			seconds := time.Since(start).Seconds()
			b.ReportMetric(float64(s.udpProxies[0].forwarded()-before)/seconds/float64(count), "B/s/holder")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkLoad measures the resource usage of an entry, a sidecar and control's
// leader by the number of clients that send one request after another: chats of
// up to 31 tokens, or orders.
func BenchmarkLoad(b *testing.B) {
	for _, kind := range []string{"chats", "orders"} {
		for _, count := range []int{4, 16, 64} {
			b.Run(fmt.Sprintf("%s/%d", kind, count), func(b *testing.B) { measureLoad(b, kind, count) })
		}
	}
}

func measureLoad(b *testing.B, kind string, count int) {
	s := &system{t: b, stepTime: "1ms", metrics: map[string]string{}}
	s.startAll(2, 1)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crewsContract())
	s.awaitGrants(true)
	chats, orders, sidecar := count, 0, modelName+"-1"
	if kind == "orders" {
		chats, orders, sidecar = 0, count, serviceName+"-1"
	}
	traffic := s.startTraffic(chats, orders)
	interval.Sleep(s.ctx, time.Second)
	names := []string{"entry-1", sidecar, s.leader()}
	var before []usage
	for _, name := range names {
		before = append(before, s.usage(s.metrics[name]))
	}
	start := time.Now()
	interval.Sleep(s.ctx, measurePeriod/2)
	seconds := time.Since(start).Seconds()
	for i, name := range names {
		after := s.usage(s.metrics[name])
		b.ReportMetric(100*(after.cpu-before[i].cpu)/seconds, []string{"entry", "sidecar", "leader"}[i]+"-cpu-%")
		b.ReportMetric(after.memory/(1<<20), []string{"entry", "sidecar", "leader"}[i]+"-MB")
	}
	traffic.stop()
	complete, wrong, truncated, refused, done, unknown := traffic.totals()
	if wrong+truncated+unknown > 0 {
		b.Errorf("got %d wrong, %d truncated, %d unknown, want none\n%s", wrong, truncated, unknown, traffic.failures())
	}
	b.ReportMetric(float64(complete+done)/(seconds+1), "answers/s")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPath measures the latency of a chat of 8 tokens, a read and an order,
// each sent both directly to the stand-in and through entry and sidecar.
func BenchmarkPath(b *testing.B) {
	s := &system{t: b, stepTime: "1us", metrics: map[string]string{}}
	s.startAll(1, 1)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crewsContract())
	s.awaitGrants(true)
	engine := s.processes[modelName+"-1-engine"].args[2]
	orderService := s.processes[serviceName+"-1-ledger"].args[2]
	calls := []struct {
		name string
		call func(i int) error
	}{
		{"chat/direct", func(i int) error { return directChat(s.ctx, engine, i) }},
		{"chat/through", func(i int) error {
			_, err := demo.SendChat(s.ctx, demo.ChatCall{Address: s.entryAddresses[0], Key: callerKey, Class: "chat", Model: modelName, Prompt: fmt.Sprint("question ", i), MaxTokens: 8})
			return err
		}},
		{"read/direct", func(int) error { return sendGet(s.ctx, "http://"+orderService+"/stock") }},
		{"read/through", func(int) error { return s.readStock(0) }},
		{"order/direct", func(i int) error { return directOrder(s.ctx, orderService, i) }},
		{"order/through", func(i int) error {
			_, err := s.sendOrder(0, fmt.Sprint("bench-", time.Now().UnixNano(), i), "cuttings")
			return err
		}},
	}
	for _, c := range calls {
		b.Run(c.name, func(b *testing.B) {
			durations := make([]time.Duration, 0, b.N)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				start := time.Now()
				if err := c.call(i); err != nil {
					b.Fatal(err)
				}
				durations = append(durations, time.Since(start))
			}
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-us")
		})
	}
}

func directChat(ctx context.Context, engine string, i int) error {
	body := fmt.Sprintf(`{"id":"direct-%d-%d","model":"%s","prompt":"<user> question %d ","most":8}`, time.Now().UnixNano(), i, modelName, i)
	return sendPost(ctx, "http://"+engine+"/v1/streams", "", body)
}

func directOrder(ctx context.Context, orderService string, i int) error {
	return sendPost(ctx, "http://"+orderService+"/orders", fmt.Sprint("direct-", i), "cuttings")
}

func sendPost(ctx context.Context, target, key, body string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Idempotency-Key", key)
	return readResponse(r)
}

func sendGet(ctx context.Context, target string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	return readResponse(r)
}

func readResponse(r *http.Request) error {
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fault.New(fault.Broken, fault.MaybeRun, "got status %s", response.Status)
	}
	return scanner.Err()
}
