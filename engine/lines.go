package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/internal/responses/connection"
	"endivedeck.example/internal/responses/head"
	"endivedeck.example/message"
)

const (
	dialTimeout    = time.Second
	callTimeout    = time.Second     // of calls other than Generate, Export and Import
	silenceTimeout = 2 * time.Second // without a line; then the stream is resumed over a new connection
	maxLineBytes   = 1 << 20
	maxBodyBytes   = 64 << 20      // of an exported KV cache
	maxHeadBytes   = 64 << 10      // of a response
	maxReportBytes = 1 << 20       // of a load report
	maxEventsBytes = 16 << 20      // of a list of cache events
	maxEvents      = 1 << 17       // in a list; the next call gets those that follow
	maxLoadNumber  = math.MaxInt32 // of requests, blocks, tokens or milliseconds in a load report
)

var (
	_ Engine           = (*LinesClient)(nil)
	_ CacheEventSource = (*LinesClient)(nil)
	_ CacheTransfer    = (*LinesClient)(nil)
)

type (
	// LinesClient is the client for an engine that streams answers as lines of
	// JSON over HTTP.
	LinesClient struct {
		base       string
		httpClient *http.Client
	}

	streamRequest struct {
		ID              string `json:"id"`
		Model           string `json:"model"`
		Prompt          string `json:"prompt"`
		GeneratedTokens int    `json:"given"`
		MaxTokens       int    `json:"most"`
		Priority        int    `json:"priority"`
	}

	streamLine struct {
		ID           string `json:"id"`
		Offset       int    `json:"offset"`
		Tokens       int    `json:"tokens"`
		Text         string `json:"text"`
		Final        bool   `json:"end"`
		FinishReason string `json:"reason"`
		PromptTokens int    `json:"promptTokens"`
	}

	loadReport struct {
		Running       int      `json:"running"`
		Queued        int      `json:"queued"`
		Slots         int      `json:"slots"`
		FreeBlocks    int      `json:"freePieces"`
		AgeMS         int64    `json:"ageMs"`
		Role          string   `json:"role"`
		Models        []string `json:"models"`
		State         string   `json:"state"`
		AcceptedToken uint64   `json:"number"`
		DoneToken     uint64   `json:"lastDone"`
		BlockTokens   int      `json:"pieceTokens"`
	}

	cacheEvent struct {
		Seq       uint64 `json:"seq"`
		BlockHash uint64 `json:"hash,string"`
		Evicted   bool   `json:"evicted"`
	}

	orderRequest struct {
		FencingToken uint64 `json:"number"`
		Kind         string `json:"kind"`
		Model        string `json:"model,omitempty"`
		Role         string `json:"role,omitempty"`
	}

	promptRequest struct {
		Model  string `json:"model"`
		Prompt string `json:"prompt"`
	}
)

func init() {
	Dialects.Register("lines", NewLinesClient)
}

// NewLinesClient returns the client for the engine at address. It uses a connection for
// one request only: responses bear no ID, so one that a faulty engine writes again
// would be taken for the response to the next request.
func NewLinesClient(address string) Engine {
	return &LinesClient{base: "http://" + address, httpClient: &http.Client{Transport: connection.NewTransport(dialTimeout, maxHeadBytes)}}
}

// Generate implements Engine. A connection on which nothing arrives for
// silenceTimeout may be dead without an error, so the stream is resumed at the
// next token over a new one.
func (c *LinesClient) Generate(ctx context.Context, request message.GenerateRequest, yield func(message.Chunk) error) error {
	g := &generation{client: c, request: request, nextOffset: request.Offset, yield: yield}
	resumable, err := g.start(ctx)
	for resumable && g.timedOut && ctx.Err() == nil {
		err = mayHaveRun(g.resume(ctx))
	}
	return err
}

// Cancel implements Engine.
func (c *LinesClient) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/streams/"+url.PathEscape(id), nil)
	if err != nil {
		return fault.New(fault.Malformed, fault.NotRun, "creating a request to the engine: %v", err)
	}
	body, err := c.send(request)
	if err != nil {
		return err
	}
	return body.Close()
}

// State implements Engine.
func (c *LinesClient) State(ctx context.Context) (State, error) {
	var report loadReport
	decode := func(d *json.Decoder) error { return d.Decode(&report) }
	if err := c.get(ctx, "/v1/load", maxReportBytes, decode); err != nil {
		return State{}, err
	}
	if err := report.check(); err != nil {
		return State{}, err
	}
	return State{
		Load: message.Load{
			Running:    report.Running,
			Queued:     report.Queued,
			Capacity:   report.Slots,
			FreeBlocks: report.FreeBlocks,
			ReportAge:  time.Duration(report.AgeMS) * time.Millisecond,
		},
		Models:        report.Models,
		Role:          report.Role,
		Changing:      report.State != "serving",
		AcceptedToken: report.AcceptedToken,
		DoneToken:     report.DoneToken,
		BlockTokens:   report.BlockTokens,
	}, nil
}

