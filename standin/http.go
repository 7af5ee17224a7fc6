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
	// StreamRequest is the body of a request for an answer.
	StreamRequest struct {
		ID             string `json:"id"`
		Model          string `json:"model"`
		Prompt         string `json:"prompt"`
		ReceivedTokens int    `json:"given"` // answer tokens that the caller has already received
		MaxTokens      int    `json:"most"`  // maximum answer tokens, including the received ones
		Priority       int    `json:"priority"`
	}

	// StreamLine is one line of a streamed answer.
	StreamLine struct {
		ID           string `json:"id"`
		Offset       int    `json:"offset"`                 // index in the answer of the line's first token
		Tokens       int    `json:"tokens,omitempty"`       // number of tokens in Text
		Text         string `json:"text,omitempty"`         // generated since the previous line
		Final        bool   `json:"end,omitempty"`          // last line of the answer
		FinishReason string `json:"reason,omitempty"`       // why the answer ended; last line only
		PromptTokens int    `json:"promptTokens,omitempty"` // last line only
	}

	// CacheExport is an exported KV cache.
	CacheExport struct {
		Model       string   `json:"model"`
		BlockHashes []uint64 `json:"pieces"` // hashes of its blocks
	}

	// ExportRequest is the body of a request to export the cached KV blocks of
	// a prompt.
	ExportRequest struct {
		Model  string `json:"model"`
		Prompt string `json:"prompt"`
	}
)

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams", e.serveStart)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/events", e.serveEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/cache/export", e.serveExport)
	mux.HandleFunc("POST /v1/cache/import", e.serveImport)
	return mux
}

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request) {
	var request StreamRequest
	if !readJSON(w, r, &request) {
		return
	}
	s, err := e.startStream(request)
	if err != nil {
		writeError(w, err)
		return
	}
	e.serveStream(w, r, s, request.ReceivedTokens)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		writeError(w, fault.New(fault.Malformed, fault.NotRun, "offset: want a non-negative integer"))
		return
	}
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil || offset < s.receivedTokens {
		writeError(w, fault.New(fault.NotFound, fault.NotRun, "no stream %q at offset %d", r.PathValue("id"), offset))
		return
	}
	e.serveStream(w, r, s, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.cancelStream(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.loadReport(time.Now()))
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			writeError(w, fault.New(fault.Malformed, fault.NotRun, "after: want a non-negative integer, got %q", text))
			return
		}
	}
	writeJSON(w, e.eventsAfter(time.Now(), after))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if !readJSON(w, r, &order) {
		return
	}
	if err := e.acceptOrder(order); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var request ExportRequest
	if !readJSON(w, r, &request) {
		return
	}
	blockHashes := prompt.BlockHashes(request.Model, request.Prompt, e.options.Spec.PieceTokens)
	e.mu.Lock()
	cached := e.batch.CachedBlocks(blockHashes)
	e.mu.Unlock()
	writeJSON(w, CacheExport{Model: request.Model, BlockHashes: blockHashes[:cached]})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var export CacheExport
	if !readJSON(w, r, &export) {
		return
	}
	e.mu.Lock()
	e.batch.AddBlocks(export.BlockHashes)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// serveStream writes a stream's lines from offset on until the stream ends or
// the client disconnects. A disconnect doesn't cancel the stream, so the client
// can resume it.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	updated := make(chan struct{}, 1)
	e.subscribe(s, updated)
	defer e.unsubscribe(s, updated)
	for {
		line, canceled := e.nextLine(s, offset)
		if canceled {
			return
		}
		if line.Tokens > 0 || line.Final {
			if err := e.writeLine(encoder, line); err != nil {
				return
			}
			_ = controller.Flush()
			offset += line.Tokens
		}
		if line.Final {
			return
		}
		select {
		case <-updated:
		case <-r.Context().Done():
			return
		}
	}
}

// writeLine writes a line. For a random fraction of lines, as set in the
// options, it injects a fault: it writes a copy that ends another stream first,
// and then the line twice.
func (e *Engine) writeLine(encoder *json.Encoder, line StreamLine) error {
	e.mu.Lock()
	injectFault := e.rng.Float64() < e.options.LineFaultRate
	e.mu.Unlock()
	if !injectFault {
		return encoder.Encode(line)
	}
	otherLine := line
	otherLine.ID = "another-stream"
	otherLine.Final = true
	for _, out := range []StreamLine{otherLine, line, line} {
		if err := encoder.Encode(out); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engine) subscribe(s *stream, updated chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.subscribers[updated] = true
}

func (e *Engine) unsubscribe(s *stream, updated chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(s.subscribers, updated)
}

// nextLine returns a line with the stream's tokens from offset on, which may
// be none, and whether the stream was canceled.
func (e *Engine) nextLine(s *stream, offset int) (StreamLine, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := StreamLine{ID: s.id, Offset: offset}
	for _, token := range s.tokens[min(offset-s.receivedTokens, len(s.tokens)):] {
		line.Text += token
		line.Tokens++
	}
	if s.ended {
		line.Final = true
		line.FinishReason = "stop"
		line.PromptTokens = s.sequence.PromptTokens
	}
	return line, s.canceled
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := gate.ReadBody(r)
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	if err != nil {
		writeError(w, fault.New(fault.Malformed, fault.NotRun, "invalid request body: %v", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	problem := fault.FromError(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.HTTPErrorOf(problem.Kind).Status)
	_ = json.NewEncoder(w).Encode(problem)
}
