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
	// transcript records the results of a test's steps for its golden file.
	transcript struct {
		system *system
		mu     sync.Mutex
		text   strings.Builder
	}

	// task is a request that runs concurrently with others.
	task struct {
		call   func() string
		result string
		done   *sync.WaitGroup
	}
)

func (t *transcript) logf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(&t.text, format+"\n", args...)
}

func (t *task) run() {
	defer t.done.Done()
	t.result = t.call()
}

// runConcurrently runs tasks concurrently and returns how many had each result.
func runConcurrently(tasks []*task) map[string]int {
	var done sync.WaitGroup
	done.Add(len(tasks))
	for _, t := range tasks {
		t.done = &done
		go t.run()
	}
	done.Wait()
	counts := map[string]int{}
	for _, t := range tasks {
		counts[t.result]++
	}
	return counts
}

// chatOutcome sends a chat and returns how it ended: "whole" if the answer is
// complete and correct, "wrong", or the error.
func (s *system) chatOutcome(entry int, text string, stream bool) string {
	answer, err := s.sendChat(entry, text, stream)
	want := standin.Answer(modelName, "<user> "+text+" ", 256)
	switch {
	case err != nil:
		return fmt.Sprintf("%s, ran %s", fault.KindOf(err), fault.FromError(err).Ran)
	case answer != want:
		return "wrong"
	}
	return "whole"
}

// TestSession sends chats and orders through two entries, with all instances in
// separate processes, and changes and retires the contract meanwhile.
func TestSession(t *testing.T) {
	got := &transcript{system: newSystem(t, 2, 1)}
	s := got.system

	_, err := s.sendChat(0, "before any contract", false)
	got.logf("before any contract: %s, ran %s", fault.KindOf(err), fault.FromError(err).Ran)

	response := s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0&request=first", crewsContract())
	got.logf("contract put: version %d %s", response.Contract.Version, response.State)
	s.awaitGrants(true)

	var tasks []*task
	for i := range 24 {
		tasks = append(tasks, &task{call: func() string {
			return s.chatOutcome(i%2, fmt.Sprintf("question %d from the bank", i), i%3 != 0)
		}})
	}
	second := crewsContract()
	second.Share = 0.5
	tasks = append(tasks, &task{call: func() string {
		response := s.operate(http.MethodPut, "/v1/contracts/crews?replaces=1&request=second", second)
		return fmt.Sprintf("contract changed: version %d %s", response.Contract.Version, response.State)
	}})
	got.logf("chats while the contract changes: %v", runConcurrently(tasks))

	response = s.operate(http.MethodPut, "/v1/contracts/crews?replaces=1&request=third", crewsContract())
	got.logf("another change replacing version 1: %s, the current version is %d", response.Error.Kind, response.Contract.Version)
	response = s.operate(http.MethodPut, "/v1/contracts/crews?replaces=1&request=second", second)
	got.logf("the second change, sent again: version %d %s", response.Contract.Version, response.State)

	tasks = nil
	for i := range 12 {
		tasks = append(tasks, &task{call: func() string {
			body, err := s.sendOrder(i%2, fmt.Sprintf("order-%d", i/3), fmt.Sprintf("cuttings for bank %d", i/3))
			if err != nil {
				return fault.FromError(err).Error()
			}
			return strings.TrimSpace(body[strings.Index(body, `"key"`):])
		}})
	}
	got.logf("4 orders, each sent 3 times concurrently: %v", runConcurrently(tasks))
	_, err = s.sendOrder(0, "order-0", "something else")
	got.logf("another order under a used key: %s, ran %s", fault.KindOf(err), fault.FromError(err).Ran)
	_, err = s.sendOrder(0, "", "cuttings")
	got.logf("an order without a key: %s, ran %s", fault.KindOf(err), fault.FromError(err).Ran)

	response = s.operate(http.MethodDelete, "/v1/contracts/crews?replaces=2&request=fourth", nil)
	got.logf("contract retired: version %d %s", response.Contract.Version, response.State)
	for i := range s.entryAddresses {
		_, err = s.sendChat(i, "after the contract", false)
		got.logf("entry %d after that: %s, ran %s", i+1, fault.KindOf(err), fault.FromError(err).Ran)
	}
	golden.Check(t, "session.golden", got.text.String())
}