// check checks that the numbers are ones that an engine can have.
func (r *loadReport) check() error {
	for _, n := range []int64{int64(r.Running), int64(r.Queued), int64(r.Slots), int64(r.FreeBlocks), r.AgeMS, int64(r.BlockTokens)} {
		if n < 0 || n > maxLoadNumber {
			return fault.New(fault.Broken, fault.HasRun, "the engine's load report has the number %d, want 0 to %d", n, maxLoadNumber)
		}
	}
	return nil
}

// Order implements Engine.
func (c *LinesClient) Order(ctx context.Context, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := c.post(ctx, "/v1/orders", orderRequest(order))
	if err != nil {
		return err
	}
	return body.Close()
}

// Events implements CacheEventSource.
func (c *LinesClient) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	decode := func(d *json.Decoder) (err error) {
		events, err = decodeEvents(d)
		return err
	}
	if err := c.get(ctx, "/v1/events?after="+strconv.FormatUint(after, 10), maxEventsBytes, decode); err != nil {
		return nil, err
	}
	return events, nil
}

// decodeEvents decodes a list of cache events, the first maxEvents at most.
func decodeEvents(d *json.Decoder) ([]CacheEvent, error) {
	begin, err := d.Token()
	switch {
	case err != nil:
		return nil, err
	case begin == nil: // an engine without events may send null
		return nil, nil
	case begin != json.Delim('['):
		return nil, errors.New("not a list of events")
	}
	var events []CacheEvent
	for d.More() && len(events) < maxEvents {
		var event cacheEvent
		if err := d.Decode(&event); err != nil {
			return nil, err
		}
		events = append(events, CacheEvent(event))
	}
	if len(events) == maxEvents {
		return events, nil
	}
	_, err = d.Token() // fails if the list breaks off
	return events, err
}

// Export implements CacheTransfer.
func (c *LinesClient) Export(ctx context.Context, model, prompt string) ([]byte, error) {
	body, err := c.post(ctx, "/v1/cache/export", promptRequest{Model: model, Prompt: prompt})
	if err != nil {
		return nil, err
	}
	defer body.Close()
	blob, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return nil, fault.New(fault.Broken, fault.MaybeRun, "reading exported KV cache: %v", err)
	}
	return blob, nil
}

// Import implements CacheTransfer.
func (c *LinesClient) Import(ctx context.Context, blob []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/cache/import", bytes.NewReader(blob))
	if err != nil {
		return fault.New(fault.Malformed, fault.NotRun, "creating a request to the engine: %v", err)
	}
	body, err := c.send(request)
	if err != nil {
		return err
	}
	defer body.Close()
	// The engine may respond before it has received all of the cache.
	if _, err := io.Copy(io.Discard, io.LimitReader(body, maxLineBytes)); err != nil {
		return fault.EngineEnd("importing KV cache: %v", err)
	}
	return nil
}

// get decodes the response to a GET request, of at most maxBytes.
func (c *LinesClient) get(ctx context.Context, path string, maxBytes int64, decode func(*json.Decoder) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return fault.New(fault.Malformed, fault.NotRun, "creating a request to the engine: %v", err)
	}
	body, err := c.send(request)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := decode(json.NewDecoder(io.LimitReader(body, maxBytes))); err != nil {
		return fault.New(fault.Broken, fault.MaybeRun, "decoding the engine's response: %v (GET %s)", err, path)
	}
	return nil
}

func (c *LinesClient) post(ctx context.Context, path string, value any) (io.ReadCloser, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, fault.New(fault.Malformed, fault.NotRun, "encoding a request to the engine: %v", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, fault.New(fault.Malformed, fault.NotRun, "creating a request to the engine: %v", err)
	}
	request.GetBody = nil // keeps net/http from resending a request that may have been sent
	return c.send(request)
}

// send sends a request and returns the body of the response. An error carries
// Ran NotRun if no connection was established or if the engine's error says so.
func (c *LinesClient) send(request *http.Request) (io.ReadCloser, error) {
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, sendError(err)
	}
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return response.Body, nil
	}
	defer response.Body.Close()
	if err := head.CheckStatus(response.StatusCode); err != nil {
		return nil, fault.New(fault.Broken, fault.MaybeRun, "the engine's response: %v", err)
	}
	var engineError fault.Error
	data, err := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	if err != nil {
		return nil, fault.EngineEnd("reading the engine's response with status %s: %v", response.Status, err)
	}
	if json.Unmarshal(data, &engineError) == nil && engineError.Kind != "" {
		if engineError.Ran == "" {
			engineError.Ran = fault.MaybeRun
		}
		return nil, fault.WithStack(&engineError)
	}
	return nil, fault.New(fault.Broken, fault.MaybeRun, "the engine responded with status %s", response.Status)
}

// sendError returns a fault for an error of http.Client.Do. Only a failed dial
// proves that the engine did not receive the request. After any other error the
// connection is lost.
func sendError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return fault.New(fault.Unavailable, fault.NotRun, "connecting to the engine: %v", err)
	}
	return fault.EngineEnd("calling the engine: %v", err)
}
