package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"endivedeck.example/entry"
	"endivedeck.example/fault"
)

type (
	// ChatCall is one call of the chat interface.
	ChatCall struct {
		Address string
		Key     string
		Class   string
		Model   string
		Text    string
		Stream  bool
		Most    int
	}

	// OrderCall is one call of a plain service.
	OrderCall struct {
		Address string
		Key     string
		Service string
		Path    string
		ID      string // the idempotency key
		Body    string
	}

	chatBody struct {
		Model    string     `json:"model"`
		Messages []chatTalk `json:"messages"`
		Stream   bool       `json:"stream"`
		Most     int        `json:"max_tokens"`
	}

	chatTalk struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	chatAnswer struct {
		Choices []struct {
			Message chatTalk `json:"message"`
			Delta   chatTalk `json:"delta"`
		} `json:"choices"`
		Error *entry.ErrorDetail `json:"error"`
	}
)

// Chat makes a call and returns the answer's text. An answer that breaks off
// is fault.Broken.
func Chat(ctx context.Context, call ChatCall) (string, error) {
	body, err := json.Marshal(chatBody{
		Model:    call.Model,
		Messages: []chatTalk{{Role: "user", Content: call.Text}},
		Stream:   call.Stream,
		Most:     call.Most,
	})
	if err != nil {
		return "", err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+call.Key)
	r.Header.Set("Endivedeck-Class", call.Class)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return "", refusal(answer)
	}
	if call.Stream {
		return readEvents(answer.Body)
	}
	var whole chatAnswer
	if err := json.NewDecoder(answer.Body).Decode(&whole); err != nil || len(whole.Choices) != 1 {
		return "", fault.New(fault.Broken, fault.Unknown, "the answer can't be read: %v", err)
	}
	return whole.Choices[0].Message.Content, nil
}

func readEvents(body io.Reader) (string, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var part chatAnswer
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return text.String(), fault.New(fault.Broken, fault.Unknown, "an event can't be read: %v", err)
		}
		if part.Error != nil {
			return text.String(), fault.New(part.Error.Code, part.Error.Ran, "%s", part.Error.Message)
		}
		for _, c := range part.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return text.String(), fault.New(fault.Broken, fault.Unknown, "the answer was cut: %v", scanner.Err())
}

// Order makes a call of a plain service and returns the answer's body.
func Order(ctx context.Context, call OrderCall) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+"/services/"+call.Service+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+call.Key)
	if call.ID != "" {
		r.Header.Set("Idempotency-Key", call.ID)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return "", refusal(answer)
	}
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

func refusal(answer *http.Response) error {
	var body entry.ErrorAnswer
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil || body.Error.Code == "" {
		return fault.New(fault.Broken, fault.Unknown, "the answer was %s", answer.Status)
	}
	return fault.New(body.Error.Code, body.Error.Ran, "%s", body.Error.Message)
}
