package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/prompt"
)

type (
	// StreamRequest starts a stream on an engine.
	StreamRequest struct {
		ID       string `json:"id"`
		Model    string `json:"model"`
		Prompt   string `json:"prompt"`
		Given    int    `json:"given"` // answer tokens that the caller has already
		Most     int    `json:"most"`
		Priority int    `json:"priority"`
	}

	// StreamLine is one line of a stream.
	StreamLine struct {
		ID     string `json:"id"`
		Offset int    `json:"offset"` // counts the tokens before this line's
		Tokens int    `json:"tokens,omitempty"`
		Text   string `json:"text,omitempty"`
		End    bool   `json:"end,omitempty"`
		Reason string `json:"reason,omitempty"`
		Prompt int    `json:"promptTokens,omitempty"`
	}

	// Blob is exported KV cache.
	Blob struct {
		Model  string   `json:"model"`
		Pieces []uint64 `json:"pieces"`
	}

	// PromptRequest names a prompt.
	PromptRequest struct {
		Model  string `json:"model"`
		Prompt string `json:"prompt"`
	}
)

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams", e.serveBegin)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/events", e.serveEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/cache/export", e.serveExport)
	mux.HandleFunc("POST /v1/cache/import", e.serveImport)
	return mux
}

func (e *Engine) serveBegin(w http.ResponseWriter, r *http.Request) {
	var ask StreamRequest
	if !readJSON(w, r, &ask) {
		return
	}
	s, err := e.begin(ask)
	if err != nil {
		refuse(w, err)
		return
	}
	e.serveStream(w, r, s, ask.Given)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		refuse(w, fault.New(fault.Malformed, fault.No, "offset: want a number"))
		return
	}
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil || offset < s.given {
		refuse(w, fault.New(fault.NotFound, fault.No, "no such stream"))
		return
	}
	e.serveStream(w, r, s, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.cancel(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.load(time.Now()))
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, e.eventsAfter(time.Now(), after))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var ask EngineOrder
	if !readJSON(w, r, &ask) {
		return
	}
	if err := e.order(ask); err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var ask PromptRequest
	if !readJSON(w, r, &ask) {
		return
	}
	prefix := prompt.BlockHashes(ask.Model, ask.Prompt, e.options.Shape.PieceTokens)
	e.mu.Lock()
	held := e.batch.Cached(prefix)
	e.mu.Unlock()
	writeJSON(w, Blob{Model: ask.Model, Pieces: prefix[:held]})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var blob Blob
	if !readJSON(w, r, &blob) {
		return
	}
	e.mu.Lock()
	e.batch.Import(blob.Pieces)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// serveStream writes a stream's lines from offset on, until it ends or the
// reader goes away. A reader that goes away doesn't cancel the stream.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	wake := make(chan struct{}, 1)
	e.subscribe(s, wake)
	defer e.unsubscribe(s, wake)
	for {
		line, canceled := e.line(s, offset)
		if canceled {
			return
		}
		if line.Tokens > 0 || line.End {
			if err := e.encode(encoder, line); err != nil {
				return
			}
			_ = control.Flush()
			offset += line.Tokens
		}
		if line.End {
			return
		}
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		}
	}
}

// encode writes a line, and now and then another stream's before it and the
// same once more behind it.
func (e *Engine) encode(encoder *json.Encoder, line StreamLine) error {
	e.mu.Lock()
	crossed := e.random.Float64() < e.options.Cross
	e.mu.Unlock()
	if !crossed {
		return encoder.Encode(line)
	}
	other := line
	other.ID = "another-stream"
	other.End = true
	for _, l := range []StreamLine{other, line, line} {
		if err := encoder.Encode(l); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engine) subscribe(s *stream, wake chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers[wake] = true
}

func (e *Engine) unsubscribe(s *stream, wake chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(s.readers, wake)
}

// line returns what the stream holds from offset on.
func (e *Engine) line(s *stream, offset int) (StreamLine, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := StreamLine{ID: s.id, Offset: offset}
	for _, token := range s.tokens[min(offset-s.given, len(s.tokens)):] {
		line.Text += token
		line.Tokens++
	}
	if s.end {
		line.End = true
		line.Reason = "stop"
		line.Prompt = s.sequence.Prompt
	}
	return line, s.canceled
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	text, err := gate.ReadBody(r)
	if err == nil {
		err = json.Unmarshal(text, value)
	}
	if err != nil {
		refuse(w, fault.New(fault.Malformed, fault.No, "the body can't be read: %v", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func refuse(w http.ResponseWriter, err error) {
	e := fault.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.AnswerTo(e.Kind).Status)
	_ = json.NewEncoder(w).Encode(e)
}
