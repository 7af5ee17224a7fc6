package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/standin"
)

type (
	// session runs steps against a site and writes down what was seen.
	session struct {
		site *site
		mu   sync.Mutex
		text strings.Builder
	}

	// task is one request that runs beside others.
	task struct {
		do    func() string
		seen  string
		ended *sync.WaitGroup
	}
)

func (s *session) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.text, format+"\n", args...)
}

func (k *task) run() {
	defer k.ended.Done()
	k.seen = k.do()
}

// beside runs tasks at once and counts what they saw.
func beside(tasks []*task) map[string]int {
	var ended sync.WaitGroup
	ended.Add(len(tasks))
	for _, k := range tasks {
		k.ended = &ended
		go k.run()
	}
	ended.Wait()
	seen := map[string]int{}
	for _, k := range tasks {
		seen[k.seen]++
	}
	return seen
}

// outcome tells how a chat ended.
func (s *site) outcome(entry int, text string, stream bool) string {
	answer, err := s.chat(entry, text, stream)
	want := standin.Answer(modelName, "<user> "+text+" ", 256)
	switch {
	case err != nil:
		return fmt.Sprintf("%s, ran %s", fault.Of(err), fault.From(err).Ran)
	case answer != want:
		return "wrong"
	}
	return "whole"
}

// TestSession serves chats and orders through two entries of separate
// processes and changes the contract while they run.
func TestSession(t *testing.T) {
	s := &session{site: newSite(t, 2, 1)}
	site := s.site

	_, err := site.chat(0, "before any contract", false)
	s.note("before any contract: %s, ran %s", fault.Of(err), fault.From(err).Ran)

	operated := site.operate(http.MethodPut, "/v1/contracts/crews?replaces=0&request=first", crews())
	s.note("contract put: version %d %s", operated.Contract.Version, operated.State)
	site.awaitServing(true)

	var tasks []*task
	for i := range 24 {
		tasks = append(tasks, &task{do: func() string {
			return site.outcome(i%2, fmt.Sprintf("question %d from the bank", i), i%3 != 0)
		}})
	}
	second := crews()
	second.Share = 0.5
	tasks = append(tasks, &task{do: func() string {
		operated := site.operate(http.MethodPut, "/v1/contracts/crews?replaces=1&request=second", second)
		return fmt.Sprintf("contract changed: version %d %s", operated.Contract.Version, operated.State)
	}})
	s.note("chats while the contract changes: %v", beside(tasks))

	operated = site.operate(http.MethodPut, "/v1/contracts/crews?replaces=1&request=third", crews())
	s.note("a change of version 1 again: %s, version %d stands", operated.Error.Kind, operated.Contract.Version)
	operated = site.operate(http.MethodPut, "/v1/contracts/crews?replaces=1&request=second", second)
	s.note("the second change sent again: version %d %s", operated.Contract.Version, operated.State)

	tasks = nil
	for i := range 12 {
		tasks = append(tasks, &task{do: func() string {
			answer, err := site.order(i%2, fmt.Sprintf("order-%d", i/3), fmt.Sprintf("cuttings for bank %d", i/3))
			if err != nil {
				return fault.From(err).Error()
			}
			return strings.TrimSpace(answer[strings.Index(answer, `"key"`):])
		}})
	}
	s.note("4 orders, each sent 3 times at once: %v", beside(tasks))
	_, err = site.order(0, "order-0", "something else")
	s.note("another order under a used key: %s, ran %s", fault.Of(err), fault.From(err).Ran)
	_, err = site.order(0, "", "cuttings")
	s.note("an order without a key: %s, ran %s", fault.Of(err), fault.From(err).Ran)

	operated = site.operate(http.MethodDelete, "/v1/contracts/crews?replaces=2&request=fourth", nil)
	s.note("contract retired: version %d %s", operated.Contract.Version, operated.State)
	for i := range site.entries {
		_, err = site.chat(i, "after the contract", false)
		s.note("entry %d after that: %s, ran %s", i+1, fault.Of(err), fault.From(err).Ran)
	}
	golden.Check(t, "session.golden", s.text.String())
}
