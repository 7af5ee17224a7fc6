// Package chat is the callers' interface that clients of language models
// already speak: chat and text completions, streamed or whole, and the list of
// models. It encodes and decodes; what happens is decided by entry.Desk.
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
	classHeader  = "Endivedeck-Class"
	defaultClass = "chat"
	defaultMost  = 256
	maxMost      = 32_768
	maxMessages  = 4096
	streamEnd    = "data: [DONE]\n\n"
)

func init() {
	entry.Fronts.Register("chat", add)
}

type (
	front struct{ desk *entry.Desk }

	chatRequest struct {
		Model     string    `json:"model"`
		Messages  []talk    `json:"messages"`
		Prompt    string    `json:"prompt"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
		Newer     int       `json:"max_completion_tokens"`
		Options   *struct{} `json:"stream_options"`
	}

	talk struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// object is an answer, or a part of it.
	object struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}

	choice struct {
		Index   int     `json:"index"`
		Message *talk   `json:"message,omitempty"`
		Delta   *delta  `json:"delta,omitempty"`
		Text    *string `json:"text,omitempty"`
		Finish  *string `json:"finish_reason"`
	}

	delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
	}

	usage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
	}

	model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}

	modelList struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
)

// add adds the paths of the interface.
func add(mux *http.ServeMux, desk *entry.Desk) {
	f := &front{desk: desk}
	mux.HandleFunc("POST /v1/chat/completions", f.chat)
	mux.HandleFunc("POST /v1/completions", f.complete)
	mux.HandleFunc("GET /v1/models", f.models)
}

func (f *front) chat(w http.ResponseWriter, r *http.Request) { f.serve(w, r, true) }

func (f *front) complete(w http.ResponseWriter, r *http.Request) { f.serve(w, r, false) }

func (f *front) serve(w http.ResponseWriter, r *http.Request, isChat bool) {
	caller, err := f.desk.Identify(entry.BearerKey(r))
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	ask, err := read(r, isChat)
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	q := entry.Query{
		ID:     entry.NewID(),
		Caller: caller,
		Class:  classOf(r),
		Model:  ask.Model,
		Prompt: promptOf(ask, isChat),
		Most:   mostOf(ask),
	}
	w.Header().Set(entry.IDHeader, q.ID)
	out := &writer{w: w, control: http.NewResponseController(w), id: q.ID, model: q.Model, isChat: isChat, stream: ask.Stream, created: time.Now().Unix()}
	used, err := f.desk.Ask(r.Context(), q, out)
	out.finish(used, err)
}

func (f *front) models(w http.ResponseWriter, r *http.Request) {
	caller, err := f.desk.Identify(entry.BearerKey(r))
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range f.desk.Models(caller) {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "endivedeck"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func read(r *http.Request, isChat bool) (chatRequest, error) {
	var ask chatRequest
	text, err := gate.ReadBody(r)
	if err != nil {
		return ask, err
	}
	if err := json.Unmarshal(text, &ask); err != nil {
		return ask, fault.New(fault.Malformed, fault.No, "the body can't be read: %v", err)
	}
	switch {
	case ask.Model == "":
		return ask, fault.New(fault.Malformed, fault.No, "model: the field is needed")
	case isChat && len(ask.Messages) == 0:
		return ask, fault.New(fault.Malformed, fault.No, "messages: the field is needed")
	case len(ask.Messages) > maxMessages:
		return ask, fault.New(fault.TooLarge, fault.No, "messages: more than %d", maxMessages)
	case !isChat && ask.Prompt == "":
		return ask, fault.New(fault.Malformed, fault.No, "prompt: the field is needed")
	case mostOf(ask) < 1 || mostOf(ask) > maxMost:
		return ask, fault.New(fault.Malformed, fault.No, "max_tokens: want 1 to %d", maxMost)
	}
	return ask, nil
}

func mostOf(ask chatRequest) int {
	switch {
	case ask.Newer != 0:
		return ask.Newer
	case ask.MaxTokens != 0:
		return ask.MaxTokens
	}
	return defaultMost
}

// promptOf makes one prompt of a conversation, so that the beginnings of two
// turns of one conversation are the same tokens.
func promptOf(ask chatRequest, isChat bool) string {
	if !isChat {
		return ask.Prompt
	}
	var text strings.Builder
	for _, t := range ask.Messages {
		text.WriteString("<" + t.Role + "> " + t.Content + " ")
	}
	return text.String()
}

func classOf(r *http.Request) string {
	if class := r.Header.Get(classHeader); class != "" {
		return class
	}
	return defaultClass
}
