package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/message"
)

const (
	dialTime     = time.Second
	askTime      = time.Second
	silenceTime  = 2 * time.Second // without a line, until a stream is asked for over a new connection
	maxLineBytes = 1 << 20
	maxBodyBytes = 64 << 20
	idleConns    = 64
)

var (
	_ Engine  = (*Lines)(nil)
	_ Caching = (*Lines)(nil)
	_ Moving  = (*Lines)(nil)
)

type (
	// Lines is an engine that streams answers as lines of JSON over HTTP.
	Lines struct {
		base   string
		client *http.Client
	}

	streamRequest struct {
		ID       string `json:"id"`
		Model    string `json:"model"`
		Prompt   string `json:"prompt"`
		Given    int    `json:"given"`
		Most     int    `json:"most"`
		Priority int    `json:"priority"`
	}

	streamLine struct {
		ID     string `json:"id"`
		Offset int    `json:"offset"`
		Tokens int    `json:"tokens"`
		Text   string `json:"text"`
		End    bool   `json:"end"`
		Reason string `json:"reason"`
		Prompt int    `json:"promptTokens"`
	}

	loadReport struct {
		Running     int      `json:"running"`
		Queued      int      `json:"queued"`
		Slots       int      `json:"slots"`
		Free        int      `json:"freePieces"`
		AgeMS       int64    `json:"ageMs"`
		Role        string   `json:"role"`
		Models      []string `json:"models"`
		State       string   `json:"state"`
		Number      uint64   `json:"number"`
		LastDone    uint64   `json:"lastDone"`
		PieceTokens int      `json:"pieceTokens"`
	}

	cacheEvent struct {
		Seq     uint64 `json:"seq"`
		Hash    uint64 `json:"hash,string"`
		Evicted bool   `json:"evicted"`
	}

	orderRequest struct {
		Number uint64 `json:"number"`
		Kind   string `json:"kind"`
		Model  string `json:"model,omitempty"`
		Role   string `json:"role,omitempty"`
	}

	promptRequest struct {
		Model  string `json:"model"`
		Prompt string `json:"prompt"`
	}
)

func init() {
	Dialects.Register("lines", NewLines)
}

// NewLines returns the engine at address.
func NewLines(address string) Engine {
	dialer := &net.Dialer{Timeout: dialTime}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     time.Minute,
	}
	return &Lines{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// Generate implements Engine. A connection that brings nothing for
// silenceTime may be lost without a sign: the stream is asked for again, from
// where it was, over a new one.
func (l *Lines) Generate(ctx context.Context, work message.Work, give func(message.Piece) error) error {
	g := &generation{lines: l, work: work, offset: work.Offset, give: give}
	begun, err := g.begin(ctx)
	for begun && g.silent && ctx.Err() == nil {
		err = g.resume(ctx)
	}
	return err
}

// Cancel implements Engine.
func (l *Lines) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, l.base+"/v1/streams/"+url.PathEscape(id), nil)
	if err != nil {
		return fault.New(fault.Malformed, fault.No, "%v", err)
	}
	body, err := l.do(r)
	if err != nil {
		return err
	}
	return body.Close()
}

// State implements Engine.
func (l *Lines) State(ctx context.Context) (State, error) {
	var report loadReport
	if err := l.get(ctx, "/v1/load", &report); err != nil {
		return State{}, err
	}
	return State{
		Load: message.Load{
			Running:  report.Running,
			Queued:   report.Queued,
			Capacity: report.Slots,
			Free:     report.Free,
			Age:      time.Duration(report.AgeMS) * time.Millisecond,
		},
		Models:      report.Models,
		Role:        report.Role,
		Changing:    report.State != "serving",
		Number:      report.Number,
		Done:        report.LastDone,
		PieceTokens: report.PieceTokens,
	}, nil
}

// Order implements Engine.
func (l *Lines) Order(ctx context.Context, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	body, err := l.post(ctx, "/v1/orders", orderRequest(order))
	if err != nil {
		return err
	}
	return body.Close()
}

// Events implements Caching.
func (l *Lines) Events(ctx context.Context, after uint64) ([]Event, error) {
	var events []cacheEvent
	if err := l.get(ctx, "/v1/events?after="+strconv.FormatUint(after, 10), &events); err != nil {
		return nil, err
	}
	list := make([]Event, len(events))
	for i, e := range events {
		list[i] = Event(e)
	}
	return list, nil
}

// Export implements Moving.
func (l *Lines) Export(ctx context.Context, model, prompt string) ([]byte, error) {
	body, err := l.post(ctx, "/v1/cache/export", promptRequest{Model: model, Prompt: prompt})
	if err != nil {
		return nil, err
	}
	defer body.Close()
	blob, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return nil, fault.New(fault.Broken, fault.Unknown, "the export broke off: %v", err)
	}
	return blob, nil
}

// Import implements Moving.
func (l *Lines) Import(ctx context.Context, blob []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, l.base+"/v1/cache/import", bytes.NewReader(blob))
	if err != nil {
		return fault.New(fault.Malformed, fault.No, "%v", err)
	}
	body, err := l.do(r)
	if err != nil {
		return err
	}
	return body.Close()
}

func (l *Lines) get(ctx context.Context, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+path, nil)
	if err != nil {
		return fault.New(fault.Malformed, fault.No, "%v", err)
	}
	body, err := l.do(r)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(io.LimitReader(body, maxBodyBytes)).Decode(value); err != nil {
		return fault.New(fault.Broken, fault.Unknown, "the engine's answer can't be read: %v", err)
	}
	return nil
}

func (l *Lines) post(ctx context.Context, path string, value any) (io.ReadCloser, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, fault.New(fault.Malformed, fault.No, "%v", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, l.base+path, bytes.NewReader(text))
	if err != nil {
		return nil, fault.New(fault.Malformed, fault.No, "%v", err)
	}
	r.GetBody = nil // a request that may have left isn't sent again by the library
	return l.do(r)
}

// do sends a request. A connection that was never made proves that nothing
// ran, and so does the engine's own refusal.
func (l *Lines) do(r *http.Request) (io.ReadCloser, error) {
	answer, err := l.client.Do(r)
	if err != nil {
		return nil, sendError(err)
	}
	if answer.StatusCode < http.StatusMultipleChoices {
		return answer.Body, nil
	}
	defer answer.Body.Close()
	var e fault.Error
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxLineBytes))
	if json.Unmarshal(text, &e) == nil && e.Kind != "" {
		return nil, fault.Wrap(&e)
	}
	return nil, fault.New(fault.Broken, fault.Unknown, "the engine answered %s", answer.Status)
}

func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.New(fault.Unavailable, fault.No, "no connection: %v", err)
	}
	return fault.New(fault.Broken, fault.Unknown, "the connection was lost: %v", err)
}
