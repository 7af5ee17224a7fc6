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
	settleTime  = 4 * time.Second
	measureTime = 8 * time.Second
)

// usage is what a process has used, by its own metrics.
type usage struct {
	cpu    float64 // seconds
	memory float64 // resident bytes
}

func (s *site) usage(address string) usage {
	s.t.Helper()
	answer, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer answer.Body.Close()
	var u usage
	scanner := bufio.NewScanner(answer.Body)
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

// controlsOnly starts three control instances with their metrics open.
func controlsOnly(b *testing.B) *site {
	s := &site{t: b, step: "5ms", metrics: map[string]string{}}
	s.open(0, 0)
	return s
}

// BenchmarkHolders measures what control's leader, one of its followers and
// the holders themselves use, by the number of holders, and how long a
// contract takes from put to in force at all of them.
func BenchmarkHolders(b *testing.B) {
	for _, kind := range []string{"entry", "sidecar"} {
		for _, count := range []int{10, 100, 300, 1000} {
			b.Run(fmt.Sprintf("%s/%d", kind, count), func(b *testing.B) {
				s := controlsOnly(b)
				s.load(kind, count)
				leader := s.leader()
				before, begun := s.usage(s.metrics[leader]), time.Now()
				holders := s.usage(s.metrics["load"])
				interval.Sleep(s.ctx, measureTime)
				seconds := time.Since(begun).Seconds()
				after, holdersAfter := s.usage(s.metrics[leader]), s.usage(s.metrics["load"])
				took := s.putTimes(5)
				b.ReportMetric(100*(after.cpu-before.cpu)/seconds, "leader-cpu-%")
				b.ReportMetric(after.memory/(1<<20), "leader-MB")
				b.ReportMetric(100*(holdersAfter.cpu-holders.cpu)/seconds/float64(count), "holder-cpu-%")
				b.ReportMetric(holdersAfter.memory/(1<<20)/float64(count), "holder-MB")
				b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "in-force-p50-ms")
				b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "in-force-max-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// load starts a process with holders and waits until all hold a lease.
func (s *site) load(kind string, count int) { s.loadAt(kind, count, s.controls()) }

func (s *site) loadAt(kind string, count int, controls []string) {
	s.t.Helper()
	files, err := s.authority.Issue("load")
	if err != nil {
		s.t.Fatal(err)
	}
	s.metrics["load"] = deployment.FreeAddress("tcp")
	s.start("load", "load", "-holders", strconv.Itoa(count), "-kind", kind, "-control", strings.Join(controls, ","),
		"-authority", files.Authority, "-certificate", files.Certificate, "-key", files.Key, "-metrics", s.metrics["load"])
	s.await("holders", func() bool {
		status := s.operate(http.MethodGet, "/v1/status", nil).Status
		return status != nil && status.Entries+status.Sidecars >= count
	})
	interval.Sleep(s.ctx, settleTime)
}

// putTimes puts a contract again and again and returns how long each took to
// be in force, in order of length.
func (s *site) putTimes(times int) []time.Duration {
	s.t.Helper()
	var took []time.Duration
	for i := range times {
		begun := time.Now()
		operated := s.operate(http.MethodPut, fmt.Sprintf("/v1/contracts/crews?replaces=%d", i), crews())
		if operated.State != control.StateAccepted {
			s.t.Fatalf("got state %q, want %s", operated.State, control.StateAccepted)
		}
		took = append(took, time.Since(begun))
	}
	slices.Sort(took)
	return took
}

// BenchmarkHolderBytes measures the bytes a second between one holder and the
// leader, both ways, above UDP.
func BenchmarkHolderBytes(b *testing.B) {
	for _, count := range []int{1, 10, 30} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := controlsOnly(b)
			leader := s.leader()
			s.relayed = true
			var addresses []string
			for _, f := range s.founders {
				if f.Instance == leader {
					addresses = append(addresses, s.relayUDP(f.Address))
				}
			}
			s.loadAt("entry", count, addresses)
			before, begun := s.udp[0].passed(), time.Now()
			interval.Sleep(s.ctx, measureTime)
			seconds := time.Since(begun).Seconds()
			b.ReportMetric(float64(s.udp[0].passed()-before)/seconds/float64(count), "B/s/holder")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkLoad measures what an entry and a sidecar use by the number of
// callers that ask without a pause: chats of up to 31 tokens, or orders.
func BenchmarkLoad(b *testing.B) {
	for _, kind := range []string{"chats", "orders"} {
		for _, count := range []int{4, 16, 64} {
			b.Run(fmt.Sprintf("%s/%d", kind, count), func(b *testing.B) { measureLoad(b, kind, count) })
		}
	}
}

func measureLoad(b *testing.B, kind string, count int) {
	s := &site{t: b, step: "1ms", metrics: map[string]string{}}
	s.open(2, 1)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crews())
	s.awaitServing(true)
	chats, orders, beside := count, 0, modelName+"-1"
	if kind == "orders" {
		chats, orders, beside = 0, count, serviceName+"-1"
	}
	traffic := s.traffic(chats, orders)
	interval.Sleep(s.ctx, time.Second)
	names := []string{"entry-1", beside, s.leader()}
	var before []usage
	for _, name := range names {
		before = append(before, s.usage(s.metrics[name]))
	}
	begun := time.Now()
	interval.Sleep(s.ctx, measureTime/2)
	seconds := time.Since(begun).Seconds()
	for i, name := range names {
		after := s.usage(s.metrics[name])
		b.ReportMetric(100*(after.cpu-before[i].cpu)/seconds, []string{"entry", "sidecar", "leader"}[i]+"-cpu-%")
		b.ReportMetric(after.memory/(1<<20), []string{"entry", "sidecar", "leader"}[i]+"-MB")
	}
	traffic.end()
	whole, wrong, cut, refused, done, unknown := traffic.score()
	if wrong+cut+unknown > 0 {
		b.Errorf("got %d wrong, %d cut, %d unknown, want none\n%s", wrong, cut, unknown, traffic.faults())
	}
	b.ReportMetric(float64(whole+done)/(seconds+1), "answers/s")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPath measures a chat of 8 tokens and an order, directly at the
// stand-in and through entry and sidecar, in pairs in one run.
func BenchmarkPath(b *testing.B) {
	s := &site{t: b, step: "1us", metrics: map[string]string{}}
	s.open(1, 1)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crews())
	s.awaitServing(true)
	engine := s.processes[modelName+"-1-engine"].args[2]
	ledger := s.processes[serviceName+"-1-ledger"].args[2]
	calls := []struct {
		name string
		do   func(i int) error
	}{
		{"chat/direct", func(i int) error { return directChat(s.ctx, engine, i) }},
		{"chat/through", func(i int) error {
			_, err := demo.Chat(s.ctx, demo.ChatCall{Address: s.entries[0], Key: callerKey, Class: "chat", Model: modelName, Text: fmt.Sprint("question ", i), Most: 8})
			return err
		}},
		{"read/direct", func(int) error { return get(s.ctx, "http://"+ledger+"/stock") }},
		{"read/through", func(int) error { return s.read(0) }},
		{"order/direct", func(i int) error { return directOrder(s.ctx, ledger, i) }},
		{"order/through", func(i int) error {
			_, err := s.order(0, fmt.Sprint("bench-", time.Now().UnixNano(), i), "cuttings")
			return err
		}},
	}
	for _, call := range calls {
		b.Run(call.name, func(b *testing.B) {
			took := make([]time.Duration, 0, b.N)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				begun := time.Now()
				if err := call.do(i); err != nil {
					b.Fatal(err)
				}
				took = append(took, time.Since(begun))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}

func directChat(ctx context.Context, engine string, i int) error {
	body := fmt.Sprintf(`{"id":"direct-%d-%d","model":"%s","prompt":"<user> question %d ","most":8}`, time.Now().UnixNano(), i, modelName, i)
	return post(ctx, "http://"+engine+"/v1/streams", "", body)
}

func directOrder(ctx context.Context, ledger string, i int) error {
	return post(ctx, "http://"+ledger+"/orders", fmt.Sprint("direct-", i), "cuttings")
}

func post(ctx context.Context, target, key, body string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Idempotency-Key", key)
	return drain(r)
}

func get(ctx context.Context, target string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	return drain(r)
}

func drain(r *http.Request) error {
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	scanner := bufio.NewScanner(answer.Body)
	for scanner.Scan() {
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fault.New(fault.Broken, fault.Unknown, "got %s", answer.Status)
	}
	return scanner.Err()
}
