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
	// ChatCall is a request for a chat completion.
	ChatCall struct {
		Address   string
		Key       string
		Class     string
		Model     string
		Prompt    string
		Stream    bool
		MaxTokens int // to generate
	}

	// OrderCall is a POST request to an order service.
	OrderCall struct {
		Address        string
		Key            string
		Service        string
		Path           string
		IdempotencyKey string
		Body           string
	}

	chatRequest struct {
		Model     string        `json:"model"`
		Messages  []chatMessage `json:"messages"`
		Stream    bool          `json:"stream"`
		MaxTokens int           `json:"max_tokens"`
	}

	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	chatResponse struct {
		Choices []struct {
			Message chatMessage `json:"message"`
			Delta   chatMessage `json:"delta"`
		} `json:"choices"`
		Error *entry.ErrorDetail `json:"error"`
	}
)

// SendChat sends a request for a chat completion and returns the generated text.
// If a stream ends early, it returns the text received so far and an error of
// kind fault.Broken.
func SendChat(ctx context.Context, call ChatCall) (string, error) {
	body, err := json.Marshal(chatRequest{
		Model:     call.Model,
		Messages:  []chatMessage{{Role: "user", Content: call.Prompt}},
		Stream:    call.Stream,
		MaxTokens: call.MaxTokens,
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
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", responseError(response)
	}
	if call.Stream {
		return readStream(response.Body)
	}
	var result chatResponse
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return "", fault.New(fault.Broken, fault.MaybeRun, "decode response: %v", err)
	}
	if len(result.Choices) != 1 {
		return "", fault.New(fault.Broken, fault.MaybeRun, "decode response: got %d choices, want 1", len(result.Choices))
	}
	return result.Choices[0].Message.Content, nil
}

func readStream(body io.Reader) (string, error) {
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
		var chunk chatResponse
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text.String(), fault.New(fault.Broken, fault.MaybeRun, "decode event: %v", err)
		}
		if chunk.Error != nil {
			return text.String(), fault.New(chunk.Error.Code, chunk.Error.Ran, "%s", chunk.Error.Message)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := scanner.Err(); err != nil {
		return text.String(), fault.New(fault.Broken, fault.MaybeRun, "reading the stream: %v", err)
	}
	return text.String(), fault.New(fault.Broken, fault.MaybeRun, "stream ended before [DONE]")
}

// SendOrder sends a request to an order service and returns the response body.
func SendOrder(ctx context.Context, call OrderCall) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+"/services/"+call.Service+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+call.Key)
	if call.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		return "", responseError(response)
	}
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

func responseError(response *http.Response) error {
	var body entry.ErrorResponse
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Error.Code == "" {
		return fault.New(fault.Broken, fault.MaybeRun, "response with status %s has no error code", response.Status)
	}
	return fault.New(body.Error.Code, body.Error.Ran, "%s", body.Error.Message)
}
