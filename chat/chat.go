// Package chat implements the HTTP API that clients of language models commonly
// use: chat and text completions, streamed or in one response, and the list of
// models. It only encodes and decodes; entry.Executor executes the requests.
package chat

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"endivedeck.example/entry"
	"endivedeck.example/fault"
	"endivedeck.example/gate"
)

const (
	classHeader      = "Endivedeck-Class"
	defaultClass     = "chat"
	defaultMaxTokens = 256
	maxTokensLimit   = 32_768
	maxMessages      = 4096
	streamTerminator = "data: [DONE]\n\n"
)

func init() {
	entry.Frontends.Register("chat", register)
}

type (
	frontend struct{ executor *entry.Executor }

	completionRequest struct {
		Model               string        `json:"model"`
		Messages            []chatMessage `json:"messages"`
		Prompt              string        `json:"prompt"`
		Stream              bool          `json:"stream"`
		MaxTokens           int           `json:"max_tokens"`
		MaxCompletionTokens int           `json:"max_completion_tokens"`
		StreamOptions       *struct{}     `json:"stream_options"`
	}

	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// completion is a completion response, or one chunk of a streamed one.
	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}

	choice struct {
		Index        int          `json:"index"`
		Message      *chatMessage `json:"message,omitempty"`
		Delta        *delta       `json:"delta,omitempty"`
		Text         *string      `json:"text,omitempty"`
		FinishReason *string      `json:"finish_reason"`
	}

	delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
	}

	usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}

	model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}

	modelList struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
)

// register adds the paths of the API to mux.
func register(mux *http.ServeMux, executor *entry.Executor) {
	f := &frontend{executor: executor}
	mux.HandleFunc("POST /v1/chat/completions", f.chatCompletions)
	mux.HandleFunc("POST /v1/completions", f.textCompletions)
	mux.HandleFunc("GET /v1/models", f.listModels)
}

func (f *frontend) chatCompletions(w http.ResponseWriter, r *http.Request) { f.serve(w, r, true) }

func (f *frontend) textCompletions(w http.ResponseWriter, r *http.Request) { f.serve(w, r, false) }

func (f *frontend) serve(w http.ResponseWriter, r *http.Request, isChat bool) {
	caller, err := f.executor.Authenticate(entry.BearerToken(r))
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	gate.Join(r.Context(), caller.Accepted.Contract.Customer)
	request, err := parseRequest(r, isChat)
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	q := entry.Query{
		ID:        entry.NewRequestID(),
		Caller:    caller,
		Class:     requestClass(r),
		Model:     request.Model,
		Prompt:    buildPrompt(request, isChat),
		MaxTokens: maxTokensOf(request),
	}
	w.Header().Set(entry.RequestIDHeader, q.ID)
	response := &responseWriter{dst: w, controller: http.NewResponseController(w), id: q.ID, model: q.Model, isChat: isChat, stream: request.Stream, created: time.Now().Unix()}
	usage, err := f.executor.Query(r.Context(), q, response)
	response.finish(usage, err)
}

func (f *frontend) listModels(w http.ResponseWriter, r *http.Request) {
	caller, err := f.executor.Authenticate(entry.BearerToken(r))
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range f.executor.ListModels(caller) {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "endivedeck"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func parseRequest(r *http.Request, isChat bool) (completionRequest, error) {
	var request completionRequest
	body, err := gate.ReadJSON(r)
	if err != nil {
		return request, err
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return request, fault.New(fault.Malformed, fault.NotRun, "decoding the request body: %v", err)
	}
	switch {
	case request.Model == "":
		return request, fault.New(fault.Malformed, fault.NotRun, "model: the field is required")
	case isChat && len(request.Messages) == 0:
		return request, fault.New(fault.Malformed, fault.NotRun, "messages: the field is required")
	case len(request.Messages) > maxMessages:
		return request, fault.New(fault.TooLarge, fault.NotRun, "messages: at most %d are allowed, got %d", maxMessages, len(request.Messages))
	case !isChat && request.Prompt == "":
		return request, fault.New(fault.Malformed, fault.NotRun, "prompt: the field is required")
	case maxTokensOf(request) < 1 || maxTokensOf(request) > maxTokensLimit:
		return request, fault.New(fault.Malformed, fault.NotRun, "%s: must be 1 to %d, got %d", maxTokensField(request), maxTokensLimit, maxTokensOf(request))
	}
	return request, nil
}

func maxTokensOf(request completionRequest) int {
	switch {
	case request.MaxCompletionTokens != 0:
		return request.MaxCompletionTokens
	case request.MaxTokens != 0:
		return request.MaxTokens
	}
	return defaultMaxTokens
}

// maxTokensField returns the name of the field that maxTokensOf goes by.
func maxTokensField(request completionRequest) string {
	if request.MaxCompletionTokens != 0 {
		return "max_completion_tokens"
	}
	return "max_tokens"
}

// buildPrompt joins the messages of a conversation into one prompt. The prompt
// of each turn starts with that of the previous one, so that the prefix cache of
// an engine can be used.
func buildPrompt(request completionRequest, isChat bool) string {
	if !isChat {
		return request.Prompt
	}
	var text strings.Builder
	for _, message := range request.Messages {
		text.WriteString("<" + message.Role + "> " + message.Content + " ")
	}
	return text.String()
}

func requestClass(r *http.Request) string {
	if class := r.Header.Get(classHeader); class != "" {
		return class
	}
	return defaultClass
}
